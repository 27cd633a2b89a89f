"""Byte streams of a client connection: no buffer while idle, one call per operation."""

import socket
from ssl import SSLError

RECEIVE_BYTES = 16_384


class ClientReader:
    """Reads lines and bodies; after a timeout or at the end it returns what is there.

    Replaces cheroot's reader, which is written in Python byte by byte and holds its
    buffer for as long as the connection lives.
    """

    __slots__ = ("_buffer", "_socket", "bytes_read", "closed")

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self._buffer = b""
        self.bytes_read = 0
        self.closed = False

    def has_data(self) -> bool:
        """Tells whether bytes are here already."""
        return bool(self._buffer)

    def peek(self) -> bytes:
        """Waits for input and returns it without taking it; empty if none came."""
        if not self._buffer:
            self._fill()
        return self._buffer

    def readline(self, size: int | None = None) -> bytes:
        """Returns a line with its end, but at most ``size`` bytes."""
        searched = 0
        while True:
            end = self._buffer.find(b"\n", searched) + 1
            if end:
                return self._take(end if size is None else min(end, size))
            searched = len(self._buffer)
            if (size is not None and searched >= size) or not self._fill():
                return self._take(searched if size is None else min(searched, size))

    def read(self, size: int) -> bytes:
        """Returns ``size`` bytes, or fewer at the end of the input."""
        if len(self._buffer) >= size:
            return self._take(size)
        chunks, held = [self._take(len(self._buffer))], 0
        held = len(chunks[0])
        while held < size and self._fill():
            chunks.append(self._take(min(size - held, len(self._buffer))))
            held += len(chunks[-1])
        return b"".join(chunks)

    def close(self) -> None:
        self.closed = True

    def _fill(self) -> bool:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except (BlockingIOError, TimeoutError, SSLError):
            # Includes a client that gave up its handshake.
            return False
        self._buffer += data
        self.bytes_read += len(data)
        return bool(data)

    def _take(self, size: int) -> bytes:
        data = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return data


class ClientWriter:
    """Writes straight to the socket."""

    __slots__ = ("_socket", "bytes_written")

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)


def make_stream(
    connected: socket.socket, mode: str = "rb", size: int = -1
) -> ClientReader | ClientWriter:
    """Factory with the signature that cheroot expects."""
    return ClientReader(connected) if "r" in mode else ClientWriter(connected)
