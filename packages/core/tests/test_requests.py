"""Tests of the life cycle of requests and their outcomes."""

import json

import pytest
from datapath_world import (
    CLASSES,
    Group,
    Result,
    World,
    arrive_late,
    break_connection,
    corrupt,
    delay,
    lose_answer,
    lose_call,
    slow,
)

from bronzemoor_core.events import CallerGone, ConnectionClosed, Statement


def fault_once(kind, fault, member=None):
    """Returns a fault of the first matching call only."""
    left = [fault]

    def choose_fault(target, call):
        if call.kind == kind and member in (None, target.name) and left:
            return left.pop()
        return None

    return choose_fault


def calls(world, kind):
    return [(member, call) for member, call in world.calls if call.kind == kind]


def execution_count(world, request_id):
    return [r for r, _ in world.group.executions].count(request_id)


def test_a_write_is_confirmed_and_then_read_by_its_session():
    """Guards against a session that does not read its own write from a replica."""
    world = World()
    written = world.ask("post", "order-1")
    assert written.outcome.tag == "done"
    read = world.ask("own", session=written.session)
    assert read.outcome.tag == "done"
    assert json.loads(read.outcome.payload) == ["order-1"]
    assert read.outcome.role == "replica"
    assert world.metrics["reads.replica"] == 1


def test_a_write_waits_for_its_majority():
    """Guards against a write acknowledged by the primary alone."""
    world = World()
    world.group.followers = set()
    ticket = world.send("post", "x")
    world.run(0.1)
    assert ticket not in world.replies
    world.group.followers = {"b"}
    world.group.replicate(world.group.members["a"])
    world.run(0.1)
    assert world.replies[ticket].outcome.tag == "done"


def test_an_unconfirmed_write_is_unknown():
    """Guards against *not run* for a write that a promotion may keep."""
    world = World()
    world.group.followers = set()
    reply = world.ask("post", "x", seconds=3)
    assert (reply.outcome.tag, reply.outcome.code) == ("unknown", "not_confirmed")


def test_an_answer_that_shows_a_majority_needs_no_confirmation():
    """Guards against a round trip to confirm what the answer already shows."""
    world = World()
    assert world.ask("post", "x").outcome.tag == "done"
    assert not calls(world, "confirm")


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"organisation": "other"}, "unknown_organisation"),
        ({"database": "other"}, "unknown_database"),
        ({"request_class": "other"}, "unknown_class"),
        ({"kind": "other"}, "unknown_kind"),
        ({"deadline": 1.0}, "deadline"),
        ({"request_id": ""}, "missing_request_id"),
        ({"statements": ()}, "no_statements"),
        ({"session": "forged.token"}, "invalid_session_token"),
        ({"transaction": "vm-1.1.x"}, "unknown_transaction"),
        (
            {"request_class": "own", "statements": (Statement("delete from t"),)},
            "write_in_read_class",
        ),
    ],
)
def test_an_invalid_request_is_not_run(fields, code):
    """Guards against unstable codes and against sending an invalid request."""
    world = World()
    reply = world.ask(**{"request_class": "post", "text": "x", **fields})
    assert (reply.outcome.tag, reply.outcome.code) == ("not_run", code)
    assert not calls(world, "execute")


def test_a_write_waits_for_a_new_primary():
    """Guards against refusing writes during a failover instead of queueing them."""
    world = World()
    world.database.primary = ""
    ticket = world.send("post", "x")
    world.run(0.5)
    assert ticket not in world.replies
    world.fail_over("a")
    world.run(0.2)
    assert world.replies[ticket].outcome.tag == "done"
    assert world.replies[ticket].outcome.peer != "a"


def test_a_write_without_a_primary_is_not_run_at_its_deadline():
    """Guards against a request that waits forever."""
    world = World()
    world.database.primary = ""
    reply = world.ask("post", "x", seconds=2.1)
    assert (reply.outcome.tag, reply.outcome.code) == ("not_run", "deadline")


@pytest.mark.parametrize("fault", [lose_call, lose_answer, break_connection, corrupt])
def test_a_repeatable_write_is_sent_again_under_its_id(fault):
    """Guards against losing a write, or running it twice, when its answer is lost."""
    world = World(call_timeout=0.2)
    world.fault = fault_once("execute", fault)
    reply = world.ask("post", "x", seconds=1, request_id="w-1")
    assert reply.outcome.tag == "done"
    assert execution_count(world, "w-1") == 1
    assert {call.request_id for _, call in calls(world, "execute")} == {"toile/w-1"}
    assert reply.outcome.repeated == (fault is not lose_call)


def test_a_resent_request_gets_the_first_answer():
    """Guards against a second execution when a caller resends its request."""
    world = World()
    first = world.ask("post", "x", request_id="w-1")
    second = world.ask("post", "x", request_id="w-1")
    assert second.outcome.repeated
    assert second.outcome.payload == first.outcome.payload
    assert execution_count(world, "w-1") == 1


def test_retries_stop_with_the_budget():
    """Guards against retries that multiply the load of a failing endpoint."""
    world = World(call_timeout=0.02)
    world.fault = lambda member, call: lose_call if call.kind == "execute" else None
    for _ in range(60):
        world.send("post", "x")
    world.run(2.5)
    assert world.metrics["retries"] <= 30
    assert {r.outcome.tag for r in world.replies.values()} <= {"unknown", "not_run"}


def test_a_payout_is_reserved_and_sent_once():
    """Guards against a second send of a request that must not be repeated."""
    world = World(call_timeout=0.2)
    world.fault = fault_once("execute", lose_call)
    reply = world.ask("payout", "100", seconds=3, request_id="p-1")
    assert (reply.outcome.tag, reply.outcome.code) == ("unknown", "answer_timed_out")
    assert len(calls(world, "execute")) == 1
    again = world.ask("payout", "100", seconds=3, request_id="p-1")
    assert (again.outcome.tag, again.outcome.code) == ("unknown", "reserved_elsewhere")
    assert len(calls(world, "execute")) == 1


def test_a_restarted_process_does_not_reuse_its_earlier_reservation():
    """Guards against a second execution by a process that restarted under its name
    and incarnation, or by two processes that share them."""
    group = Group()
    for seed in (1, 2):
        world = World(seed=seed, group=group, now=100.0 * seed)
        world.fault = fault_once("execute", lose_call) if seed == 1 else world.fault
        reply = world.ask("payout", "100", seconds=3, request_id="p-1")
    assert (reply.outcome.tag, reply.outcome.code) == ("unknown", "reserved_elsewhere")


@pytest.mark.parametrize("fault", [lose_answer, arrive_late, break_connection])
def test_a_lost_payout_answer_is_looked_up(fault):
    """Guards against *unknown* for a payout whose result is recorded."""
    world = World(call_timeout=0.2)
    world.fault = fault_once("execute", fault)
    reply = world.ask("payout", "100", seconds=3, request_id="p-1")
    assert (reply.outcome.tag, reply.outcome.repeated) == ("done", True)
    assert execution_count(world, "p-1") == 1


def test_a_reservation_is_confirmed_before_the_statements_are_sent():
    """Guards against a reservation that a promotion may lose."""
    world = World()
    world.group.followers = set()
    reply = world.ask("payout", "100", seconds=3, request_id="p-1")
    assert (reply.outcome.tag, reply.outcome.code) == ("not_run", "not_confirmed")
    assert not calls(world, "execute")


@pytest.mark.parametrize("recorded", [False, True])
def test_a_replaced_primary_does_not_acknowledge(recorded):
    """Guards against an acknowledgement by a primary of an older term, even one that
    claims a majority: the topology's term decides, and the new primary is asked."""
    world = World()
    world.group.followers = set()
    old = world.group.members["a"]
    if recorded:
        old.append("w-1", "x")
    world.fault = fault_once("execute", delay, "a")
    ticket = world.send("post", "x", request_id="w-1")
    world.run(0.17)
    world.fail_over("a")
    old.acks = {"b": 100, "c": 100}
    world.run(0.5)
    outcome = world.replies[ticket].outcome
    assert (outcome.tag, outcome.code) == ("unknown", "deposed_primary")
    assert [member for member, _ in calls(world, "lookup")] == [world.database.primary]


def test_a_record_of_an_older_term_is_confirmed_by_its_primary():
    """Guards against *unknown* for a result that was recorded before a failover."""
    world = World()
    first = world.ask("post", "x", request_id="w-1")
    world.fail_over("a")
    again = world.ask("post", "x", request_id="w-1")
    assert (again.outcome.tag, again.outcome.repeated) == ("done", True)
    assert again.outcome.payload == first.outcome.payload
    assert len(calls(world, "confirm")) == 1


def test_a_write_at_a_replaced_primary_is_retried_at_the_new_one():
    """Guards against a write that waits for an isolated primary until its timeout."""
    world = World()
    world.fault = lambda m, call: lose_call if m.name == "a" else None
    ticket = world.send("post", "x", request_id="w-1")
    world.run(0.05)
    world.fail_over("a")
    world.run(0.15)
    assert world.replies[ticket].outcome.tag == "done"
    assert "retries.denied" not in world.metrics


def test_reads_at_the_primary_in_place_of_replicas_are_limited():
    """Guards against lagging replicas whose reads all go to the primary, and against
    reads that are never resumed after waiting for a fallback slot."""
    world = World(share=12)
    session = world.ask("post", "x").session
    # Opens more connections to the primary than reads may use.
    for _ in range(6):
        world.send("post", "x")
    world.run(0.2)
    for name in ("b", "c"):
        world.group.members[name].log = []
        world.node.blackboard.pools.databases["stock"].link(name).lag = 1.0
    world.run(0.02)
    world.calls.clear()
    world.fault = slow(0.05)
    tickets = [world.send("own", session=session) for _ in range(8)]
    world.run(0.01)
    assert len(calls(world, "execute")) == 2
    world.run(0.4)
    assert all(world.replies[t].outcome.tag == "done" for t in tickets)


def test_a_late_answer_of_a_replaced_primary_is_resolved_at_the_new_one():
    """Guards against *unknown* for a write that the new primary holds."""
    world = World()
    world.fault = fault_once("execute", delay, "a")
    ticket = world.send("post", "x", request_id="w-1")
    world.run(0.0015)
    old_primary = world.group.members["a"]
    connection = world.node.blackboard.pools.by_ticket[ticket]
    call = calls(world, "execute")[0][1]
    world.group.serve(old_primary, call, world.connection_key(connection))
    world.fail_over("a")
    world.run(0.5)
    outcome = world.replies[ticket].outcome
    assert (outcome.tag, outcome.repeated) == ("done", True)


def never_sent(world, connection, call, deliver):
    world.schedule(0.001, ConnectionClosed(connection, "broken", sent=False))


def test_a_call_that_was_never_sent_is_not_run():
    """Guards against *unknown* for a call that the driver could not send."""
    world = World(classes=CLASSES[:1])
    world.fault = lambda m, call: never_sent if call.kind == "execute" else None
    reply = world.ask("post", "x", seconds=3)
    assert reply.outcome.tag == "not_run"


def test_a_payout_that_was_never_sent_is_sent_later():
    """Guards against *unknown* for a payout whose connection closed before the send."""
    world = World()
    world.fault = fault_once("execute", never_sent)
    reply = world.ask("payout", "100", seconds=1, request_id="p-1")
    assert reply.outcome.tag == "done"
    assert execution_count(world, "p-1") == 1
    again = world.ask("payout", "100", request_id="p-1")
    assert (again.outcome.tag, again.outcome.repeated) == ("done", True)
    assert execution_count(world, "p-1") == 1


def test_a_failed_statement_is_a_result():
    """Guards against retrying a statement that ran and failed."""
    world = World()
    world.group._execute = lambda member, call, connection: Result("failed")
    reply = world.ask("post", "x")
    assert (reply.outcome.tag, reply.outcome.code) == ("done", "statement_failed")
    assert len(calls(world, "execute")) == 1


@pytest.mark.parametrize(
    ("code", "outcome"),
    [
        ("request_id_reused", ("not_run", "request_id_reused")),
        ("write_in_read", ("not_run", "write_in_read_class")),
        ("deadline", ("not_run", "deadline")),
        ("reserved", ("unknown", "reserved_elsewhere")),
        ("busy", ("not_run", "busy")),
    ],
)
def test_refusals_map_to_stable_codes(code, outcome):
    """Guards against refusals that callers cannot tell apart."""
    world = World()
    world.group._execute = lambda member, call, connection: Result("refused", code)
    reply = world.ask("post", "x", seconds=3)
    assert (reply.outcome.tag, reply.outcome.code) == outcome


def test_a_read_is_retried_when_its_replica_lags():
    """Guards against a read that fails because a replica lags its reported position."""
    world = World()
    session = world.ask("post", "x").session
    for name in ("b", "c"):
        world.group.members[name].log = []
    reply = world.ask("own", session=session)
    assert json.loads(reply.outcome.payload) == ["x"]
    assert reply.outcome.role == "primary"


def test_reads_avoid_an_unreachable_replica():
    """Guards against reads that wait for a failed replica until its lease expires."""
    world = World()
    world.down = {"b"}
    for connection, member in list(world.opened.items()):
        if member == "b":
            world.handle(ConnectionClosed(connection, "reset"))
    for _ in range(5):
        reply = world.ask("own", seconds=0.1)
        assert (reply.outcome.tag, reply.outcome.peer) == ("done", "c")


def test_a_read_is_retried_when_its_member_is_unreachable():
    """Guards against a read that waits for a failed member until its deadline."""
    world = World(open_timeout=0.1)
    world.down = {"b"}
    world.fault = lambda m, call: lose_call if m.name == "b" else None
    ticket = world.send("own")
    world.run(0.7)
    outcome = world.replies[ticket].outcome
    assert (outcome.tag, outcome.peer) == ("done", "c")


def test_a_write_in_progress_completes_after_its_caller_disconnects():
    """Guards against aborting a write, or replying, after the caller disconnected."""
    world = World()
    ticket = world.send("post", "x", request_id="w-1")
    world.handle(CallerGone(ticket))
    world.run(0.2)
    assert execution_count(world, "w-1") == 1
    assert ticket not in world.replies
    assert not world.node.blackboard.requests.active


def test_a_waiting_request_ends_when_its_caller_disconnects():
    """Guards against running a request whose caller has disconnected."""
    world = World(share=0)
    ticket = world.send("post", "x")
    world.handle(CallerGone(ticket))
    assert not world.node.blackboard.requests.active
    assert world.node.blackboard.queues.depth("stock") == 0


def test_an_age_bound_is_proved_by_a_sample():
    """Guards against reads from a replica that is older than the bound, and against
    reads at the primary while replicas are young enough."""
    world = World()
    world.run(1)
    fresh = world.ask("catalogue")
    assert (fresh.outcome.role, fresh.outcome.tag) == ("replica", "done")
    call = calls(world, "execute")[-1][1]
    samples = world.database.samples
    assert samples
    assert call.min_position in {sample.position for sample in samples}


def test_a_replica_older_than_the_bound_serves_no_read():
    """Guards against a read from the nearest replica after it stopped replicating."""
    world = World()
    world.run(1)
    world.group.followers = {"c"}
    world.ask("post", "x")
    for _ in range(20):
        reply = world.ask("catalogue")
    assert json.loads(reply.outcome.payload) == ["x"]
    assert reply.outcome.peer == "c"


def test_an_isolated_primary_cannot_prove_the_age_of_a_read():
    """Guards against a stale read that a replaced primary presents as fresh."""
    world = World()
    world.database.samples.clear()
    world.group.confirmed_ago_ms = 5_000
    read = (Statement("select x from t"),)
    reply = world.ask("catalogue", seconds=2.1, statements=read)
    assert reply.outcome.tag != "done"
