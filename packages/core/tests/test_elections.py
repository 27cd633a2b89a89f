"""Tests of pre-votes, votes and the election timer."""

from logcluster import Cluster

from bronzemoor_core.events import PeerMessageReceived
from bronzemoor_core.messages import PreVote, PreVoteReply, Vote


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
