"""Tests of membership change: learners, replacement and lost disks."""

from logcluster import Cluster

from bronzemoor_core.events import AdminCommand, PeerMessageReceived
from bronzemoor_core.messages import AppendEntriesReply, Vote, VoteReply


def command(cluster, member, name, /, **arguments):
    """Runs an operator's command and returns its answer."""
    count = len(member.replies)
    member.handle(AdminCommand(count, name, arguments))
    for _ in range(300):
        cluster.run(0.01)
        if len(member.replies) > count:
            return member.replies[-1]
    raise AssertionError("no answer")


def roles(cluster, member):
    reply = command(cluster, member, "control.members")
    return {item["name"]: item["role"] for item in reply.body["members"]}


def test_the_first_election_needs_every_member():
    """Guards against two leaders when a disk is lost before the first entry."""
    cluster = Cluster(3, start=False)
    for name in ("vm-1", "vm-2"):
        cluster.start(name)
    cluster.run(2.0)
    assert cluster.leader() is None
    cluster.start("vm-3")
    cluster.elect()
    cluster.crash("vm-3")
    cluster.run(1.0)
    assert cluster.leader() is not None


def test_a_member_with_peers_but_no_group_waits():
    """Guards against a second group of one created by a missing setting."""
    cluster = Cluster(3, start=False)
    peers = {"vm-1": "127.0.0.1:1", "vm-2": "127.0.0.1:2"}
    member = cluster.start("vm-1", control_members=(), peers=peers)
    cluster.run(1.0)
    assert member.log.role == "learner" and member.log.term == 0


def test_a_new_member_becomes_a_voter_once_it_caught_up():
    """Guards against a voter with an empty log, which weakens the quorum."""
    cluster = Cluster(3)
    leader = cluster.elect()
    for n in range(20):
        cluster.propose(leader, n)
    follower = cluster.followers()[0]
    assert command(cluster, follower, "control.add", name="vm-4").code == "ok"
    cluster.run(0.5)
    assert roles(cluster, follower)["vm-4"] == "learner"
    learner = cluster.start("vm-4")
    cluster.run(0.5)
    assert roles(cluster, follower)["vm-4"] == "voter"
    assert learner.state.values == list(range(20)) and len(learner.log.voters) == 4


def test_a_learner_does_not_count_for_a_quorum():
    """Guards against a commit that is stored by only one voter."""
    cluster = Cluster(3)
    leader = cluster.elect()
    command(cluster, leader, "control.add", name="vm-4")
    cluster.start("vm-4")
    cluster.run(0.02)
    cluster.cut = set(cluster.names) - {leader.name}
    commit = leader.log.commit_index
    cluster.propose(leader, 1)
    cluster.run(0.2)
    assert leader.log.commit_index == commit


def test_changes_are_refused_with_a_reason():
    """Guards against two changes at once and groups of the wrong size."""
    cluster = Cluster(3)
    leader = cluster.elect()
    refused = [
        ("control.add", "vm-1", "already_member"),
        ("control.remove", "vm-1", "too_few_members"),
        ("control.remove", "vm-9", "unknown_member"),
        ("control.replace", leader.name, "invalid_request"),
        ("control.add", "", "invalid_request"),
    ]
    for name, member, code in refused:
        assert command(cluster, leader, name, name=member).code == code
    assert command(cluster, leader, "control.add", name="vm-4").code == "ok"
    answer = command(cluster, leader, "control.add", name="vm-5")
    assert answer.code == "change_in_progress"
    for name in ("vm-4", "vm-5"):
        command(cluster, leader, "control.add", name=name)
        cluster.start(name)
        cluster.run(0.5)
    answer = command(cluster, leader, "control.add", name="vm-6")
    assert answer.code == "too_many_members"
    answer = command(cluster, leader, "control.add", name="vm-6", replaces="vm-9")
    assert answer.code == "too_many_members"
    answer = command(cluster, leader, "control.add", name="vm-6", replaces="vm-5")
    assert answer.code == "ok"


def test_a_removed_leader_steps_down_and_does_not_return():
    """Guards against a removed member that keeps leading or starts elections."""
    cluster = Cluster(4)
    leader = cluster.elect()
    assert command(cluster, leader, "control.remove", name=leader.name).code == "ok"
    cluster.run(2.0)
    new = cluster.leader()
    assert new is not leader and leader.name not in new.log.voters
    term = new.log.term
    cluster.run(2.0)
    assert new.log.term == term and new.log.role == "leader"


def test_the_tolerated_losses_follow_the_reachable_voters():
    """Guards against a status that overstates how many losses are tolerated."""
    cluster = Cluster(5)
    leader = cluster.elect()
    for losses in (2, 1, 0):
        body = command(cluster, leader, "control.members").body
        assert body["tolerated_losses"] == losses
        name = cluster.followers()[0].name
        cluster.crash(name)
        cluster.run(0.8)


def test_a_member_that_lost_its_disk_is_replaced_and_votes_again():
    """Guards against a group that is less fault-tolerant until an operator acts."""
    cluster = Cluster(3)
    leader = cluster.elect()
    name = cluster.followers()[0].name
    old = cluster.disks[name].storage.hard_state.identity
    cluster.lose_disk(name)
    cluster.run(2.0)
    new = cluster.disks[name].storage.hard_state.identity
    members = command(cluster, leader, "control.members").body["members"]
    (record,) = (item for item in members if item["name"] == name)
    assert new != old and record["identity"] == new and record["role"] == "voter"


def test_votes_and_acknowledgements_of_another_identity_do_not_count():
    """Guards against a lost disk that elects a second leader or commits alone."""
    cluster = Cluster(3)
    leader = cluster.elect()
    name, other = (member.name for member in cluster.followers())
    cluster.cut = {leader.name}
    commit, term = leader.log.commit_index, leader.log.term
    cluster.propose(leader, 1)
    cluster.run(0.02)
    forged = AppendEntriesReply(term, True, commit + 1, 10_000, f"{name}.new")
    leader.handle(PeerMessageReceived(name, forged))
    assert leader.log.commit_index == commit
    cluster.crash(name)
    cluster.cut = set()
    member = cluster.machines[other]
    vote = Vote(term + 5, 1000, term + 4, f"{name}.new")
    cluster.sent.clear()
    member.handle(PeerMessageReceived(name, vote))
    cluster.run(0.02)
    replies = cluster.messages(VoteReply)
    assert [reply.granted for reply in replies if reply.term == term + 5] == [False]
