"""Thrift connections to endpoints, and the core's actions on them."""

from collections.abc import Callable
from ssl import SSLContext
from threading import Lock
from time import monotonic
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TTransportException

from bronzemoor_core.actions import Answer, Call, OpenConnection, SendCall, SendOrder
from bronzemoor_core.events import (
    AnswerReceived,
    AnswerTimedOut,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    OrderAnswered,
    OrderFailed,
)
from bronzemoor_daemon.framing import FramedTransport, NotSentError, connect
from bronzemoor_daemon.gen.endpoint import Endpoint, ttypes

CallEvent = AnswerReceived | AnswerTimedOut | ConnectionClosed

# A connection without an answer for longer than this is checked for unexpected input
# before a call, which detects most closed connections before anything is sent.
MAX_UNCHECKED_IDLE_SECONDS = 0.020

_STATUS = {0: "ok", 1: "refused", 2: "failed"}


class _Connection:
    """One open connection; ``client`` is the generated Thrift client."""

    __slots__ = ("client", "transport", "used_at")

    def __init__(self, transport: FramedTransport) -> None:
        self.transport = transport
        self.used_at = 0.0
        self.client = Endpoint.Client(TBinaryProtocolAccelerated(transport))


def _position(call: Call) -> ttypes.Position:
    return ttypes.Position(call.min_position.term, call.min_position.offset)


def _execute(call: Call) -> ttypes.Execute:
    return ttypes.Execute(
        correlation_id=call.correlation_id,
        request_id=call.request_id,
        digest=call.digest,
        statements=[ttypes.Statement(s.sql, s.params) for s in call.statements],
        read_only=call.read_only,
        recorded=call.recorded,
        reservation=call.reservation or None,
        transaction_id=call.transaction_id or None,
        min_position=_position(call),
        wait_ms=call.wait_ms,
        deadline_ms=int(call.timeout * 1000),
    )


def _transaction(call: Call) -> ttypes.TransactionCall:
    return ttypes.TransactionCall(
        correlation_id=call.correlation_id,
        request_id=call.request_id,
        transaction_id=call.transaction_id,
        digest=call.digest,
        recorded=call.recorded,
        min_position=_position(call),
        wait_ms=call.wait_ms,
    )


def _reserve(call: Call) -> ttypes.Reserve:
    return ttypes.Reserve(
        correlation_id=call.correlation_id,
        request_id=call.request_id,
        digest=call.digest,
        reservation=call.reservation,
    )


def _query(call: Call) -> ttypes.Query:
    return ttypes.Query(
        correlation_id=call.correlation_id,
        request_id=call.request_id,
        position=_position(call),
        wait_ms=call.wait_ms,
        digest=call.digest,
    )


# Functions that build the Thrift argument of a call, by method name.
CALL_ENCODERS: dict[str, Callable[[Call], Any]] = {
    "execute": _execute,
    "begin": _transaction,
    "commit": _transaction,
    "rollback": _transaction,
    "reserve": _reserve,
    "confirm": _query,
    "lookup": _query,
    "ping": _query,
}


def decode_answer(reply: ttypes.Reply) -> Answer:
    """Converts a reply to the core's ``Answer``; raises ``ValueError`` if malformed.

    The core checks the length, the checksum and the correlation id.
    """
    status = _STATUS.get(reply.status)
    if status is None or reply.correlation_id is None:
        raise ValueError("reply without status or correlation id")
    return Answer(
        reply.correlation_id,
        status,
        reply.request_id or "",
        reply.code or "",
        reply.message or "",
        reply.term or 0,
        reply.offset or 0,
        reply.majority_offset or 0,
        -1 if reply.confirmed_ago_ms is None else reply.confirmed_ago_ms,
        reply.payload or b"",
        reply.length or 0,
        reply.checksum or 0,
        reply.member or "",
        reply.role or "",
        bool(reply.repeated),
        reply.transaction_id or "",
        reply.history or {},
        bool(reply.leaving),
    )


class EndpointConnections:
    """Open connections of this daemon to endpoints, by the core's connection number.

    ``open``, ``call`` and ``send_order`` block and return the event that results.
    """

    def __init__(
        self,
        client_name: str,
        clock: Callable[[], float] = monotonic,
        tls: SSLContext | None = None,
    ) -> None:
        self._client_name = client_name
        self._clock = clock
        self._tls = tls
        self._connections: dict[int, _Connection] = {}
        # Connections that the core closed while they were still opening.
        self._closed_while_opening: set[int] = set()
        self._opening: set[int] = set()
        self._lock = Lock()

    def __len__(self) -> int:
        return len(self._connections)

    def register_open(self, connection: int) -> None:
        """Registers a pending open, so that a close before its end takes effect."""
        with self._lock:
            self._opening.add(connection)

    def open(self, action: OpenConnection) -> ConnectionOpened | ConnectionFailed:
        """Connects and exchanges hellos within ``action.timeout`` seconds."""
        conn = None
        try:
            conn = self._dial(action.address, action.timeout)
            hello = ttypes.Hello(action.connection, self._client_name, action.database)
            answer = decode_answer(conn.client.hello(hello))
        except Exception as error:  # includes any invalid reply to the hello
            if conn is not None:
                conn.transport.close()
            with self._lock:
                self._opening.discard(action.connection)
                self._closed_while_opening.discard(action.connection)
            return ConnectionFailed(action.connection, _describe(error))
        with self._lock:
            self._opening.discard(action.connection)
            closed_while_opening = action.connection in self._closed_while_opening
            self._closed_while_opening.discard(action.connection)
            if not closed_while_opening:
                self._connections[action.connection] = conn
        if closed_while_opening:
            conn.transport.close()
            return ConnectionFailed(action.connection, "closed while opening")
        return ConnectionOpened(action.connection, answer)

    def call(self, action: SendCall) -> CallEvent:
        """Performs one call; ``sent`` is false only if it cannot have arrived."""
        conn = self._connections.get(action.connection)
        call = action.call
        if conn is None:
            return ConnectionClosed(
                action.connection, "connection is not open", sent=False
            )
        transport = conn.transport
        sent_at = self._clock()
        try:
            if (
                sent_at - conn.used_at > MAX_UNCHECKED_IDLE_SECONDS
                and transport.has_unexpected_input()
            ):
                # The endpoint closed the connection or sent unsolicited data.
                return self._close_with_event(
                    action, "connection closed or unsolicited data received", False
                )
            transport.deadline = monotonic() + call.timeout
            argument = CALL_ENCODERS[call.kind](call)
            reply = getattr(conn.client, call.kind)(argument)
            conn.used_at = self._clock()
            return AnswerReceived(
                action.connection, call, decode_answer(reply), sent_at
            )
        except NotSentError as error:
            return self._close_with_event(action, _describe(error), False)
        except TTransportException as error:
            if error.type == TTransportException.TIMED_OUT:
                return AnswerTimedOut(action.connection, call, sent_at)
            return self._close_with_event(action, _describe(error), True)
        except Exception as error:  # a reply that cannot be decoded
            return self._close_with_event(action, _describe(error), True)

    def close(self, connection: int) -> bool:
        """Closes a connection; a call in progress on it returns ``ConnectionClosed``.

        Returns false if it is still opening; it is then closed once that has ended.
        """
        with self._lock:
            conn = self._connections.pop(connection, None)
            opening = conn is None and connection in self._opening
            if opening:
                self._closed_while_opening.add(connection)
        if conn is not None:
            conn.transport.close()
        return not opening

    def send_order(self, action: SendOrder) -> OrderAnswered | OrderFailed:
        """Sends an order on a new connection within ``action.timeout`` seconds."""
        order = action.order
        try:
            conn = self._dial(order.address, action.timeout)
        except (OSError, ValueError) as error:
            return OrderFailed(order, _describe(error))
        try:
            hello = ttypes.Hello(
                order.correlation_id, self._client_name, order.database
            )
            conn.client.hello(hello)
            if order.kind == "ping":
                argument: Any = ttypes.Query(
                    order.correlation_id, "", ttypes.Position(0, 0), 0, ""
                )
            else:
                argument = ttypes.Order(
                    order.correlation_id,
                    order.term,
                    order.primary,
                    order.start_offset,
                    order.members,
                )
            reply = getattr(conn.client, order.kind)(argument)
            return OrderAnswered(order, decode_answer(reply))
        except Exception as error:  # includes any invalid reply
            return OrderFailed(order, _describe(error))
        finally:
            conn.transport.close()

    def close_all(self) -> None:
        for connection in list(self._connections):
            self.close(connection)

    def _dial(self, address: str, timeout: float) -> _Connection:
        deadline = monotonic() + timeout
        sock = connect(address, timeout)
        try:
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock)
        except OSError:
            sock.close()
            raise
        transport = FramedTransport(sock)
        transport.deadline = deadline
        return _Connection(transport)

    def _close_with_event(
        self, action: SendCall, error: str, sent: bool
    ) -> ConnectionClosed:
        self.close(action.connection)
        return ConnectionClosed(action.connection, error, sent)


def _describe(error: BaseException) -> str:
    if isinstance(error, TException) and getattr(error, "message", None):
        return str(error.message)
    return f"{type(error).__name__}: {error}"
