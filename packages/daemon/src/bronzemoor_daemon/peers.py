"""Thrift server and clients for messages between daemons."""

import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from threading import Condition, Lock, Thread
from time import monotonic
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated

from bronzemoor_core.actions import SendPeerMessage
from bronzemoor_core.events import PeerMessageReceived
from bronzemoor_core.exceptions import ProtocolError
from bronzemoor_daemon.codec import decode_envelope, encode_envelope
from bronzemoor_daemon.framing import FramedTransport, connect
from bronzemoor_daemon.gen.peer import Peer, ttypes
from bronzemoor_daemon.tls import ContextSource

CONNECT_TIMEOUT_SECONDS = 0.5
DELIVER_TIMEOUT_SECONDS = 1.0
# Bounds the memory used for an unreachable peer. Dropped messages are tolerated, since
# the protocol repeats all essential information.
QUEUE_LIMIT = 1_000
BATCH_LIMIT = 100
RETRY_INTERVAL_SECONDS = 0.05

ReportFault = Callable[[str, dict[str, Any]], None]


class PeerSender:
    """Sends messages to one peer, in order, from a thread of its own."""

    def __init__(
        self,
        name: str,
        recipient: str,
        address: str,
        tls: ContextSource | None,
        report: ReportFault,
    ) -> None:
        self._name = name
        self._recipient = recipient
        self._address = address
        self._tls = tls
        self._report = report
        self._queue: deque[tuple[Any, str]] = deque(maxlen=QUEUE_LIMIT)
        self._condition = Condition(Lock())
        self._stopped = False
        self._transport: FramedTransport | None = None
        self._thread = Thread(target=self._run, name=f"peer-{recipient}", daemon=True)
        self._thread.start()

    @property
    def queued(self) -> int:
        return len(self._queue)

    def put(self, message: Any, trace_context: str = "") -> None:
        """Enqueues without blocking; drops the oldest message of a full queue."""
        with self._condition:
            self._queue.append((message, trace_context))
            self._condition.notify()

    def stop(self) -> None:
        """Stops sending and closes the connection."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        transport = self._transport
        if transport is not None:
            transport.close()

    def _run(self) -> None:
        client = None
        while (batch := self._next_batch()) is not None:
            try:
                envelopes = [
                    encode_envelope(self._name, self._recipient, message, context)
                    for message, context in batch
                ]
                if client is None:
                    client = self._connect()
                assert self._transport is not None
                self._transport.deadline = monotonic() + DELIVER_TIMEOUT_SECONDS
                client.deliver(envelopes)
            except ttypes.Rejected as error:
                self._report(
                    "peer_rejected",
                    {
                        "peer": self._recipient,
                        "code": error.code,
                        "error": error.message,
                    },
                )
            except Exception as error:  # the batch is lost; the core tolerates it
                self._disconnect()
                client = None
                self._report(
                    "peer_unreachable", {"peer": self._recipient, "error": str(error)}
                )
                with self._condition:
                    self._condition.wait_for(
                        lambda: self._stopped, RETRY_INTERVAL_SECONDS
                    )
        self._disconnect()

    def _next_batch(self) -> list[tuple[Any, str]] | None:
        with self._condition:
            while not self._queue and not self._stopped:
                self._condition.wait()
            if self._stopped:
                return None
            size = min(len(self._queue), BATCH_LIMIT)
            return [self._queue.popleft() for _ in range(size)]

    def _connect(self) -> Peer.Client:
        sock = connect(self._address, CONNECT_TIMEOUT_SECONDS)
        if self._tls is not None:
            sock = self._tls().wrap_socket(sock)
        self._transport = FramedTransport(sock)
        return Peer.Client(TBinaryProtocolAccelerated(self._transport))

    def _disconnect(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None


class PeerSenders:
    """Holds one sender per known peer, created with the first message to it."""

    def __init__(
        self,
        name: str,
        addresses: dict[str, str],
        tls: ContextSource | None,
        report: ReportFault,
    ) -> None:
        self._name = name
        self._addresses = addresses
        self._tls = tls
        self._report = report
        self._senders: dict[str, PeerSender] = {}

    @property
    def queued(self) -> dict[str, int]:
        """Number of queued messages by recipient."""
        return {name: sender.queued for name, sender in self._senders.items()}

    def send(self, action: SendPeerMessage, trace_context: str = "") -> None:
        """Enqueues a message; reports and drops one for an unknown peer."""
        sender = self._senders.get(action.recipient)
        if sender is None:
            address = self._addresses.get(action.recipient)
            if address is None:
                self._report("peer_unknown", {"peer": action.recipient})
                return
            sender = PeerSender(
                self._name, action.recipient, address, self._tls, self._report
            )
            self._senders[action.recipient] = sender
        sender.put(action.message, trace_context)

    def stop(self) -> None:
        for sender in self._senders.values():
            sender.stop()


class PeerServer:
    """Receives messages from other daemons, with one thread per connection."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        tls: ContextSource | None,
        deliver: Callable[[PeerMessageReceived, str], None],
        report: ReportFault,
    ) -> None:
        self._name = name
        self._tls = tls
        self._deliver = deliver
        self._report = report
        self._transports: set[FramedTransport] = set()
        self._stopped = False
        self._listener = socket.create_server(address, backlog=1024)
        self._processor = Peer.Processor(self)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()[:2]
        return host, port

    def start(self) -> None:
        Thread(target=self._accept, name="peer-accept", daemon=True).start()

    def stop(self) -> None:
        """Closes the listener and every connection."""
        self._stopped = True
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for transport in list(self._transports):
            transport.close()

    def deliver(self, envelopes: list[ttypes.Envelope]) -> None:
        """Thrift handler: delivers all messages, or raises ``Rejected`` and none."""
        received = []
        for envelope in envelopes or ():
            try:
                message = decode_envelope(envelope)
                if envelope.recipient != self._name:
                    raise ProtocolError(
                        f"message is addressed to {envelope.recipient!r}",
                        step="peers",
                        code="wrong_recipient",
                    )
            except ProtocolError as error:
                self._report(
                    "peer_message_rejected",
                    {
                        "peer": envelope.sender,
                        "code": error.code,
                        "error": error.message,
                    },
                )
                raise ttypes.Rejected(error.code, error.message) from error
            received.append((envelope, message))
        for envelope, message in received:
            self._deliver(
                PeerMessageReceived(envelope.sender, message),
                envelope.trace_context or "",
            )

    def _accept(self) -> None:
        while not self._stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._stopped:
                    return
                continue
            Thread(target=self._serve, args=(sock,), name="peer", daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        transport = None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                sock.settimeout(CONNECT_TIMEOUT_SECONDS)
                sock = self._tls().wrap_socket(sock, server_side=True)
            transport = FramedTransport(sock)
            self._transports.add(transport)
            protocol = TBinaryProtocolAccelerated(transport)
            while not self._stopped:
                self._processor.process(protocol, protocol)
        except Exception as error:  # an invalid stream ends only its connection
            if not self._stopped and not _is_end_of_stream(error):
                self._report("peer_connection_failed", {"error": str(error)})
        finally:
            if transport is not None:
                self._transports.discard(transport)
                transport.close()
            sock.close()


def _is_end_of_stream(error: Exception) -> bool:
    return "closed by the other side" in str(error)
