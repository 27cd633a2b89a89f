"""Framed Thrift transport on a socket, with a deadline per frame and a size bound."""

import select
import socket
import ssl
import struct
import time
from contextlib import suppress
from io import BytesIO

from thrift.transport.TTransport import (
    CReadableTransport,
    TTransportBase,
    TTransportException,
)

# A frame length above this is garbage or abuse; it is never allocated.
MAX_FRAME_BYTES = 64 * 1024 * 1024
RECEIVE_BYTES = 65_536
LENGTH = struct.Struct("!I")


class NotSentError(TTransportException):
    """The frame did not leave completely, so the other side cannot have run it."""


class FramedTransport(TTransportBase, CReadableTransport):
    """Exchanges whole frames on a connected socket; not safe for several threads."""

    __slots__ = ("_buffer", "_outgoing", "_poll", "_received", "_socket", "deadline")

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self._outgoing: list[bytes] = []
        self._buffer = BytesIO()
        self._received = b""
        # Monotonic seconds after which a receive fails; None waits for ever.
        self.deadline: float | None = None
        self._poll: select.poll | None = None
        if not isinstance(connected, ssl.SSLSocket):
            self._poll = select.poll()
            self._poll.register(connected, select.POLLIN)

    @property
    def socket(self) -> socket.socket:
        return self._socket

    def isOpen(self) -> bool:  # noqa: N802
        return self._socket.fileno() >= 0

    def has_input(self) -> bool:
        """Tells whether bytes or an end of stream wait although none are expected.

        Under TLS this is not known, because session tickets are input as well.
        """
        if self._received:
            return True
        return self._poll is not None and bool(self._poll.poll(0))

    def write(self, data: bytes) -> None:
        self._outgoing.append(data)

    def flush(self) -> None:
        """Sends what was written as one frame; raises ``NotSentError`` if it broke."""
        body = b"".join(self._outgoing)
        self._outgoing.clear()
        try:
            self._socket.settimeout(self._remaining())
            self._socket.sendall(LENGTH.pack(len(body)) + body)
        except (OSError, ValueError) as error:
            raise NotSentError(TTransportException.NOT_OPEN, str(error)) from error

    def read(self, size: int) -> bytes:
        data = self._buffer.read(size)
        if data or size == 0:
            return data
        self._receive_frame()
        return self._buffer.read(size)

    @property
    def cstringio_buf(self) -> BytesIO:
        return self._buffer

    def cstringio_refill(self, partialread: bytes, reqlen: int) -> BytesIO:
        """Called by the accelerated decoder when the frame has too few bytes."""
        if partialread:
            raise TTransportException(
                TTransportException.END_OF_FILE, "message longer than its frame"
            )
        self._receive_frame()
        return self._buffer

    def close(self) -> None:
        """Wakes a thread that waits in a receive, then closes the socket."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _receive_frame(self) -> None:
        header = self._receive(LENGTH.size)
        (length,) = LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"frame of {length} bytes"
            )
        self._buffer = BytesIO(self._receive(length))

    def _receive(self, size: int) -> bytes:
        data = self._received
        chunks, held = [data], len(data)
        while held < size:
            try:
                self._socket.settimeout(self._remaining())
                chunk = self._socket.recv(RECEIVE_BYTES)
            except TimeoutError as error:
                raise TTransportException(
                    TTransportException.TIMED_OUT, "no whole answer in time"
                ) from error
            except (OSError, ValueError) as error:
                raise TTransportException(
                    TTransportException.UNKNOWN, str(error)
                ) from error
            if not chunk:
                raise TTransportException(
                    TTransportException.END_OF_FILE, "closed by the other side"
                )
            chunks.append(chunk)
            held += len(chunk)
        data = b"".join(chunks)
        self._received = data[size:]
        return data[:size]

    def _remaining(self) -> float | None:
        if self.deadline is None:
            return None
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("deadline passed")
        return remaining


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``; an IPv6 host may be bracketed. Raises ``ValueError``."""
    host, colon, port = address.rpartition(":")
    if not colon or not host:
        raise ValueError(f"address {address!r} is not host:port")
    return host.strip("[]"), int(port)


def connect(address: str, timeout: float) -> socket.socket:
    """Opens a TCP connection without Nagle's delay. Raises ``OSError``."""
    connected = socket.create_connection(split_address(address), timeout)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connected
