"""HTTP server on cheroot with cheap idle connections, a hot path that skips WSGI, and a
listener that can be closed before its connections."""

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from email.utils import formatdate
from selectors import EVENT_READ
from ssl import SSLSocket
from threading import Lock
from typing import Any

from cheroot.server import HTTPConnection
from cheroot.ssl import Adapter
from cheroot.wsgi import Gateway_10, Server

from bronzemoor_daemon.answers import STATUS_TOO_LARGE
from bronzemoor_daemon.framing import TIMEVAL
from bronzemoor_daemon.streams import RECEIVE_BYTES, make_stream
from bronzemoor_daemon.tls import ContextSource

# Status line and body.
Response = tuple[bytes, bytes]

MAX_HEADER_BYTES = 65_536
EXPIRATION_INTERVAL_SECONDS = 5.0
# Number of threads added at a time when all are busy.
THREAD_GROWTH = 16
# How long the remainder of an oversized body is read and discarded.
DISCARD_SECONDS = 0.5


class ClientConnection(HTTPConnection):
    """Client connection that waits in the selector until its first byte arrives."""

    def __init__(self, server: Any, sock: Any, makefile: Any = None) -> None:
        super().__init__(server, sock, make_stream)
        self.is_new = True
        self._is_tls = isinstance(sock, SSLSocket)
        if self._is_tls:
            sock.settimeout(server.read_timeout)
        else:
            # A kernel timeout saves a poll, and a release of the interpreter lock, per
            # operation compared with Python's own.
            sock.settimeout(None)
            timeout = server.read_timeout
            value = TIMEVAL.pack(int(timeout), int(timeout % 1 * 1_000_000))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)

    def communicate(self) -> bool:
        """Serves one request, and more while they arrive within the read timeout.

        Staying with the connection saves a pass through the selector and the queue and
        two thread switches; the server limits how many threads do so.
        """
        while super().communicate():
            if not self.rfile.has_data() and not self.server.await_next_request(self):
                return True
        return False

    def wait_for_input(self) -> bool:
        """Waits for input; false after the read timeout or at the end of the stream."""
        return not self._is_tls and bool(self.rfile.peek())

    def discard_input(self) -> None:
        """Reads and discards input for a short time after an early response.

        Closing with unread input resets the connection, and the client might lose the
        response.
        """
        self.socket.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + DISCARD_SECONDS
        self.socket.settimeout(DISCARD_SECONDS)
        with suppress(OSError):
            while time.monotonic() < deadline and self.socket.recv(RECEIVE_BYTES):
                pass

    def is_disconnected(self) -> bool:
        """Returns whether the client closed its side; false if unknown, as with TLS."""
        if self._is_tls:
            return False
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self.socket.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


class HotPathGateway(Gateway_10):
    """Passes requests to the server's ``hot_path`` and all others to WSGI."""

    def __init__(self, req: Any) -> None:
        # Skips the base class, which builds the WSGI environment for every request.
        self.req = req
        self.started_response = False
        self.remaining_bytes_out = None

    def respond(self) -> None:
        response = self.req.server.hot_path(self.req)
        self.req.server.requests_served += 1
        if response is not None:
            self._send(*response)
            return
        self.env = self.get_environ()
        super().respond()

    def _send(self, status: bytes, body: bytes) -> None:
        req = self.req
        server = req.server
        if req.response_protocol != "HTTP/1.1" or server.draining:
            req.close_connection = True
        head = (
            b"HTTP/1.1 %b\r\nContent-Type: application/json\r\n%bContent-Length: %d"
            % (
                status,
                server.date_header(),
                len(body),
            )
        )
        if req.close_connection:
            head += b"\r\nConnection: close"
        req.sent_headers = True
        req.conn.wfile.write(head + b"\r\n\r\n" + body)
        if status == STATUS_TOO_LARGE:
            req.conn.discard_input()


class Waker:
    """Wakes the selector on a stop; it would otherwise wait for its timeout."""

    last_used = float("inf")

    def __init__(self) -> None:
        self.socket, self._sender = socket.socketpair()

    def wake(self) -> None:
        self._sender.send(b"x")

    def close(self) -> None:
        self.socket.close()
        self._sender.close()


class DaemonServer(Server):
    """One HTTP listener of a daemon; a process may have several."""

    ConnectionClass = ClientConnection
    expiration_interval = EXPIRATION_INTERVAL_SECONDS
    keep_alive_conn_limit: Any = None
    max_request_header_size = MAX_HEADER_BYTES
    # Set by cheroot when the server starts; missing in its type stubs.
    _connections: Any

    def __init__(
        self,
        address: tuple[str, int],
        wsgi_app: Callable[..., Any],
        hot_path: Callable[[Any], Response | None],
        *,
        threads: int,
        max_threads: int,
        keep_alive: float,
        read_timeout: float,
        backlog: int,
        reuse_port: bool,
        tls: ContextSource | None = None,
        report: Callable[[str, int], None] = lambda message, level: None,
    ) -> None:
        super().__init__(
            address,
            wsgi_app,
            numthreads=threads,
            max=max(threads, max_threads),
            request_queue_size=backlog,
            timeout=keep_alive,  # type: ignore[arg-type]
            shutdown_timeout=1,
            reuse_port=reuse_port,
            server_name="bronzemoor",
        )
        self.gateway = HotPathGateway
        self.hot_path = hot_path
        self.read_timeout = read_timeout
        self.draining = False
        self._report = report
        # Connections that keep a thread; the other threads serve all other connections.
        self._pinned: set[ClientConnection] = set()
        self._pinned_limit = threads // 2
        self._date = (0, b"")
        # Held while threads are added and when they are stopped: a thread that is not
        # registered yet would take the request to end of a registered one.
        self._growth_lock = Lock()
        self._stopped = False
        # Approximate, since concurrent increments may be lost; only changes matter.
        self.requests_served = 0
        self._last_requests_served = -1
        if tls is not None:
            self.ssl_adapter = LazyTlsAdapter(tls)

    @property
    def connections(self) -> int:
        """Number of idle client connections."""
        # Excludes the waker.
        return max(0, self._connections._num_connections - 1) if self.ready else 0

    @property
    def can_add_keepalive_connection(self) -> bool:
        """False while draining, so that every response closes its connection."""
        return not self.draining and super().can_add_keepalive_connection

    def await_next_request(self, conn: ClientConnection) -> bool:
        """Keeps the thread on ``conn`` until its next request if enough are free."""
        if (
            self.draining
            or len(self._pinned) >= self._pinned_limit
            or not self.requests._queue.empty()
        ):
            return False
        self._pinned.add(conn)
        try:
            return conn.wait_for_input()
        finally:
            self._pinned.discard(conn)

    def grow_if_stalled(self) -> None:
        """Adds threads if connections wait and no request ended since the last call.

        Under ordinary load requests do end, and more threads would only add contention.

        Requests that wait for a database occupy their threads and could block the
        announcements that they wait for.
        """
        pool = self.requests
        stalled = self.requests_served == self._last_requests_served
        self._last_requests_served = self.requests_served
        if stalled and self.ready and not pool._queue.empty() and pool.idle == 0:
            with self._growth_lock:
                if not self._stopped:
                    pool.grow(THREAD_GROWTH)

    def date_header(self) -> bytes:
        """Returns the Date header line, which is formatted once a second."""
        now = int(time.time())
        if self._date[0] != now:
            line = f"Date: {formatdate(now, usegmt=True)}\r\n".encode()
            self._date = (now, line)
        return self._date[1]

    def prepare(self) -> None:
        """Binds the listener, starts the worker threads and registers the waker."""
        super().prepare()
        self._waker = Waker()
        self._connections._selector.register(
            self._waker.socket.fileno(), EVENT_READ, data=self._waker
        )

    def stop(self) -> None:
        """Closes the listener and all connections and stops the threads."""
        # Set first, so that no thread starts to wait on its connection.
        self.draining = True
        if self.ready:
            self._connections._stop_requested = True
            self._waker.wake()
            for conn in list(self._pinned):
                with suppress(OSError):
                    conn.socket.shutdown(socket.SHUT_RD)
        with self._growth_lock:
            self._stopped = True
        super().stop()

    def process_conn(self, conn: Any) -> None:
        """Queues a readable connection; a new one is first added to the selector."""
        if conn is self._waker:
            return
        if conn.is_new:
            conn.is_new = False
            self._connections.put(conn)
        else:
            super().process_conn(conn)

    def close_listener(self) -> None:
        """Closes the listener; connections in the kernel's backlog are still served."""
        listener = self.socket
        if listener is None:
            return
        self._connections._selector.unregister(listener.fileno())
        listener.settimeout(0)
        while (conn := self._accept_pending()) is not None:
            self.process_conn(conn)
        listener.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        self._report(msg, level)

    def _accept_pending(self) -> Any:
        try:
            return self._connections._from_server_socket(self.socket)
        except OSError:
            return None


class LazyTlsAdapter(Adapter):
    """Wraps accepted sockets and leaves the handshake to the first read.

    A handshake in the accepting thread would let an unresponsive client block others.
    """

    def __init__(self, context: ContextSource) -> None:
        self.context = context

    def bind(self, sock: socket.socket) -> socket.socket:
        return sock

    def wrap(self, sock: socket.socket) -> tuple[Any, dict[str, str]]:
        wrapped = self.context().wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, self.get_environ()

    def get_environ(self) -> dict[str, str]:
        return {"HTTPS": "on", "wsgi.url_scheme": "https"}

    def makefile(self, sock: Any, mode: str = "r", bufsize: int = -1) -> Any:
        return make_stream(sock, mode, bufsize)
