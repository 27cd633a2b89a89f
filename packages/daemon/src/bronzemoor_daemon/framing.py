"""Framed Thrift transport on a socket, with a deadline per frame and a size bound."""

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
TIMEVAL = struct.Struct("@ll")
# Longest single wait of a plain socket, seconds; a timeout is late by at most this.
WAIT_SLICE = 0.020


class NotSentError(TTransportException):
    """The frame did not leave completely, so the other side cannot have run it."""


class FramedTransport(TTransportBase, CReadableTransport):
    """Exchanges whole frames on a connected socket; not safe for several threads.

    Plain sockets stay in blocking mode with a kernel timeout of one slice: Python's own
    timeouts cost an extra poll, and a release of the interpreter lock, per operation.
    """

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self._outgoing: list[bytes] = []
        self._buffer = BytesIO()
        self._received = b""
        self._is_tls = isinstance(connected, ssl.SSLSocket)
        self._slice = -1.0
        # Monotonic seconds after which a receive fails; None waits for ever.
        self.deadline: float | None = None
        if not self._is_tls:
            connected.settimeout(None)

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
        if self._is_tls:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def write(self, data: bytes) -> None:
        self._outgoing.append(data)

    def flush(self) -> None:
        """Sends what was written as one frame; raises ``NotSentError`` if it broke."""
        body = b"".join(self._outgoing)
        self._outgoing.clear()
        try:
            self._limit_wait()
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
        if partialread or self._buffer.tell():
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
        chunks, held = [self._received], len(self._received)
        while held < size:
            try:
                self._limit_wait()
                chunk = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue  # one slice passed; the deadline decides
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

    def _limit_wait(self) -> None:
        """Bounds the next socket operation; raises ``TimeoutError`` when too late."""
        remaining = None
        if self.deadline is not None:
            remaining = self.deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("deadline passed")
        if self._is_tls:
            self._socket.settimeout(remaining)
            return
        wanted = 0.0 if remaining is None else WAIT_SLICE
        if wanted != self._slice:
            self._slice = wanted
            value = TIMEVAL.pack(int(wanted), int(wanted % 1 * 1_000_000))
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)


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
