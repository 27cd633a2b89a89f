"""Performs the core's actions on thread pools and through queues."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any

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
from bronzemoor_core.events import ConnectionClosed
from bronzemoor_daemon.endpoints import EndpointConnections
from bronzemoor_daemon.logs import LogWriter
from bronzemoor_daemon.metrics import Metrics
from bronzemoor_daemon.peers import PeerSenders
from bronzemoor_daemon.storagethread import StorageThread

# Threads that open and probe connections; each may block until its timeout.
CONNECTION_THREADS = 16
# Separate threads, so that failover orders never wait for connections to time out.
ORDER_THREADS = 8


class Performers:
    """Maps action types to performers; no performer blocks."""

    def __init__(
        self,
        endpoints: EndpointConnections,
        senders: PeerSenders,
        storage: StorageThread,
        logs: LogWriter,
        metrics: Metrics,
        handle: Callable[[object], None],
        trace_context: Callable[[], str],
        stop_listening: Callable[[], None],
        on_exit: Callable[[Exit], None],
    ) -> None:
        self._endpoints = endpoints
        self._handle_event = handle
        self._connection_pool = ThreadPoolExecutor(CONNECTION_THREADS, "connections")
        self._order_pool = ThreadPoolExecutor(ORDER_THREADS, "orders")
        self.table: dict[type, Callable[[Any], None]] = {
            OpenConnection: self._open_connection,
            CloseConnection: self._close_connection,
            SendCall: self._send_call,
            SendOrder: self._send_order,
            SendPeerMessage: lambda action: senders.send(action, trace_context()),
            PersistLog: storage.put,
            PersistSnapshot: storage.put,
            EmitLog: lambda action: logs.write(
                action.level, action.event, action.fields
            ),
            EmitMetric: lambda action: metrics.emit(
                action.kind, action.name, action.value
            ),
            StopListening: lambda action: self._submit(stop_listening),
            Exit: on_exit,
        }

    def stop(self) -> None:
        """Starts no further actions; those in progress end within their timeouts."""
        self._connection_pool.shutdown(wait=False, cancel_futures=True)
        self._order_pool.shutdown(wait=False, cancel_futures=True)

    def _open_connection(self, action: OpenConnection) -> None:
        self._endpoints.register_open(action.connection)
        self._submit_action(self._connection_pool, self._endpoints.open, action)

    def _close_connection(self, action: CloseConnection) -> None:
        self._submit(lambda: self._close_and_report(action))

    def _close_and_report(self, action: CloseConnection) -> None:
        """Closes and reports it: the core counts a connection until it is closed."""
        if self._endpoints.close(action.connection):
            self._handle_event(
                ConnectionClosed(action.connection, action.reason, False)
            )

    def _send_call(self, action: SendCall) -> None:
        self._submit_action(self._connection_pool, self._endpoints.call, action)

    def _send_order(self, action: SendOrder) -> None:
        self._submit_action(self._order_pool, self._endpoints.send_order, action)

    def _submit_action(
        self, pool: ThreadPoolExecutor, perform: Callable[[Any], object], action: Any
    ) -> None:
        with suppress(RuntimeError):  # the pool is shut down
            pool.submit(lambda: self._handle_event(perform(action)))

    def _submit(self, function: Callable[[], None]) -> None:
        with suppress(RuntimeError):
            self._connection_pool.submit(function)
