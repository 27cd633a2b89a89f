"""Framed Thrift server with one thread per connection."""

import contextlib
import socket
import struct
import threading
from collections.abc import Callable
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from bronzemoor_standin.faults import Faults
from bronzemoor_standin.gen.endpoint.Endpoint import Processor

_FRAME = struct.Struct("!i")


class NoAnswer(TTransportException):
    """Raised by a handler so that the call gets no answer at all."""


class Server:
    """Accepts connections and runs ``handler(connection)`` calls on their threads."""

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
        self.max_message_bytes = max_message_bytes
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

    def stop(self) -> None:
        """Closes the listener and every connection."""
        listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
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
            connection = Connection(peer, self._faults, self.max_message_bytes)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), name="connection", daemon=True
            ).start()

    def _serve(self, connection: "Connection") -> None:
        handler = self._make_handler(connection)
        try:
            connection.serve(Processor(handler))
        finally:
            connection.close()
            with self._lock:
                self._connections.discard(connection)
            handler.closed()


class Connection:
    """One accepted connection."""

    def __init__(self, peer: socket.socket, faults: Faults, limit: int) -> None:
        self._socket = peer
        self._faults = faults
        self._limit = limit
        self.closing = False

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def serve(self, processor: Processor) -> None:
        """Answers frames until the peer closes, breaks the protocol or is refused."""
        reader = self._socket.makefile("rb")
        with contextlib.suppress(OSError, TTransportException, EOFError, ValueError):
            while not self.closing:
                frame = self._read_frame(reader)
                if frame is None:
                    return
                self._faults.wait_while_frozen()
                try:
                    answer = run_frame(processor, frame)
                except NoAnswer:
                    continue
                self._faults.wait_while_frozen()
                self._socket.sendall(answer)

    def _read_frame(self, reader: Any) -> bytes | None:
        head = reader.read(4)
        if len(head) < 4:
            return None
        (size,) = _FRAME.unpack(head)
        if not 0 <= size <= self._limit:
            return None
        frame: bytes = reader.read(size)
        return frame if len(frame) == size else None


def run_frame(processor: Processor, frame: bytes) -> bytes:
    """Runs one call and returns the framed answer."""
    output = TMemoryBuffer()
    processor.process(
        TBinaryProtocolAccelerated(TMemoryBuffer(frame)),
        TBinaryProtocolAccelerated(output),
    )
    answer = output.getvalue()
    return _FRAME.pack(len(answer)) + answer
