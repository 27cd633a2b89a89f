"""Performs the core's actions: calls on pool threads, messages and sinks by queue."""

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

# Opening and probing connections; each may wait for its timeout.
CONNECTION_THREADS = 16
# Orders of a failover never wait behind connections that time out.
ORDER_THREADS = 8


class Performers:
    """Table of performers by action type; none of them blocks."""

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
        leave: Callable[[Exit], None],
    ) -> None:
        self._endpoints = endpoints
        self._handle = handle
        self._connection_pool = ThreadPoolExecutor(CONNECTION_THREADS, "connections")
        self._order_pool = ThreadPoolExecutor(ORDER_THREADS, "orders")
        self.table: dict[type, Callable[[Any], None]] = {
            OpenConnection: self._open,
            CloseConnection: self._close,
            SendCall: self._call,
            SendOrder: self._order,
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
            Exit: leave,
        }

    def stop(self) -> None:
        """Starts no further action; those in progress end by their timeouts."""
        self._connection_pool.shutdown(wait=False, cancel_futures=True)
        self._order_pool.shutdown(wait=False, cancel_futures=True)

    def _open(self, action: OpenConnection) -> None:
        self._endpoints.announce_open(action.connection)
        self._perform(self._connection_pool, self._endpoints.open, action)

    def _close(self, action: CloseConnection) -> None:
        self._submit(lambda: self._close_and_confirm(action))

    def _close_and_confirm(self, action: CloseConnection) -> None:
        """Closes and says so: the core counts a connection until it is closed."""
        if self._endpoints.close(action.connection):
            self._handle(ConnectionClosed(action.connection, action.reason, False))

    def _call(self, action: SendCall) -> None:
        self._perform(self._connection_pool, self._endpoints.call, action)

    def _order(self, action: SendOrder) -> None:
        self._perform(self._order_pool, self._endpoints.order, action)

    def _perform(
        self, pool: ThreadPoolExecutor, perform: Callable[[Any], object], action: Any
    ) -> None:
        with suppress(RuntimeError):  # the pool is stopped
            pool.submit(lambda: self._handle(perform(action)))

    def _submit(self, function: Callable[[], None]) -> None:
        with suppress(RuntimeError):
            self._connection_pool.submit(function)
