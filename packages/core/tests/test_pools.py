"""Tests of the use, opening and closing of connections."""

from collections import Counter
from random import Random

import pytest
from datapath_world import (
    CLASSES,
    Result,
    World,
    arrive_late,
    duplicate,
    lose_call,
    slow,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzemoor_core.actions import Call, CloseConnection, OpenConnection, SendCall
from bronzemoor_core.connections import ConnectionState
from bronzemoor_core.events import AnswerReceived, ConnectionOpened
from bronzemoor_core.internal_events import (
    MemberLost,
    MemberSuspected,
    PrimaryChanged,
    SharesChanged,
)

FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=40)


def pool(world):
    return world.node.blackboard.pools.databases["stock"]


def emitted_actions(world, action):
    return [item for item in world.emitted if isinstance(item, action)]


def record_suspicions(world):
    found = []
    world.node._handlers[MemberSuspected].append(lambda now, e: found.append(e.member))
    return found


def test_without_a_share_nothing_is_opened():
    """Guards against connections without a granted share."""
    world = World(share=0)
    world.ask("post", "x", seconds=1)
    assert not emitted_actions(world, OpenConnection)


def test_a_database_without_share_or_requests_gets_no_pool():
    """Guards against a control member that takes a share of every database and checks
    a pool of each 50 times a second, although it serves none of them."""
    world = World()
    world.node.handle(world.now, PrimaryChanged("other", 1, "a", 0))
    world.node.handle(world.now, MemberLost("other", "b"))
    assert list(world.node.blackboard.pools.databases) == ["stock"]


def test_the_primary_and_the_nearest_replica_are_kept_warm():
    """Guards against a first request that waits 30 ms for a connection."""
    world = World()
    warm = Counter(c.member for c in pool(world).connections.values())
    assert warm == {"a": 1, "b": 1}


@FIXED
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 8)), max_size=30))
def test_the_share_is_never_exceeded(steps):
    """Guards against more connections to the endpoints than the share, including those
    that are opening or not yet closed."""
    world = World(share=3)
    share = 3
    perform = world._on_OpenConnection

    def check(action):
        # All openings of one event are decided before the first is performed.
        assert pool(world).total <= pool(world).share
        perform(action)

    world._on_OpenConnection = check
    for kind, number in steps:
        if kind == 0:
            allowed = max(number, pool(world).total)
            share = number
            world.handle(SharesChanged("stock", share, 1e9))
            assert pool(world).total <= allowed
        elif kind == 1:
            world.fault = lambda member, call: lose_call if call.ticket else None
        elif kind == 2:
            world.fault = lambda member, call: None
        else:
            for _ in range(number):
                world.send("own" if kind == 3 else "post", deadline=world.now + 0.5)
        before = pool(world).total
        world.run(0.02 * (number + 1))
        assert pool(world).total <= max(share, before)
        assert len(world.opened) <= pool(world).total
    world.run(3)
    assert pool(world).total <= share


def test_a_shrunk_share_closes_idle_connections_at_once_and_busy_ones_later():
    """Guards against interrupted requests and connections that are never closed."""
    world = World()
    world.fault = lambda member, call: arrive_late if call.ticket == 1 else None
    ticket = world.send("post", "x")
    world.handle(SharesChanged("stock", 0, 1e9))
    states = Counter(c.state for c in pool(world).connections.values())
    assert states[ConnectionState.WARM] == 0
    assert states[ConnectionState.BUSY] == 1
    world.run(3)
    assert ticket in world.replies
    assert pool(world).total == 0


def test_an_expired_share_opens_nothing_more():
    """Guards against openings within a share that others may hold already."""
    world = World(share=0)
    world.handle(SharesChanged("stock", 4, world.now - 1))
    world.ask("post", "x")
    assert not emitted_actions(world, OpenConnection)


def test_openings_are_limited():
    """Guards against a storm of openings, for example after a failover."""
    world = World(share=40)
    for _ in range(40):
        world.send("post", "x")
    for _ in range(40):
        world.run(0.005)
        assert pool(world).counts[ConnectionState.OPENING] <= 2
    assert len(world.opened) > 3


def test_a_connection_is_opened_ahead_of_demand():
    """Guards against a second concurrent request that waits for an opening."""
    world = World()
    world.send("post", "x")
    assert pool(world).link("a").counts[ConnectionState.OPENING] == 1


def test_idle_connections_to_other_members_make_room_for_waiting_requests():
    """Guards against writes that starve while idle connections use up the share."""
    world = World(share=2)
    world.group.members["c"].append("", "")
    world.fail_over("a")
    assert {c.member for c in pool(world).connections.values()} == {"a", "b"}
    reply = world.ask("post", "x", seconds=0.3)
    assert (reply.outcome.tag, reply.outcome.peer) == ("done", "c")


def test_unused_connections_are_closed():
    """Guards against a share that stays in use after a short burst of requests."""
    world = World(share=8)
    for _ in range(6):
        world.send("post", "x")
    world.run(0.3)
    assert len(list(pool(world).of_member("a"))) > 2
    world.run(20)
    assert len(list(pool(world).of_member("a"))) == 1


def test_older_connections_are_replaced_after_an_unresponsive_one():
    """Guards against keeping connections that may stop responding as well."""
    world = World(share=8, call_timeout=0.1)
    for _ in range(6):
        world.send("post", "x")
    world.run(0.3)
    older = {c.number for c in pool(world).of_member("a")}
    world.fault = lambda m, call: lose_call if call.ticket == 7 else None
    world.ask("post", "x", seconds=3)
    assert not older & set(pool(world).connections)


def test_a_refused_connection_raises_no_suspicion():
    """Guards against a failover because a member refuses further connections."""
    world = World()
    found = record_suspicions(world)
    member = world.group.members["a"]
    full = Result("refused", "too_many_connections")

    def refuse(action):
        answer = world.answer(member, Call("hello", 0), full)
        world.schedule(0.012, ConnectionOpened(action.connection, answer))

    world._on_OpenConnection = refuse
    for _ in range(6):
        world.send("post", "x")
    world.run(0.5)
    assert "connection_failed" in world.logs
    assert not found


def test_samples_under_load_still_cover_the_staleness_bound():
    """Guards against answers that displace the older samples lagging replicas need."""
    world = World()
    for number in range(400):
        world.ask("post", str(number), seconds=0.005)
    assert world.now - world.database.samples[0].proved_at > 0.5


def test_slots_limit_the_concurrent_statements_at_a_member():
    """Guards against queueing at the endpoint, which ignores priorities."""
    world = World(share=12)
    world.fault = slow(0.1)
    for _ in range(10):
        world.send("post", "x")
    for _ in range(20):
        world.run(0.01)
        assert pool(world).link("a").slots_in_use <= 3


def test_a_connection_with_a_pending_answer_is_not_reused():
    """Guards against a late answer that is matched to the next request."""
    world = World(call_timeout=0.1)
    world.fault = lambda m, call: arrive_late if call.ticket == 1 else None
    world.ask("post", "x", seconds=0.5)
    late = next(c for _, c in world.calls if c.ticket == 1)
    sent = [a for a in emitted_actions(world, SendCall) if a.call is late]
    number = sent[0].connection
    index = next(
        i
        for i, a in enumerate(world.emitted)
        if isinstance(a, CloseConnection) and a.connection == number
    )
    later = [a for a in world.emitted[index:] if isinstance(a, SendCall)]
    assert number not in {a.connection for a in later}


def test_a_connection_with_an_unexpected_answer_is_closed():
    """Guards against a connection whose answers no longer match its calls."""
    world = World()
    world.fault = lambda m, call: duplicate if call.ticket == 1 else None
    world.ask("post", "x")
    assert "discarded_answer" in {
        a.reason for a in emitted_actions(world, CloseConnection)
    }
    assert world.metrics["answers.discarded.unexpected"] == 1


def test_unresponsive_connections_are_replaced_without_suspicion():
    """Guards against a failover because old connections stopped responding while new
    ones work, and against use of the unresponsive ones."""
    world = World(share=8, classes=CLASSES[:2], probe_interval=10)
    found = record_suspicions(world)
    for _ in range(4):
        world.send("post", "x")
    world.run(0.3)
    unresponsive = {c.number for c in pool(world).of_member("a")}
    perform = world._on_SendCall

    def drop(action):
        if action.connection in unresponsive:
            world.time_out(action.connection, action.call)
        else:
            perform(action)

    world._on_SendCall = drop
    stuck = world.send("post", "x")
    world.run(0.3)
    assert world.ask("post", "x", seconds=0.1).outcome.tag == "done"
    assert stuck not in world.replies
    replies = [world.ask("post", "x", seconds=1.5) for _ in range(3)]
    assert {reply.outcome.tag for reply in replies} == {"done"}
    assert not found
    assert not unresponsive & set(pool(world).connections)
    assert "connection_unresponsive" in world.logs


def test_a_member_is_suspected_when_a_fresh_connection_fails_too():
    """Guards against a failed primary that no daemon reports."""
    world = World()
    found = record_suspicions(world)
    world.down = {"a"}
    world.run(1.0)
    assert set(found) == {"a"}


def test_a_lost_member_loses_its_idle_connections():
    """Guards against idle connections that are kept after their member was lost."""
    world = World()
    world.down = {"b"}
    world.handle(MemberLost("stock", "b"))
    world.run(0.05)
    assert not list(pool(world).of_member("b"))


def test_a_leaving_member_gets_no_work_and_no_idle_connection():
    """Guards against new work for a member that announced that it leaves."""
    world = World()
    world.group.members["b"].leaving = True
    world.run(0.1)
    world.calls.clear()
    assert world.ask("own").outcome.peer == "c"
    assert not [member for member, _ in world.calls if member == "b"]
    assert not list(pool(world).of_member("b"))


@pytest.mark.parametrize(("max_age", "most"), [(None, 0.55), (0.4, 0.4 / 3)])
def test_the_primary_is_probed_as_often_as_the_staleness_bounds_need(max_age, most):
    """Guards against staleness bounds that cannot be proved for lack of samples."""
    world = World()
    world.template.classes["catalogue"].max_age = max_age
    world.run(3)
    times = [s.proved_at for s in world.database.samples if s.proved_at > 101]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert max(gaps) <= most


def test_probes_find_an_unresponsive_idle_connection():
    """Guards against an unresponsive connection that only the next request detects."""
    world = World()
    world.fault = lambda m, call: lose_call if m.name == "b" else None
    world.run(1.0)
    assert [
        a
        for a in emitted_actions(world, CloseConnection)
        if a.reason == "answer_timed_out"
    ]


def test_an_answer_on_an_unknown_connection_is_ignored():
    """Guards against an error on an event of a removed connection."""
    world = World()
    call = next(c for _, c in world.calls)
    answer = world.answer(world.group.members["a"], call, Result())
    world.handle(AnswerReceived(int(Random(1).random() * 1e6), call, answer, 0.0))
