"""Tests of client connections: limits, slow clients, disconnects, listener close."""

import contextlib
import json
import socket
import time
from threading import Event, Thread

import pytest

from bronzemoor_core.actions import Reply
from bronzemoor_core.events import CallerGone, RequestReceived


def send_raw(application, data, timeout=3.0):
    """Sends bytes; returns the response up to a closing brace or the end."""
    with socket.create_connection(application.http_address, timeout) as connection:
        connection.sendall(data)
        received = b""
        while chunk := connection.recv(65_536):
            received += chunk
            if received.endswith(b"}"):
                break
    return received


def test_an_oversized_body_is_a_typed_error(pass_through_app, connect):
    """Guards against a body that exhausts memory or is refused without a code."""
    client = connect(pass_through_app)
    status, answer = client.post("/v1/statements", b"x" * 1_100_000)
    assert (status, answer["code"], answer["outcome"]) == (
        413,
        "body_too_large",
        "not_run",
    )
    assert client.headers["Connection"] == "close"


def test_a_chunked_body_is_bounded_and_read(pass_through_app, connect, body):
    """Guards against a chunked body that evades the limit or is ignored."""
    client = connect(pass_through_app)
    data = json.dumps(body()).encode()
    client.http.request("POST", "/v1/statements", iter([data[:9], data[9:]]))
    response = client.http.getresponse()
    assert response.status == 200
    response.read()
    client.http.request("POST", "/v1/statements", iter([b"x" * 1_100_000]))
    assert client.http.getresponse().status == 413


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff\r\n\r\n",
        b"POST /v1/statements HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"POST /v1/statements HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n",
        b"POST /v1/statements HTTP/1.1\r\nA: " + b"x" * 100_000 + b"\r\n\r\n",
    ],
    ids=lambda data: repr(data[:40]),
)
def test_malformed_http_leaves_the_daemon_serving(
    pass_through_app, connect, body, data
):
    """Guards against input that kills a worker thread."""
    with contextlib.suppress(OSError):
        send_raw(pass_through_app, data)
    assert connect(pass_through_app).post("/v1/statements", body())[0] == 200


def test_unsent_requests_hold_no_thread(pass_through_app, connect, body):
    """Guards against idle or half-open clients that occupy all threads."""
    idle = [socket.create_connection(pass_through_app.http_address) for _ in range(50)]
    try:
        assert connect(pass_through_app).post("/v1/statements", body())[0] == 200
    finally:
        for connection in idle:
            connection.close()


def test_an_incomplete_body_is_answered_after_the_read_timeout(start, settings):
    """Guards against a slow sender that occupies a thread forever."""
    settings.listen.read_timeout = 0.2
    application = start(None, settings)
    started = time.monotonic()
    answer = send_raw(
        application, b"POST /v1/statements HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"
    )
    assert b'"code":"invalid_request"' in answer
    assert time.monotonic() - started < 2


class UnresponsiveNode:
    """A node that never answers a request."""

    def __init__(self, node):
        self._node, self.seen = node, []
        self.blackboard, self.settings = node.blackboard, node.settings

    def handle(self, now, event):
        if type(event) in (RequestReceived, CallerGone):
            self.seen.append(event)
            return []
        return self._node.handle(now, event)


def test_a_disconnected_client_is_detected(start, body):
    """Guards against requests that keep waiting for a disconnected client."""
    application = start(UnresponsiveNode)
    with socket.create_connection(application.http_address) as connection:
        data = json.dumps(body()).encode()
        head = f"POST /v1/statements HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
        connection.sendall(head.encode() + data)
        wait_for(lambda: application.driver.node.seen)
    wait_for(lambda: len(application.driver.node.seen) == 2)
    assert type(application.driver.node.seen[1]) is CallerGone


def test_requests_are_served_while_all_threads_wait(start, settings, connect, body):
    """Guards against waiting requests that block the announcements they wait for."""
    settings.listen.threads = 2
    application = start(UnresponsiveNode, settings)
    clients = [connect(application) for _ in range(8)]
    for client in clients:
        client.http.request("POST", "/v1/statements", json.dumps(body()))
    assert connect(application).get("/live") == (200, {"live": True})


def test_a_stop_while_threads_are_added_ends(start, settings, connect, body):
    """Guards against a stop that waits for a thread whose request to end was taken.

    A thread that is added while the server stops took it; the pool joins only the
    threads that it knew before, and one of these then never ended.
    """
    settings.listen.threads = 2
    application = start(UnresponsiveNode, settings)
    pool = application._http_server.requests
    spawn, growing = pool._spawn_worker, Event()

    def spawn_slowly():
        worker = spawn()
        growing.set()
        time.sleep(0.05)
        return worker

    pool._spawn_worker = spawn_slowly
    clients = [connect(application) for _ in range(8)]
    for client in clients:
        client.http.request("POST", "/v1/statements", json.dumps(body()))
    assert growing.wait(5)
    stopping = Thread(target=application.kill, daemon=True)
    stopping.start()
    stopping.join(10)
    assert not stopping.is_alive()


def wait_for(condition, seconds=3.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_the_listener_closes_before_the_connections(pass_through_app, connect, body):
    """Guards against a stop that cuts kept-alive clients off."""
    client = connect(pass_through_app)
    assert client.post("/v1/statements", body())[0] == 200
    assert client.headers["Connection"] is None
    pass_through_app._http_server.draining = True
    pass_through_app._http_server.close_listener()
    with pytest.raises(OSError):
        socket.create_connection(pass_through_app.http_address, 1)
    assert client.post("/v1/statements", body())[0] == 200
    assert client.headers["Connection"] == "close"


def test_a_reply_without_request_is_ignored(pass_through_app, connect, body):
    """Guards against a late reply that reaches another client's request."""
    pass_through_app.driver._route_reply(Reply(999_999, None))
    assert connect(pass_through_app).post("/v1/statements", body())[0] == 200
