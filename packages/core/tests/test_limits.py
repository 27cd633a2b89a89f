"""Tests of leased shares over daemons on a virtual clock."""

from random import Random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from virtual import Machine, Network

from bronzemoor_core.actions import EmitMetric
from bronzemoor_core.allocation import Division, divide
from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.connections import ConnectionState
from bronzemoor_core.events import PeerMessageReceived, Tick
from bronzemoor_core.internal_events import (
    LeadershipChanged,
    SharesChanged,
    StateChanged,
    TemplateChanged,
)
from bronzemoor_core.limits import LimitController
from bronzemoor_core.membership import Database, Member
from bronzemoor_core.messages import HeartbeatReply, Share
from bronzemoor_core.node import make_node
from bronzemoor_core.records import TemplateEntry
from bronzemoor_core.settings import ControlSettings, NodeSettings
from bronzemoor_core.templates import Template

NAMES = ("vm-1", "vm-2", "vm-3", "vm-4")
SECTIONS = ("log", "configuration", "topology", "pools", "queues", "state")


make_node(NodeSettings("vm-0", "lisbon"), Random(0))  # Registers all sections.


class Load:
    """Demand of one database; stands in for its pool and its queue."""

    def __init__(self):
        self.total, self.counts, self.entries = 0, {ConnectionState.BUSY: 0}, []


class Daemon(Machine):
    """A limits controller with a fake pool, and the shares that it applied."""

    def __init__(self, cluster, name, incarnation=1):
        self.applied, self.metrics = {}, []
        self.load = {database: Load() for database in cluster.databases}
        board = Blackboard()
        own = {
            section: board.claim(section, "test")
            for section in [
                "log",
                "configuration",
                "topology",
                "pools",
                "queues",
                "state",
            ]
        }
        self.log, self.state = own["log"], own["state"]
        self.log.voters, self.log.established = NAMES[:2], True
        own["configuration"].templates = cluster.templates
        own["topology"].databases = cluster.databases
        own["pools"].databases = own["queues"].databases = self.load
        options = NodeSettings(name, "lisbon", incarnation=incarnation)
        options.timers, random = cluster.timers, Random(f"{name}.{incarnation}")
        self.limits = LimitController(board, options, random)
        super().__init__(cluster, name, self.limits)

    def lead(self, term, first=False):
        self.log.role = "leader"
        self.log.founded_term = term if first else 0
        self.handle(LeadershipChanged(self.name, term, True))

    def observe(self, event):
        if isinstance(event, SharesChanged):
            self.applied[event.database] = (event.connections, event.valid_until)

    def act(self, item):
        if isinstance(item, EmitMetric):
            self.metrics.append(item)
        return isinstance(item, EmitMetric)

    def usable_share(self, database):
        connections, valid_until = self.applied.get(database, (0, 0.0))
        return connections if self.now < valid_until else 0


class ShareCluster(Network):
    """Daemons, of which the first two are control members."""

    def __init__(self, databases=("claims",), limit=20, cap=100, seed=1):
        super().__init__(seed)
        self.timers = ControlSettings()
        self.databases = {name: Database(name) for name in databases}
        self.set_limit(limit)
        self.templates = {"voo": Template("voo", 1, tuple(databases), cap)}
        self.machines = {name: Daemon(self, name) for name in NAMES}

    def set_limit(self, limit):
        for name, database in self.databases.items():
            member = Member("m1", name, "a", "lisbon", connections=limit)
            database.members["m1"] = member

    def set_demand(self, name, count, database="claims"):
        self.machines[name].load[database].entries = [None] * count

    def total(self, database="claims"):
        return sum(daemon.usable_share(database) for daemon in self.machines.values())

    def shares(self, database="claims"):
        return [daemon.usable_share(database) for daemon in self.machines.values()]


def make_cluster(**options):
    cluster = ShareCluster(**options)
    cluster.machines["vm-1"].lead(1, first=True)
    return cluster


def test_shares_follow_demand_with_a_floor():
    """Guards against a daemon without any connection while others hold many."""
    cluster = make_cluster()
    cluster.set_demand("vm-2", 30)
    cluster.run(1.0)
    assert cluster.total() <= 20 and cluster.shares()[1] > 10
    assert min(cluster.shares()) >= 1
    cluster.set_demand("vm-2", 0)
    cluster.set_demand("vm-3", 30)
    cluster.run(3.0)
    assert cluster.shares()[2] > 10 and cluster.total() == 20


def test_small_changes_of_demand_move_nothing():
    """Guards against flapping shares, which make pools open and close connections."""
    cluster = make_cluster()
    for name in NAMES:
        cluster.set_demand(name, 10)
    cluster.run(3.0)
    before = cluster.shares()
    for step in range(20):
        cluster.set_demand(NAMES[step % 4], 10 + step % 2)
        cluster.run(0.2)
        assert cluster.shares() == before


def test_the_floor_holds_with_fewer_connections_than_daemons():
    """Guards against a sum above the limit when there is not one for each daemon."""
    cluster = make_cluster(limit=2)
    cluster.run(2.0)
    assert sorted(cluster.shares()) == [0, 0, 1, 1]


def test_an_organisations_connections_move_between_its_databases():
    """Guards against one database that holds all connections of an organisation."""
    cluster = make_cluster(databases=("claims", "flights"), cap=10)
    cluster.set_demand("vm-1", 30)
    cluster.run(2.0)
    assert cluster.total("claims") >= 8
    cluster.set_demand("vm-1", 0)
    cluster.set_demand("vm-2", 30, "flights")

    def check():
        assert cluster.total("claims") + cluster.total("flights") <= 10

    cluster.check = check

    cluster.run(5.0)
    assert cluster.total("flights") >= 8


@pytest.mark.parametrize("fault", ["cut", "muted"])
@pytest.mark.parametrize("delay", [0.005, 0.2])
def test_a_cut_off_daemon_loses_its_share_before_it_is_granted_again(delay, fault):
    """Guards against the same connections in use on both sides of a partition."""
    cluster = make_cluster()
    cluster.delay = delay
    cluster.machines["vm-1"].rate, cluster.machines["vm-3"].rate = 1.1, 0.9
    cluster.set_demand("vm-3", 30)
    cluster.run(1.0)
    assert cluster.shares()[2] > 10
    setattr(cluster, fault, {"vm-3"})
    cluster.set_demand("vm-1", 30)

    def check():
        assert cluster.total() <= 20

    cluster.check = check

    cluster.run(2.0)
    # Replies in flight still move a part of the share; the lease protects the rest.
    assert cluster.shares()[2] > 10
    cluster.run(4.0)
    assert cluster.shares()[2] == 0 and cluster.shares()[0] > 10


@pytest.mark.parametrize(("limit", "most"), [(6, 6), (100, 20)])
def test_a_leader_enforces_the_limit_of_an_organisation_that_it_does_not_serve(
    limit, most
):
    """Guards against limits that apply only to organisations the leader serves."""
    body = {
        "databases": ["claims"],
        "connections": limit,
        "classes": {"post": {"kind": "write"}},
    }
    entry = TemplateEntry(1, body, "operator", 1.0, "change")
    cluster = make_cluster()
    cluster.templates.clear()
    for machine in cluster.machines.values():
        machine.state.templates["voo"] = [entry]
        machine.handle(StateChanged("template", "voo"))
    for name in NAMES:
        cluster.set_demand(name, 30)
    cluster.run(8.0)
    assert most - 1 <= cluster.total() <= most


def test_late_and_reordered_replies_do_not_add_up():
    """Guards against ignoring a grant that is still in flight to a holder."""
    cluster = make_cluster()

    def check():
        assert cluster.total() <= 20

    cluster.check = check

    cluster.delay = 0.4
    for step in range(60):
        cluster.set_demand(NAMES[step % 4], 60)
        cluster.set_demand(NAMES[(step + 1) % 4], 0)
        cluster.run(0.7)
        if step % 20 == 10:
            cluster.cut = {NAMES[2]}
            cluster.run(5.0)
            cluster.cut = set()


def test_a_division_is_not_recomputed_for_each_heartbeat(monkeypatch):
    """Guards against dividing a limit again for every heartbeat, which took a third of
    the leader's time on each."""
    divided = []

    def count(*arguments):
        divided.append(arguments)
        return divide(*arguments)

    monkeypatch.setattr("bronzemoor_core.allocation.divide", count)
    division = Division()
    for step in range(100):
        division.update(step / 100, 20, {"vm-1": 5.0, "vm-2": 5.0})
    assert len(divided) <= 7
    division.update(1.1, 20, {"vm-1": 5.0, "vm-2": 30.0})
    assert division.targets["vm-2"] > 10


class NonIterableDict(dict):
    """A dict that allows lookups, but no iteration."""

    def __iter__(self):
        raise AssertionError("iterated over all templates")

    items = keys = values = __iter__


def test_a_database_moves_to_another_template():
    """Guards against a limit that still counts an organisation which no longer uses the
    database, and against a restart that reads all templates for each template, which
    took 2.9 s with 1,433 templates."""
    cluster = make_cluster(databases=("claims", "stock"))
    leader = cluster.machines["vm-1"]
    cluster.templates |= {
        "voo": Template("voo", 2, ("stock",), 100),
        "toile": Template("toile", 1, ("claims",), 5),
    }
    own = leader.limits._blackboard._sections["configuration"]
    own.templates = NonIterableDict(cluster.templates)
    for name in cluster.templates:
        leader.handle(TemplateChanged(name, 2))
    own.templates = cluster.templates
    cluster.set_demand("vm-2", 30)
    cluster.run(2.0)
    assert (cluster.total("claims"), cluster.total("stock")) == (5, 20)


def test_a_reduced_share_is_granted_again_only_once_it_is_released():
    """Guards against granting connections that the previous holder has not closed."""
    cluster = make_cluster()
    cluster.set_demand("vm-2", 30)
    cluster.run(1.0)
    cluster.machines["vm-2"].load["claims"].total = 17
    cluster.set_demand("vm-2", 0)
    cluster.set_demand("vm-3", 60)
    cluster.run(4.0)
    assert cluster.shares()[1] < 17 and cluster.shares()[2] <= 3
    cluster.machines["vm-2"].load["claims"].total = 1
    cluster.run(2.0)
    assert cluster.shares()[2] > 10


def test_a_lowered_limit_takes_effect_quickly_and_is_measured():
    """Guards against a lowered limit that waits for the leases of healthy daemons."""
    cluster = make_cluster()
    cluster.set_demand("vm-2", 30)
    cluster.run(1.0)
    cluster.set_limit(6)
    cluster.run(0.5)
    assert cluster.total() <= 6
    (metric,) = cluster.machines["vm-1"].metrics
    assert metric.name == "limits.shrink_in_effect" and 0 < metric.value <= 500


def test_a_new_leader_raises_no_share_for_a_lease():
    """Guards against granting what the previous leader has granted to others."""
    cluster = make_cluster()
    cluster.set_demand("vm-3", 30)
    cluster.run(1.0)
    cluster.cut = {"vm-3"}
    cluster.machines["vm-1"].log.role = "follower"
    cluster.machines["vm-2"].lead(2)
    cluster.set_demand("vm-4", 30)
    before = cluster.shares()[3]
    cluster.run(2.0)
    assert cluster.shares()[3] == before
    cluster.run(3.0)
    assert cluster.shares()[3] > before


def test_a_reply_to_a_previous_process_is_ignored():
    """Guards against a restarted daemon that applies a stale share."""
    cluster = make_cluster()
    cluster.run(1.0)
    earlier = cluster.machines["vm-2"].limits._sequence
    fresh = Daemon(cluster, "vm-2", incarnation=2)
    fresh.handle(Tick())
    reply = HeartbeatReply(earlier, "vm-1", [Share("claims", 20, 3000)], {}, 0)
    fresh.handle(PeerMessageReceived("vm-1", reply))
    assert fresh.applied == {}


def test_a_restarted_daemon_with_its_old_incarnation_gets_a_share_again():
    """Guards against a daemon that gets no share until the leader changes."""
    cluster = make_cluster()
    cluster.run(1.0)
    fresh = cluster.machines["vm-2"] = Daemon(cluster, "vm-2")
    fresh.limits._sequence -= 1_000
    cluster.run(cluster.timers.share_lease + 1.0)
    assert cluster.shares()[1] >= 1


class ShareMachine(RuleBasedStateMachine):
    """Faults in any order; the sum of shares is checked after every event."""

    def __init__(self):
        super().__init__()
        self.cluster = make_cluster(seed=7)
        self.cluster.check = self.check
        for name in NAMES:
            self.cluster.set_demand(name, 40)
        self.limits = [(0.0, 20)]
        self.term, self.leader, self.ends = 1, "vm-1", []

    @rule(seconds=st.sampled_from([0.5, 2.0, 4.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(which=st.integers(0, 3), count=st.sampled_from([0, 1, 5, 40]))
    def want(self, which, count):
        """Moves the demand to one daemon."""
        for name in NAMES:
            self.cluster.set_demand(name, 1)
        self.cluster.set_demand(NAMES[which], count)

    @rule(
        loss=st.sampled_from([0.0, 0.3]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.005, 0.1, 0.5]),
    )
    def set_network_faults(self, loss, duplication, delay):
        self.cluster.loss, self.cluster.duplication = loss, duplication
        self.cluster.delay = delay

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=2), both_ways=st.booleans())
    def partition(self, names, both_ways):
        self.cluster.cut = names if both_ways else set()
        self.cluster.muted = set() if both_ways else names

    @rule(limit=st.sampled_from([2, 10, 20]))
    def set_limit(self, limit):
        self.cluster.set_limit(limit)
        self.limits.append((self.cluster.now, limit))

    @rule(overlap=st.sampled_from([0.0, 0.1, 0.3]))
    def change_leader(self, overlap):
        """The old leader continues for ``overlap`` seconds."""
        old = self.cluster.machines[self.leader]
        self.leader = "vm-2" if self.leader == "vm-1" else "vm-1"
        self.term += 1
        self.cluster.machines[self.leader].lead(self.term)
        self.cluster.run(overlap)
        old.log.role = "follower"

    @rule(which=st.integers(2, 3))
    def restart(self, which):
        """A crashed process holds nothing; it restarts at once under the same name."""
        name = NAMES[which]
        old = self.cluster.machines[name]
        incarnation = old.limits._settings.incarnation + 1
        self.cluster.machines[name] = Daemon(self.cluster, name, incarnation)
        self.cluster.machines[name].rate = old.rate

    @invariant()
    def check(self):
        """The sum is within the largest limit in effect during the last lease."""
        lease = self.cluster.timers.share_lease
        start = self.cluster.now - lease
        before = [limit for time, limit in self.limits if time <= start][-1:]
        recent = [limit for time, limit in self.limits if time > start]
        assert self.cluster.total() <= max(before + recent)


class SkewedShareMachine(ShareMachine):
    """Clocks that run up to 9% fast at the leaders and up to 9% slow at the others."""

    def __init__(self):
        super().__init__()
        for name, rate in zip(NAMES, (1.09, 1.09, 0.91, 0.91), strict=True):
            self.cluster.machines[name].rate = rate


@pytest.mark.parametrize("machine", [ShareMachine, SkewedShareMachine])
def test_the_sum_of_shares_never_exceeds_the_limit(machine):
    """Guards against more connections than a database allows, under any faults."""
    run_state_machine_as_test(
        machine,
        settings=hypothesis_settings(
            max_examples=150,
            stateful_step_count=25,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
