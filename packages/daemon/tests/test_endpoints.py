"""Tests of connections to endpoints: each action results in one accurate event."""

import time
from threading import Event, Thread

import pytest

from bronzemoor_core.actions import Call, OpenConnection, Order, SendCall, SendOrder
from bronzemoor_core.events import (
    AnswerReceived,
    AnswerTimedOut,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    OrderAnswered,
    OrderFailed,
    Statement,
)
from bronzemoor_daemon.endpoints import CALL_ENCODERS, EndpointConnections


@pytest.fixture
def connections():
    connections = EndpointConnections("vm-1")
    yield connections
    connections.close_all()


def open_connection(connections, endpoint, number=1):
    event = connections.open(OpenConnection(number, "db", "m1", endpoint.address, 1.0))
    assert type(event) is ConnectionOpened
    return event


def execute(timeout=1.0, number=1):
    call = Call("execute", 7, 1, timeout, "r1", statements=(Statement("SELECT 1"),))
    return SendCall(number, call)


def test_call_returns_the_unchecked_answer(connections, endpoint):
    """Guards against an answer that is checked or changed before the core sees it."""
    endpoint.payload = b'[{"rows": []}]'
    open_connection(connections, endpoint)
    event = connections.call(execute())
    assert type(event) is AnswerReceived
    answer = event.answer
    assert (answer.status, answer.correlation_id, answer.payload) == (
        "ok",
        7,
        b'[{"rows": []}]',
    )
    name, sent = endpoint.calls[-1]
    assert (name, sent.statements[0].sql, sent.request_id) == (
        "execute",
        "SELECT 1",
        "r1",
    )


def test_every_kind_of_call_has_an_encoder():
    """Guards against a call kind that the daemon cannot encode."""
    for kind, encode in CALL_ENCODERS.items():
        argument = encode(Call(kind, 7, request_id="r1"))
        assert argument.correlation_id == 7, kind


def test_a_missing_answer_times_out_near_the_limit(connections, endpoint):
    """Guards against a call that hangs or is reported as closed."""
    endpoint.script = lambda endpoint, call: time.sleep(0.5)
    open_connection(connections, endpoint)
    started = time.monotonic()
    event = connections.call(execute(timeout=0.1))
    assert type(event) is AnswerTimedOut
    assert 0.1 <= time.monotonic() - started < 0.4


def test_a_closed_idle_connection_counts_as_not_sent(connections, endpoint):
    """Guards against "unknown" for a request that the endpoint never received."""
    open_connection(connections, endpoint)
    endpoint.transports[-1].close()
    time.sleep(0.05)
    event = connections.call(execute())
    assert (type(event), event.sent) == (ConnectionClosed, False)
    assert connections.call(execute()).sent is False


def test_a_connection_that_breaks_after_sending_counts_as_sent(connections, endpoint):
    """Guards against "not run" for a request that may have run."""
    endpoint.script = lambda endpoint, call: endpoint.transports[-1].close()
    open_connection(connections, endpoint)
    event = connections.call(execute())
    assert (type(event), event.sent) == (ConnectionClosed, True)


def test_close_ends_a_call_in_progress(connections, endpoint):
    """Guards against a thread that stays blocked on a closed connection."""
    arrived, release = Event(), Event()

    def block_call(endpoint, call):
        arrived.set()
        release.wait(5)

    endpoint.script = block_call
    open_connection(connections, endpoint)
    events = []
    thread = Thread(target=lambda: events.append(connections.call(execute(5.0))))
    thread.start()
    assert arrived.wait(2)
    assert connections.close(1)
    thread.join(2)
    release.set()
    assert [type(event) for event in events] == [ConnectionClosed]


def test_a_close_while_opening_takes_effect(connections, endpoint):
    """Guards against a connection that stays open although the core closed it."""
    connections.register_open(1)
    assert not connections.close(1)
    event = connections.open(OpenConnection(1, "db", "m1", endpoint.address, 1.0))
    assert type(event) is ConnectionFailed
    assert len(connections) == 0


def test_open_fails_without_a_listener_or_an_answer(connections, endpoint):
    """Guards against an open that never ends."""
    action = OpenConnection(1, "db", "m1", "127.0.0.1:1", 0.2)
    assert type(connections.open(action)) is ConnectionFailed
    action = OpenConnection(2, "db", "m1", "no address", 0.2)
    assert type(connections.open(action)) is ConnectionFailed


def test_orders_use_a_separate_connection(connections, endpoint):
    """Guards against an order that is queued behind statements."""
    order = Order("fence", 9, "db", "m1", endpoint.address, 4)
    event = connections.send_order(SendOrder(order, 1.0))
    assert (type(event), event.answer.correlation_id) == (OrderAnswered, 9)
    assert len(connections) == 0
    order = Order("fence", 9, "db", "m1", "127.0.0.1:1", 4)
    assert type(connections.send_order(SendOrder(order, 0.2))) is OrderFailed
