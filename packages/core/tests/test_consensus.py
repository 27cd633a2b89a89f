"""Tests of the replicated log with simulated members."""

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from logcluster import Cluster

from bronzemoor_core.events import PeerMessageReceived, StorageFailed, StorageSynced
from bronzemoor_core.journal import encode_command
from bronzemoor_core.messages import (
    AppendEntries,
    AppendEntriesReply,
    LogEntry,
    Vote,
    VoteReply,
)
from bronzemoor_core.settings import ControlSettings

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
    member = cluster.machines["vm-1"]
    assert member.log.role == "leader"
    cluster.propose(member, 7)
    cluster.query(member, "read")
    cluster.run(0.03)
    assert [(c.origin, c.code) for c in member.completed] == [("read", "ok"), (7, "ok")]


def test_three_members_elect_one_leader_and_apply_in_the_same_order():
    """Guards against a group that elects no leader or applies in different orders."""
    cluster = Cluster(3)
    leader = cluster.elect()
    for n in range(50):
        cluster.propose(cluster.machines[cluster.names[n % 3]], n)
        cluster.run(0.005)
    cluster.run(0.5)
    assert sorted(leader.state.values) == list(range(50))
    for member in cluster.members:
        assert member.state.values == leader.state.values
        assert all(item.code == "ok" for item in member.completed)
    assert sum(len(m.completed) for m in cluster.members) == 50


def test_a_leader_without_quorum_steps_down_and_rejoins():
    """Guards against a deposed leader that continues to act as leader."""
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


def test_a_vote_is_not_sent_before_it_is_synced():
    """Guards against a second vote in the term after a crash."""
    cluster = Cluster(3, start=False)
    member = cluster.start("vm-1")
    member.disk.sync_one()
    member.handle(StorageSynced(1))
    vote = Vote(4, 0, 0, "vm-2.x")
    member.handle(PeerMessageReceived("vm-2", vote))
    assert cluster.sent == []
    cluster.run(0.01)
    replies = cluster.messages(VoteReply)
    assert [reply.granted for reply in replies] == [True]
    assert member.disk.storage.hard_state.vote == "vm-2.x"


def test_entries_are_not_acknowledged_before_they_are_synced():
    """Guards against a commit that a power failure reverts."""
    cluster = Cluster(3, start=False)
    member = cluster.start("vm-1")
    cluster.run(0.02)
    append = AppendEntries(1, 0, 0, [LogEntry(1, 1, encode_command({}))], 0, 1)
    beat = AppendEntries(1, 1, 1, [], 0, 2)
    for message in (append, beat):
        member.handle(PeerMessageReceived("vm-2", message))
    assert cluster.sent == []
    cluster.run(0.02)
    replies = cluster.messages(AppendEntriesReply)
    assert [reply.match_index for reply in replies] == [1, 0]
    append = AppendEntries(1, 1, 1, [LogEntry(2, 1, encode_command({}))], 0, 3)
    cluster.sent.clear()
    member.handle(PeerMessageReceived("vm-2", append))
    member.handle(PeerMessageReceived("vm-2", AppendEntries(1, 2, 1, [], 0, 4)))
    assert [(i[2].round_id, i[2].match_index) for i in cluster.sent] == [(4, 1)]


def test_a_deposed_leader_answers_no_read():
    """Guards against a stale read while a cut-off leader has not stepped down yet."""
    cluster = Cluster(3)
    old = cluster.elect()
    cluster.propose(old, 1)
    cluster.run(0.2)
    # Prevents it from stepping down, as if its clock had stopped.
    old.settings.timers = ControlSettings(election_timeout_max=60.0)
    cluster.cut = {old.name}
    cluster.run(1.0)
    new = cluster.leader()
    cluster.propose(new, 2)
    cluster.run(0.2)
    assert new.state.values == [1, 2] and old.log.role == "leader"
    cluster.query(old, "read")
    cluster.run(0.2)
    assert [item.origin for item in old.completed] == [1]


class LogMachine(RuleBasedStateMachine):
    """Injects faults in any order; the cluster checks safety at every step."""

    size = 3
    spares = 0
    # Covers an election; replaced voters also have to be noticed and to catch up.
    recovery_seconds = 2.5

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(
            self.size, seed=self.size, snapshot_entries=15, spares=self.spares
        )
        self.names = self.cluster.all_names
        self.number = 0
        self.acknowledged_before = {}
        self.disk_lost = False
        self.cluster.elect()

    @rule(seconds=st.sampled_from([0.1, 0.4, 1.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.002, 0.02, 0.08]),
        sync=st.sampled_from([0.001, 0.03, 0.09]),
    )
    def set_network_faults(self, loss, duplication, delay, sync):
        cluster = self.cluster
        cluster.loss, cluster.duplication = loss, duplication
        cluster.delay, cluster.sync_delay = delay, sync

    @rule(which=st.integers(0, 4), synced=st.integers(0, 3), pause=st.booleans())
    def crash(self, which, synced, pause):
        self.cluster.crash(self.names[which % len(self.names)], synced)
        if pause:
            self.cluster.run(0.3)

    @precondition(lambda self: self.cluster.leader())
    @rule(synced=st.integers(0, 3), count=st.integers(0, 8), cut=st.booleans())
    def lose_leader(self, synced, count, cut):
        """Isolates or crashes the leader while proposals are in progress."""
        leader = self.cluster.leader()
        for _ in range(count):
            self.number += 1
            self.cluster.propose(leader, self.number)
        self.cluster.run(0.01)
        if cut:
            self.cluster.cut = {leader.name}
            self.write_and_read_during_partition(leader)
        else:
            self.cluster.crash(leader.name, synced)
            self.cluster.run(0.6)

    def write_and_read_during_partition(self, leader):
        """Writes on one side of a partition and reads on the other."""
        for _ in range(30):
            for name, member in self.cluster.machines.items():
                self.number += 1
                if name == leader.name:
                    self.acknowledged_before[self.number] = self.acknowledged()
                    self.cluster.query(member, ("read", self.number))
                elif self.number % 3 == 0:
                    self.cluster.propose(member, self.number)
            self.cluster.run(0.02)

    @precondition(lambda self: not self.disk_lost)
    @rule(
        synced=st.lists(st.integers(0, 2), min_size=5, max_size=5),
        slow=st.sets(st.integers(0, 4), max_size=4),
        count=st.integers(0, 4),
    )
    def lose_power(self, synced, slow, count):
        """All members stop at once, some before their syncs; the leader stays down."""
        cluster, leader = self.cluster, self.cluster.leader()
        cluster.slow_disks = {self.names[i % len(self.names)] for i in slow}
        if leader:
            cluster.slow_disks.discard(leader.name)
            for _ in range(count):
                self.number += 1
                cluster.propose(leader, self.number)
        cluster.run(0.03)
        cluster.slow_disks = set()
        for name, open_writes in zip(self.names, synced, strict=False):
            cluster.crash(name, open_writes)
            if not leader or name != leader.name:
                cluster.start(name)
        cluster.run(1.0)

    @precondition(lambda self: not self.disk_lost)
    @rule(which=st.integers(0, 4))
    def lose_disk(self, which):
        """Loses at most one disk in a run, since a group of three tolerates no more."""
        self.disk_lost = True
        name = self.names[which % len(self.names)]
        self.cluster.lose_disk(name)

    @rule(which=st.integers(0, 4), rate=st.sampled_from([0.9, 1.0, 1.1]))
    def restart(self, which, rate):
        name = self.names[which % len(self.names)]
        if name not in self.cluster.machines:
            self.cluster.start(name, rate)

    @rule(names=st.sets(st.integers(0, 4), max_size=2))
    def partition(self, names):
        self.cluster.cut = {self.names[i % len(self.names)] for i in names}

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
        self.acknowledged_before[self.number] = self.acknowledged()
        self.cluster.query(self.pick(which), ("read", self.number))

    @invariant()
    def reads_are_never_stale(self):
        """A read returns every command that was acknowledged before it began."""
        for item in self.completions():
            if isinstance(item.origin, tuple) and item.code == "ok":
                assert self.acknowledged_before[item.origin[1]] <= set(
                    item.result["values"]
                )

    def teardown(self):
        cluster = self.cluster
        cluster.loss = cluster.duplication = 0.0
        cluster.delay, cluster.sync_delay, cluster.cut = 0.005, 0.004, set()
        for name in self.names:
            if name not in cluster.machines:
                cluster.start(name)
        cluster.run(self.recovery_seconds)
        leader = cluster.leader()
        assert leader is not None, "no leader after all faults ended"
        replicas = cluster.members
        if self.spares:
            assert len(leader.log.voters) == self.size and not leader.log.learners
            replicas = [cluster.machines[name] for name in leader.log.voters]
        for member in replicas:
            assert member.state.values == leader.state.values
        assert self.acknowledged() <= set(leader.state.values), "a command was lost"
        refused = self.answered("no_leader")
        assert not refused & set(leader.state.values), "a refused command was applied"

    def pick(self, which):
        members = self.cluster.members
        return members[which % len(members)]

    def completions(self):
        return list(self.cluster.completions)

    def acknowledged(self):
        return self.answered("ok")

    def answered(self, code):
        """Returns the commands that were answered with ``code``, each only once."""
        numbers = [item.origin for item in self.completions() if item.code == code]
        numbers = [number for number in numbers if isinstance(number, int)]
        assert len(numbers) == len(set(numbers)), "a proposal was completed twice"
        return set(numbers)


class FiveMembers(LogMachine):
    size = 5


class ReplacedVoters(LogMachine):
    """Voters that are silent are replaced by a spare daemon, and may come back."""

    spares = 1
    recovery_seconds = 5.0

    @rule(
        which=st.integers(0, 4),
        seconds=st.sampled_from([0.4, 0.5, 0.55, 0.6, 0.65, 0.7, 1.6]),
        wiped=st.integers(-2, 4),
    )
    def stand_still(self, which, seconds, wiped):
        """Cuts one daemon off for long enough to be replaced, or almost.

        Meanwhile another one may lose its disk, which is not more disks than allowed.
        """
        self.cluster.cut = {self.names[which % len(self.names)]}
        self.cluster.run(seconds)
        if 0 <= wiped != which and not self.disk_lost:
            self.lose_disk(wiped)
        self.cluster.run(0.1)
        self.cluster.cut = set()

    def teardown(self):
        """Loses voters for good, one after the other, while spares can replace them."""
        super().teardown()
        for _ in range(self.spares):
            lost = next(n for n in self.voters() if n != self.cluster.leader().name)
            self.cluster.crash(lost)
            self.cluster.run(2.0)
            assert len(self.voters()) == self.size and lost not in self.voters()
        self.cluster.crash(self.voters()[0])
        self.cluster.run(1.0)
        assert self.cluster.leader(), "one more loss ended the group"
        assert self.acknowledged() <= set(self.cluster.leader().state.values)

    def voters(self):
        return self.cluster.leader().log.voters


class FiveReplacedVoters(ReplacedVoters):
    size = 5
    spares = 2


TestThreeMembers = LogMachine.TestCase
TestThreeMembers.settings = PROFILE
TestFiveMembers = FiveMembers.TestCase
TestFiveMembers.settings = PROFILE
TestReplacedVoters = ReplacedVoters.TestCase
TestReplacedVoters.settings = PROFILE
TestFiveReplacedVoters = FiveReplacedVoters.TestCase
TestFiveReplacedVoters.settings = PROFILE
