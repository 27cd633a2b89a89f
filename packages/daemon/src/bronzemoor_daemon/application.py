"""The central object of a daemon: builds node, servers, clients and sinks."""

import sys
from concurrent.futures import ThreadPoolExecutor
from random import Random, SystemRandom
from threading import Event, Thread
from time import monotonic
from typing import Any

from cheroot.wsgi import PathInfoDispatcher

from bronzemoor_core.actions import (
    CloseConnection,
    EmitLog,
    EmitMetric,
    Exit,
    OpenConnection,
    PersistLog,
    PersistSnapshot,
    SendCall,
    SendOrder,
    SendPeerMessage,
    StopListening,
)
from bronzemoor_core.events import StopRequested, Tick
from bronzemoor_core.node import make_node
from bronzemoor_daemon.driver import Driver
from bronzemoor_daemon.endpoints import EndpointConnections
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.http import HttpPath
from bronzemoor_daemon.peers import PeerSenders, PeerServer
from bronzemoor_daemon.server import DaemonServer
from bronzemoor_daemon.settings import DaemonSettings

TICK_INTERVAL = 0.010
# Opening and probing connections; each may wait for its timeout.
CONNECTION_THREADS = 16
# Orders of a failover never wait behind connections that time out.
ORDER_THREADS = 8


class Application:
    """One daemon. Several may run in one process."""

    def __init__(self, settings: DaemonSettings, seed: int | None = None) -> None:
        self._settings = settings
        random = Random(SystemRandom().random() if seed is None else seed)
        self._node = make_node(settings.node, random)
        self._endpoints = EndpointConnections(settings.node.name, monotonic)
        self._senders = PeerSenders(
            settings.node.name, settings.node.peers, None, self._report
        )
        self._connection_pool = ThreadPoolExecutor(CONNECTION_THREADS, "connections")
        self._order_pool = ThreadPoolExecutor(ORDER_THREADS, "orders")
        self._driver = Driver(
            self._node, self._performers(), self._endpoints.call, self._core_failed
        )
        self._peer_server = PeerServer(
            settings.node.name,
            split_address(settings.peer),
            None,
            lambda event, context: self._driver.handle(event),
            self._report,
        )
        self._http_server = self._make_http_server()
        self._stopped = Event()
        self._exit_status = 0

    @property
    def settings(self) -> DaemonSettings:
        return self._settings

    @property
    def driver(self) -> Driver:
        return self._driver

    @property
    def http_address(self) -> tuple[str, int]:
        return self._http_server.bind_addr

    @property
    def peer_address(self) -> tuple[str, int]:
        return self._peer_server.address

    def start(self) -> None:
        """Starts every thread and returns once requests are accepted."""
        self._peer_server.start()
        self._http_server.prepare()
        Thread(target=self._http_server.serve, name="http", daemon=True).start()
        Thread(target=self._tick, name="tick", daemon=True).start()

    def run(self) -> int:
        """Serves until stopped; returns the exit status."""
        self.start()
        self._stopped.wait()
        self._close()
        return self._exit_status

    def stop(self) -> None:
        """Asks the core for a graceful stop."""
        self._driver.handle(StopRequested())

    def kill(self) -> None:
        """Ends abruptly, as a crash would: nothing is finished or announced."""
        self._stopped.set()
        self._close()

    def _performers(self) -> dict[type, Any]:
        return {
            OpenConnection: self._open,
            CloseConnection: lambda action: self._endpoints.close(action.connection),
            SendCall: self._call,
            SendOrder: self._order,
            SendPeerMessage: self._senders.send,
            PersistLog: lambda action: None,
            PersistSnapshot: lambda action: None,
            EmitLog: lambda action: None,
            EmitMetric: lambda action: None,
            StopListening: lambda action: self._http_server.close_listener(),
            Exit: self._exit,
        }

    def _open(self, action: OpenConnection) -> None:
        self._endpoints.announce_open(action.connection)
        self._submit(self._connection_pool, self._endpoints.open, action)

    def _call(self, action: SendCall) -> None:
        self._submit(self._connection_pool, self._endpoints.call, action)

    def _order(self, action: SendOrder) -> None:
        self._submit(self._order_pool, self._endpoints.order, action)

    def _submit(self, pool: ThreadPoolExecutor, perform: Any, action: Any) -> None:
        if not self._stopped.is_set():
            pool.submit(lambda: self._driver.handle(perform(action)))

    def _exit(self, action: Exit) -> None:
        self._exit_status = action.status
        self._stopped.set()

    def _tick(self) -> None:
        tick = Tick()
        while not self._stopped.wait(TICK_INTERVAL):
            self._driver.handle(tick)

    def _make_http_server(self) -> DaemonServer:
        settings = self._settings
        path = HttpPath(
            self._driver,
            settings.node.data_centre,
            settings.node.data_path.max_body,
            lambda: not self._stopped.is_set(),
        )
        return DaemonServer(
            split_address(settings.http),
            PathInfoDispatcher({}),
            path,
            threads=settings.threads,
            keep_alive=settings.keep_alive,
            read_timeout=settings.read_timeout,
            backlog=settings.backlog,
            reuse_port=settings.reuse_port,
        )

    def _core_failed(self, event: object, error: Exception) -> None:
        self._report(
            "core_failed", {"event": type(event).__name__, "error": repr(error)}
        )

    def _report(self, event: str, details: dict[str, Any]) -> None:
        print(event, details, file=sys.stderr)

    def _close(self) -> None:
        self._http_server.stop()
        self._peer_server.stop()
        self._senders.stop()
        self._endpoints.close_all()
        self._connection_pool.shutdown(wait=False, cancel_futures=True)
        self._order_pool.shutdown(wait=False, cancel_futures=True)


def make_application(settings: DaemonSettings, seed: int | None = None) -> Application:
    """Builds a daemon from its settings; ``seed`` fixes its random choices."""
    return Application(settings, seed)
