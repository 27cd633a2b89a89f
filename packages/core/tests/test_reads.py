"""Tests of reads that are confirmed by a quorum."""

from logcluster import Cluster


def test_many_queries_share_rounds():
    """Guards against a message to every member for each query."""
    cluster = Cluster(3)
    leader = cluster.elect()
    cluster.sent.clear()
    for n in range(300):
        cluster.query(leader, n)
    cluster.run(0.05)
    assert sorted(item.origin for item in leader.completed) == list(range(300))
    assert len(cluster.sent) < 20


def test_a_read_waits_for_the_first_commit_of_the_term():
    """Guards against a new leader that does not yet know what was committed."""
    cluster = Cluster(3)
    cluster.propose(cluster.elect(), 1)
    cluster.run(0.2)
    cluster.crash(cluster.leader().name)
    cluster.sync_delay = 0.1
    for _ in range(300):
        cluster.run(0.01)
        leader = cluster.leader()
        if leader:
            break
    cluster.query(leader, "read")
    assert not leader.log.established
    cluster.run(0.05)
    assert leader.completed == []
    cluster.run(0.5)
    assert [item.result["values"] for item in leader.completed] == [[1]]


def test_a_query_survives_a_change_of_leader():
    """Guards against a restarted daemon that waits for a crashed leader."""
    cluster = Cluster(3)
    leader = cluster.elect()
    follower = cluster.followers()[0]
    cluster.crash(leader.name)
    cluster.query(follower, "read")
    cluster.run(1.5)
    assert [(c.origin, c.code) for c in follower.completed] == [("read", "ok")]
