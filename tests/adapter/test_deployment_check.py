"""Tests of ``bronzemoorctl deployment check`` with the platform's documents."""

import json

import pytest
from cleo.testers.application_tester import ApplicationTester
from test_callers import ORGANISATIONS, document

from bronzemoor_client import exitcodes
from bronzemoor_client.command import make_application
from bronzemoor_core.wire.deployment import InvalidDeployment
from bronzemoor_platform.documents import read_document

FORMAT = "bronzemoor_platform.documents"


@pytest.fixture
def run(tmp_path, monkeypatch):
    """Returns a function that checks a document: (exit code, output)."""
    monkeypatch.setenv("BRONZEMOOR_DOCUMENT_FORMAT", FORMAT)

    def execute(checked, options="", in_force=None):
        data = checked if isinstance(checked, bytes) else checked.encode()
        (tmp_path / "new").write_bytes(data)
        if in_force:
            (tmp_path / "old").write_text(in_force)
            options += f" --against {tmp_path / 'old'}"
        tester = ApplicationTester(make_application())
        line = f"deployment check {tmp_path / 'new'} {options}"
        code = tester.execute(line, interactive=False)
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    return execute


def changed(organisations=ORGANISATIONS, **fields) -> str:
    return json.dumps({**json.loads(document(organisations)), **fields})


def entries(output):
    return json.loads(output)["findings"]


def test_exit_codes_tell_scripts_what_was_found(run, monkeypatch, tmp_path):
    """Guards against a script that sends a document with errors."""
    assert run(document(ORGANISATIONS)) == (exitcodes.OK, "0 errors, 0 warnings\n")
    assert run(document([{"name": "none"}]))[0] == exitcodes.CHECK_WARNINGS
    assert run(changed(services=[]))[0] == exitcodes.CHECK_ERRORS
    missing = f"--against {tmp_path / 'missing'}"
    for options in (missing, "--replica-lag x", "--format no.such.module"):
        code, output = run(document(ORGANISATIONS), options)
        assert code == exitcodes.USAGE and "Traceback" not in output
    code, output = run(changed(version=2), in_force="{")
    assert code == exitcodes.CHECK_ERRORS and "old: cannot decode" in output
    monkeypatch.delenv("BRONZEMOOR_DOCUMENT_FORMAT")
    assert run(document(ORGANISATIONS))[0] == exitcodes.USAGE


def test_findings_use_the_names_of_the_document(run):
    """Guards against paths that operators cannot find in their file."""
    routes = json.loads(document([], timeout_ms=0, service="x y"))["routes"]
    _, output = run(changed(routes=routes), "--json")
    assert {(f["path"], f["allowed"]) for f in entries(output)} == {
        ("routes[r].timeout_ms", "more than 0 s"),
        ("routes[r].service", "the name of a group in the document"),
    }
    _, output = run(changed(routes=[{**routes[0], "timeout_ms": "x"}, 7]), "--json")
    assert [f["path"] for f in entries(output)] == ["routes[0]", "routes[1]"]
    _, output = run(changed(limits={"tx_idle_ms": 100}), "--json")
    assert [f["path"] for f in entries(output)] == ["limits.tx_idle_ms"]
    _, output = run(changed([{"name": "a b"}]))
    assert output.startswith("error: tenants['a b'].name: 'a b'; allowed: 1 to 200")


@pytest.mark.parametrize(
    "data",
    [
        document(ORGANISATIONS).encode() + b"\xff",
        document([{"name": "north", "api_keys": ["key-n1\ud800"]}]),
        document([{"name": "north", "api_keys": "key-n1"}]),
        document(ORGANISATIONS).encode("utf-16"),
        b"\xef\xbb\xbf" + document(ORGANISATIONS).encode(),
        document([{**ORGANISATIONS[0], "rate_per_s": 10**400}]),
        changed(limits={"tx_idle_ms": 10**400}),
        changed(limits={"tx_idle_ms": "key-n1"}),
        "[" * 100_000,
        document(ORGANISATIONS)[:-10],
        changed(version=float("nan")),
        changed(routes=None),
    ],
    ids=range(12),
)
def test_bad_input_is_rejected_by_the_check_and_the_daemon(run, data):
    """Guards against tracebacks, and against keys in error messages."""
    with pytest.raises(InvalidDeployment) as raised:
        read_document(data)
    code, output = run(data)
    assert code == exitcodes.CHECK_ERRORS and output.startswith("error: ")
    assert "key-n" not in output + str(raised.value)


def test_large_documents_give_bounded_text(run):
    """Guards against output that hides the other findings."""
    route = json.loads(document([]))["routes"][0]
    routes = [{**route, "name": f"r{n}", "path_prefix": f"/{n}"} for n in range(5_000)]
    organisations = [{"name": f"o{n}", "api_keys": [f"k{n}"]} for n in range(10_000)]
    services = [{"name": "ledger", "max_conns": 73}]
    large = changed(organisations, routes=routes, services=services)
    code, output = run(large)
    assert code == exitcodes.CHECK_WARNINGS and len(output.splitlines()) < 30
    assert "73 for 10000 organisations" in output
    assert "4979 more of route_never_matches" in output
    code, output = run(large + " " * 5_000_000)
    assert code == exitcodes.CHECK_ERRORS and "more than 4194304 bytes" in output


def test_differences_never_show_keys_or_uninterpreted_names(run):
    """Guards against keys on screens and in logs, and against control characters."""
    organisations = [
        {**ORGANISATIONS[0], "api_keys": ["key-new"], "rate_per_s": 9},
        {"name": "<error>x</error>", "api_keys": ["key-s"]},
    ]
    route = json.loads(document([], database="\x1b[2J\ud800"))["routes"]
    new = changed(organisations, routes=route)
    for options in ("", "--json"):
        code, output = run(new, options, in_force=document(ORGANISATIONS))
        assert code == exitcodes.CHECK_WARNINGS
        assert "key-" not in output
        assert "\x1b" not in output and "<error>x</error>" in output
        for kind in ("key_withdrawn", "key_added", "quota_lowered"):
            assert kind in output
    copy = read_document(document(ORGANISATIONS)).redacted
    assert run(copy, in_force=document(ORGANISATIONS))[0] == exitcodes.OK
