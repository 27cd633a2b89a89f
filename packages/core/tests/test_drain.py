"""Tests of the stages of the graceful stop under a virtual clock."""

from types import SimpleNamespace

import pytest

from bronzemoor_core.actions import EmitLog, Exit, StopListening
from bronzemoor_core.drain import CLEANING, FINISHING, LEAVING, SERVING, DrainController
from bronzemoor_core.events import StopRequested, Tick
from bronzemoor_core.internal_events import TransactionExpired
from bronzemoor_core.settings import DrainSettings, NodeSettings

TICK = Tick()


class DrainHarness:
    """A drain controller whose work in progress is set by the test."""

    def __init__(self):
        settings = NodeSettings("vm-1", "lisbon", drain=DrainSettings(2.0, 10.0, 1.0))
        self.active, self.open = {}, {}
        section = SimpleNamespace(
            stage=SERVING, deadline=0.0, aborted_requests=0, rolled_back_transactions=0
        )
        blackboard = SimpleNamespace(
            claim=lambda name, owner: section,
            requests=SimpleNamespace(active=self.active),
            transactions=SimpleNamespace(open=self.open),
        )
        self.section = section
        self.controller = DrainController(blackboard, settings, None)

    def stop(self, now=0.0):
        return self.controller.on_stop(now, StopRequested())

    def tick(self, now):
        items = self.controller.on_tick(now, TICK)
        return [item for item in items if type(item) is not EmitLog]

    def begin(self, name, committing=False):
        self.open[name] = SimpleNamespace(
            name=name,
            organisation="o",
            database="d",
            member="m1",
            committing=committing,
        )

    def request(self, ticket):
        request = SimpleNamespace(organisation="o", database="d", request_id="r")
        step = SimpleNamespace(value="execute")
        self.active[ticket] = SimpleNamespace(request=request, step=step, member="m1")


@pytest.fixture
def harness():
    return DrainHarness()


def test_an_idle_daemon_stops_after_the_delay(harness):
    """Guards against a listener that closes before load balancers have noticed."""
    assert harness.tick(0.0) == []
    harness.stop()
    assert (harness.section.stage, harness.tick(1.99)) == (LEAVING, [])
    assert harness.tick(2.0) == [StopListening()]
    assert harness.section.stage == FINISHING
    assert harness.tick(2.01) == []
    assert harness.tick(2.02) == [Exit(0, "all work finished")]
    assert harness.tick(2.03) == []


def test_work_in_progress_finishes_within_the_grace(harness):
    """Guards against aborting requests or transactions that finish in time."""
    harness.request(1)
    harness.begin("t1")
    harness.stop()
    harness.tick(2.0)
    assert harness.tick(5.0) == []
    harness.active.clear()
    assert harness.tick(6.0) == []
    harness.open.clear()
    harness.tick(7.0)
    assert harness.tick(7.01) == [Exit(0, "all work finished")]


def test_unfinished_work_is_rolled_back_and_counted(harness):
    """Guards against a transaction that is lost silently or delays the stop."""
    harness.request(1)
    harness.begin("t1")
    harness.begin("t2", committing=True)
    harness.stop()
    harness.tick(2.0)
    assert harness.tick(12.0) == [TransactionExpired("t1")]
    assert harness.section.stage == CLEANING
    assert harness.tick(12.5) == []
    assert harness.tick(13.0) == [Exit(1, "2 cut short")]
    assert (
        harness.section.aborted_requests,
        harness.section.rolled_back_transactions,
    ) == (1, 1)


def test_every_aborted_request_is_logged_with_its_peer(harness):
    """Guards against work that is aborted without a log line."""
    harness.request(1)
    harness.stop()
    harness.tick(2.0)
    harness.tick(12.0)
    logs = harness.controller.on_tick(13.0, TICK)
    aborted = [log for log in logs if getattr(log, "event", "") == "drain_request_cut"]
    assert [log.fields["peer"] for log in aborted] == ["m1"]


def test_a_repeated_stop_request_is_ignored(harness):
    """Guards against a repeated signal that restarts the delay."""
    harness.stop()
    assert harness.stop(1.0) == []
    assert harness.tick(2.0) == [StopListening()]
