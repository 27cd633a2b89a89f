"""Stages of the graceful stop under a virtual clock."""

from types import SimpleNamespace

import pytest

from bronzemoor_core.actions import EmitLog, Exit, StopListening
from bronzemoor_core.drain import CLEANING, FINISHING, LEAVING, SERVING, DrainController
from bronzemoor_core.events import StopRequested, Tick
from bronzemoor_core.internal_events import TransactionExpired
from bronzemoor_core.settings import DrainSettings, NodeSettings

TICK = Tick()


class Stopping:
    """A drain controller with settable work in progress."""

    def __init__(self):
        settings = NodeSettings("vm-1", "lisbon", drain=DrainSettings(2.0, 10.0, 1.0))
        self.active, self.open = {}, {}
        section = SimpleNamespace(
            stage=SERVING, deadline=0.0, cut_requests=0, cut_transactions=0
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
def stopping():
    return Stopping()


def test_an_idle_daemon_stops_after_the_delay(stopping):
    """Guards against a listener that closes before load balancers have noticed."""
    assert stopping.tick(0.0) == []
    stopping.stop()
    assert (stopping.section.stage, stopping.tick(1.99)) == (LEAVING, [])
    assert stopping.tick(2.0) == [StopListening()]
    assert stopping.section.stage == FINISHING
    assert stopping.tick(2.01) == []
    assert stopping.tick(2.02) == [Exit(0, "all work finished")]
    assert stopping.tick(2.03) == []


def test_work_in_progress_finishes_within_the_grace(stopping):
    """Guards against a stop that cuts requests or transactions that end in time."""
    stopping.request(1)
    stopping.begin("t1")
    stopping.stop()
    stopping.tick(2.0)
    assert stopping.tick(5.0) == []
    stopping.active.clear()
    assert stopping.tick(6.0) == []
    stopping.open.clear()
    stopping.tick(7.0)
    assert stopping.tick(7.01) == [Exit(0, "all work finished")]


def test_what_cannot_finish_is_rolled_back_and_counted(stopping):
    """Guards against a transaction that is dropped silently or delays the stop."""
    stopping.request(1)
    stopping.begin("t1")
    stopping.begin("t2", committing=True)
    stopping.stop()
    stopping.tick(2.0)
    assert stopping.tick(12.0) == [TransactionExpired("t1")]
    assert stopping.section.stage == CLEANING
    assert stopping.tick(12.5) == []
    assert stopping.tick(13.0) == [Exit(1, "2 cut short")]
    assert (stopping.section.cut_requests, stopping.section.cut_transactions) == (1, 1)


def test_every_cut_is_logged_with_its_place(stopping):
    """Guards against work that is cut without a trace in the log."""
    stopping.request(1)
    stopping.stop()
    stopping.tick(2.0)
    stopping.tick(12.0)
    logs = stopping.controller.on_tick(13.0, TICK)
    cut = [log for log in logs if getattr(log, "event", "") == "drain_request_cut"]
    assert [log.fields["peer"] for log in cut] == ["m1"]


def test_a_second_request_to_stop_changes_nothing(stopping):
    """Guards against a repeated signal that restarts the delay."""
    stopping.stop()
    assert stopping.stop(1.0) == []
    assert stopping.tick(2.0) == [StopListening()]
