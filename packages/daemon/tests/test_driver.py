"""Tests of the driver: its lock, the mailboxes of requests, exceptions in the core."""

import time
from queue import SimpleQueue
from threading import Thread

import pytest

from bronzemoor_core.actions import (
    AdminReply,
    Call,
    EmitLog,
    Reply,
    SendCall,
    SendPeerMessage,
)
from bronzemoor_core.events import (
    AdminCommand,
    AnswerReceived,
    CallerGone,
    PeerMessageReceived,
    Request,
    RequestReceived,
    Tick,
)
from bronzemoor_core.outcomes import Done, Unknown
from bronzemoor_core.settings import NodeSettings
from bronzemoor_daemon.driver import Driver
from bronzemoor_daemon.tracing import Tracing

DONE = Done(b"[]")


class ScriptedNode:
    """Fake node; ``script`` maps an event type to a function that returns actions."""

    settings = NodeSettings("vm-1", "lisbon")
    blackboard = None

    def __init__(self, script):
        self.script, self.events = script, []

    def handle(self, now, event):
        self.events.append(event)
        return self.script.get(type(event), lambda event: [])(event)


def make_driver(script, performers=None):
    errors = []
    table = {SendCall: lambda action: None, SendPeerMessage: lambda action: None}
    driver = Driver(
        ScriptedNode(script),
        table | (performers or {}),
        lambda action: AnswerReceived(action.connection, action.call, None, 0.0),
        lambda event, error: errors.append((type(event), str(error))),
        Tracing("vm-1"),
    )
    driver.errors = errors
    return driver


def request(seconds=10.0):
    deadline = time.monotonic() + seconds
    return Request("statements", "o", "d", "c", "r", (), deadline)


def never():
    return False


def send(event):
    return [SendCall(5, Call("execute", 1, event.ticket))]


def reply(event):
    return [Reply(event.call.ticket, DONE)]


def test_a_request_runs_in_the_calling_thread():
    """Guards against a thread hand-off on the common path."""
    driver = make_driver({RequestReceived: send, AnswerReceived: reply})
    assert driver.serve(request(), never).outcome is DONE
    assert driver.requests_in_progress == 0


def test_actions_for_another_request_wake_its_thread():
    """Guards against a queued request that no thread runs once it is admitted."""
    waiting, results = [], SimpleQueue()

    def on_request(event):
        waiting.append(event)
        return []

    driver = make_driver(
        {
            RequestReceived: on_request,
            Tick: lambda event: send(waiting[0]),
            AnswerReceived: reply,
        }
    )
    Thread(target=lambda: results.put(driver.serve(request(), never))).start()
    while not waiting:
        time.sleep(0.001)
    driver.handle(Tick())
    assert results.get(timeout=2).outcome is DONE


def test_actions_are_performed_in_order():
    """Guards against log entries or messages that are reordered."""
    seen = []
    logs = [EmitLog("info", str(number)) for number in range(5)]
    driver = make_driver(
        {Tick: lambda event: logs}, {EmitLog: lambda action: seen.append(action)}
    )
    driver.handle(Tick())
    assert seen == logs


def test_a_disconnected_caller_is_reported_once_and_its_calls_are_still_sent():
    """Guards against a thread that waits for a disconnected caller, and against the
    loss of a call that the core still needs, such as a rollback."""
    submitted = []
    driver = make_driver(
        {CallerGone: lambda event: [SendCall(5, Call("rollback", 1, event.ticket))]},
        {SendCall: submitted.append},
    )
    outcome = driver.serve(request(), lambda: True).outcome
    assert (outcome.tag, outcome.code) == ("unknown", "caller_gone")
    gone = [event for event in driver.node.events if type(event) is CallerGone]
    assert len(gone) == 1
    assert [action.call.kind for action in submitted] == ["rollback"]


def test_an_exception_in_the_core_is_answered_and_reported():
    """Guards against an exception that leaves a request without a reply."""

    def fail(event):
        raise KeyError("broken")

    driver = make_driver({RequestReceived: fail, AdminCommand: fail, Tick: fail})
    assert driver.serve(request(), never).outcome == Unknown(
        "internal", "KeyError", "core"
    )
    assert driver.command("status", {}, "", 0.0).code == "internal"
    driver.handle(Tick())
    assert [kind for kind, _ in driver.errors] == [RequestReceived, AdminCommand, Tick]


def test_a_request_without_a_reply_releases_the_thread(monkeypatch):
    """Guards against a thread that waits forever."""
    monkeypatch.setattr("bronzemoor_daemon.driver.REPLY_MARGIN_SECONDS", 0.0)
    monkeypatch.setattr("bronzemoor_daemon.driver.ADMIN_TIMEOUT_SECONDS", 0.05)
    driver = make_driver({})
    outcome = driver.serve(request(0.05), never).outcome
    assert (outcome.tag, outcome.code) == ("unknown", "internal")
    assert driver.command("status", {}, "", 0.0).code == "unknown"


def test_messages_to_the_own_daemon_are_delivered():
    """Guards against a control daemon that cannot reach its own control member."""
    driver = make_driver(
        {
            Tick: lambda event: [SendPeerMessage("vm-1", "hello")],
            PeerMessageReceived: lambda event: [],
            AdminCommand: lambda event: [AdminReply(event.ticket, "ok", {})],
        }
    )
    driver.handle(Tick())
    assert driver.node.events[1:] == [PeerMessageReceived("vm-1", "hello")]


@pytest.mark.parametrize("ratio", [0.0, 1.0])
def test_a_trace_has_a_span_per_hop(ratio):
    """Guards against hops that are missing in a trace, and spans without sampling."""
    driver = make_driver({RequestReceived: send, AnswerReceived: reply})
    tracing = Tracing("vm-1", ratio)
    trace = tracing.start("http:statements")
    assert (trace is None) == (ratio == 0.0)
    driver.serve(request(), never, trace)
    if trace is not None:
        trace.end({"outcome": "done"})
        steps = [span["name"] for span in tracing.recent.get(trace.trace_id)]
        assert steps == ["http:statements", "decision", "endpoint:execute", "decision"]
