"""Framed Thrift server with one thread per connection; applies the answer faults."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from bronzemoor_standin.faults import Faults
from bronzemoor_standin.gen.endpoint import Endpoint

_FRAME = struct.Struct("!i")
# Enough of an oversized frame to decode the call's name and correlation id.
_HEAD_BYTES = 512
_CHUNK = 64 * 1024
_PEER_CALL = "replicate"
# The peer closed the connection or broke the protocol.
_BROKEN = (OSError, TException, EOFError, ValueError, struct.error)


class Server:
    """Accepts connections; ``make_handler(connection)`` handles the calls of one."""

    def __init__(
        self,
        host: str,
        port: int,
        faults: Faults,
        make_handler: Callable[["Connection"], Any],
        max_message_bytes: int,
    ) -> None:
        self._host = host
        self._port = port
        self._faults = faults
        self._make_handler = make_handler
        self._max_message_bytes = max_message_bytes
        self._listener: socket.socket | None = None
        self._connections: set[Connection] = set()
        self._lock = threading.Lock()
        self.bind()

    @property
    def address(self) -> str:
        return f"{self._host}:{self._port}"

    def bind(self) -> None:
        """Reserves the port; connections are accepted after ``start``."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port))
        self._port = listener.getsockname()[1]
        self._listener = listener

    def start(self) -> None:
        if self._listener is None:
            self.bind()
        assert self._listener is not None
        self._listener.listen(128)
        threading.Thread(
            target=self._accept, args=(self._listener,), name="accept", daemon=True
        ).start()

    def stop_accepting(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def close_connections(self) -> None:
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                peer, _ = listener.accept()
            except OSError:
                return
            self._faults.wait_while_frozen()
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(peer, self._faults, self._max_message_bytes)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), name="connection", daemon=True
            ).start()

    def _serve(self, connection: "Connection") -> None:
        handler = self._make_handler(connection)
        try:
            connection.serve(handler)
        finally:
            connection.close()
            with self._lock:
                self._connections.discard(connection)
            handler.closed()


class Connection:
    """One accepted connection; ``greeted`` once ``hello`` was accepted on it."""

    def __init__(self, peer: socket.socket, faults: Faults, limit: int) -> None:
        self.closing = False
        self.greeted = False
        self.client = ""
        self._socket = peer
        self._faults = faults
        self._limit = limit
        self._opened_at = time.monotonic()
        # Answers held back until the next one: sent before it, and after it.
        self._late: list[bytes] = []
        self._overtaken: list[bytes] = []

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def serve(self, handler: Any) -> None:
        """Answers frames until the peer closes, breaks the protocol or is refused."""
        processor = Endpoint.Processor(handler)
        with (
            contextlib.suppress(*_BROKEN),
            self._socket.makefile("rb") as reader,
        ):
            while not self.closing:
                self._socket.settimeout(handler.idle_limit)
                size = _read_size(reader)
                if size > self._limit:
                    self._answer_too_large(reader, size, handler)
                    continue
                frame = _read_exactly(reader, size)
                name = _name_of(frame)
                if not self._receive(name):
                    continue
                self._send(name, _run(processor, frame))

    def _receive(self, name: str) -> bool:
        """Lets the call arrive; false when a fault makes it disappear."""
        self._faults.wait_while_frozen()
        self._travel(name)
        if name == _PEER_CALL:
            return not self._faults.cut_peers
        silent = self.greeted and self._opened_at <= self._faults.silenced_at
        return not silent and not self._faults.cut_daemons

    def _travel(self, name: str) -> None:
        if name == _PEER_CALL:
            delay = self._faults.peer_one_way_ms
        else:
            by_client = self._faults.client_one_way_ms
            delay = by_client.get(self.client, self._faults.one_way_ms)
        if delay > 0:
            time.sleep(delay / 1000)

    def _send(self, name: str, answer: bytes) -> None:
        self._faults.wait_while_frozen()
        self._travel(name)
        if name == _PEER_CALL:
            if not self._faults.cut_peers:
                self._socket.sendall(answer)
            return
        if self._faults.cut_daemons:
            return
        kind = self._faults.answer_fault(name) if self.greeted else ""
        if kind == "drop":
            return
        if kind == "late":
            self._late.append(answer)
            return
        if kind == "reorder":
            self._overtaken.append(answer)
            return
        if kind == "delay":
            time.sleep(self._faults.delay_ms / 1000)
        copies = [answer, answer] if kind == "duplicate" else [answer]
        frames = self._late + copies + self._overtaken
        self._late, self._overtaken = [], []
        self._socket.sendall(b"".join(frames))

    def _answer_too_large(self, reader: Any, size: int, handler: Any) -> None:
        head = _read_exactly(reader, min(size, _HEAD_BYTES))
        left = size - len(head)
        while left > 0:
            left -= len(_read_exactly(reader, min(left, _CHUNK)))
        call = TBinaryProtocolAccelerated(TMemoryBuffer(head))
        name, _, sequence = call.readMessageBegin()
        call.readStructBegin()
        call.readFieldBegin()
        call.readStructBegin()
        call.readFieldBegin()
        reply = handler.refuse_too_large(call.readI64())
        result = getattr(Endpoint, f"{name}_result")(success=reply)
        output = TMemoryBuffer()
        protocol = TBinaryProtocolAccelerated(output)
        protocol.writeMessageBegin(name, TMessageType.REPLY, sequence)
        result.write(protocol)
        protocol.writeMessageEnd()
        self._send(name, _framed(output.getvalue()))


def _run(processor: Endpoint.Processor, frame: bytes) -> bytes:
    """Runs one call and returns the framed answer."""
    output = TMemoryBuffer()
    processor.process(
        TBinaryProtocolAccelerated(TMemoryBuffer(frame)),
        TBinaryProtocolAccelerated(output),
    )
    return _framed(output.getvalue())


def _framed(answer: bytes) -> bytes:
    return _FRAME.pack(len(answer)) + answer


def _name_of(frame: bytes) -> str:
    """Name of the call in a frame of the strict binary protocol."""
    (length,) = _FRAME.unpack_from(frame, 4)
    return frame[8 : 8 + length].decode()


def _read_size(reader: Any) -> int:
    (size,) = _FRAME.unpack(_read_exactly(reader, 4))
    if size < 0:
        raise ValueError("negative frame size")
    return int(size)


def _read_exactly(reader: Any, size: int) -> bytes:
    data: bytes = reader.read(size)
    if len(data) < size:
        raise EOFError
    return data
