"""Tests of complete load runs against fake daemons."""

import json

import pytest
import yaml

from bronzemoor_standin.command import main
from bronzemoor_standin.group import Group
from bronzemoor_standin.history import check
from bronzemoor_standin.load import Load, LoadSettings, parse_load_settings
from bronzemoor_standin.records import LOST, NOT_SENT
from bronzemoor_standin.settings import InvalidSettings

LOST_CLASS = "pick-confirmation"
MIX_NAMES = ["claims", "stock"]


@pytest.fixture
def start_group():
    groups = []

    def start(schema):
        group = Group(schema, schema=schema, connections=100, slots=20)
        group.start()
        groups.append(group)
        return group

    yield start
    for group in groups:
        group.stop()


def settings(group, addresses, **fields):
    name = group.database
    endpoints = {name: list(group.addresses.values())}
    defaults = {"rate": 200, "duration_s": 1.5, "settle_s": 0, "workers": 16}
    return LoadSettings(
        addresses, {name: [name]}, endpoints, **defaults | {"sessions": 3} | fields
    )


@pytest.mark.parametrize("mix", MIX_NAMES)
def test_lost_answers_violate_no_guarantee(start_group, daemons, mix):
    """Guards against retries that the load tool or the endpoint counts twice."""
    group = start_group(mix)
    load = Load(settings(group, daemons(group, 2, lose_every=6)))
    history = load.run()
    tables = load.read_tables()
    assert check(history, tables) == []
    assert any(r.outcome == LOST for r in history.requests)
    assert any(r.repeated for r in history.requests)
    assert len({r.daemon for r in history.requests}) == 2
    assert any(tables[mix].values())


def test_daemon_that_does_not_record_requests_is_detected(start_group, daemons):
    """Guards against a load tool that misses a request that ran twice."""
    group = start_group("stock")
    load = Load(
        settings(group, daemons(group, 1, lose_class=LOST_CLASS, records=False))
    )
    history = load.run()
    found = {v.guarantee for v in check(history, load.read_tables())}
    assert "P6 at_most_once" in found


def test_slow_answers_do_not_delay_the_intended_times(start_group, daemons):
    """Guards against coordinated omission: arrivals that wait for slow answers."""
    group = start_group("claims")
    group.members["m2"].faults.statement_ms = 100
    fields = {"workers": 2, "rate": 100, "duration_s": 0.5}
    history = Load(settings(group, daemons(group, 1), **fields)).run()
    waited = [r.sent_at - r.intended_at for r in history.requests]
    assert max(waited) > 0.5


def test_unreachable_daemon_is_recorded_and_avoided(start_group, daemons):
    """Guards against a run that stops, or records nothing, when a daemon is down."""
    group = start_group("claims")
    addresses = [*daemons(group, 1), "127.0.0.1:9"]
    history = Load(settings(group, addresses, roam=0.5, duration_s=0.5)).run()
    down = [r for r in history.requests if r.daemon == "127.0.0.1:9"]
    assert {r.outcome for r in down} == {NOT_SENT}
    assert check(history, {}) == []


def test_command_writes_every_report(start_group, daemons, tmp_path, capsys):
    """Guards against results that are incomplete or cannot be checked again."""
    group = start_group("claims")
    config = {
        "daemons": daemons(group, 1),
        "databases": {"claims": ["claims"]},
        "endpoints": {"claims": list(group.addresses.values())},
        "settle_s": 0,
    }
    path, out = tmp_path / "load.yaml", tmp_path / "out"
    path.write_text(yaml.safe_dump(config))
    arguments = ["load", "--config", str(path), "--duration", "1", "--rate", "100"]
    assert main([*arguments, "--out", str(out)]) == 0
    assert "P1 read_your_writes: holds" in capsys.readouterr().out
    report = json.loads((out / "report.json").read_text())
    assert report["checked_tables"] is True
    assert (out / "report.png").read_bytes().startswith(b"\x89PNG")
    assert main(["check", str(out)]) == 0


def test_settings_are_checked():
    """Guards against a run with a misspelt setting or mix."""
    with pytest.raises(InvalidSettings, match="unknown setting ratte; daemons is miss"):
        parse_load_settings({"ratte": 1, "databases": {"claims": ["a"]}})
    with pytest.raises(InvalidSettings, match="unknown mix claim"):
        parse_load_settings({"daemons": ["a:1"], "databases": {"claim": ["a"]}})
