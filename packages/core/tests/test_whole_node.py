"""Tests of the control plane on complete nodes with replicated log and elections."""

from random import Random

from fake_group import Endpoint, Group
from hypothesis import given, settings
from hypothesis import strategies as st
from test_failover import (
    CENTRES,
    CONTROL,
    EVENTS,
    apply_faults_and_check,
    has_agreed_primary,
    primaries_by_term,
    write,
)
from test_templates import BODY

from bronzemoor_core.actions import AdminReply, PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageRecovered, StorageSynced
from bronzemoor_core.internal_events import PrimaryChanged
from bronzemoor_core.node import make_node
from bronzemoor_core.settings import NodeSettings


class WholeGroup(Group):
    """Runs every controller; a sync of the log takes 1 ms."""

    def start(self, name, incarnation=1):
        settings = NodeSettings(name, self.places[name], incarnation=incarnation)
        settings.control = name in self.control
        settings.control_members = tuple(self.control)
        node = self.nodes[name] = make_node(settings, Random(name))
        node.run = node.handle
        note = node._handlers[PrimaryChanged]
        note.append(lambda now, event: self.changes.append((now, name, event)))
        self.applied[name] = 0
        self.at(0.0, self.event, name, StorageRecovered(None, []))
        self.at(0.001 * len(self.nodes), self._tick, name, node)

    def _perform(self, name, item):
        if isinstance(item, PersistLog | PersistSnapshot):
            self.at(0.001, self.event, name, StorageSynced(item.sequence))
        else:
            super()._perform(name, item)

    def lead(self, name):
        """Does nothing, since the replicated log elects its leader."""

    def recover(self):
        """Does nothing, since a minority of the control members may stay lost."""


def make_group(**options):
    daemons = {f"vm{i}": CENTRES[i % 3] for i in range(6)}
    names = ("c0", "c1", "c2")
    endpoints = [Endpoint("claims", n, CENTRES[i], names) for i, n in enumerate(names)]
    return WholeGroup(daemons, list(CONTROL), endpoints, **options)


def leader(group):
    return next(
        (n for n in CONTROL if n in group.nodes
         and group.nodes[n].blackboard.topology.is_leader), ""
    )  # fmt: skip


def test_the_primary_and_the_leader_fail_together():
    """Guards against parts that work alone, but not with the replicated log: the first
    appointment, templates, readiness, and a double failure within the bound of 5 s."""
    group = make_group()
    assert group.run(3.0, lambda: has_agreed_primary(group))
    write(group)
    group.admin(
        "vm4", 1, "template.apply", organisation="reclamar", body=BODY,
        expect_version=0, change_id="a",
    )  # fmt: skip
    group.run(1.0)
    assert isinstance(group.replies[1], AdminReply) and group.replies[1].code == "ok"
    boards = [node.blackboard for node in group.nodes.values()]
    assert all("reclamar" in board.configuration.templates for board in boards)
    assert all(board.configuration.ready for board in boards)
    old, failed_at = group.primary("claims", "vm4"), group.now
    del group.nodes[leader(group)]
    group.endpoints[old].up = False
    assert group.run(5.0, lambda: has_agreed_primary(group, old))
    print(f"primary and leader lost: {round((group.now - failed_at) * 1000)} ms")
    assert len(primaries_by_term(group)) == 2 and leader(group)
    group.admin("vm4", 2, "status")
    group.admin("vm4", 3, "failover.plan", database="claims")
    group.run(0.5)
    assert group.replies[2].code == group.replies[3].code == "ok"


@settings(derandomize=True, deadline=None, max_examples=25, database=None)
@given(EVENTS, st.integers(0, 1000), st.sampled_from([0.0, 0.02, 0.05]))
def test_any_faults(events, seed, loss):
    """Guards against lost confirmed records and two primaries in one term, with real
    elections under message loss, delay, a crash and partitions."""
    group = make_group(seed=seed, loss=loss, spread=5.0)
    assert group.run(5.0, lambda: has_agreed_primary(group))
    write(group)
    apply_faults_and_check(group, events, least=5)
