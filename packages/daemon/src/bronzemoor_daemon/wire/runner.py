"""Builds and runs a daemon of the statement protocol until it is stopped."""

import asyncio
import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Any, NoReturn, Protocol

import uvloop

from bronzemoor_daemon.logs import LogWriter, configure_logs
from bronzemoor_daemon.wire.clientguard import SWEEP_INTERVAL_SECONDS
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.pages import (
    make_metrics_page,
    make_readiness_page,
    serve_page,
)
from bronzemoor_daemon.wire.ports import (
    DocumentReader,
    PromotionExecutor,
    StatementCodec,
)
from bronzemoor_daemon.wire.settings import CONTROL, PROXY, WireSettings
from bronzemoor_daemon.wire.tasks import Tasks, error_location

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon
    from bronzemoor_daemon.wire.proxy import Proxy
    from bronzemoor_daemon.wire.webserver import LoopBridge, WebServer, Wsgi

# The settings are reloaded at this interval, also without a signal.
RELOAD_INTERVAL_SECONDS = 2.0
# Libraries that serving does not need are imported after this time at the latest.
MAX_SERVING_WAIT_SECONDS = 1.0
WEB_SERVER_DELAY_SECONDS = 0.5
SERVING_CHECK_INTERVAL_SECONDS = 0.05
# A thread that imports a library holds up the event loop for this long at a time.
SWITCH_INTERVAL_SECONDS = 0.0005
CONTROL_THREADS = 8
# Time for HTTP requests in progress to finish when the daemon stops.
CONTROL_STOP_DELAY_SECONDS = 0.3


class Platform(Protocol):
    """Interface of a platform adapter."""

    codec: StatementCodec
    read_document: DocumentReader
    execute_promotion: PromotionExecutor

    def load_settings(self) -> WireSettings:
        """Reads the settings; raises ``InvalidSettings`` or ``OSError``."""

    def make_control_application(
        self, control: "ControlDaemon", bridge: "LoopBridge"
    ) -> "Wsgi": ...

    def body_limit(self, method: str, path: str) -> int:
        """Returns the largest body of a control request, in bytes."""


class Runner:
    """One process with a proxy, a control daemon or both."""

    def __init__(self, platform: Platform, settings: WireSettings) -> None:
        self._platform = platform
        self._settings = settings
        self._logs = LogWriter(
            settings.name, lambda: configure_logs(settings.log_level, sys.stdout)
        )
        self._metrics = WireMetrics()
        self._server: WebServer | None = None
        self._proxy: Proxy | None = None
        self._control: ControlDaemon | None = None
        self._stop_requested = asyncio.Event()
        self._tasks = Tasks(self._report)

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT; raises ``OSError`` if it cannot listen."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        loop.set_exception_handler(self._on_loop_error)
        self._report("info", "start", roles=",".join(self._settings.roles))
        await self._start_daemons()
        # A stop does not wait for it; a port that is still taken is tried again.
        self._tasks.repeat(self._start_when_serving, "start-when-serving")
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
        # Each role imports its own modules only.
        if PROXY in settings.roles:
            from bronzemoor_daemon.wire.proxy import Proxy

            self._proxy = Proxy(
                settings,
                platform.codec,
                platform.read_document,
                self._report,
                self._metrics,
            )
            await self._proxy.start()
            ready = make_readiness_page(self._is_ready)
            await serve_page(settings.listen_readiness, ready)
        if CONTROL in settings.roles:
            from bronzemoor_daemon.wire.control import ControlDaemon

            self._control = ControlDaemon(
                settings,
                platform.codec,
                platform.read_document,
                platform.execute_promotion,
                self._report,
                self._metrics,
            )
            await self._control.start()
        gc.freeze()
        gc.enable()
        if settings.listen_metrics:
            page = make_metrics_page(self._metrics.render)
            await serve_page(settings.listen_metrics, page)

    async def _start_when_serving(self) -> None:
        """Starts what imports large libraries, once statements can be served."""
        await self._until_serving()
        self._logs.start()
        if self._control is not None:
            # A new leader first answers the proxies.
            await asyncio.sleep(WEB_SERVER_DELAY_SECONDS)
            loop = asyncio.get_running_loop()
            server = await asyncio.to_thread(self._make_web_server, self._control, loop)
            await server.start()
            self._server = server
            self._tasks.repeat(self._sweep_web_server, "sweep-web-server")

    async def _until_serving(self) -> None:
        """Waits until statements can be served, for a limited time."""
        deadline = boottime() + MAX_SERVING_WAIT_SECONDS
        while boottime() < deadline and not self._serves:
            await asyncio.sleep(SERVING_CHECK_INTERVAL_SECONDS)

    @property
    def _serves(self) -> bool:
        proxy, control = self._proxy, self._control
        return (proxy is None or proxy.is_ready) and (
            control is None or bool(control.leader_name)
        )

    def _make_web_server(
        self, control: "ControlDaemon", loop: asyncio.AbstractEventLoop
    ) -> "WebServer":
        """Makes the server of operators and members, whose libraries load slowly."""
        from bronzemoor_daemon.wire.webserver import LoopBridge, WebServer

        return WebServer(
            self._settings,
            self._platform.make_control_application(control, LoopBridge(loop)),
            self._platform.body_limit,
            CONTROL_THREADS,
            self._report,
            self._metrics,
        )

    async def _sweep_web_server(self) -> None:
        while self._server is not None:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._server.sweep()

    async def _stop_daemons(self) -> None:
        self._tasks.cancel()
        if self._proxy is not None:
            await self._proxy.stop()
        if self._control is not None:
            await self._stop_web_server()
            await self._control.stop()

    async def _stop_web_server(self) -> None:
        """Stops listening and answers the requests that were accepted."""
        deadline = boottime() + self._settings.stop_grace / 2
        await asyncio.sleep(CONTROL_STOP_DELAY_SECONDS)
        server = self._server
        if server is None:
            return
        server.stop()
        while boottime() < deadline and server.is_in_use:
            await asyncio.sleep(SERVING_CHECK_INTERVAL_SECONDS)

    def _is_ready(self) -> bool:
        return self._proxy is not None and self._proxy.is_ready

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
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    settings = platform.load_settings()

    async def serve() -> None:
        await Runner(platform, settings).run()

    uvloop.run(serve())
    # A normal exit would wait for the threads of the web servers to time out.
    sys.stdout.flush()
    os._exit(0)
