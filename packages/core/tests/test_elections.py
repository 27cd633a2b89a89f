"""Tests of pre-votes, votes and the election timer."""

import pytest
from logcluster import Cluster
from virtual import TICK

from bronzemoor_core.events import PeerMessageReceived
from bronzemoor_core.messages import PreVote, PreVoteReply, Vote
from bronzemoor_core.settings import ControlSettings

# Timers of a control group across regions.
TIMERS = ControlSettings(
    election_timeout_min=0.6,
    election_timeout_max=1.0,
    heartbeat_interval=0.12,
    stale_after=2.0,
)


def test_an_isolated_member_does_not_raise_the_term():
    """Guards against a member that deposes a healthy leader when it reconnects."""
    cluster = Cluster(3)
    leader = cluster.elect()
    isolated = cluster.followers()[0].name
    term = leader.log.term
    cluster.cut = {isolated}
    cluster.run(3.0)
    cluster.cut = set()
    cluster.run(1.0)
    assert leader.log.role == "leader" and leader.log.term == term


def test_a_member_in_contact_with_the_leader_refuses_pre_votes():
    """Guards against an election when only one link to the leader is broken."""
    cluster = Cluster(3)
    leader = cluster.elect()
    sender = cluster.followers()[0]
    journal = sender.consensus._replica.journal
    message = PreVote(
        leader.log.term + 1,
        journal.last_index,
        journal.last_term,
        sender.consensus._replica.identity,
    )
    cluster.sent.clear()
    for member in cluster.members:
        if member is not sender:
            member.handle(PeerMessageReceived(sender.name, message))
    replies = cluster.messages(PreVoteReply)
    assert [reply.granted for reply in replies] == [False, False]


def test_a_candidate_without_the_last_entry_gets_no_vote():
    """Guards against a leader that lacks committed entries."""
    cluster = Cluster(3)
    leader = cluster.elect()
    follower = cluster.followers()[0]
    replica = leader.consensus._replica
    vote = Vote(leader.log.term + 1, 0, 0, replica.identity)
    follower.handle(PeerMessageReceived(leader.name, vote))
    assert follower.consensus._replica.vote == ""


def test_elections_end_quickly():
    """Guards against split votes that keep the group without a leader."""
    for seed in range(30):
        cluster = Cluster(5, seed=seed)
        leader = cluster.elect()
        cluster.crash(leader.name)
        cluster.elect(seconds=1.5)


def make_wide_cluster(seed):
    """Returns five members with a leader and 10 ms between them, on average."""
    cluster = Cluster(5, seed=seed, start=False)
    cluster.timers = TIMERS
    cluster.delay, cluster.sync_delay = 0.010, 0.002
    for name in cluster.names:
        cluster.start(name)
    return cluster, cluster.elect(5.0)


def run_until_established(cluster, limit):
    """Runs until a leader's first entry is committed; returns the time that took."""
    started = cluster.now
    while not (leader := cluster.leader()) or not leader.log.established:
        assert cluster.now - started < limit
        cluster.run(TICK)
    return cluster.now - started


@pytest.mark.parametrize("spread", [0.0, 0.2, 0.4])
def test_a_group_that_restarts_as_a_whole_waits_for_no_election_timeout(spread):
    """Guards against candidates that split the votes after a loss of power.

    Three of five daemons became candidates within 80 ms, and nobody was served until
    their election timeouts had passed.
    """
    for seed in range(40):
        cluster, _ = make_wide_cluster(seed)
        for name in cluster.names:
            cluster.crash(name)
        starts = sorted(cluster.random.uniform(0.0, spread) for _ in cluster.names)
        for delay, name in zip(starts, cluster.names, strict=True):
            cluster.schedule(delay, cluster.start, name)
        cluster.run(starts[len(starts) // 2])
        run_until_established(cluster, TIMERS.election_timeout_min)


def test_the_loss_of_a_leader_costs_one_election_timeout():
    """Guards against split votes, after which a second timeout has to pass."""
    for seed in range(40):
        cluster, leader = make_wide_cluster(seed)
        cluster.crash(leader.name)
        run_until_established(
            cluster, TIMERS.election_timeout_max + TIMERS.election_timeout_min / 2
        )


def test_a_candidate_that_hears_nobody_does_not_hold_up_elections():
    """Guards against members that yield to a deaf candidate again and again."""
    for seed in range(20):
        cluster, leader = make_wide_cluster(seed)
        deaf = min(member.name for member in cluster.followers())
        deliver = cluster.deliver
        cluster.deliver = lambda sender, recipient, message, deaf=deaf, real=deliver: (
            None if recipient == deaf else real(sender, recipient, message)
        )
        cluster.run(1.5)
        cluster.crash(leader.name)
        run_until_established(cluster, 2 * TIMERS.election_timeout_max)
