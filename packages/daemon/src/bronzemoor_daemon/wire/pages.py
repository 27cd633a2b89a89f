"""A small HTTP server on the event loop, for pages that are only read.

A proxy answers readiness probes with it: it needs no thread and no HTTP library, whose
import would take the processor from the first statements after a start, and it answers
only while the loop that serves statements does.
"""

import asyncio
from collections.abc import Callable
from typing import cast

from bronzemoor_daemon.framing import split_address

MAX_HEAD_BYTES = 8 * 1024
MAX_UNSENT_BYTES = 256 * 1024
# A connection without a complete request for this long is closed.
IDLE_TIMEOUT_SECONDS = 5.0
HEAD_END = b"\r\n\r\n"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    405: b"Method Not Allowed",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}

# Returns status, content type and body of the page; the argument is its path.
Page = Callable[[str], tuple[int, str, bytes]]


class PageConnection(asyncio.Protocol):
    """One connection; requests are answered in order until the client closes it."""

    __slots__ = ("_buffer", "_page", "_timer", "_transport")

    def __init__(self, page: Page) -> None:
        self._page = page
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._restart_timer()

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while HEAD_END in self._buffer and self._transport is not None:
            head, _, self._buffer = self._buffer.partition(HEAD_END)
            self._restart_timer()
            self._answer(head)
            self._check_unsent()
        if len(self._buffer) > MAX_HEAD_BYTES:
            self._write(400, "text/plain", b"request too large", close=True)

    def _check_unsent(self) -> None:
        """Closes the connection of a client that does not read its answers."""
        transport = self._transport
        if transport and transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport = None
            transport.abort()

    def _answer(self, head: bytes) -> None:
        lines = head.split(b"\r\n")
        words = lines[0].split(b" ")
        headers = head.lower()
        closes = b"\r\nconnection: close" in headers or words[-1] == b"HTTP/1.0"
        if len(words) != 3 or not words[1].startswith(b"/"):
            self._write(400, "text/plain", b"malformed request", close=True)
        elif words[0] != b"GET":
            self._write(405, "text/plain", b"only GET", close=True)
        else:
            path = words[1].partition(b"?")[0].decode("latin-1")
            self._answer_page(path, closes)

    def _answer_page(self, path: str, close: bool) -> None:
        try:
            status, kind, body = self._page(path)
        except Exception:
            self._write(500, "text/plain", b"internal error", close=True)
            raise
        self._write(status, kind, body, close=close)

    def _write(self, status: int, kind: str, body: bytes, close: bool) -> None:
        if self._transport is None:
            return
        end = b"Connection: close\r\n\r\n" if close else b"\r\n"
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n" % (
            status,
            REASONS[status],
            kind.encode(),
            len(body),
        )
        self._transport.write(head + end + body)
        if close:
            self._transport.close()
            self._transport = None

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(IDLE_TIMEOUT_SECONDS, self._close_idle)

    def _close_idle(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def serve_page(address: str, page: Page) -> asyncio.Server:
    """Serves ``page`` at every path of ``address``; raises ``OSError``."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: PageConnection(page), host, port)


def make_readiness_page(is_ready: Callable[[], bool]) -> Page:
    """Makes the page that answers 200 while ``is_ready()`` and 503 otherwise."""

    def page(path: str) -> tuple[int, str, bytes]:
        if is_ready():
            return 200, "text/plain", b"ready"
        return 503, "text/plain", b"not ready"

    return page


def make_metrics_page(render: Callable[[], bytes]) -> Page:
    """Makes the page that answers with the metrics as text."""
    return lambda path: (200, "text/plain; charset=utf-8", render())
