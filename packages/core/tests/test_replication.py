"""Tests of log replication: commits, pipelining and recovery from lost messages."""

from logcluster import Cluster

from bronzemoor_core.journal import BATCH_ENTRIES
from bronzemoor_core.messages import AppendEntries
from bronzemoor_core.proposals import PROPOSAL_TIMEOUT_SECONDS
from bronzemoor_core.replication import MAX_IN_FLIGHT


def test_the_leaders_own_entry_counts_only_once_synced():
    """Guards against a commit that is stored on only one disk."""
    cluster = Cluster(3)
    leader = cluster.elect()
    cluster.cut = {cluster.followers()[0].name}
    cluster.slow_disks = {leader.name}
    commit = leader.log.commit_index
    cluster.propose(leader, 1)
    cluster.run(0.08)
    assert leader.log.commit_index == commit
    cluster.run(0.1)
    assert leader.log.commit_index == commit + 1


def test_an_entry_of_an_earlier_term_does_not_commit_by_counting():
    """Guards against committing an entry that a later leader may still remove."""
    cluster = Cluster(3)
    leader = cluster.elect()
    replica, replication = leader.consensus._replica, leader.consensus._replication
    assert replication.quorum_index() == replica.journal.last_index
    replica.term += 1
    assert replication.quorum_index() == 0


def test_entries_are_pipelined_and_batched():
    """Guards against one round trip, or one message, for each entry."""
    cluster = Cluster(3)
    leader = cluster.elect()
    cluster.delay = 0.02
    cluster.random.uniform = lambda low, high: 1.0  # Keeps messages in order.
    cluster.sent.clear()
    for n in range(500):
        cluster.propose(leader, n)
    cluster.run(0.3)
    assert leader.state.values == list(range(500))
    appends = [item for item in cluster.messages(AppendEntries) if item.entries]
    assert len(appends) / 2 <= MAX_IN_FLIGHT + 500 // BATCH_ENTRIES + 1


def test_a_diverging_tail_is_replaced():
    """Guards against a follower that keeps uncommitted entries."""
    cluster = Cluster(3)
    old = cluster.elect()
    cluster.cut = {old.name}
    for n in range(5):
        cluster.propose(old, n)
    cluster.run(PROPOSAL_TIMEOUT_SECONDS + 0.1)  # The old leader must not retry.
    new = cluster.leader()
    for n in range(10, 13):
        cluster.propose(new, n)
    cluster.run(0.3)
    cluster.cut = set()
    cluster.run(1.0)
    assert old.state.values == new.state.values == [10, 11, 12]
    journals = [m.consensus._replica.journal for m in (old, new)]
    assert journals[0].last_index == journals[1].last_index


def test_lost_messages_are_resent_without_a_new_term():
    """Guards against a pipeline that waits forever for a lost message."""
    cluster = Cluster(3)
    leader = cluster.elect()
    cluster.loss = 0.2
    for n in range(100):
        cluster.propose(leader, n)
        cluster.run(0.01)
    cluster.loss = 0.0
    cluster.run(0.5)
    assert leader.log.role == "leader"
    for member in cluster.members:
        assert member.state.values == list(range(100))
