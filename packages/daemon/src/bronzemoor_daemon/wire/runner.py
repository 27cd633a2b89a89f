"""Builds and runs a daemon of the statement protocol until it is stopped."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NoReturn, Protocol

import uvloop

from bronzemoor_daemon.logs import LogWriter, configure_logs
from bronzemoor_daemon.wire.control import ControlDaemon
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import (
    DocumentReader,
    PromotionExecutor,
    StatementCodec,
)
from bronzemoor_daemon.wire.proxy import Proxy
from bronzemoor_daemon.wire.settings import CONTROL, PROXY, WireSettings
from bronzemoor_daemon.wire.tasks import error_location

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.webserver import LoopBridge, WebServer, Wsgi

# The settings are reloaded at this interval, also without a signal.
RELOAD_INTERVAL_SECONDS = 2.0
CONTROL_THREADS = 8
READINESS_THREADS = 2
# Time for HTTP requests in progress to finish when the daemon stops.
CONTROL_STOP_DELAY_SECONDS = 0.3


class Platform(Protocol):
    """Interface of a platform adapter."""

    codec: StatementCodec
    read_document: DocumentReader
    execute_promotion: PromotionExecutor

    def load_settings(self) -> WireSettings:
        """Reads the settings; raises ``InvalidSettings`` or ``OSError``."""

    def make_readiness_application(self, is_ready: Callable[[], bool]) -> "Wsgi": ...

    def make_control_application(
        self, control: ControlDaemon, bridge: "LoopBridge"
    ) -> "Wsgi": ...


class Runner:
    """One process with a proxy, a control daemon or both."""

    def __init__(self, platform: Platform, settings: WireSettings) -> None:
        self._platform = platform
        self._settings = settings
        self._logs = LogWriter(settings.name)
        self._metrics = WireMetrics()
        self._servers: list[WebServer] = []
        self._proxy: Proxy | None = None
        self._control: ControlDaemon | None = None
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT; raises ``OSError`` if it cannot listen."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        loop.set_exception_handler(self._on_loop_error)
        self._report("info", "start", roles=",".join(self._settings.roles))
        await self._start_daemons()
        while not self._stop_requested.is_set():
            try:
                async with asyncio.timeout(RELOAD_INTERVAL_SECONDS):
                    await self._stop_requested.wait()
            except TimeoutError:
                self._reload("timer")
        self._report("info", "stopping")
        await self._stop_daemons()
        self._report("info", "stop")
        self._logs.stop()

    async def _start_daemons(self) -> None:
        settings, platform = self._settings, self._platform
        if PROXY in settings.roles:
            self._proxy = Proxy(
                settings,
                platform.codec,
                platform.read_document,
                self._report,
                self._metrics,
            )
            await self._proxy.start()
        if CONTROL in settings.roles:
            self._control = ControlDaemon(
                settings,
                platform.codec,
                platform.read_document,
                platform.execute_promotion,
                self._report,
                self._metrics,
            )
            await self._control.start()
        # A thread imports the HTTP libraries, so that the event loop serves meanwhile.
        await asyncio.to_thread(self._start_web_servers, asyncio.get_running_loop())

    def _start_web_servers(self, loop: asyncio.AbstractEventLoop) -> None:
        from bronzemoor_daemon.wire.webserver import (
            LoopBridge,
            MetricsPage,
            make_application,
        )

        settings, platform = self._settings, self._platform
        if self._proxy is not None:
            ready = platform.make_readiness_application(self._is_ready)
            self._start_web_server(settings.listen_readiness, ready, READINESS_THREADS)
        if self._control is not None:
            application = platform.make_control_application(
                self._control, LoopBridge(loop)
            )
            self._start_web_server(
                settings.listen_control, application, CONTROL_THREADS
            )
        if settings.listen_metrics:
            page = make_application(MetricsPage(self._metrics))
            self._start_web_server(settings.listen_metrics, page, 1)

    async def _stop_daemons(self) -> None:
        if self._proxy is not None:
            await self._proxy.stop()
        if self._control is not None:
            await asyncio.sleep(CONTROL_STOP_DELAY_SECONDS)
            await self._control.stop()

    def _is_ready(self) -> bool:
        return self._proxy is not None and self._proxy.is_ready

    def _start_web_server(
        self, address: str, application: "Wsgi", threads: int
    ) -> None:
        from bronzemoor_daemon.wire.webserver import WebServer

        server = WebServer(address, application, threads)
        server.start()
        self._servers.append(server)

    def _reload(self, cause: str) -> None:
        try:
            settings = self._platform.load_settings()
        except Exception as error:  # a half-written file is reloaded later
            self._report("warning", "reload_failed", cause=cause, error=repr(error))
            return
        changed = settings.seeds != self._settings.seeds
        if changed or cause == "signal":
            self._report("info", "reload", cause=cause, seeds=",".join(settings.seeds))
        self._settings.seeds = settings.seeds
        if changed and self._proxy is not None:
            self._proxy.add_controls(settings.seeds)
        if changed and self._control is not None:
            self._control.seeds = list(settings.seeds)

    def _on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an exception of a callback or a transport; the loop goes on."""
        error = context.get("exception")
        self._report(
            "error",
            "callback_failed",
            message=context.get("message", ""),
            error=repr(error),
            where=error_location(error) if error is not None else "",
        )

    def _report(self, level: str, event: str, **fields: Any) -> None:
        self._logs.write(level, event, fields)


def run(platform: Platform) -> NoReturn:
    """Runs the daemon until it is stopped, then exits the process."""
    settings = platform.load_settings()
    configure_logs(settings.log_level, sys.stdout)

    async def serve() -> None:
        await Runner(platform, settings).run()

    uvloop.run(serve())
    # A normal exit would wait for the threads of the web servers to time out.
    sys.stdout.flush()
    os._exit(0)
