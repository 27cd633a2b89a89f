"""The central object of a daemon: builds node, servers, clients and sinks."""

import json
import logging
from dataclasses import replace
from random import SystemRandom
from threading import Event, Thread
from time import monotonic, time_ns
from typing import Any

from cheroot.wsgi import PathInfoDispatcher

from bronzemoor_core.actions import AdminReply, Exit
from bronzemoor_core.drain import LEAVING, SERVING
from bronzemoor_core.events import StopRequested, Tick
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.node import make_node
from bronzemoor_core.storage import MemoryStorage, Storage
from bronzemoor_daemon.admin import AdminTree, StatusPage, make_admin_application
from bronzemoor_daemon.datafolder import DataFolder
from bronzemoor_daemon.driver import Driver
from bronzemoor_daemon.endpoints import EndpointConnections
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.http import HttpPath
from bronzemoor_daemon.logs import LogWriter
from bronzemoor_daemon.metrics import Metrics
from bronzemoor_daemon.peers import PeerSenders, PeerServer
from bronzemoor_daemon.performers import Performers
from bronzemoor_daemon.server import DaemonServer
from bronzemoor_daemon.settings import DaemonSettings
from bronzemoor_daemon.storagethread import StorageThread
from bronzemoor_daemon.tls import TlsContexts, exposure_problems
from bronzemoor_daemon.tracing import Tracing

TICK_INTERVAL = 0.010
# How often certificate files are looked at, seconds.
RELOAD_INTERVAL = 5.0


class Application:
    """One daemon. Several may run in one process."""

    def __init__(self, settings: DaemonSettings, random: Any = None) -> None:
        # Peers tell restarts of this daemon apart by the incarnation, which must grow.
        started = max(settings.node.incarnation, time_ns() // 1_000_000)
        node, listen = replace(settings.node, incarnation=started), settings.listen
        problems = exposure_problems(listen)
        if problems and not listen.insecure:
            raise InvalidSettings(problems)
        self._settings = settings
        self._tls = TlsContexts(listen.tls) if listen.tls is not None else None
        self._logs = LogWriter(node.name)
        for problem in problems:
            self._report("insecure", {"problem": problem})
        self._metrics = Metrics(listen.statsd)
        self._tracing = Tracing(node.name, listen.trace_ratio, listen.trace_exporter)
        self._endpoints = EndpointConnections(node.name, monotonic)
        client_tls = self._tls.peer_client if self._tls is not None else None
        self._senders = PeerSenders(node.name, node.peers, client_tls, self._report)
        self._storage = StorageThread(self._make_storage(), self._handle)
        self._performers = Performers(
            self._endpoints,
            self._senders,
            self._storage,
            self._logs,
            self._metrics,
            self._handle,
            lambda: self._driver.trace_context,
            lambda: self._http_server.close_listener(),
            self._exit,
        )
        # Keys and identities must not be guessable.
        self._driver = Driver(
            make_node(node, random or SystemRandom()),
            self._performers.table,
            self._endpoints.call,
            self._core_failed,
            self._tracing,
        )
        self._peer_server = PeerServer(
            node.name,
            split_address(listen.peer),
            self._tls.peer_server if self._tls is not None else None,
            self._driver.handle_remote,
            self._report,
        )
        self._servers = self._make_servers()
        self._http_server = self._servers[0]
        self._stop_wanted = False
        self._reload_wanted = False
        self._stopped = Event()
        self._exit_status = 0

    @property
    def settings(self) -> DaemonSettings:
        return self._settings

    @property
    def driver(self) -> Driver:
        return self._driver

    @property
    def metrics(self) -> Metrics:
        return self._metrics

    @property
    def tracing(self) -> Tracing:
        return self._tracing

    @property
    def http_address(self) -> tuple[str, int]:
        return self._http_server.bind_addr

    @property
    def admin_address(self) -> tuple[str, int]:
        """Where operators are served; the clients' address unless set apart."""
        return self._servers[-1].bind_addr

    @property
    def peer_address(self) -> tuple[str, int]:
        return self._peer_server.address

    @property
    def stage(self) -> str:
        """Stage of the graceful stop."""
        stage: str = self._driver.node.blackboard.drain.stage
        return stage

    @property
    def is_ready(self) -> bool:
        """Whether load balancers should send requests here."""
        ready: bool = self._driver.node.blackboard.configuration.ready
        return ready and self.stage == SERVING

    def start(self) -> None:
        """Starts every thread and returns once requests are accepted."""
        self._storage.start()
        self._peer_server.start()
        for server in self._servers:
            server.prepare()
            Thread(target=server.serve, name="http", daemon=True).start()
        Thread(target=self._tick, name="tick", daemon=True).start()
        Thread(target=self._relieve, name="relieve", daemon=True).start()
        fields = {"http": self.http_address, "peer": self.peer_address}
        self._logs.write("info", "started", fields)

    def run(self) -> int:
        """Serves until stopped; returns 0, or 1 if the stop cut work short."""
        self.start()
        return self.wait()

    def wait(self) -> int:
        """Waits for the end of a stop; returns the exit status."""
        self._stopped.wait()
        self._close(finish=True)
        self._logs.write("info", "stopped", {"status": self._exit_status})
        self._logs.stop()
        return self._exit_status

    def request_stop(self) -> None:
        """Asks for a graceful stop; takes no lock, so signal handlers may call it."""
        self._stop_wanted = True

    def request_reload(self) -> None:
        """Asks for a look at the certificate files; safe in signal handlers."""
        self._reload_wanted = True

    def stop(self) -> int:
        """Stops gracefully; returns the exit status once everything has ended."""
        self.request_stop()
        return self.wait()

    def kill(self) -> None:
        """Ends abruptly, as a crash would: nothing is finished or announced."""
        self._stopped.set()
        self._close(finish=False)
        self._logs.stop()

    def _make_storage(self) -> Storage:
        if self._settings.listen.data_folder:
            return DataFolder(self._settings.listen.data_folder)
        return MemoryStorage()

    def _make_servers(self) -> list[DaemonServer]:
        """The clients' server first; operators may have one of their own."""
        settings, listen = self._settings, self._settings.listen
        path = HttpPath(
            self._driver,
            settings.node.data_centre,
            settings.node.data_path.max_body,
            lambda: self.is_ready,
            lambda: self.stage in (SERVING, LEAVING),
            self._tracing,
        )
        tree = AdminTree(
            self._driver,
            listen.operators,
            {"explain": self._explain, "drain.daemon": self._drain},
            self._extend_status,
        )
        page = StatusPage(settings.node.name, tree, self._status)
        operators = make_admin_application(tree, page)
        if not listen.admin:
            return [self._make_server(listen.http, operators, path)]
        return [
            self._make_server(listen.http, PathInfoDispatcher({}), path),
            self._make_server(listen.admin, operators, lambda request: None),
        ]

    def _make_server(self, address: str, app: Any, path: Any) -> DaemonServer:
        listen = self._settings.listen
        return DaemonServer(
            split_address(address),
            app,
            path,
            threads=listen.threads,
            max_threads=listen.max_threads,
            keep_alive=listen.keep_alive,
            read_timeout=listen.read_timeout,
            backlog=listen.backlog,
            reuse_port=listen.reuse_port,
            tls=self._tls.http if self._tls is not None else None,
            report=self._http_fault,
        )

    def _handle(self, event: object) -> None:
        self._driver.handle(event)

    def _exit(self, action: Exit) -> None:
        self._exit_status = action.status
        self._logs.write("info", "exit", {"reason": action.reason})
        self._stopped.set()

    def _tick(self) -> None:
        tick = Tick()
        reload_at = monotonic() + RELOAD_INTERVAL
        asked_to_stop = False
        while not self._stopped.wait(TICK_INTERVAL):
            self._driver.handle(tick)
            if self._stop_wanted and not asked_to_stop:
                asked_to_stop = True
                self._http_server.draining = True
                self._driver.handle(StopRequested())
            if self._reload_wanted or monotonic() > reload_at:
                self._reload_wanted = False
                reload_at = monotonic() + RELOAD_INTERVAL
                self._reload_certificates()

    def _relieve(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL):
            for server in self._servers:
                server.relieve()

    def _reload_certificates(self) -> None:
        if self._tls is None:
            return
        try:
            if self._tls.reload():
                self._logs.write("info", "certificates_reloaded", {})
        except InvalidSettings as error:
            self._report("certificates_not_reloaded", {"error": str(error)})

    def _explain(self, arguments: dict[str, Any]) -> AdminReply:
        spans = self._tracing.recent.get(str(arguments.get("trace_id", "")))
        if not spans:
            message = "the trace was not sampled here or is no longer kept"
            return AdminReply(0, "unknown_trace", {"message": message})
        return AdminReply(0, "ok", {"spans": spans})

    def _drain(self, arguments: dict[str, Any]) -> AdminReply:
        self._logs.write("info", "stop_ordered", {})
        self.request_stop()
        return AdminReply(0, "ok", {"stage": self.stage})

    def _extend_status(self, status: dict[str, Any]) -> None:
        """Adds what only this process knows."""
        status["daemon"] = {
            "name": self._settings.node.name,
            "data_centre": self._settings.node.data_centre,
            "stage": self.stage,
            "ready": self.is_ready,
            "requests_in_progress": self._driver.waiting,
            "idle_client_connections": self._http_server.connections,
            "endpoint_connections": len(self._endpoints),
            "peer_queues": self._senders.queued,
            "storage_queue": self._storage.queued,
        }
        drain = status.setdefault("drain", {"stage": self.stage})
        drain["in_progress"] = self._driver.waiting
        status["metrics"] = self._metrics.snapshot()

    def _status(self) -> dict[str, Any]:
        reply = self._driver.command("status", {}, "", 0.0)
        status = dict(reply.body)
        self._extend_status(status)
        return json.loads(json.dumps(status, default=str))

    def _core_failed(self, event: object, error: Exception) -> None:
        details = {"input": type(event).__name__, "error": repr(error)}
        where = error.__traceback__
        while where is not None and where.tb_next is not None:
            where = where.tb_next
        if where is not None:
            code = where.tb_frame.f_code
            details["where"] = f"{code.co_filename}:{where.tb_lineno}"
        self._logs.write("error", "core_failed", details)
        self._metrics.emit("counter", "core.failed", 1)

    def _report(self, event: str, details: dict[str, Any]) -> None:
        self._logs.write("warning", event, details)

    def _http_fault(self, message: str, level: int) -> None:
        name = "error" if level >= logging.ERROR else "debug"
        self._logs.write(name, "http_server", {"error": message})

    def _close(self, finish: bool) -> None:
        for server in self._servers:
            server.stop()
        self._peer_server.stop()
        self._senders.stop()
        self._performers.stop()
        self._endpoints.close_all()
        self._storage.stop(finish)
        self._metrics.stop()
        self._tracing.stop()


def make_application(settings: DaemonSettings, random: Any = None) -> Application:
    """Builds a daemon; ``random`` replaces the system's random source in tests."""
    return Application(settings, random)
