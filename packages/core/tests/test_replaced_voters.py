"""Tests of voters that are silent for a while and lose their place in the group."""

from functools import partial

import pytest
from logcluster import Cluster


def until(cluster, condition, seconds=5.0, step=0.01):
    for _ in range(int(seconds / step)):
        if condition():
            return
        cluster.run(step)
    raise AssertionError("not reached")


def replace_one(cluster, name):
    """Cuts a voter off until a spare daemon has its place."""
    cluster.cut = {name}
    until(cluster, partial(is_whole, cluster, without=name))


def is_whole(cluster, without=""):
    """Returns whether the group has its size and all its voters run."""
    leader = cluster.leader()
    log = leader and leader.log
    return (
        log
        and log.established
        and len(log.voters) == len(cluster.names)
        and not log.learners
        and without not in log.voters
        and all(voter in cluster.machines for voter in log.voters)
    )


def other_voters(cluster):
    """Returns the names of the voters that do not lead."""
    leader = cluster.leader()
    return [name for name in leader.log.voters if name != leader.name]


def test_a_leader_that_was_replaced_while_it_stood_still_joins_again():
    """Guards against a thawed leader that believes its own old log for ever."""
    cluster = Cluster(3, spares=1)
    old = cluster.elect()
    replace_one(cluster, old.name)
    cluster.cut = set()
    term = cluster.leader().log.term
    cluster.run(1.0)
    assert cluster.leader().log.term == term and old.log.role != "leader"
    cluster.crash(other_voters(cluster)[0])
    until(cluster, partial(is_whole, cluster))
    assert old.name in cluster.leader().log.voters


def test_a_daemon_that_was_down_during_two_changes_joins_again():
    """Guards against a daemon that asks only members which left meanwhile."""
    cluster = Cluster(3, spares=2)
    leader = cluster.elect()
    down, lost = other_voters(cluster)
    for name in (down, lost):
        cluster.crash(name)
        until(cluster, partial(is_whole, cluster, without=name))
    cluster.crash(leader.name)
    cluster.start(down)
    until(cluster, partial(is_whole, cluster))
    assert down in cluster.leader().log.voters


def test_a_learner_that_was_removed_while_it_caught_up_joins_again():
    """Guards against a learner that counts itself as a member for ever."""
    cluster = Cluster(3, spares=2)
    leader = cluster.elect()
    lost = other_voters(cluster)[0]
    first, second = cluster.all_names[3:]
    cluster.crash(second)
    cluster.crash(lost)
    cluster.slow_disks = {first}
    until(cluster, lambda: first in cluster.machines[first].log.learners)
    cluster.cut = {first}
    cluster.slow_disks = set()
    cluster.start(second)
    until(cluster, partial(is_whole, cluster, without=first))
    cluster.cut = set()
    cluster.crash(second)
    until(cluster, partial(is_whole, cluster, without=second))
    assert first in leader.log.voters


@pytest.mark.parametrize(("size", "spares"), [(3, 1), (5, 2)])
def test_one_lost_disk_ends_the_group_at_no_moment_of_a_replacement(size, spares):
    """Guards against a silent voter that is removed while the group still needs it.

    The group then had one voter less until the new one had caught up, and the loss of
    one more disk left it without a majority for ever, though the silent voter lived.
    """
    for number in range(40):
        cluster = Cluster(size, seed=number, spares=spares)
        cluster.delay = 0.02
        leader = cluster.elect()
        cluster.propose(leader, 1)
        cluster.run(0.2)
        *silent, wiped = other_voters(cluster)[: size // 2 + 1]
        cluster.cut = set(silent)
        cluster.run(0.45 + 0.01 * number)
        cluster.lose_disk(wiped)
        cluster.run(0.3)
        cluster.cut = set()
        until(cluster, partial(is_whole, cluster))
        assert cluster.leader().state.values == [1]


def test_a_lost_learner_gives_its_place_away_before_a_voter_does():
    """Guards against a lost learner that holds up every change of the group.

    The leader wanted to replace the lost voter first, which was refused as long as a
    learner was catching up: five voters stayed four, three of them alive.
    """
    cluster = Cluster(5, spares=2)
    leader = cluster.elect()
    first, second = cluster.all_names[5:]
    cluster.crash(second)
    lost = other_voters(cluster)[:2]
    cluster.crash(lost[0])
    until(cluster, lambda: first in leader.log.learners)
    cluster.crash(first)
    cluster.crash(lost[1])
    cluster.run(1.0)
    cluster.start(second)
    until(cluster, lambda: second in leader.log.voters)
    cluster.start(lost[0])
    until(cluster, partial(is_whole, cluster))


def test_a_voter_that_is_back_in_time_keeps_its_place():
    """Guards against a group that loses a voter which had only paused."""
    cluster = Cluster(3, spares=1)
    leader = cluster.elect()
    paused = other_voters(cluster)[0]
    cluster.cut = {paused}
    until(cluster, lambda: leader.log.learners)
    cluster.cut = set()
    until(cluster, partial(is_whole, cluster))
    assert set(leader.log.voters) == set(cluster.names)
