"""Builds a daemon from its node, servers, clients, storage, logs and metrics."""

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
from bronzemoor_core.events import StopRequested, StorageFailed, Tick
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.node import make_node
from bronzemoor_core.storage import MemoryStorage, Storage
from bronzemoor_daemon.admin import AdminTree, StatusPage, make_admin_application
from bronzemoor_daemon.datafolder import DataFolder
from bronzemoor_daemon.driver import Driver
from bronzemoor_daemon.endpoints import EndpointConnections
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.http import HotPathHandler
from bronzemoor_daemon.logs import LogWriter
from bronzemoor_daemon.metrics import Metrics
from bronzemoor_daemon.peers import PeerSenders, PeerServer
from bronzemoor_daemon.performers import Performers
from bronzemoor_daemon.server import DaemonServer
from bronzemoor_daemon.settings import DaemonSettings
from bronzemoor_daemon.storagethread import StorageThread
from bronzemoor_daemon.tls import TlsContexts, exposure_problems
from bronzemoor_daemon.tracing import Tracing

TICK_INTERVAL_SECONDS = 0.010
# How often the certificate files are checked for changes.
RELOAD_INTERVAL_SECONDS = 5.0


class Application:
    """One daemon; a process may run several."""

    def __init__(self, settings: DaemonSettings, random: Any = None) -> None:
        # Peers detect a restart of this daemon by its incarnation, which must increase.
        incarnation = max(settings.node.incarnation, time_ns() // 1_000_000)
        node, listen = replace(settings.node, incarnation=incarnation), settings.listen
        problems = exposure_problems(listen)
        if problems and not listen.insecure:
            raise InvalidSettings(problems)
        self._settings = settings
        self._tls = TlsContexts(listen.tls) if listen.tls is not None else None
        self._logs = LogWriter(node.name)
        for problem in problems:
            self._log_warning("insecure", {"problem": problem})
        self._metrics = Metrics(listen.statsd)
        self._tracing = Tracing(node.name, listen.trace_ratio, listen.trace_exporter)
        self._endpoints = EndpointConnections(node.name, monotonic)
        client_tls = self._tls.peer_client if self._tls is not None else None
        self._peer_senders = PeerSenders(
            node.name, node.peers, client_tls, self._log_warning
        )
        self._storage = StorageThread(
            self._make_storage, self._handle_storage_event, self._log_storage
        )
        self._performers = Performers(
            self._endpoints,
            self._peer_senders,
            self._storage,
            self._logs,
            self._metrics,
            self._handle_event,
            lambda: self._driver.trace_context,
            lambda: self._http_server.close_listener(),
            self._handle_exit,
        )
        # SystemRandom, because keys and identities must not be predictable.
        self._driver = Driver(
            make_node(node, random or SystemRandom()),
            self._performers.table,
            self._endpoints.call,
            self._report_core_error,
            self._tracing,
        )
        self._peer_server = PeerServer(
            node.name,
            split_address(listen.peer),
            self._tls.peer_server if self._tls is not None else None,
            self._driver.handle_peer_message,
            self._log_warning,
        )
        self._servers = self._make_servers()
        self._http_server = self._servers[0]
        self._stop_requested = False
        self._reload_requested = False
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
        """Address of the administration interface; by default that of the clients."""
        return self._servers[-1].bind_addr

    @property
    def peer_address(self) -> tuple[str, int]:
        return self._peer_server.address

    @property
    def stage(self) -> str:
        """Stage of the graceful stop, ``serving`` before it."""
        stage: str = self._driver.node.blackboard.drain.stage
        return stage

    @property
    def is_ready(self) -> bool:
        """Whether load balancers should send requests to this daemon."""
        ready: bool = self._driver.node.blackboard.configuration.ready
        return ready and self.stage == SERVING

    def start(self) -> None:
        """Starts every thread and returns once requests are accepted."""
        self._storage.start()
        self._peer_server.start()
        for server in self._servers:
            server.prepare()
            Thread(target=server.serve, name="http", daemon=True).start()
        Thread(target=self._run_ticks, name="tick", daemon=True).start()
        Thread(target=self._grow_thread_pools, name="relieve", daemon=True).start()
        fields = {"http": self.http_address, "peer": self.peer_address}
        self._logs.write("info", "started", fields)

    def run(self) -> int:
        """Serves until stopped; returns 0, or 1 if work in progress was cut off."""
        self.start()
        return self.wait()

    def wait(self) -> int:
        """Blocks until the daemon has stopped; returns the exit status."""
        self._stopped.wait()
        self._close(flush_storage=True)
        self._logs.write("info", "stopped", {"status": self._exit_status})
        self._logs.stop()
        return self._exit_status

    def request_stop(self) -> None:
        """Requests a graceful stop; takes no lock, so it is safe in signal handlers."""
        self._stop_requested = True

    def request_reload(self) -> None:
        """Requests a reload of the certificates; safe in signal handlers."""
        self._reload_requested = True

    def stop(self) -> int:
        """Stops gracefully and returns the exit status."""
        self.request_stop()
        return self.wait()

    def kill(self) -> None:
        """Stops at once, like a crash: completes no request and sends no notice."""
        self._stopped.set()
        self._close(flush_storage=False)
        self._logs.stop()

    def _make_storage(self) -> Storage:
        if self._settings.listen.data_folder:
            return DataFolder(self._settings.listen.data_folder)
        return MemoryStorage()

    def _make_servers(self) -> list[DaemonServer]:
        """Returns the clients' server, and the operators' if it has its own address."""
        settings, listen = self._settings, self._settings.listen
        handler = HotPathHandler(
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
        page = StatusPage(settings.node.name, tree, self._current_status)
        admin_app = make_admin_application(tree, page)
        if not listen.admin:
            return [self._make_server(listen.http, admin_app, handler)]
        return [
            self._make_server(listen.http, PathInfoDispatcher({}), handler),
            self._make_server(listen.admin, admin_app, lambda request: None),
        ]

    def _make_server(self, address: str, app: Any, hot_path: Any) -> DaemonServer:
        listen = self._settings.listen
        return DaemonServer(
            split_address(address),
            app,
            hot_path,
            threads=listen.threads,
            max_threads=listen.max_threads,
            keep_alive=listen.keep_alive,
            read_timeout=listen.read_timeout,
            backlog=listen.backlog,
            reuse_port=listen.reuse_port,
            tls=self._tls.http if self._tls is not None else None,
            report=self._log_server_error,
        )

    def _handle_event(self, event: object) -> None:
        self._driver.handle(event)

    def _handle_storage_event(self, event: object) -> None:
        self._driver.handle(event)
        if isinstance(event, StorageFailed):
            self._storage.reopen()

    def _handle_exit(self, action: Exit) -> None:
        self._exit_status = action.status
        self._logs.write("info", "exit", {"reason": action.reason})
        self._stopped.set()

    def _run_ticks(self) -> None:
        tick = Tick()
        reload_at = monotonic() + RELOAD_INTERVAL_SECONDS
        stop_sent = False
        while not self._stopped.wait(TICK_INTERVAL_SECONDS):
            self._driver.handle(tick)
            if self._stop_requested and not stop_sent:
                stop_sent = True
                self._http_server.draining = True
                self._driver.handle(StopRequested())
            if self._reload_requested or monotonic() > reload_at:
                self._reload_requested = False
                reload_at = monotonic() + RELOAD_INTERVAL_SECONDS
                self._reload_certificates()

    def _grow_thread_pools(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL_SECONDS):
            for server in self._servers:
                server.grow_if_stalled()

    def _reload_certificates(self) -> None:
        if self._tls is None:
            return
        try:
            if self._tls.reload():
                self._logs.write("info", "certificates_reloaded", {})
        except InvalidSettings as error:
            self._log_warning("certificates_not_reloaded", {"error": str(error)})

    def _explain(self, arguments: dict[str, Any]) -> AdminReply:
        spans = self._tracing.recent.get(str(arguments.get("trace_id", "")))
        if not spans:
            message = "the trace was not sampled on this daemon or has expired"
            return AdminReply(0, "unknown_trace", {"message": message})
        return AdminReply(0, "ok", {"spans": spans})

    def _drain(self, arguments: dict[str, Any]) -> AdminReply:
        self._logs.write("info", "stop_ordered", {})
        self.request_stop()
        return AdminReply(0, "ok", {"stage": self.stage})

    def _extend_status(self, status: dict[str, Any]) -> None:
        """Adds the state and metrics of this process, which the core does not have."""
        status["daemon"] = {
            "name": self._settings.node.name,
            "data_centre": self._settings.node.data_centre,
            "stage": self.stage,
            "ready": self.is_ready,
            "requests_in_progress": self._driver.requests_in_progress,
            "idle_client_connections": self._http_server.connections,
            "endpoint_connections": len(self._endpoints),
            "peer_queues": self._peer_senders.queued,
            "storage_queue": self._storage.queued,
        }
        drain = status.setdefault("drain", {"stage": self.stage})
        drain["in_progress"] = self._driver.requests_in_progress
        status["metrics"] = self._metrics.snapshot()

    def _current_status(self) -> dict[str, Any]:
        reply = self._driver.command("status", {}, "", 0.0)
        status = dict(reply.body)
        self._extend_status(status)
        return json.loads(json.dumps(status, default=str))

    def _report_core_error(self, event: object, error: Exception) -> None:
        details = {"input": type(event).__name__, "error": repr(error)}
        frame = error.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        if frame is not None:
            code = frame.tb_frame.f_code
            details["where"] = f"{code.co_filename}:{frame.tb_lineno}"
        self._logs.write("error", "core_failed", details)
        self._metrics.emit("counter", "core.failed", 1)

    def _log_warning(self, event: str, details: dict[str, Any]) -> None:
        self._logs.write("warning", event, details)

    def _log_storage(self, level: str, event: str, **details: object) -> None:
        self._logs.write(level, event, details)

    def _log_server_error(self, message: str, level: int) -> None:
        log_level = "error" if level >= logging.ERROR else "debug"
        self._logs.write(log_level, "http_server", {"error": message})

    def _close(self, flush_storage: bool) -> None:
        for server in self._servers:
            server.stop()
        self._peer_server.stop()
        self._peer_senders.stop()
        self._performers.stop()
        self._endpoints.close_all()
        self._storage.stop(flush_storage)
        self._metrics.stop()
        self._tracing.stop()


def make_application(settings: DaemonSettings, random: Any = None) -> Application:
    """Builds a daemon; tests pass a seeded ``random``."""
    return Application(settings, random)
