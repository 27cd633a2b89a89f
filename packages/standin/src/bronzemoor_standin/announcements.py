"""Announcements of the member to the daemons over HTTP."""

import contextlib
import json
import selectors
import socket
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bronzemoor_standin.member import Member

PATH = "/v1/announcements"
# A daemon that does not connect or answer for this long is disconnected, and tried
# again after the same time.
TIMEOUT_S = 0.5
_RECEIVE_BYTES = 4096


class Announcer:
    """Posts the member's state to every daemon, periodically and on a change.

    All connections are non-blocking, so that no daemon delays the others.
    """

    def __init__(self, member: "Member", stopping: threading.Event) -> None:
        self._member = member
        self._stopping = stopping
        self._selector = selectors.DefaultSelector()
        self._woken, self._wake = socket.socketpair()
        self._woken.setblocking(False)
        self._wake.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ, self._on_wake)
        self._links: dict[str, _Link] = {}
        self._thread = threading.Thread(target=self._run, name="announce", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def announce_now(self) -> None:
        with contextlib.suppress(OSError):
            self._wake.send(b"\0")

    def close(self) -> None:
        """Releases everything; for an announcer that does not run (any more)."""
        for link in self._links.values():
            link.close()
        self._selector.close()
        self._woken.close()
        self._wake.close()

    def _run(self) -> None:
        member = self._member
        while not self._stopping.is_set():
            member.faults.wait_while_frozen()
            if not member.faults.cut_daemons:
                self._offer(json.dumps(member.announcement()).encode())
            self._wait(member.settings.announce_ms / 1000)
        self.close()

    def _offer(self, body: bytes) -> None:
        for daemon in self._member.settings.daemons:
            if daemon not in self._links:
                self._links[daemon] = _Link(daemon, self._selector)
            self._links[daemon].offer(body)

    def _wait(self, span: float) -> None:
        """Handles sockets until ``span`` seconds have passed or a change is noted."""
        until = time.monotonic() + span
        while (left := until - time.monotonic()) > 0:
            for key, _ in self._selector.select(left):
                handle: Callable[[], bool] = key.data
                if handle():
                    return

    def _on_wake(self) -> bool:
        with contextlib.suppress(BlockingIOError):
            while self._woken.recv(_RECEIVE_BYTES):
                pass
        return True


class _Link:
    """A kept-alive connection to one daemon; at most one request is unanswered."""

    def __init__(self, daemon: str, selector: selectors.BaseSelector) -> None:
        host, port = daemon.rsplit(":", 1)
        self._address = (host, int(port))
        self._head = (
            f"POST {PATH} HTTP/1.1\r\nHost: {daemon}\r\n"
            "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        )
        self._selector = selector
        self._socket: socket.socket | None = None
        self._connected = False
        self._busy = False
        # The newest announcement that was not sent yet.
        self._body: bytes | None = None
        # When a connection or answer is overdue, or may be tried again.
        self._limit = 0.0

    def offer(self, body: bytes) -> None:
        """Sends ``body`` now, or as soon as the daemon has answered the last one."""
        self._body = body
        now = time.monotonic()
        if self._socket is None:
            if now >= self._limit:
                self._connect(now)
        elif self._busy and now >= self._limit:
            self._fail()
        elif not self._busy:
            self._send()

    def _connect(self, now: float) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._connected, self._busy = False, True
        self._limit = now + TIMEOUT_S
        self._selector.register(self._socket, selectors.EVENT_WRITE, self._on_ready)
        self._socket.connect_ex(self._address)

    def _on_ready(self) -> bool:
        """The connection is made or refused, or an answer arrived."""
        assert self._socket is not None
        try:
            if not self._connected:
                error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    raise OSError(error, "connect")
                self._connected = True
                self._selector.modify(
                    self._socket, selectors.EVENT_READ, self._on_ready
                )
            elif not self._socket.recv(_RECEIVE_BYTES):
                raise OSError("closed by the daemon")
        except BlockingIOError:
            return False
        except OSError:
            self._fail()
            return False
        self._busy = False
        self._send()
        return False

    def _send(self) -> None:
        body, self._body = self._body, None
        if body is None or self._socket is None:
            return
        data = (self._head % len(body)).encode() + body
        try:
            if self._socket.send(data) == len(data):
                self._busy = True
                self._limit = time.monotonic() + TIMEOUT_S
                return
        except OSError:
            pass
        self._fail()

    def _fail(self) -> None:
        self.close()
        self._limit = time.monotonic() + TIMEOUT_S

    def close(self) -> None:
        connection: Any = self._socket
        self._socket = None
        if connection is not None:
            self._selector.unregister(connection)
            connection.close()
