"""Tests of transactions and their pinned connections."""

import json

import pytest
from datapath_world import World, lose_answer, lose_call

from bronzemoor_core.events import CallerGone, ConnectionClosed


def begin(world, **fields):
    reply = world.ask("post", kind="begin", request_id="", **fields)
    assert reply.outcome.tag == "done"
    return {"transaction": reply.outcome.transaction, "session": reply.session}


def connection_of(world, tx):
    return world.node.blackboard.transactions.open[tx["transaction"]].connection


def is_open(world, tx):
    return tx["transaction"] in world.node.blackboard.transactions.open


def test_a_transaction_sees_only_its_own_writes():
    """Guards against mixing the work of two transactions."""
    world = World()
    one, two = begin(world), begin(world)
    assert connection_of(world, one) != connection_of(world, two)
    for tx, text in ((one, "1"), (two, "2"), (one, "3")):
        reply = world.ask("post", text, **tx)
    assert json.loads(reply.outcome.payload) == ["1", "3"]
    done = world.ask("post", kind="commit", **one)
    assert json.loads(done.outcome.payload) == ["1+3"]
    world.ask("post", kind="rollback", **two)
    read = world.ask("own", session=done.session)
    assert json.loads(read.outcome.payload) == ["1+3"]
    assert not world.node.blackboard.transactions.open


def test_a_commit_waits_for_its_majority():
    """Guards against a commit acknowledged by the primary alone."""
    world = World()
    tx = begin(world)
    world.ask("post", "x", **tx)
    world.group.followers = set()
    reply = world.ask("post", kind="commit", seconds=3, **tx)
    assert (reply.outcome.tag, reply.outcome.code) == ("unknown", "not_confirmed")


def test_a_commit_with_a_lost_answer_is_looked_up():
    """Guards against *unknown* for a commit whose result is recorded."""
    world = World(call_timeout=0.2)
    tx = begin(world)
    world.ask("post", "x", **tx)
    world.fault = lambda m, call: lose_answer if call.kind == "commit" else None
    reply = world.ask("post", kind="commit", seconds=2, request_id="c-1", **tx)
    assert (reply.outcome.tag, reply.outcome.repeated) == ("done", True)
    world.fault = lambda m, call: None
    again = world.ask("post", kind="commit", seconds=2, request_id="c-1", **tx)
    assert (again.outcome.tag, again.outcome.repeated) == ("done", True)


def test_a_lost_commit_without_a_result_is_unknown():
    """Guards against *not run* for a commit that may still arrive."""
    world = World(call_timeout=0.2)
    tx = begin(world)
    world.fault = lambda m, call: lose_call if call.kind == "commit" else None
    reply = world.ask("post", kind="commit", seconds=3, **tx)
    assert reply.outcome.tag == "unknown"
    assert not is_open(world, tx)


def test_a_lost_statement_ends_the_transaction():
    """Guards against reusing a connection whose last answer is outstanding."""
    world = World(call_timeout=0.2)
    tx = begin(world)
    number = connection_of(world, tx)
    world.fault = lambda m, call: lose_answer if call.kind == "execute" else None
    reply = world.ask("post", "x", seconds=1, **tx)
    assert (reply.outcome.tag, reply.outcome.code) == ("unknown", "transaction_lost")
    assert not is_open(world, tx)
    assert number not in world.node.blackboard.pools.connections


@pytest.mark.parametrize(
    "change",
    [
        {"session": ""},
        {"transaction": "vm-1.1.0000000000000000"},
        {"transaction": "nonsense"},
    ],
)
def test_another_session_cannot_use_a_transaction(change):
    """Guards against statements of other sessions in a transaction, and unknown ids."""
    world = World()
    tx = begin(world)
    reply = world.ask("post", "x", **{**tx, **change})
    outcome = reply.outcome
    assert (outcome.tag, outcome.code) == ("not_run", "unknown_transaction")


def test_a_transaction_runs_one_statement_at_a_time():
    """Guards against two statements whose answers could be mixed up."""
    world = World()
    tx = begin(world)
    world.send("post", "x", **tx)
    reply = world.ask("post", "y", **tx)
    assert (reply.outcome.tag, reply.outcome.code) == ("not_run", "transaction_busy")


@pytest.mark.parametrize(
    ("limits", "pause"),
    [({"transaction_idle": 0.5}, 0.6), ({"transaction_limit": 0.5}, 0.1)],
)
def test_idle_and_long_transactions_are_rolled_back(limits, pause):
    """Guards against transactions that hold a connection forever."""
    world = World(**limits)
    tx = begin(world)
    number = connection_of(world, tx)
    for _ in range(6):
        world.run(pause)
        last = world.ask("post", "x", seconds=0.01, **tx)
    assert (last.outcome.tag, last.outcome.code) == ("not_run", "unknown_transaction")
    assert number not in world.node.blackboard.pools.connections
    assert "transaction_expired" in world.logs


def test_a_commit_after_the_limit_was_not_run():
    """Guards against *unknown* where this proxy knows that no commit was sent."""
    world = World(transaction_idle=0.2)
    tx = begin(world)
    world.run(0.5)
    reply = world.ask("post", kind="commit", **tx)
    assert (reply.outcome.tag, reply.outcome.code) == ("not_run", "unknown_transaction")


def test_a_transaction_is_rolled_back_when_its_caller_disconnects():
    """Guards against a transaction that stays open after its caller disconnects."""
    world = World()
    tx = begin(world)
    number = connection_of(world, tx)
    ticket = world.send("post", "x", **tx)
    world.handle(CallerGone(ticket))
    world.run(0.1)
    assert not is_open(world, tx)
    assert number not in world.node.blackboard.pools.connections


def test_a_caller_that_disconnects_during_begin_opens_no_transaction():
    """Guards against an open transaction that has no caller."""
    world = World()
    world.handle(CallerGone(world.send("post", kind="begin")))
    world.run(0.1)
    assert not world.node.blackboard.transactions.open
    assert not world.group.members["a"].open


@pytest.mark.parametrize("busy", [True, False])
def test_a_transaction_ends_with_its_connection(busy):
    """Guards against a transaction that stays open after its connection closed."""
    world = World()
    tx = begin(world)
    number = connection_of(world, tx)
    if busy:
        world.fault = lambda m, call: lose_call if call.ticket else None
        ticket = world.send("post", "x", **tx)
    world.handle(ConnectionClosed(number, "reset"))
    assert not is_open(world, tx)
    if busy:
        assert world.replies[ticket].outcome.tag == "unknown"


def test_a_rollback_needs_no_answer():
    """Guards against *unknown* for a rollback: closing the connection rolls back."""
    world = World(call_timeout=0.2)
    tx = begin(world)
    world.fault = lambda m, call: lose_call if call.kind == "rollback" else None
    reply = world.ask("post", kind="rollback", request_id="", seconds=0.5, **tx)
    assert reply.outcome.tag == "done"
    assert not is_open(world, tx)
