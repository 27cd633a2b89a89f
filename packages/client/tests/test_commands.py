"""Tests of the command line with a running system, without one, with lost answers."""

import json
import socket
from threading import Thread

import pytest
from cleo.testers.application_tester import ApplicationTester

from bronzemoor_client import exitcodes
from bronzemoor_client.changes import DrainDaemonCommand
from bronzemoor_client.command import make_application
from bronzemoor_client.connection import Connection
from bronzemoor_daemon.demo import ORGANISATION, TEMPLATE
from bronzemoor_daemon.embedded import EmbeddedSystem, free_address

NEW_TEMPLATE = """
databases: [claims-1]
connections: 12
classes:
  file-claim: {kind: write}
"""
BAD_TEMPLATE = """
databases: claims-1
connection: 12
classes:
  file-claim: {kind: writes}
"""


@pytest.fixture(scope="module")
def system():
    running = EmbeddedSystem(daemons=2)
    running.start()
    running.apply_template(ORGANISATION, TEMPLATE)
    yield running
    running.stop()


@pytest.fixture
def run(system, monkeypatch):
    """Returns a function that runs a command line: (exit code, output, errors)."""
    # The first daemon is unreachable, so every command has to try the next one.
    daemons = [free_address(), *reversed(system.addresses)]
    monkeypatch.setenv("BRONZEMOOR_DAEMONS", ",".join(daemons))

    def execute(line):
        tester = ApplicationTester(make_application())
        code = tester.execute(line, interactive=False)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return execute


@pytest.fixture
def files(tmp_path):
    for name, text in (("new", NEW_TEMPLATE), ("bad", BAD_TEMPLATE)):
        (tmp_path / f"{name}.yaml").write_text(text)
    return tmp_path


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("status", ["overall: ok", "claims-1", "control leader: vm-1"]),
        ("database list", ["claims-1", "primary"]),
        ("template list", [ORGANISATION]),
        (f"template get {ORGANISATION}", ["file-claim", "kind: write"]),
        (f"template history {ORGANISATION}", ["first-template", "T"]),
        ("failover plan claims-1", ["candidate: member-", "safe now: yes"]),
        ("promote claims-1 --dry-run", ["candidate: member-"]),
        ("control members", ["vm-1", "tolerated losses: 0"]),
        ("template schema", ["max_age"]),
        ("watch --count 1", ["overall: ok"]),
    ],
)
def test_queries_succeed(run, line, words):
    """Guards against commands that do not match the administration interface."""
    code, output, errors = run(line)
    assert code == exitcodes.OK, errors
    for word in words:
        assert word in output


@pytest.mark.parametrize("line", ["status", "database list", "failover plan claims-1"])
def test_json_output_is_valid(run, line):
    """Guards against other text in JSON output, which would break its parsing."""
    code, output, _ = run(f"{line} --json")
    assert code == exitcodes.OK
    assert json.loads(output)["code"] == "ok"


def test_changes_are_confirmed_resent_and_checked_for_conflicts(run, files):
    """Guards against unconfirmed changes, a resend applied twice and lost updates."""
    apply = f"template apply {ORGANISATION} {files / 'new.yaml'}"
    assert run(apply)[0] == exitcodes.REFUSED
    for _ in range(2):
        code, output, errors = run(f"{apply} --yes --change-id once")
        assert (code, "version 2 accepted" in output) == (exitcodes.OK, True), errors
    code, _, errors = run(f"{apply} --yes --expect-version 1")
    assert code == exitcodes.CONFLICT and "hint:" in errors
    code, output, _ = run(f"template rollback {ORGANISATION} 1 --yes")
    assert (code, "version 3 accepted" in output) == (exitcodes.OK, True)
    code, output, _ = run(f"template diff {ORGANISATION} {files / 'new.yaml'}")
    assert (code, "connections: 20 -> 12" in output) == (exitcodes.OK, True)


def test_failover_run_changes_the_primary(run, system):
    """Guards against a handover that reports success but keeps the primary."""
    before = system.primary
    code, _, errors = run("failover run claims-1 --yes")
    assert code == exitcodes.OK, errors
    system.wait_for(lambda: system.primary not in ("", before))


def test_key_rotation_keeps_sessions_valid(run, system):
    """Guards against sessions that end when their signing key is replaced."""
    client = system.client(ORGANISATION)
    assert client.run(0, "agent-read", "SELECT 1")["outcome"] == "done"
    assert run("keys rotate --yes")[0] == exitcodes.OK
    for daemon in (0, 1, 0, 1):
        assert client.run(daemon, "agent-read", "SELECT 1")["outcome"] == "done"


def test_template_validate_prints_every_problem(run, files):
    """Guards against validation that stops at the first error."""
    code, _, errors = run(f"template validate {files / 'bad.yaml'}")
    assert code == exitcodes.REFUSED
    for words in ("did you mean 'connections'", "found 'writes'", "databases: found"):
        assert words in errors


@pytest.mark.parametrize("line", ["template get nobody", "failover plan nothing"])
def test_unknown_name_is_an_error_with_a_hint(run, line):
    """Guards against an empty result for a misspelt name."""
    code, _, errors = run(line)
    assert code == exitcodes.REFUSED and "hint:" in errors


def test_unreachable_daemon_and_lost_answer_have_different_exit_codes(monkeypatch, run):
    """Guards against a lost answer reported as "not sent", which invites a resend."""
    monkeypatch.setenv("BRONZEMOOR_DAEMONS", free_address())
    assert run("status")[0] == exitcodes.UNREACHABLE
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        closer = Thread(target=lambda: server.accept()[0].close())
        closer.start()
        monkeypatch.setenv("BRONZEMOOR_DAEMONS", address)
        code, _, errors = run("drain daemon --yes")
        closer.join()
    assert code == exitcodes.UNKNOWN, errors


def test_a_drain_stops_only_the_daemon_that_was_named(monkeypatch, run):
    """Guards against a stop of the next daemon if the confirmed one is unreachable."""
    asked, sent = [], []

    def confirm(command, question):
        asked.append(question)
        return len(asked) == 1

    def post(connection, daemon, command, arguments):
        sent.append(daemon)
        return {"code": "ok"}

    unreachable = f"http://{free_address()}"
    monkeypatch.setenv("BRONZEMOOR_DAEMONS", f"{unreachable},http://127.0.0.1:9")
    monkeypatch.setattr(DrainDaemonCommand, "ask_confirmation", confirm)
    original = Connection._post
    monkeypatch.setattr(
        Connection,
        "_post",
        lambda self, daemon, *rest: (
            original(self, daemon, *rest)
            if daemon == unreachable
            else post(self, daemon, *rest)
        ),
    )
    assert run("drain daemon")[0] == exitcodes.REFUSED
    assert len(asked) == 2 and unreachable in asked[0] and "127.0.0.1:9" in asked[1]
    assert sent == []
