"""HTTP beside the event loop: readiness, metrics, operators and announcements."""

import asyncio
from collections.abc import Callable, Coroutine
from threading import Thread
from typing import Any, TypeVar

import cherrypy
from cheroot.wsgi import Server

from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.wire.metrics import WireMetrics

T = TypeVar("T")

Wsgi = Callable[..., Any]

REQUEST_QUEUE = 128
SOCKET_TIMEOUT = 5  # seconds
# A call of a web thread into the event loop is given up after this, seconds.
LOOP_TIMEOUT = 4.0


class LoopBridge:
    """Lets the threads of a web server call into the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the loop; raises ``TimeoutError``."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(LOOP_TIMEOUT)


class WebServer:
    """One listener with a few threads."""

    def __init__(self, address: str, application: Wsgi, threads: int) -> None:
        self._server = Server(
            split_address(address),
            application,
            numthreads=threads,
            request_queue_size=REQUEST_QUEUE,
            timeout=SOCKET_TIMEOUT,
        )

    def start(self) -> None:
        """Binds and serves on threads of its own; raises ``OSError``."""
        self._server.prepare()
        Thread(target=self._server.serve, name="web", daemon=True).start()

    def stop(self) -> None:
        self._server.stop()


class MetricsPage:
    """The metrics as text, at any path."""

    def __init__(self, metrics: WireMetrics) -> None:
        self._metrics = metrics

    @cherrypy.expose
    def default(self, *path: str) -> bytes:
        cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
        return self._metrics.render()


def make_application(root: object, config: dict[str, Any] | None = None) -> Wsgi:
    """Wraps a tree of handlers outside cherrypy's global one, without its log."""
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
