"""Framed Thrift server with one thread per connection and fault injection."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any

from thrift.Thrift import TException, TMessageType

from bronzemoor_standin.faults import Faults
from bronzemoor_standin.framing import (
    Codec,
    dispatch_call,
    parse_header,
    read_exactly,
    read_size,
)
from bronzemoor_standin.gen.endpoint import Endpoint

# Enough of an oversized frame to decode the call's name and correlation id.
_HEADER_BYTES = 512
_CHUNK_BYTES = 64 * 1024
# Skips the field headers of the call struct and of its correlation id.
_CORRELATION_ID = struct.Struct("!6xq")
_PEER_CALL = b"replicate"
# Raised when the client closes the connection or violates the protocol.
_CONNECTION_ERRORS = (OSError, TException, EOFError, ValueError, struct.error)


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
                client_socket, _ = listener.accept()
            except OSError:
                return
            self._faults.wait_while_frozen()
            client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(
                client_socket, self._faults, self._max_message_bytes
            )
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
            handler.on_close()


class Connection:
    """One client connection; most calls need ``hello_accepted``."""

    def __init__(
        self, client_socket: socket.socket, faults: Faults, max_message_bytes: int
    ) -> None:
        self.closing = False
        self.hello_accepted = False
        self.client = ""
        self._socket = client_socket
        self._faults = faults
        self._max_message_bytes = max_message_bytes
        self._codec = Codec()
        self._opened_at = time.monotonic()
        # Answers held back until the next one: late ones precede it, reordered ones
        # follow it.
        self._late: list[bytes] = []
        self._reordered: list[bytes] = []

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def serve(self, handler: Any) -> None:
        """Answers calls until the connection fails, is closed or is refused."""
        with (
            contextlib.suppress(*_CONNECTION_ERRORS),
            self._socket.makefile("rb") as reader,
        ):
            while not self.closing:
                self._socket.settimeout(handler.idle_timeout)
                size = read_size(reader)
                if size > self._max_message_bytes:
                    self._refuse_too_large(reader, size, handler)
                    continue
                frame = read_exactly(reader, size)
                name = parse_header(frame)[1]
                if self._deliver_call(name):
                    self._send_answer(name, dispatch_call(self._codec, handler, frame))

    def _deliver_call(self, name: bytes) -> bool:
        """Delays the call; returns False if a fault drops it."""
        self._faults.wait_while_frozen()
        self._wait_one_way_delay(name)
        if name == _PEER_CALL:
            return not self._faults.cut_peers
        silent = self.hello_accepted and self._opened_at <= self._faults.silenced_at
        return not silent and not self._faults.cut_daemons

    def _wait_one_way_delay(self, name: bytes) -> None:
        if name == _PEER_CALL:
            delay = self._faults.peer_one_way_ms
        else:
            by_client = self._faults.client_one_way_ms
            delay = by_client.get(self.client, self._faults.one_way_ms)
        if delay > 0:
            time.sleep(delay / 1000)

    def _send_answer(self, name: bytes, answer: bytes) -> None:
        self._faults.wait_while_frozen()
        self._wait_one_way_delay(name)
        if name == _PEER_CALL:
            if not self._faults.cut_peers:
                self._socket.sendall(answer)
            return
        if self._faults.cut_daemons:
            return
        fault = (
            self._faults.draw_answer_fault(name.decode()) if self.hello_accepted else ""
        )
        if fault == "drop":
            return
        if fault == "late":
            self._late.append(answer)
            return
        if fault == "reorder":
            self._reordered.append(answer)
            return
        if fault == "delay":
            time.sleep(self._faults.delay_ms / 1000)
        copies = [answer, answer] if fault == "duplicate" else [answer]
        frames = self._late + copies + self._reordered
        self._late, self._reordered = [], []
        self._socket.sendall(b"".join(frames))

    def _refuse_too_large(self, reader: Any, size: int, handler: Any) -> None:
        header = read_exactly(reader, min(size, _HEADER_BYTES))
        remaining = size - len(header)
        while remaining > 0:
            remaining -= len(read_exactly(reader, min(remaining, _CHUNK_BYTES)))
        _, name, sequence, start = parse_header(header)
        # The body starts with field 1 (a struct), whose field 1 is the correlation id.
        (correlation_id,) = _CORRELATION_ID.unpack_from(header, start)
        reply = handler.refuse_too_large(correlation_id)
        result = getattr(Endpoint, f"{name.decode()}_result")(success=reply)
        answer = self._codec.encode(TMessageType.REPLY, name, sequence, result)
        self._send_answer(name, answer)
