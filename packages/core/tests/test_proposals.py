"""Tests of proposals: forwarding, retries and results."""

import pytest
from logcluster import Cluster

from bronzemoor_core.events import PeerMessageReceived, Tick
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_core.messages import HeartbeatReply, Propose, ProposeReply
from bronzemoor_core.proposals import LEADER_WAIT_SECONDS, PROPOSAL_TIMEOUT_SECONDS


def outcomes(member):
    return [(item.origin, item.code) for item in member.completed]


def test_a_daemon_outside_the_group_proposes_through_any_member():
    """Guards against a daemon that must know the leader before it can propose."""
    cluster = Cluster(3)
    cluster.elect()
    outside = cluster.start("vm-9", control=False)
    for n in range(6):
        cluster.propose(outside, n)
        cluster.query(outside, ("read", n))
    cluster.run(0.5)
    assert (
        outside.log.role == "none"
        and outside.disk.unsynced == type(outside.disk.unsynced)()
    )
    assert sorted(map(str, outcomes(outside))) == sorted(
        str((origin, "ok")) for n in range(6) for origin in (n, ("read", n))
    )


def test_a_proposal_is_forwarded_at_most_once():
    """Guards against proposals that circulate between members."""
    cluster = Cluster(3)
    cluster.elect()
    follower, other = cluster.followers()
    propose = Propose(f"{other.name}:s:1:1", b'{"type": "set", "n": 1}')
    cluster.sent.clear()
    follower.handle(PeerMessageReceived("vm-8", propose))
    ((_, recipient, reply),) = cluster.sent
    assert recipient == other.name and reply.code == "no_leader"


def test_without_a_leader_the_answer_is_no_leader():
    """Guards against a proposer that waits forever or reports ``unknown``."""
    cluster = Cluster(3)
    member = cluster.machines["vm-1"]
    cluster.cut = {"vm-1"}
    cluster.propose(member, 1)
    cluster.run(LEADER_WAIT_SECONDS + 0.1)
    assert outcomes(member) == [(1, "no_leader")]


def test_a_lost_answer_is_unknown():
    """Guards against reporting a possibly committed proposal as refused."""
    cluster = Cluster(3)
    cluster.elect()
    follower = cluster.followers()[0]
    cluster.propose(follower, 1)
    cluster.cut = {follower.name}
    cluster.run(PROPOSAL_TIMEOUT_SECONDS + 0.1)
    assert outcomes(follower) == [(1, "unknown")]


def test_duplicates_are_committed_and_completed_once():
    """Guards against a command applied twice after a repeated message."""
    cluster = Cluster(3)
    leader = cluster.elect()
    cluster.duplication = 1.0
    follower = cluster.followers()[0]
    for n in range(10):
        cluster.propose(follower, n)
    cluster.run(0.5)
    assert sorted(leader.state.values) == list(range(10))
    assert sorted(outcomes(follower)) == [(n, "ok") for n in range(10)]


def test_a_second_attempt_in_the_log_is_not_applied():
    """Guards against a command applied twice because of reordered messages."""
    cluster = Cluster(1)
    leader = cluster.elect()
    for attempt in (1, 2):
        propose = Propose(f"vm-9:s:1:{attempt}", b'{"type": "set", "n": 1}')
        leader.handle(PeerMessageReceived("vm-9", propose))
    cluster.run(0.1)
    assert leader.state.values == [1]


def test_a_proposal_to_a_crashed_leader_is_retried_and_applied_once():
    """Guards against ``unknown`` for every command in progress at a leader change."""
    for synced in (0, 1):
        cluster = Cluster(3, seed=synced)
        leader = cluster.elect()
        proposers = [*cluster.followers(), cluster.start("vm-9", control=False)]
        for proposer in proposers:
            proposer.consensus._replica.leader = leader.name
            cluster.propose(proposer, proposer.name)
        cluster.run(0.012 * synced)
        cluster.crash(leader.name, synced)
        cluster.run(0.8)
        new = cluster.leader()
        reply = PeerMessageReceived(new.name, HeartbeatReply(1, new.name, [], {}, 0))
        proposers[-1].handle(reply)
        cluster.run(0.5)
        names = [proposer.name for proposer in proposers]
        assert sorted(new.state.values) == sorted(names)
        assert [outcomes(p) for p in proposers] == [[(name, "ok")] for name in names]


def test_a_refused_retry_leaves_the_outcome_unknown():
    """Guards against ``no_leader`` for a command that its first leader may have."""
    cluster = Cluster(5)
    leader = cluster.elect()
    proposer, other, *rest = cluster.followers()
    cluster.propose(proposer, 1)
    for member in (leader, *rest):
        cluster.crash(member.name)
    cluster.run(0.5)
    proposer.consensus._replica.leader = other.name
    proposer.handle(Tick())
    cluster.run(LEADER_WAIT_SECONDS)
    assert len(cluster.messages(Propose)) == 2 and cluster.messages(ProposeReply)
    assert outcomes(proposer) == []
    cluster.run(PROPOSAL_TIMEOUT_SECONDS - LEADER_WAIT_SECONDS)
    assert outcomes(proposer) == [(1, "unknown")]


def test_a_proposal_survives_the_election_of_its_leader():
    """Guards against ``no_leader`` for every command during a short election."""
    cluster = Cluster(3)
    for member in cluster.members:
        cluster.propose(member, member.name)
    cluster.run(1.5)
    assert {c.code for m in cluster.members for c in m.completed} == {"ok"}


@pytest.mark.parametrize("proposal_id", ["", "x", "a:b:c:d"])
@pytest.mark.parametrize("command", [b"", b"[1]", b'{"type": "set", "n": 1}'])
def test_malformed_messages_change_nothing(proposal_id, command):
    """Guards against a peer that stops the control group with a malformed message."""
    cluster = Cluster(1)
    leader = cluster.elect()
    for message in (
        Propose(proposal_id, command),
        ProposeReply(proposal_id, "ok", "", command),
    ):
        leader.handle(PeerMessageReceived("vm-2", message))
    cluster.run(0.1)
    assert leader.state.values == []


def test_a_decision_of_a_deposed_leader_is_not_passed_on():
    """Guards against a promotion that the next leader's log plans for the last one.

    So would a member be replaced that only the earlier leader had not reached.
    """
    cluster = Cluster(3)
    old = cluster.elect()
    cluster.cut = {old.name}
    decisions = (
        {"type": "set", "n": 1},
        {"type": "set", "n": 2},
        {"type": "control.remove", "name": cluster.followers()[0].name},
    )
    old.handle(CommandProposed(decisions[0], 1, leader_only=True))
    cluster.run(1.5)
    cluster.cut = set()
    cluster.run(PROPOSAL_TIMEOUT_SECONDS)
    for origin, command in enumerate(decisions[1:], start=2):
        old.handle(CommandProposed(command, origin, leader_only=True))
    cluster.run(1.0)
    leader = cluster.leader()
    assert leader is not old
    assert outcomes(old) == [(1, "unknown"), (2, "no_leader"), (3, "no_leader")]
    assert leader.state.values == [] and len(leader.log.voters) == 3
