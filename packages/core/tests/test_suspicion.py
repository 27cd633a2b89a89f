"""Tests of the evidence that confirms the failure of a primary."""

import pytest
from test_failover import has_agreed_primary, start_group

from bronzemoor_core.detectors import Evidence, Investigation, Observations
from bronzemoor_core.internal_events import MemberSuspected
from bronzemoor_core.records import DatabaseRecord
from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.suspicion import SuspicionTracker
from bronzemoor_core.topology import Daemon, Database

NOW = 10.0
REACHED = {"c1": NOW, "c2": NOW}
DAEMONS = {f"vm{i}": Daemon(f"vm{i}", 1, "lisbon", NOW) for i in range(5)}


def is_failed(evidence, daemons=None, others_answered_at=None, **found):
    """Returns whether evidence, (vantage point, detector) pairs, confirms a failure."""
    investigation = Investigation(
        "c0", NOW - 0.4, others_answered_at=others_answered_at or REACHED
    )
    for name, value in found.items():
        setattr(investigation, name, value)
    observations = Observations(investigations={"claims": investigation})
    suspicions = SuspicionTracker(NodeSettings("vm0", "lisbon"), observations)
    for vantage, kind in evidence:
        proof = Evidence(vantage, kind, "c0", NOW - 1.0, NOW)
        suspicions._add_evidence("claims", proof)
    record = DatabaseRecord("claims", 1, "c0", ("c0", "c1", "c2"))
    database = Database("claims", 1, "c0")
    return bool(suspicions.confirm_failure(NOW, database, record, daemons or DAEMONS))


SILENCE = ("vm1", "announcement_silence")
ORDER = ("vm0", "order")
MEMBERS = [("c1", "member"), ("c2", "member")]
ALIVE = {"answered_at": NOW - 0.1, "confirmed_ago_ms": 40}


@pytest.mark.parametrize(
    ("evidence", "found", "expected"),
    [
        ([SILENCE], {}, False),
        ([ORDER], {"failures": 2}, False),
        ([SILENCE, ORDER], {"failures": 2}, True),
        ([SILENCE, ("vm2", "announcement_silence")], {}, True),
        ([SILENCE, ("vm1", "proxy")], {}, False),
        (MEMBERS, {}, True),
        (MEMBERS[:1], {}, False),
        ([("x1", "member"), ("x2", "member"), SILENCE], {}, False),
        ([SILENCE, *MEMBERS], ALIVE, False),
        (MEMBERS, {**ALIVE, "confirmed_ago_ms": 500}, True),
        ([(f"vm{i}", "proxy") for i in range(5)], ALIVE, True),
        ([(f"vm{i}", "proxy") for i in range(2)], ALIVE, False),
    ],
)
def test_failure_needs_several_vantage_points(evidence, found, expected):
    """Guards against a failover on a single vantage point or of a working primary, and
    against a failed primary that is not replaced."""
    assert is_failed(evidence, **found) is expected


def test_isolated_leader_confirms_no_failure():
    """Guards against a leader that mistakes its own isolation for others' failures."""
    proof = [SILENCE, ORDER, *MEMBERS]
    assert is_failed(proof, failures=3)
    assert not is_failed(
        proof, failures=3, others_answered_at={"c1": NOW, "c2": NOW - 1.0}
    )
    silent = {n: Daemon(n, 1, "lisbon", NOW - 2.0) for n in DAEMONS}
    assert not is_failed(proof, failures=3, daemons=silent)


def test_slow_primary_is_replaced_on_evidence_of_proxies():
    """Guards against a primary that still announces itself but serves no requests."""
    group = start_group()
    group.endpoints["c0"].slow = 1.0

    def suspect():
        for name in group.nodes:
            group.event(name, MemberSuspected("claims", "c0", "timeout"))
        group.at(0.5, suspect)

    suspect()
    assert group.run(1.0, lambda: has_agreed_primary(group, "c0"))


@pytest.mark.parametrize(("interval", "cut_off"), [(0.1, True), (1.0, False)])
def test_silence_is_counted_in_heartbeat_intervals(interval, cut_off):
    """Guards against a leader that, with long heartbeat intervals, considers itself cut
    off between two heartbeats and promotes no member."""
    settings = NodeSettings("vm0", "lisbon")
    settings.timers.daemon_heartbeat_interval = interval
    daemons = [Daemon(f"vm{i}", 1, "lisbon", NOW - 0.9) for i in range(1, 5)]
    assert (
        SuspicionTracker(settings, Observations())._is_isolated(NOW, daemons) is cut_off
    )
