"""Tests of the HTTP pages that a daemon answers on its event loop."""

import asyncio

import pytest

from bronzemoor_daemon.wire import pages
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.pages import (
    MAX_HEAD_BYTES,
    make_metrics_page,
    make_readiness_page,
    serve_page,
)


def exchange(page, *requests: bytes) -> bytes:
    """Sends the requests on one connection and returns all that is answered."""

    async def run() -> bytes:
        server = await serve_page("127.0.0.1:0", page)
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()[:2]
        )
        for request in requests:
            writer.write(request)
            # Requests may also arrive in parts.
            await asyncio.sleep(0.01)
        async with asyncio.timeout(3):
            answer = await reader.read()
        writer.close()
        server.close()
        return answer

    return asyncio.run(run())


def test_readiness_follows_the_daemon():
    """Guards against a proxy that is offered work it cannot serve, or none."""
    last = b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    answer = exchange(make_readiness_page(lambda: True), last)
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    answer = exchange(make_readiness_page(lambda: False), last)
    assert answer.startswith(b"HTTP/1.1 503 Service Unavailable\r\n")


def test_requests_on_one_connection_are_answered_in_order():
    """Guards against lost requests when several, or a part of one, are read at once."""
    answer = exchange(
        lambda path: (200, "text/plain", path.encode()),
        b"GET /first HTTP/1.1\r\n\r\nGET /second?x=1 HTTP/1.1\r\n\r\nGET /thi",
        b"rd HTTP/1.0\r\n\r\n",
    )
    bodies = [part.rpartition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1 ")]
    assert bodies[1:] == [b"/first", b"/second", b"/third"]


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"\r\n\r\n", b"400"),
        (b"GET\r\n\r\n", b"400"),
        (b"GET no-path HTTP/1.1\r\n\r\n", b"400"),
        (b"\xff\x00 \xfe \x80\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\n\r\n", b"405"),
        (b"G" * (MAX_HEAD_BYTES + 1), b"400"),
    ],
)
def test_what_cannot_be_read_is_refused_and_closed(request_bytes, status):
    """Guards against a malformed request that ends the process or holds memory."""
    answer = exchange(make_readiness_page(lambda: True), request_bytes)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert answer.count(b"HTTP/1.1") == 1


def test_a_silent_connection_is_closed(monkeypatch):
    """Guards against connections that use up the descriptors of a daemon."""
    monkeypatch.setattr(pages, "IDLE_TIMEOUT_SECONDS", 0.05)
    assert exchange(make_readiness_page(lambda: True), b"GET /re") == b""


def test_an_error_of_a_page_is_answered():
    """Guards against a prober that waits for the answer of a page that failed."""

    def failing(path: str):
        raise RuntimeError("injected")

    answer = exchange(failing, b"GET / HTTP/1.1\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 500 Internal Server Error")


def test_metrics_are_rendered_in_the_text_format():
    """Guards against counts, buckets or labels that are lost between both formats."""
    metrics = WireMetrics()
    metrics.statements.add("read", "done")
    metrics.statements.add("read", "done")
    metrics.retries.add()
    metrics.sessions.value = 3
    for elapsed in (0.002, 0.0025, 99.0):
        metrics.latency.observe("primary", elapsed)
    answer = exchange(
        make_metrics_page(metrics.render), b"GET /metrics HTTP/1.0\r\n\r\n"
    )
    lines = answer.decode().splitlines()
    for line in (
        'bronzemoor_statements_total{kind="read",outcome="done"} 2.0',
        "bronzemoor_member_retries_total 1.0",
        "bronzemoor_sessions 3.0",
        'bronzemoor_statement_seconds_bucket{le="0.001",policy="primary"} 0.0',
        'bronzemoor_statement_seconds_bucket{le="0.0025",policy="primary"} 2.0',
        'bronzemoor_statement_seconds_bucket{le="12.8",policy="primary"} 2.0',
        'bronzemoor_statement_seconds_bucket{le="+Inf",policy="primary"} 3.0',
        'bronzemoor_statement_seconds_count{policy="primary"} 3.0',
    ):
        assert line in lines
