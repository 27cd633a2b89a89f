"""HTTP listener on the event loop whose application runs on threads.

Requests are read completely before they take a thread, so that slow senders occupy
none, and within the limits of ``controllimits``.
"""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException, HTTPMessage, parse_headers
from io import BytesIO, StringIO
from typing import Any, TypeVar
from urllib.parse import unquote_to_bytes
from wsgiref.handlers import SimpleHandler

import cherrypy

from bronzemoor_core.wire.controllimits import MAX_HEAD_BYTES, derive_control_limits
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.wire.clientguard import ClientGuard
from bronzemoor_daemon.wire.clientstream import ClientConnection
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.settings import WireSettings
from bronzemoor_daemon.wire.tasks import error_location

T = TypeVar("T")

Wsgi = Callable[..., Any]
# Returns the largest body of a request with this method and path, in bytes.
BodyLimit = Callable[[str, str], int]

REQUEST_QUEUE_SIZE = 128
# An idle connection is closed after this time.
IDLE_TIMEOUT_SECONDS = 5.0
# Limit for a call from a web thread into the event loop.
LOOP_CALL_TIMEOUT_SECONDS = 4.0
# Larger bodies are handled one at a time, since decoding takes many times their size.
SMALL_BODY_BYTES = 64 * 1_024
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINES = {
    400: b"400 Bad Request",
    408: b"408 Request Timeout",
    411: b"411 Length Required",
    413: b"413 Content Too Large",
    431: b"431 Request Header Fields Too Large",
    500: b"500 Internal Server Error",
    505: b"505 HTTP Version Not Supported",
}


class LoopBridge:
    """Runs coroutines on the event loop for the threads of a web server."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the loop and waits; raises ``TimeoutError``."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(LOOP_CALL_TIMEOUT_SECONDS)


class Refused(Exception):
    """A request that is not read to its end; the argument is the status."""


class Request:
    """The head of a request and, once complete, its body."""

    __slots__ = ("body", "closes", "headers", "length", "method", "target", "version")

    def __init__(self, head: bytes) -> None:
        line, _, rest = head.partition(b"\r\n")
        words = line.decode("latin-1").split(" ")
        if len(words) != 3 or not words[1].startswith("/"):
            raise Refused(400)
        self.method, self.target, self.version = words
        if self.version not in ("HTTP/1.1", "HTTP/1.0"):
            raise Refused(505)
        try:
            self.headers: HTTPMessage = parse_headers(BytesIO(rest + HEAD_END))
        except (HTTPException, ValueError) as error:
            raise Refused(400) from error
        if "Transfer-Encoding" in self.headers:
            raise Refused(411)
        lengths = set(self.headers.get_all("Content-Length", ["0"]))
        length = lengths.pop().strip()
        if lengths or not (length.isascii() and length.isdigit()) or len(length) > 15:
            raise Refused(400)
        self.length = int(length)
        self.body = b""
        connection = self.headers.get("Connection", "").lower()
        self.closes = "close" in connection or self.version == "HTTP/1.0"

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def expects_continue(self) -> bool:
        expected = self.headers.get("Expect", "").lower()
        return expected == "100-continue" and self.version == "HTTP/1.1"

    def environ(self, server: tuple[str, int], client: str) -> dict[str, Any]:
        """Returns the CGI variables of the request."""
        path, _, query = self.target.partition("?")
        environ = {
            f"HTTP_{name.upper().replace('-', '_')}": value.strip()
            for name, value in self.headers.items()
        }
        return environ | {
            "REQUEST_METHOD": self.method,
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
            "QUERY_STRING": query,
            "CONTENT_TYPE": self.headers.get("Content-Type", ""),
            "CONTENT_LENGTH": str(self.length),
            "SERVER_NAME": server[0],
            "SERVER_PORT": str(server[1]),
            "SERVER_PROTOCOL": self.version,
            "REMOTE_ADDR": client.rpartition(":")[0],
            "REMOTE_PORT": client.rpartition(":")[2],
        }


class Handler(SimpleHandler):
    """Runs a WSGI application and encodes its answer."""

    origin_server = True
    http_version = "1.1"
    server_software = "bronzemoor"


class HttpConnection(ClientConnection):
    """One connection; requests are answered in order."""

    __slots__ = ("_is_last", "_request", "_server", "_task")

    def __init__(self, server: "WebServer") -> None:
        super().__init__(server.guard)
        self._server = server
        self._request: Request | None = None
        # Whether the client sends nothing more but waits for an answer.
        self._is_last = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_in_use(self) -> bool:
        return self._task is not None

    @property
    def is_idle(self) -> bool:
        return self._task is None and not self._buffer

    def on_closed(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Keeps the connection open for the answer to a request that runs."""
        self._is_last = self._task is not None
        return self._is_last

    def encode_refusal(self, reason: str) -> bytes:
        status = reason if reason.isdigit() else "408"
        line = STATUS_LINES[int(status)]
        return b"HTTP/1.1 %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % line

    def on_data(self, data: bytes) -> None:
        if self._buffer is None:
            self._buffer = bytearray(data)
            if self._task is None:
                # Otherwise its time begins after the request that runs.
                self._guard.incomplete[self] = self.last_received_at
        else:
            self._buffer += data
        if self._task is None:
            self._continue()

    def _continue(self) -> None:
        """Starts the request in the buffer once it is complete."""
        buffer = self._buffer
        while buffer and self._request is None and buffer.startswith(LINE_END):
            # Some clients send an empty line after a body.
            del buffer[: len(LINE_END)]
            self.release_received(len(LINE_END))
        if not buffer:
            self._buffer = None
            self._guard.incomplete.pop(self, None)
            return
        try:
            if self._request is None and not self._read_head(buffer):
                return
        except Refused as refusal:
            self.refuse(str(refusal.args[0]))
            return
        request = self._request
        assert request is not None
        if len(buffer) < request.length:
            return
        with memoryview(buffer) as view:
            request.body = bytes(view[: request.length])
            rest = bytes(view[request.length :])
        self._buffer = bytearray(rest) if rest else None
        self._guard.incomplete.pop(self, None)
        self._guard.unstarted.pop(self, None)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run(request))

    def _read_head(self, buffer: bytearray) -> bool:
        """Removes a complete head from the buffer; raises ``Refused``."""
        end = buffer.find(HEAD_END, 0, MAX_HEAD_BYTES + len(HEAD_END))
        if end < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                raise Refused(431)
            return False
        request = Request(bytes(buffer[:end]))
        if request.length > self._server.body_limit(request.method, request.path):
            raise Refused(413)
        del buffer[: end + len(HEAD_END)]
        self.holding.release_received(end + len(HEAD_END))
        if request.expects_continue and len(buffer) < request.length:
            self.write(CONTINUE)
        self._request = request
        return True

    async def _run(self, request: Request) -> None:
        try:
            # Answers that the client does not read are not added to.
            await self.drain()
            answer = await self._server.run(request, self.peer)
            if request.closes:
                answer = answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
            self.write(answer)
            if request.closes or (self._is_last and not self._buffer):
                self.close()
        finally:
            self.last_received_at = boottime()
            self._request = self._task = None
            self.release_received(len(request.body))
        if not self.is_closed and self._buffer:
            self._guard.incomplete[self] = boottime()
            self._continue()


class WebServer:
    """An HTTP listener with a thread pool for its application."""

    def __init__(
        self,
        settings: WireSettings,
        application: Wsgi,
        body_limit: BodyLimit,
        threads: int,
        report: Callable[..., None],
        metrics: WireMetrics,
    ) -> None:
        self._address = split_address(settings.listen_control)
        self._application = application
        self._report = report
        self._threads = ThreadPoolExecutor(threads, "web")
        # Requests wait here and not in the pool, whose queue would keep their bodies.
        self._free_threads = asyncio.Semaphore(threads)
        self._large_body = asyncio.Semaphore()
        self._server: asyncio.Server | None = None
        limits = derive_control_limits(settings.memory_limit, settings.max_descriptors)
        self.guard = ClientGuard(limits, report, metrics)
        self.body_limit = body_limit

    async def start(self) -> None:
        """Binds the address and serves; raises ``OSError``."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: HttpConnection(self),
            *self._address,
            backlog=min(REQUEST_QUEUE_SIZE, self.guard.backlog),
        )

    @property
    def is_in_use(self) -> bool:
        """Returns whether a request runs or its answer is not sent yet."""
        return any(
            item.is_in_use or item.holding.unsent for item in self.guard.sessions
        )

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def sweep(self) -> None:
        """Closes connections whose time is up; called regularly."""
        self.guard.sweep()
        now = boottime()
        for connection in list(self.guard.sessions):
            idle = now - connection.last_received_at
            if idle > IDLE_TIMEOUT_SECONDS and connection.is_idle:
                connection.close()

    async def run(self, request: Request, client: str) -> bytes:
        """Returns the encoded answer of the application.

        A request whose client is gone while it runs keeps its thread to the end, and
        one that waits is abandoned by cancellation.
        """
        if len(request.body) <= SMALL_BODY_BYTES:
            return await self._run_on_thread(request, client)
        await self._large_body.acquire()
        return await self._run_on_thread(request, client, self._large_body)

    async def _run_on_thread(
        self, request: Request, client: str, held: asyncio.Semaphore | None = None
    ) -> bytes:
        """Runs the application on a free thread; releases ``held`` at the end."""
        try:
            await self._free_threads.acquire()
        except asyncio.CancelledError:
            if held is not None:
                held.release()
            raise

        def release(future: asyncio.Future[bytes]) -> None:
            self._free_threads.release()
            if held is not None:
                held.release()

        loop = asyncio.get_running_loop()
        running = loop.run_in_executor(self._threads, self._call, request, client)
        running.add_done_callback(release)
        return await asyncio.shield(running)

    def _call(self, request: Request, client: str) -> bytes:
        output = BytesIO()
        environ = request.environ(self._address, client)
        try:
            Handler(BytesIO(request.body), output, StringIO(), environ).run(
                self._application
            )
        except Exception as error:
            self._report(
                "error",
                "request_failed",
                path=request.path[:100],
                error=repr(error),
                where=error_location(error),
            )
            return b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % STATUS_LINES[500]
        return output.getvalue()


def make_application(root: object, config: dict[str, Any] | None = None) -> Wsgi:
    """Makes a WSGI application that is not in cherrypy's global tree and has no log."""
    section = {
        "tools.encode.on": False,
        "request.show_tracebacks": False,
        **(config or {}),
    }
    application = cherrypy.Application(root, "", {"/": section})
    application.log.screen = False
    application.log.access_log.handlers.clear()
    application.log.access_log.propagate = False
    wsgi: Wsgi = application
    return wsgi
