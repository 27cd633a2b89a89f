"""Tests of connections and of answer faults."""

import socket
import time

import pytest

from bronzemoor_standin.gen.endpoint.ttypes import Query, Status


@pytest.fixture
def member(single):
    return single.primary


def test_silent_connections_stay_open_while_new_ones_work(member, call):
    """Guards against closing a silenced connection, which its client would notice."""
    old = call(member, 500)
    member.faults.silence()
    with pytest.raises(TimeoutError):
        old.execute("CREATE TABLE t (a)")
    new = call(member)
    assert new.execute("SELECT * FROM t").status == Status.FAILED
    assert new.execute("SELECT 1").status == Status.OK


def test_dropped_answer_hides_a_write_that_ran(member, call):
    """Guards against a dropped answer that also drops the write."""
    caller = call(member, 500)
    member.faults.set({"drop_rate": 1, "answers_left": 1})
    with pytest.raises(TimeoutError):
        caller.execute("CREATE TABLE t (a)")
    assert call(member).rows("SELECT * FROM t") == []


@pytest.mark.parametrize(
    ("fault", "received"),
    [
        ({"duplicate_rate": 1.0}, [1, 1, 2]),
        ({"late_rate": 1.0}, [1, 2]),
        ({"reorder_rate": 1.0}, [2, 1]),
        ({"delay_rate": 1.0, "delay_ms": 1}, [1, 2]),
    ],
)
def test_answers_arrive_in_the_order_of_the_fault(member, call, fault, received):
    """Guards against a fault switch that does nothing."""
    client = call(member).client
    member.faults.set(fault | {"answers_left": 1})
    client.send("ping", Query(correlation_id=1))
    client.send("ping", Query(correlation_id=2))
    answers = [client.receive("ping", any_sequence=True) for _ in received]
    assert [answer.correlation_id for answer in answers] == received


def test_oversized_call_is_refused_and_the_connection_stays(member, call):
    """Guards against unbounded memory, and against a refusal without an answer."""
    caller = call(member)
    reply = caller.execute("SELECT ?", "x" * 200_000)
    assert (reply.status, reply.code) == (Status.REFUSED, "message_too_large")
    assert reply.correlation_id == 7
    assert caller.execute("SELECT 1").status == Status.OK


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\0\0\0\4abcd", b"GET / HTTP"])
def test_invalid_data_closes_only_its_own_connection(member, call, data):
    """Guards against a client of another protocol that stops the member."""
    host, port = member.address.split(":")
    with socket.create_connection((host, int(port)), 5) as client:
        client.sendall(data)
        client.shutdown(socket.SHUT_WR)
        assert client.recv(1) == b""
    assert call(member).execute("SELECT 1").status == Status.OK


def test_frozen_member_answers_after_it_is_released(member, call):
    """Guards against a freeze that lets calls through or that does not end."""
    caller = call(member, 500)
    member.faults.frozen = True
    with pytest.raises(TimeoutError):
        caller.execute("SELECT 1")
    member.faults.frozen = False
    assert call(member).execute("SELECT 1").status == Status.OK


def test_one_way_delay_counts_twice(member, call):
    """Guards against a delay that is not applied in both directions."""
    caller = call(member)
    member.faults.client_one_way_ms = {"test": 20.0}
    started = time.monotonic()
    caller.execute("SELECT 1")
    assert time.monotonic() - started >= 0.04


def test_idle_transaction_is_rolled_back(single, call, eventually):
    """Guards against an unresponsive client that blocks writers forever."""
    single.primary.settings.transaction_idle_ms = 50
    lost, other = call(single.primary), call(single.primary)
    other.execute("CREATE TABLE t (a)")
    lost.transaction("begin", "t1")
    lost.execute("INSERT INTO t VALUES (1)", transaction_id="t1")
    assert other.execute("INSERT INTO t VALUES (2)").status == Status.OK
    assert other.rows("SELECT a FROM t") == [[2]]
