"""Tests of the daemon's settings file: units, defaults and problems."""

import pytest

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.settings_schema import parse_settings


def test_units_keys_and_defaults():
    """Guards against durations that are read in the wrong unit."""
    node, listen = parse_settings(
        {
            "node": {
                "name": "vm-1",
                "data_centre": "lisbon",
                "organisations": ["reclamar"],
                "token_keys": {"k1": "00ff" * 8},
                "delays": {"porto": "3.5ms"},
                "timers": {"stale_after": "4s"},
            },
            "listen": {"insecure": True, "http": "127.0.0.1:80", "keep_alive": "2m"},
        }
    )
    assert (node.timers.stale_after, node.timers.share_lease) == (4.0, 3.0)
    assert node.token_keys == {"k1": bytes.fromhex("00ff" * 8)}
    assert (node.delays, node.organisations) == ({"porto": 0.0035}, ("reclamar",))
    assert (listen.http, listen.keep_alive, listen.tls) == ("127.0.0.1:80", 120.0, None)


def problems(body):
    with pytest.raises(InvalidSettings) as raised:
        parse_settings(body)
    return "\n".join(raised.value.problems)


def test_all_problems_are_reported_at_once():
    """Guards against having to start the daemon once for each problem."""
    text = problems(
        {
            "node": {"name": "vm 1", "timers": {"stale_after": 3, "share_leese": "1s"}},
            "listen": {"http": "8080", "log_level": "LOUD", "tls": {"key": "k.pem"}},
        }
    )
    for part in (
        "node: required key 'data_centre' is missing",
        "node.name: found 'vm 1', allowed: a name",
        "node.timers.stale_after: found 3, allowed: a duration",
        "unknown key 'share_leese'; did you mean 'share_lease'?",
        "listen.http: found '8080', allowed: an address as host:port",
        "listen.log_level: found 'LOUD', allowed: DEBUG, INFO",
        "listen.tls: required key 'certificate' is missing",
    ):
        assert part in text


def test_contradictory_settings_are_refused():
    """Guards against a control member without a data folder, timers in the wrong order
    and unintended plain-text connections."""
    text = problems(
        {
            "node": {
                "name": "vm-1",
                "data_centre": "lisbon",
                "control": True,
                "control_members": ["vm-1", "vm-2"],
                "timers": {"heartbeat_interval": "1s"},
            },
            "listen": {"http": "10.0.0.1:7480"},
        }
    )
    for part in (
        "listen.tls: missing, allowed on loopback or with listen.insecure: true",
        "listen.data_folder: required when node.control is true",
        "'vm-2' has no address in node.peers",
        "node.timers.heartbeat_interval: must be less than election_timeout_min",
    ):
        assert part in text
