"""Tests of leased shares over daemons on a virtual clock."""

from collections import deque
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bronzemoor_core.actions import EmitMetric, SendPeerMessage
from bronzemoor_core.events import (
    LeadershipChanged,
    PeerMessageReceived,
    SharesChanged,
    Tick,
)
from bronzemoor_core.limits import LimitController, Limits
from bronzemoor_core.membership import Database, Member
from bronzemoor_core.messages import HeartbeatReply, Share
from bronzemoor_core.node import make_node
from bronzemoor_core.settings import ControlSettings, NodeSettings
from bronzemoor_core.templates import Template

TICK = 0.01
NAMES = ("vm-1", "vm-2", "vm-3", "vm-4")


class Board(SimpleNamespace):
    """A blackboard whose sections the test writes."""

    def claim(self, name, owner):
        self.limits = Limits()
        return self.limits


class Daemon:
    """A limits controller, the shares that it may use now and its fake pool."""

    def __init__(self, cluster, name, incarnation=1):
        self.cluster, self.name, self.rate = cluster, name, 1.0
        self.allowed, self.metrics = {}, []
        # Heartbeat parts of other modules read their own sections.
        others = make_node(NodeSettings(name, "lisbon"), Random(1)).blackboard
        self.board = Board(
            log=SimpleNamespace(
                role="follower",
                leader="",
                voters=NAMES[:2],
                learners=(),
                established=True,
                founded_term=0,
            ),
            configuration=SimpleNamespace(templates=cluster.templates, keys=()),
            topology=SimpleNamespace(databases=cluster.databases),
            pools=SimpleNamespace(held={}),
            queues=SimpleNamespace(waiting={}),
            state=others.state,
            failover=others.failover,
        )
        options = NodeSettings(name, "lisbon", incarnation=incarnation)
        options.timers = cluster.timers
        self.limits = LimitController(
            self.board, options, Random(f"{name}.{incarnation}")
        )

    @property
    def now(self):
        return self.cluster.now * self.rate

    def lead(self, term, first=False):
        self.board.log.role = "leader"
        self.board.log.founded_term = term if first else 0
        self.limits.on_leadership(self.now, LeadershipChanged(self.name, term, True))

    def handle(self, event):
        pending = deque([event])
        while pending:
            current = pending.popleft()
            if isinstance(current, SharesChanged):
                share = (current.connections, current.valid_until)
                self.allowed[current.database] = share
            handler = {
                Tick: self.limits.on_tick,
                PeerMessageReceived: self.limits.on_message,
            }.get(type(current), lambda now, event: [])
            for item in handler(self.now, current):
                if isinstance(item, SendPeerMessage):
                    self.cluster.send(self.name, item.recipient, item.message)
                elif isinstance(item, EmitMetric):
                    self.metrics.append(item)
                else:
                    pending.append(item)

    def may_hold(self, database):
        connections, valid_until = self.allowed.get(database, (0, 0.0))
        return connections if self.now < valid_until else 0


class ShareCluster:
    """Daemons, the first two of which are control members, and their messages."""

    def __init__(self, databases=("claims",), limit=20, cap=100, seed=1):
        self.now, self.random, self.timers = 0.0, Random(seed), ControlSettings()
        self.databases = {name: Database(name) for name in databases}
        self.set_limit(limit)
        self.templates = {"voo": Template("voo", 1, tuple(databases), cap)}
        self.daemons = {name: Daemon(self, name) for name in NAMES}
        self.queue, self.count = [], 0
        self.loss = self.duplication = 0.0
        self.delay = 0.005
        self.cut = set()

    def set_limit(self, limit):
        for name, database in self.databases.items():
            member = Member("m1", name, "a", "lisbon", connections=limit)
            database.members["m1"] = member

    def want(self, name, count, database="claims"):
        self.daemons[name].board.queues.waiting[database] = count

    def send(self, sender, recipient, message):
        for _ in range(2 if self.random.random() < self.duplication else 1):
            if self.random.random() >= self.loss and recipient in self.daemons:
                due = self.now + self.random.uniform(0.2, 2.0) * self.delay
                self.queue.append((due, sender, recipient, message))

    def run(self, seconds, check=lambda: None):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK
            due = [item for item in self.queue if item[0] <= self.now]
            self.queue = [item for item in self.queue if item[0] > self.now]
            for _, sender, recipient, message in sorted(due, key=lambda item: item[0]):
                if (sender in self.cut) == (recipient in self.cut):
                    event = PeerMessageReceived(sender, message)
                    self.daemons[recipient].handle(event)
                    check()
            for daemon in self.daemons.values():
                daemon.handle(Tick())
            check()

    def total(self, database="claims"):
        return sum(daemon.may_hold(database) for daemon in self.daemons.values())

    def shares(self, database="claims"):
        return [daemon.may_hold(database) for daemon in self.daemons.values()]


def led(**options):
    cluster = ShareCluster(**options)
    cluster.daemons["vm-1"].lead(1, first=True)
    return cluster


def test_shares_follow_demand_with_a_floor():
    """Guards against a daemon without any connection while others hold many."""
    cluster = led()
    cluster.want("vm-2", 30)
    cluster.run(1.0)
    assert cluster.total() <= 20 and cluster.shares()[1] > 10
    assert min(cluster.shares()) >= 1
    cluster.want("vm-2", 0)
    cluster.want("vm-3", 30)
    cluster.run(3.0)
    assert cluster.shares()[2] > 10 and cluster.total() == 20


def test_small_changes_of_demand_move_nothing():
    """Guards against shares that flap and make pools open and close connections."""
    cluster = led()
    for name in NAMES:
        cluster.want(name, 10)
    cluster.run(3.0)
    before = cluster.shares()
    for step in range(20):
        cluster.want(NAMES[step % 4], 10 + step % 2)
        cluster.run(0.2)
        assert cluster.shares() == before


def test_the_floor_holds_with_fewer_connections_than_daemons():
    """Guards against a sum above the limit when not everybody can have one."""
    cluster = led(limit=2)
    cluster.run(2.0)
    assert sorted(cluster.shares()) == [0, 0, 1, 1]


def test_an_organisations_cap_is_moved_between_its_databases():
    """Guards against a first database that keeps the whole cap from the others."""
    cluster = led(databases=("claims", "flights"), cap=10)
    cluster.want("vm-1", 30)
    cluster.run(2.0)
    assert cluster.total("claims") >= 8
    cluster.want("vm-1", 0)
    cluster.want("vm-2", 30, "flights")

    def check():
        assert cluster.total("claims") + cluster.total("flights") <= 10

    cluster.run(5.0, check)
    assert cluster.total("flights") >= 8


def test_a_cut_off_daemon_loses_its_share_before_it_is_granted_again():
    """Guards against the same connections in use on both sides of a partition."""
    cluster = led()
    cluster.daemons["vm-3"].rate = 0.9
    cluster.want("vm-3", 30)
    cluster.run(1.0)
    share = cluster.shares()[2]
    assert share > 10
    cluster.cut = {"vm-3"}
    cluster.want("vm-2", 30)

    def check():
        assert cluster.total() <= 20

    cluster.run(2.0, check)
    assert cluster.shares()[2] == share
    cluster.run(3.0, check)
    assert cluster.shares()[2] == 0 and cluster.shares()[1] > 10


def test_a_freed_part_waits_for_the_holder():
    """Guards against granting connections that the previous holder has not closed."""
    cluster = led()
    cluster.want("vm-2", 30)
    cluster.run(1.0)
    cluster.daemons["vm-2"].board.pools.held["claims"] = 17
    cluster.want("vm-2", 0)
    cluster.want("vm-3", 60)
    cluster.run(4.0)
    assert cluster.shares()[1] < 17 and cluster.shares()[2] <= 3
    cluster.daemons["vm-2"].board.pools.held["claims"] = 1
    cluster.run(2.0)
    assert cluster.shares()[2] > 10


def test_a_shrunk_limit_is_in_effect_soon_and_measured():
    """Guards against a lowered limit that waits for leases of healthy daemons."""
    cluster = led()
    cluster.want("vm-2", 30)
    cluster.run(1.0)
    cluster.set_limit(6)
    cluster.run(0.5)
    assert cluster.total() <= 6
    (metric,) = cluster.daemons["vm-1"].metrics
    assert metric.name == "limits.shrink_in_effect" and 0 < metric.value <= 500


def test_a_new_leader_grants_nothing_new_for_a_lease():
    """Guards against grants that the previous leader's holders still use."""
    cluster = led()
    cluster.want("vm-3", 30)
    cluster.run(1.0)
    cluster.cut = {"vm-3"}
    cluster.daemons["vm-1"].board.log.role = "follower"
    cluster.daemons["vm-2"].lead(2)
    cluster.want("vm-4", 30)
    before = cluster.shares()[3]
    cluster.run(2.0)
    assert cluster.shares()[3] == before
    cluster.run(3.0)
    assert cluster.shares()[3] > before


def test_a_reply_to_an_earlier_process_is_ignored():
    """Guards against a restarted daemon that takes over a stale share."""
    cluster = led()
    cluster.run(1.0)
    earlier = cluster.daemons["vm-2"].limits._sequence
    fresh = Daemon(cluster, "vm-2", incarnation=2)
    fresh.handle(Tick())
    reply = HeartbeatReply(earlier, "vm-1", [Share("claims", 20, 3000)], {}, 0)
    fresh.handle(PeerMessageReceived("vm-1", reply))
    assert fresh.allowed == {}


class ShareMachine(RuleBasedStateMachine):
    """Faults in any order; the sum of shares is checked after every event."""

    def __init__(self):
        super().__init__()
        self.cluster = led(seed=7)
        self.limits = [(0.0, 20)]
        self.term, self.leader, self.ends = 1, "vm-1", []

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def run(self, seconds):
        self.cluster.run(seconds, self.check)

    @rule(which=st.integers(0, 3), count=st.sampled_from([0, 1, 5, 40]))
    def want(self, which, count):
        self.cluster.want(NAMES[which], count)

    @rule(
        loss=st.sampled_from([0.0, 0.3]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.005, 0.1, 0.5]),
    )
    def set_weather(self, loss, duplication, delay):
        self.cluster.loss, self.cluster.duplication = loss, duplication
        self.cluster.delay = delay

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=2))
    def partition(self, names):
        self.cluster.cut = names

    @rule(limit=st.sampled_from([2, 10, 20]))
    def set_limit(self, limit):
        self.cluster.set_limit(limit)
        self.limits.append((self.cluster.now, limit))

    @rule(overlap=st.sampled_from([0.0, 0.1, 0.3]))
    def change_leader(self, overlap):
        """The old leader goes on until it notices."""
        old = self.cluster.daemons[self.leader]
        self.leader = "vm-2" if self.leader == "vm-1" else "vm-1"
        self.term += 1
        self.cluster.daemons[self.leader].lead(self.term)
        self.cluster.run(overlap, self.check)
        old.board.log.role = "follower"

    @rule(which=st.integers(2, 3))
    def restart(self, which):
        """A process that crashes holds nothing; its name comes back at once."""
        name = NAMES[which]
        old = self.cluster.daemons[name]
        incarnation = old.limits._settings.incarnation + 1
        self.cluster.daemons[name] = Daemon(self.cluster, name, incarnation)
        self.cluster.daemons[name].rate = old.rate

    @invariant()
    def check(self):
        """The sum is within the largest limit of the last lease and round trip."""
        lease = self.cluster.timers.share_lease
        start = self.cluster.now - lease
        before = [limit for time, limit in self.limits if time <= start][-1:]
        recent = [limit for time, limit in self.limits if time > start]
        assert self.cluster.total() <= max(before + recent)


class SkewedShareMachine(ShareMachine):
    """Clocks of holders up to 9% slow and of the leaders up to 9% fast."""

    def __init__(self):
        super().__init__()
        for name, rate in zip(NAMES, (1.09, 1.09, 0.91, 0.91), strict=True):
            self.cluster.daemons[name].rate = rate


@pytest.mark.parametrize("machine", [ShareMachine, SkewedShareMachine])
def test_the_sum_of_shares_never_exceeds_the_limit(machine):
    """Guards against more connections than a database allows, under any faults."""
    run_state_machine_as_test(
        machine,
        settings=hypothesis_settings(
            max_examples=30,
            stateful_step_count=25,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
