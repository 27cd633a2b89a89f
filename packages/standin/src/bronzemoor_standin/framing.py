"""Framed binary Thrift messages over plain sockets, for servers and clients.

Thrift's own framed transport and processor spend most of a short call's time in Python
layers. This module writes the same bytes and uses the generated structs.
"""

import socket
import struct
from collections.abc import Callable
from io import BytesIO
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TApplicationException, TMessageType
from thrift.transport.TTransport import (
    CReadableTransport,
    TTransportBase,
    TTransportException,
)

from bronzemoor_standin.gen.endpoint import Endpoint

_INT32 = struct.Struct("!i")
_HEADER = struct.Struct("!iIi")  # frame size, version and type, length of the name
_VERSION = 0x80010000
_VERSION_MASK = 0xFFFF0000


class Frame(TTransportBase, CReadableTransport):
    """A Thrift transport that reads one received frame and buffers one to send."""

    def __init__(self) -> None:
        self._input = BytesIO()
        self._output: list[bytes] = []

    @property
    def cstringio_buf(self) -> BytesIO:
        return self._input

    def isOpen(self) -> bool:  # noqa: N802
        return True

    def close(self) -> None:
        self._output = []

    def load(self, data: bytes, start: int) -> None:
        self._input = BytesIO(data)
        self._input.seek(start)

    def read(self, sz: int) -> bytes:
        return self._input.read(sz)

    def cstringio_refill(self, prefix: bytes, reqlen: int) -> BytesIO:
        raise TTransportException(TTransportException.END_OF_FILE, "short frame")

    def write(self, data: bytes) -> None:
        self._output.append(data)

    def take_output(self) -> bytes:
        data, self._output = b"".join(self._output), []
        return data


class Codec:
    """Encodes and decodes messages of one connection; not thread-safe."""

    def __init__(self) -> None:
        self._frame = Frame()
        self._protocol = TBinaryProtocolAccelerated(self._frame)

    def encode(self, message_type: int, name: bytes, sequence: int, body: Any) -> bytes:
        """Returns a complete frame with the struct ``body``."""
        body.write(self._protocol)
        data = self._frame.take_output()
        size = 8 + len(name) + 4 + len(data)
        header = _HEADER.pack(size, _VERSION | message_type, len(name))
        return b"".join((header, name, _INT32.pack(sequence), data))

    def decode(self, frame: bytes, start: int, body: Any) -> Any:
        """Decodes the bytes after the header into the struct ``body``."""
        self._frame.load(frame, start)
        body.read(self._protocol)
        return body


def parse_header(frame: bytes) -> tuple[int, bytes, int, int]:
    """Returns the type, name, sequence number and body offset of a message."""
    version, length = struct.unpack_from("!Ii", frame)
    if version & _VERSION_MASK != _VERSION:
        raise ValueError("not a message of the strict binary protocol")
    end = 8 + length
    (sequence,) = _INT32.unpack_from(frame, end)
    return version & 0xFF, frame[8:end], sequence, end + 4


def dispatch_call(codec: Codec, handler: Any, frame: bytes) -> bytes:
    """Calls the method of ``handler`` named in ``frame``; returns the framed answer."""
    _, name, sequence, start = parse_header(frame)
    call = name.decode()
    arguments = getattr(Endpoint, f"{call}_args", None)
    if arguments is None:
        error = TApplicationException(TApplicationException.UNKNOWN_METHOD, call)
        return codec.encode(TMessageType.EXCEPTION, name, sequence, error)
    decoded = codec.decode(frame, start, arguments())
    reply = getattr(handler, call)(decoded.call)
    result = getattr(Endpoint, f"{call}_result")(success=reply)
    return codec.encode(TMessageType.REPLY, name, sequence, result)


def read_size(reader: Any) -> int:
    """Reads the size of the next frame; raises ``EOFError`` or ``ValueError``."""
    (size,) = _INT32.unpack(read_exactly(reader, 4))
    if size < 0:
        raise ValueError("negative frame size")
    return int(size)


def read_exactly(reader: Any, size: int) -> bytes:
    """Reads ``size`` bytes from a file object; raises ``EOFError`` at its end."""
    data: bytes = reader.read(size)
    if len(data) < size:
        raise EOFError("the connection was closed")
    return data


class EndpointClient:
    """A client of an endpoint with one method per call of the service.

    Calls raise ``OSError`` (also on a timeout), ``EOFError`` or ``TException``; the
    connection is unusable afterwards. ``timeout_ms`` bounds each call.
    """

    def __init__(self, address: str, timeout_ms: float) -> None:
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_connection((host, int(port)), timeout_ms / 1000)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = self._socket.makefile("rb")
        self.codec = Codec()
        self._sequence = 0

    def __getattr__(self, name: str) -> Callable[[Any], Any]:
        if not hasattr(Endpoint, f"{name}_args"):
            raise AttributeError(name)
        return lambda call: self._call(name, call)

    def _call(self, name: str, call: Any) -> Any:
        self.send(name, call)
        return self.receive(name)

    def send(self, name: str, call: Any) -> None:
        """Sends a call without waiting for its answer."""
        self._sequence += 1
        arguments = getattr(Endpoint, f"{name}_args")(call=call)
        self._socket.sendall(
            self.codec.encode(
                TMessageType.CALL, name.encode(), self._sequence, arguments
            )
        )

    def receive(self, name: str, any_sequence: bool = False) -> Any:
        """Waits for the answer to the last call, or for any with ``any_sequence``."""
        while True:
            frame = read_exactly(self._reader, read_size(self._reader))
            message_type, _, sequence, start = parse_header(frame)
            if message_type == TMessageType.EXCEPTION:
                error = TApplicationException()
                self.codec.decode(frame, start, error)
                raise error
            # A late or duplicated answer to an earlier call is skipped.
            if any_sequence or sequence == self._sequence:
                break
        result = getattr(Endpoint, f"{name}_result")()
        return self.codec.decode(frame, start, result).success

    def close(self) -> None:
        self._reader.close()
        self._socket.close()
