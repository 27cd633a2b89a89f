"""HTTP servers on threads beside the event loop, and their bridge to it."""

import asyncio
from collections.abc import Callable, Coroutine
from threading import Thread
from typing import Any, TypeVar

import cherrypy
from cheroot.wsgi import Server

from bronzemoor_daemon.framing import split_address

T = TypeVar("T")

Wsgi = Callable[..., Any]

REQUEST_QUEUE_SIZE = 128
SOCKET_TIMEOUT_SECONDS = 5
# Limit for a call from a web thread into the event loop.
LOOP_CALL_TIMEOUT_SECONDS = 4.0


class LoopBridge:
    """Runs coroutines on the event loop for the threads of a web server."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the loop and waits; raises ``TimeoutError``."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(LOOP_CALL_TIMEOUT_SECONDS)


class WebServer:
    """An HTTP listener with its own thread pool."""

    def __init__(self, address: str, application: Wsgi, threads: int) -> None:
        self._server = Server(
            split_address(address),
            application,
            numthreads=threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            timeout=SOCKET_TIMEOUT_SECONDS,
        )

    def start(self) -> None:
        """Binds the address and serves on background threads; raises ``OSError``."""
        self._server.prepare()
        Thread(target=self._server.serve, name="web", daemon=True).start()

    def stop(self) -> None:
        self._server.stop()


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
