"""Announces the member's state to the daemons over HTTP."""

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
# Timeout of a connection attempt and of an answer, after which the daemon is
# disconnected, and delay before the next attempt.
TIMEOUT_SECONDS = 0.5
_RECEIVE_BYTES = 4096


class Announcer:
    """Posts the member's state to every daemon, periodically and on changes.

    All connections are non-blocking, so that no daemon delays the others.
    """

    def __init__(self, member: "Member", stopping: threading.Event) -> None:
        self._member = member
        self._stopping = stopping
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(
            self._wake_receiver, selectors.EVENT_READ, self._on_wake
        )
        self._connections: dict[str, _DaemonConnection] = {}
        self._thread = threading.Thread(target=self._run, name="announce", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def announce_now(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"\0")

    def close(self) -> None:
        """Closes all sockets; the announcer's thread must not be running."""
        for connection in self._connections.values():
            connection.close()
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _run(self) -> None:
        member = self._member
        while not self._stopping.is_set():
            member.faults.wait_while_frozen()
            if not member.faults.cut_daemons:
                self._post_to_daemons(json.dumps(member.announcement()).encode())
            self._wait(member.settings.announce_ms / 1000)
        self.close()

    def _post_to_daemons(self, body: bytes) -> None:
        for daemon in self._member.settings.daemons:
            if daemon not in self._connections:
                self._connections[daemon] = _DaemonConnection(daemon, self._selector)
            self._connections[daemon].post(body)

    def _wait(self, seconds: float) -> None:
        """Handles socket events for ``seconds`` or until ``announce_now`` is called."""
        deadline = time.monotonic() + seconds
        while (remaining := deadline - time.monotonic()) > 0:
            for key, _ in self._selector.select(remaining):
                handle: Callable[[], bool] = key.data
                if handle():
                    return

    def _on_wake(self) -> bool:
        with contextlib.suppress(BlockingIOError):
            while self._wake_receiver.recv(_RECEIVE_BYTES):
                pass
        return True


class _DaemonConnection:
    """A persistent connection to one daemon with at most one request in flight."""

    def __init__(self, daemon: str, selector: selectors.BaseSelector) -> None:
        host, port = daemon.rsplit(":", 1)
        self._address = (host, int(port))
        self._header = (
            f"POST {PATH} HTTP/1.1\r\nHost: {daemon}\r\n"
            "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        )
        self._selector = selector
        self._socket: socket.socket | None = None
        self._connected = False
        self._pending = False
        # The latest announcement, if it has not been sent yet.
        self._body: bytes | None = None
        # When the attempt or request in progress times out or, while disconnected, when
        # to connect again.
        self._deadline = 0.0

    def post(self, body: bytes) -> None:
        """Sends ``body`` now, or once the daemon has answered the previous one."""
        self._body = body
        now = time.monotonic()
        if self._socket is None:
            if now >= self._deadline:
                self._connect(now)
        elif self._pending and now >= self._deadline:
            self._fail()
        elif not self._pending:
            self._send()

    def _connect(self, now: float) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._connected, self._pending = False, True
        self._deadline = now + TIMEOUT_SECONDS
        self._selector.register(self._socket, selectors.EVENT_WRITE, self._on_ready)
        self._socket.connect_ex(self._address)

    def _on_ready(self) -> bool:
        """Handles the result of a connection attempt or an answer."""
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
        self._pending = False
        self._send()
        return False

    def _send(self) -> None:
        body, self._body = self._body, None
        if body is None or self._socket is None:
            return
        data = (self._header % len(body)).encode() + body
        try:
            if self._socket.send(data) == len(data):
                self._pending = True
                self._deadline = time.monotonic() + TIMEOUT_SECONDS
                return
        except OSError:
            pass
        self._fail()

    def _fail(self) -> None:
        self.close()
        self._deadline = time.monotonic() + TIMEOUT_SECONDS

    def close(self) -> None:
        connection: Any = self._socket
        self._socket = None
        if connection is not None:
            self._selector.unregister(connection)
            connection.close()
