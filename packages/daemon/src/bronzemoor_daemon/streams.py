"""Client connection streams without a buffer while idle, one call per operation."""

import socket
from ssl import SSLError

RECEIVE_BYTES = 16_384


class ClientReader:
    """Reads lines and bodies; returns a partial result at a timeout or end of input.

    Replaces cheroot's reader, which processes single bytes in Python and keeps its
    buffer for the lifetime of the connection.
    """

    __slots__ = ("_buffer", "_socket", "bytes_read", "closed")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._buffer = b""
        self.bytes_read = 0
        self.closed = False

    def has_data(self) -> bool:
        """Returns whether unread data is buffered."""
        return bool(self._buffer)

    def peek(self) -> bytes:
        """Waits for input and returns it unconsumed; empty if none arrived."""
        if not self._buffer:
            self._receive()
        return self._buffer

    def readline(self, size: int | None = None) -> bytes:
        """Returns a line with its terminator, but at most ``size`` bytes."""
        searched = 0
        while True:
            end = self._buffer.find(b"\n", searched) + 1
            if end:
                return self._consume(end if size is None else min(end, size))
            searched = len(self._buffer)
            if (size is not None and searched >= size) or not self._receive():
                return self._consume(searched if size is None else min(searched, size))

    def read(self, size: int) -> bytes:
        """Returns ``size`` bytes, or fewer at the end of the input."""
        if len(self._buffer) >= size:
            return self._consume(size)
        chunks, size_read = [self._consume(len(self._buffer))], 0
        size_read = len(chunks[0])
        while size_read < size and self._receive():
            chunks.append(self._consume(min(size - size_read, len(self._buffer))))
            size_read += len(chunks[-1])
        return b"".join(chunks)

    def close(self) -> None:
        self.closed = True

    def _receive(self) -> bool:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except (BlockingIOError, TimeoutError, SSLError):
            # Includes a client that aborted its TLS handshake.
            return False
        self._buffer += data
        self.bytes_read += len(data)
        return bool(data)

    def _consume(self, size: int) -> bytes:
        data = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return data


class ClientWriter:
    """Writes to the socket without a buffer."""

    __slots__ = ("_socket", "bytes_written")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)


def make_stream(
    sock: socket.socket, mode: str = "rb", size: int = -1
) -> ClientReader | ClientWriter:
    """Creates a stream; the signature is the one that cheroot expects."""
    return ClientReader(sock) if "r" in mode else ClientWriter(sock)
