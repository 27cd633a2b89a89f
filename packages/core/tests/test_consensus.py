"""Tests of the replicated log over members on a virtual clock."""

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from logcluster import Cluster, Disk

from bronzemoor_core.events import StorageFailed

PROFILE = hypothesis_settings(
    max_examples=100,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
)


def test_a_group_of_one_elects_itself_and_commits():
    """Guards against a demo that waits for peers which do not exist."""
    cluster = Cluster(1)
    cluster.run(0.03)
    member = cluster.members["vm-1"]
    assert member.log.role == "leader"
    cluster.propose(member, 7)
    cluster.query(member, "read")
    cluster.run(0.03)
    assert [(c.origin, c.code) for c in member.completed] == [("read", "ok"), (7, "ok")]


def test_three_members_elect_one_leader_and_apply_in_the_same_order():
    """Guards against a group that elects nobody or applies in different orders."""
    cluster = Cluster(3)
    leader = cluster.elect()
    for n in range(50):
        cluster.propose(cluster.members[cluster.names[n % 3]], n)
        cluster.run(0.005)
    cluster.run(0.5)
    assert sorted(leader.state.values) == list(range(50))
    for member in cluster.members.values():
        assert member.state.values == leader.state.values
        assert all(item.code == "ok" for item in member.completed)
    assert sum(len(m.completed) for m in cluster.members.values()) == 50


def test_a_leader_without_quorum_steps_down_and_rejoins():
    """Guards against a deposed leader that goes on as if it led."""
    cluster = Cluster(3)
    old = cluster.elect()
    cluster.cut = {old.name}
    cluster.run(1.0)
    assert old.log.role != "leader"
    new = cluster.leader()
    assert new is not None and new is not old
    cluster.cut = set()
    term = new.log.term
    cluster.run(1.0)
    assert cluster.leader() is new and new.log.term == term


def test_a_failing_disk_ends_leadership_and_all_answers():
    """Guards against answers from state that is not on disk."""
    cluster = Cluster(3)
    old = cluster.elect()
    old.handle(StorageFailed("no space left"))
    cluster.sent.clear()
    cluster.run(1.0)
    assert cluster.leader() not in (None, old)
    assert not [item for item in cluster.sent if item[0] == old.name]


class LogMachine(RuleBasedStateMachine):
    """Faults in any order; safety is checked inside the cluster at every step."""

    size = 3

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(self.size, seed=self.size, snapshot_entries=15)
        self.number = 0
        self.floors = {}
        self.disk_lost = False
        self.cluster.elect()

    @rule(seconds=st.sampled_from([0.1, 0.4, 1.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.002, 0.02, 0.08]),
        sync=st.sampled_from([0.001, 0.03]),
    )
    def set_weather(self, loss, duplication, delay, sync):
        cluster = self.cluster
        cluster.loss, cluster.duplication = loss, duplication
        cluster.delay, cluster.sync_delay = delay, sync

    @rule(which=st.integers(0, 4), synced=st.integers(0, 3), pause=st.booleans())
    def crash(self, which, synced, pause):
        self.cluster.crash(self.cluster.names[which % self.size], synced)
        if pause:
            self.cluster.run(0.3)

    @precondition(lambda self: self.cluster.leader())
    @rule(synced=st.integers(0, 3), count=st.integers(0, 8), cut=st.booleans())
    def lose_leader(self, synced, count, cut):
        """Isolates or crashes the leader with proposals in progress."""
        leader = self.cluster.leader()
        for _ in range(count):
            self.number += 1
            self.cluster.propose(leader, self.number)
        self.cluster.run(0.01)
        if cut:
            self.cluster.cut = {leader.name}
        else:
            self.cluster.crash(leader.name, synced)
        self.cluster.run(0.6)

    @precondition(lambda self: not self.disk_lost)
    @rule(which=st.integers(0, 4))
    def lose_disk(self, which):
        """One member for the whole run, since two are more than three may lose."""
        self.disk_lost = True
        name = self.cluster.names[which % self.size]
        self.cluster.crash(name)
        self.cluster.disks[name] = Disk()
        self.cluster.start(name)

    @rule(which=st.integers(0, 4), rate=st.sampled_from([0.9, 1.0, 1.1]))
    def restart(self, which, rate):
        name = self.cluster.names[which % self.size]
        if name not in self.cluster.members:
            self.cluster.start(name, rate)

    @rule(names=st.sets(st.integers(0, 4), max_size=2))
    def partition(self, names):
        self.cluster.cut = {self.cluster.names[i % self.size] for i in names}

    @precondition(lambda self: self.cluster.members)
    @rule(which=st.integers(0, 4), count=st.integers(1, 8))
    def propose(self, which, count):
        member = self.pick(which)
        for _ in range(count):
            self.number += 1
            self.cluster.propose(member, self.number)

    @precondition(lambda self: self.cluster.members)
    @rule(which=st.integers(0, 4))
    def query(self, which):
        self.number += 1
        self.floors[self.number] = self.acknowledged()
        self.cluster.query(self.pick(which), ("read", self.number))

    @invariant()
    def reads_are_never_stale(self):
        """A read shows every command whose success was known before it began."""
        for item in self.completions():
            if isinstance(item.origin, tuple) and item.code == "ok":
                assert self.floors[item.origin[1]] <= set(item.result["values"])

    def teardown(self):
        cluster = self.cluster
        cluster.loss = cluster.duplication = 0.0
        cluster.delay, cluster.sync_delay, cluster.cut = 0.005, 0.004, set()
        for name in cluster.names:
            if name not in cluster.members:
                cluster.start(name)
        cluster.run(2.5)
        leader = cluster.leader()
        assert leader is not None, "no leader after all faults ended"
        for member in cluster.members.values():
            assert member.state.values == leader.state.values
        assert self.acknowledged() <= set(leader.state.values), "a command was lost"

    def pick(self, which):
        members = list(self.cluster.members.values())
        return members[which % len(members)]

    def completions(self):
        return list(self.cluster.completions)

    def acknowledged(self):
        return {
            item.origin
            for item in self.completions()
            if isinstance(item.origin, int) and item.code == "ok"
        }


class FiveMembers(LogMachine):
    size = 5


TestThreeMembers = LogMachine.TestCase
TestThreeMembers.settings = PROFILE
TestFiveMembers = FiveMembers.TestCase
TestFiveMembers.settings = PROFILE
