"""Framed Thrift server with one thread per connection; applies the answer faults."""

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
    parse_head,
    read_exactly,
    read_size,
    run_call,
)
from bronzemoor_standin.gen.endpoint import Endpoint

# Enough of an oversized frame to decode the call's name and correlation id.
_HEAD_BYTES = 512
_CHUNK = 64 * 1024
# Type and id of field 1 of the arguments, then of the call, and the id itself.
_CORRELATION_ID = struct.Struct("!6xq")
_PEER_CALL = b"replicate"
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
        self._codec = Codec()
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
        with (
            contextlib.suppress(*_BROKEN),
            self._socket.makefile("rb") as reader,
        ):
            while not self.closing:
                self._socket.settimeout(handler.idle_limit)
                size = read_size(reader)
                if size > self._limit:
                    self._answer_too_large(reader, size, handler)
                    continue
                frame = read_exactly(reader, size)
                name = parse_head(frame)[1]
                if self._receive(name):
                    self._send(name, run_call(self._codec, handler, frame))

    def _receive(self, name: bytes) -> bool:
        """Lets the call arrive; false when a fault makes it disappear."""
        self._faults.wait_while_frozen()
        self._travel(name)
        if name == _PEER_CALL:
            return not self._faults.cut_peers
        silent = self.greeted and self._opened_at <= self._faults.silenced_at
        return not silent and not self._faults.cut_daemons

    def _travel(self, name: bytes) -> None:
        if name == _PEER_CALL:
            delay = self._faults.peer_one_way_ms
        else:
            by_client = self._faults.client_one_way_ms
            delay = by_client.get(self.client, self._faults.one_way_ms)
        if delay > 0:
            time.sleep(delay / 1000)

    def _send(self, name: bytes, answer: bytes) -> None:
        self._faults.wait_while_frozen()
        self._travel(name)
        if name == _PEER_CALL:
            if not self._faults.cut_peers:
                self._socket.sendall(answer)
            return
        if self._faults.cut_daemons:
            return
        kind = self._faults.answer_fault(name.decode()) if self.greeted else ""
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
        head = read_exactly(reader, min(size, _HEAD_BYTES))
        left = size - len(head)
        while left > 0:
            left -= len(read_exactly(reader, min(left, _CHUNK)))
        _, name, sequence, start = parse_head(head)
        # The body starts with field 1 (a struct), whose field 1 is the correlation id.
        (correlation_id,) = _CORRELATION_ID.unpack_from(head, start)
        reply = handler.refuse_too_large(correlation_id)
        result = getattr(Endpoint, f"{name.decode()}_result")(success=reply)
        answer = self._codec.encode(TMessageType.REPLY, name, sequence, result)
        self._send(name, answer)
