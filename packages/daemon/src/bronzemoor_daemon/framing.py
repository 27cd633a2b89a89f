"""Framed Thrift transport over a socket, with a deadline and a frame size limit."""

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

# A longer frame is malformed or hostile; it is refused before memory is allocated.
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_PORT = 65_535
RECEIVE_BYTES = 65_536
FRAME_LENGTH = struct.Struct("!I")
TIMEVAL = struct.Struct("@ll")
# Kernel timeout of one operation on a plain socket; the deadline is checked after it,
# so a timeout is late by at most this.
MAX_WAIT_SECONDS = 0.020


class NotSentError(TTransportException):
    """The frame was not sent completely, so the receiver cannot have executed it."""


class FramedTransport(TTransportBase, CReadableTransport):
    """Exchanges whole frames on a connected socket; not thread-safe.

    Plain sockets stay in blocking mode with a kernel timeout: Python's own timeouts
    cost an extra poll, and a release of the interpreter lock, per operation.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._write_buffer: list[bytes] = []
        self._frame = BytesIO()
        self._receive_buffer = b""
        self._is_tls = isinstance(sock, ssl.SSLSocket)
        self._kernel_timeout = -1.0
        # Monotonic time in seconds after which an operation fails; None for no limit.
        self.deadline: float | None = None
        if not self._is_tls:
            sock.settimeout(None)

    @property
    def socket(self) -> socket.socket:
        return self._socket

    def isOpen(self) -> bool:  # noqa: N802
        return self._socket.fileno() >= 0

    def has_unexpected_input(self) -> bool:
        """Returns whether data or an end of stream arrived while none is expected.

        Under TLS the socket is not checked, because session tickets are input as well.
        """
        if self._receive_buffer:
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
        self._write_buffer.append(data)

    def flush(self) -> None:
        """Sends the written data as one frame; raises ``NotSentError`` on failure."""
        body = b"".join(self._write_buffer)
        self._write_buffer.clear()
        try:
            self._apply_deadline()
            self._socket.sendall(FRAME_LENGTH.pack(len(body)) + body)
        except (OSError, ValueError) as error:
            raise NotSentError(TTransportException.NOT_OPEN, str(error)) from error

    def read(self, size: int) -> bytes:
        data = self._frame.read(size)
        if data or size == 0:
            return data
        self._receive_frame()
        return self._frame.read(size)

    @property
    def cstringio_buf(self) -> BytesIO:
        return self._frame

    def cstringio_refill(self, partialread: bytes, reqlen: int) -> BytesIO:
        """Called by the accelerated decoder when the current frame is exhausted."""
        if partialread or self._frame.tell():
            raise TTransportException(
                TTransportException.END_OF_FILE, "message extends beyond its frame"
            )
        self._receive_frame()
        return self._frame

    def close(self) -> None:
        """Wakes a thread that is blocked in a receive, then closes the socket."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _receive_frame(self) -> None:
        header = self._receive(FRAME_LENGTH.size)
        (length,) = FRAME_LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise TTransportException(
                TTransportException.SIZE_LIMIT,
                f"frame of {length} bytes exceeds the limit",
            )
        self._frame = BytesIO(self._receive(length))

    def _receive(self, size: int) -> bytes:
        chunks, size_received = [self._receive_buffer], len(self._receive_buffer)
        while size_received < size:
            try:
                self._apply_deadline()
                chunk = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue  # the kernel timeout passed; check the deadline
            except TimeoutError as error:
                raise TTransportException(
                    TTransportException.TIMED_OUT, "timed out while receiving a frame"
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
            size_received += len(chunk)
        data = b"".join(chunks)
        self._receive_buffer = data[size:]
        return data[:size]

    def _apply_deadline(self) -> None:
        """Bounds the next operation; raises ``TimeoutError`` after the deadline."""
        remaining = None
        if self.deadline is not None:
            remaining = self.deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("deadline passed")
        if self._is_tls:
            self._socket.settimeout(remaining)
            return
        kernel_timeout = 0.0 if remaining is None else MAX_WAIT_SECONDS
        if kernel_timeout != self._kernel_timeout:
            self._kernel_timeout = kernel_timeout
            value = TIMEVAL.pack(
                int(kernel_timeout), int(kernel_timeout % 1 * 1_000_000)
            )
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``; an IPv6 host may be bracketed. Raises ``ValueError``."""
    host, separator, text = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"address {address!r} is not host:port")
    port = int(text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"the port of {address!r} is not from 0 to {MAX_PORT}")
    return host.strip("[]"), port


def connect(address: str, timeout: float) -> socket.socket:
    """Opens a TCP connection with TCP_NODELAY. Raises ``OSError``."""
    sock = socket.create_connection(split_address(address), timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
