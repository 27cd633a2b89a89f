"""Encodes deployment documents for proxies that have an earlier version.

Load pattern: each change goes to every proxy at once, most of them in another region.
Consecutive documents differ in a few values, so a document is compressed with the one
that the proxy has as its dictionary.
"""

import zlib

from bronzemoor_core.exceptions import ProtocolError

# Earlier versions that are kept as dictionaries, for changes that follow closely.
KEPT_VERSIONS = 4
# The compression finds nothing that is further away.
DICTIONARY_BYTES = 32_768
# Larger documents are refused when they are sent by an operator.
MAX_DOCUMENT_BYTES = 16 * 1_048_576


class DocumentEncoder:
    """The newest document and its encodings, at the control leader."""

    __slots__ = ("_deltas", "_earlier", "_packed", "_text", "_version")

    def __init__(self) -> None:
        self._version = 0
        self._text = b""
        self._packed = b""
        # Earlier documents, and deltas to the newest one, by version.
        self._earlier: dict[int, bytes] = {}
        self._deltas: dict[int, bytes] = {}

    def set_document(self, version: int, text: str) -> None:
        """Replaces the newest document."""
        if self._version:
            self._earlier[self._version] = self._text
        while len(self._earlier) > KEPT_VERSIONS:
            del self._earlier[next(iter(self._earlier))]
        self._version, self._text = version, text.encode()
        self._packed = zlib.compress(self._text)
        self._deltas.clear()

    def encode(self, known: int, accepts_deltas: bool) -> tuple[bytes, int]:
        """Returns the newest document for a proxy that has the version ``known``.

        The second value is the version that is needed to decode it, 0 for none.
        """
        base = self._earlier.get(known)
        if base is None or not accepts_deltas:
            return self._packed, 0
        delta = self._deltas.get(known)
        if delta is None:
            stream = zlib.compressobj(zdict=base[-DICTIONARY_BYTES:])
            delta = self._deltas[known] = stream.compress(self._text) + stream.flush()
        return delta, known


def decode_delta(delta: bytes, base: str) -> str:
    """Returns the document that was encoded for a proxy with the document ``base``.

    Raises ``ProtocolError`` if it was encoded for another one or is too large.
    """
    stream = zlib.decompressobj(zdict=base.encode()[-DICTIONARY_BYTES:])
    try:
        text = stream.decompress(delta, MAX_DOCUMENT_BYTES)
        if not stream.eof:
            raise ProtocolError("the document is incomplete", step="deployment")
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise ProtocolError(f"not a delta: {error}", step="deployment") from error
