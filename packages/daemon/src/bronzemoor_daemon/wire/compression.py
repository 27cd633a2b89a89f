"""Compression of the frames that one connection carries.

Consecutive reports and grants on a connection differ in a few numbers, so each frame is
compressed with the frames before it as its dictionary.
"""

import zlib

from bronzemoor_core.exceptions import ProtocolError
from bronzemoor_daemon.framing import MAX_FRAME_BYTES

# Both sides of a connection must agree on the window. A compressor takes about 32 KB,
# and the control leader has one for each proxy.
WINDOW_BITS = 12
MEMORY_LEVEL = 5
LEVEL = 6


class FrameCompressor:
    """Compresses the frames of one direction, which must be sent in this order."""

    __slots__ = ("_stream",)

    def __init__(self) -> None:
        self._stream = zlib.compressobj(
            LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, frame: bytes) -> bytes:
        return self._stream.compress(frame) + self._stream.flush(zlib.Z_SYNC_FLUSH)


class FrameDecompressor:
    """Restores the compressed frames of one direction, in the order received."""

    __slots__ = ("_stream",)

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Returns the frame; raises ``ProtocolError`` if it is malformed or too large.

        The connection cannot be used for compressed frames after that.
        """
        try:
            frame = self._stream.decompress(data, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise ProtocolError(f"compressed frame: {error}", step="framing") from error
        if self._stream.unconsumed_tail or self._stream.eof:
            raise ProtocolError("compressed frame too large", step="framing")
        return frame
