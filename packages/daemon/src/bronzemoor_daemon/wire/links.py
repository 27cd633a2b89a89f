"""Connections between daemons on the event loop, with framed Thrift envelopes.

A daemon's name is the address of its internal port, so a name is enough to reach it.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from bronzemoor_core.exceptions import ProtocolError
from bronzemoor_core.messages import AppendEntries, ProxyGrant, ProxyReport
from bronzemoor_daemon.codec import (
    decode_envelope,
    encode_envelope,
    from_bytes,
    to_bytes,
)
from bronzemoor_daemon.framing import FRAME_LENGTH, MAX_FRAME_BYTES, split_address
from bronzemoor_daemon.gen.peer import ttypes
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.compression import FrameCompressor, FrameDecompressor
from bronzemoor_daemon.wire.metrics import Counter
from bronzemoor_daemon.wire.sockets import set_tcp_options
from bronzemoor_daemon.wire.tasks import Tasks, error_location

# Shorter than the kernel's pause of a second before it repeats a lost opening packet.
DIAL_TIMEOUT_SECONDS = 0.35
# Delay after a failed dial; messages to the peer are dropped meanwhile.
REDIAL_INTERVAL_SECONDS = 0.1
# A dialed link is unresponsive if nothing was received for this long after a message.
RESPONSE_TIMEOUT_SECONDS = 1.5
CHECK_INTERVAL_SECONDS = 0.25
# Connections that wait to be accepted: after a loss of power every proxy dials the new
# leader at once, and the kernel drops those beyond the limit for a second or more.
LISTEN_BACKLOG = 1_024
# Messages to a peer that wait for a dial; beyond this the oldest are dropped.
MAX_QUEUED_MESSAGES = 256
# A link with more unsent data is closed, since its peer does not read.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Set in the length of a compressed frame.
COMPRESSED_FLAG = 1 << 31
# Messages that are sent periodically, often to another region, and resemble each other.
COMPRESSED_MESSAGES = (AppendEntries, ProxyGrant, ProxyReport)

MessageHandler = Callable[[str, Any], None]
Report = Callable[..., None]
# Called when the connection to a peer ended, or without a link if the dial failed.
LossHandler = Callable[[str, "Link | None"], None]


class Link(asyncio.Protocol):
    """One connection; either side may have opened it."""

    def __init__(self, links: "Links", peer: str = "") -> None:
        self._links = links
        self._buffer = bytearray()
        self._compressor: FrameCompressor | None = None
        self._decompressor: FrameDecompressor | None = None
        self.peer = peer
        # Whether the peer said that it decompresses frames.
        self.peer_accepts_compression = False
        self.transport: asyncio.Transport | None = None
        # The side that opened the connection sends messages that are answered on it.
        self.is_dialed = bool(peer)
        # When the first message since the last received data was sent.
        self.unanswered_since: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        set_tcp_options(transport, RESPONSE_TIMEOUT_SECONDS)
        self._links.add(self)

    def data_received(self, data: bytes) -> None:
        self.unanswered_since = None
        self._buffer += data
        while len(self._buffer) >= FRAME_LENGTH.size:
            (length,) = FRAME_LENGTH.unpack_from(self._buffer)
            size = length & ~COMPRESSED_FLAG
            if size > MAX_FRAME_BYTES:
                self._links.fail(self, "frame too large")
                return
            end = FRAME_LENGTH.size + size
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[FRAME_LENGTH.size : end])
            del self._buffer[:end]
            if length & COMPRESSED_FLAG:
                try:
                    frame = self._decompress(frame)
                except ProtocolError as error:
                    self._links.fail(self, error.message)
                    return
            self._links.receive(self, frame)

    def _decompress(self, frame: bytes) -> bytes:
        if self._decompressor is None:
            self._decompressor = FrameDecompressor()
        return self._decompressor.decompress(frame)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._links.remove(self, error)

    def send(self, frame: bytes, compress: bool, now: float) -> int:
        """Sends a frame, compressed if the peer can; returns the bytes sent."""
        if self.transport is None:
            return 0
        flag = 0
        if compress and self.peer_accepts_compression:
            if self._compressor is None:
                self._compressor = FrameCompressor()
            frame, flag = self._compressor.compress(frame), COMPRESSED_FLAG
        data = FRAME_LENGTH.pack(len(frame) | flag) + frame
        self.transport.write(data)
        if self.unanswered_since is None and self.is_dialed:
            self.unanswered_since = now
        return len(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Links:
    """All connections of this daemon to others, by the name of the peer."""

    def __init__(
        self,
        name: str,
        receive: MessageHandler,
        report: Report,
        sent_bytes: Counter,
        lost: LossHandler = lambda peer, link: None,
    ) -> None:
        self._name = name
        self._receive = receive
        self._on_lost = lost
        self._report = report
        self._sent_bytes = sent_bytes
        self._links: dict[str, Link] = {}
        # Every open link: there are two to a peer if both sides dialed at once.
        self._open_links: set[Link] = set()
        self._is_closed = False
        # Links that this daemon opened.
        self._dialed_links: dict[str, Link] = {}
        # The link whose message is being handled.
        self.current: Link | None = None
        self._queued_messages: dict[str, deque[Any]] = {}
        self._dial_failed_at: dict[str, float] = {}
        self._server: asyncio.Server | None = None
        self._tasks = Tasks(report)

    async def start(self) -> None:
        """Listens on the address that is the daemon's name; raises ``OSError``."""
        host, port = split_address(self._name)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self), host, port, backlog=LISTEN_BACKLOG
        )
        self._tasks.repeat(self._check_unresponsive, "check-links")

    def close(self) -> None:
        """Closes every connection and the listener; later messages are dropped."""
        self._is_closed = True
        self._tasks.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self._open_links):
            link.abort()

    def send(self, peer: str, message: Any) -> None:
        """Sends at most once and does not block."""
        link = self._links.get(peer)
        if link is not None and link.transport is not None:
            self._write(link, message)
            return
        self._queue_until_dialed(peer, message)

    def request(self, peer: str, message: Any) -> None:
        """Like ``send``, but in order over a connection that this daemon opened."""
        link = self._dialed_links.get(peer)
        if link is not None and link.transport is not None:
            self._write(link, message)
        else:
            self._queue_until_dialed(peer, message)

    def reply(self, link: Link, message: Any) -> None:
        """Sends over the connection of the request, if that is still open."""
        if link.transport is not None:
            self._write(link, message)

    def _queue_until_dialed(self, peer: str, message: Any) -> None:
        if self._is_closed:
            return
        queue = self._queued_messages.get(peer)
        if queue is None:
            now = boottime()
            if (
                now - self._dial_failed_at.get(peer, float("-inf"))
                < REDIAL_INTERVAL_SECONDS
            ):
                self._on_lost(peer, None)
                return
            queue = self._queued_messages[peer] = deque(maxlen=MAX_QUEUED_MESSAGES)
            self._tasks.start(self._dial(peer), "dial")
        queue.append(message)

    def receive(self, link: Link, frame: bytes) -> None:
        """Decodes a frame and passes its message to the handler."""
        try:
            envelope = from_bytes(ttypes.Envelope, frame)
            message = decode_envelope(envelope)
        except Exception as error:  # the bytes of a peer may hold anything
            known = isinstance(error, ProtocolError)
            self.fail(link, str(error) if known else repr(error))
            return
        if envelope.recipient != self._name:
            self.fail(link, f"message for {envelope.recipient}")
            return
        if link.peer != envelope.sender or envelope.sender not in self._links:
            link.peer = envelope.sender
            self._links[link.peer] = link
        link.peer_accepts_compression = bool(envelope.accepts_compression)
        self.current = link
        try:
            self._receive(link.peer, message)
        except Exception as error:  # later messages must still be handled
            self._report(
                "error",
                "message_failed",
                peer=link.peer,
                type=type(message).__name__,
                error=repr(error),
                where=error_location(error),
            )

    def add(self, link: Link) -> None:
        """Takes in a connection that opened."""
        self._open_links.add(link)
        if self._is_closed:
            link.abort()

    def fail(self, link: Link, reason: str) -> None:
        self._report("warning", "link_failed", peer=link.peer, reason=reason)
        link.abort()

    def remove(self, link: Link, error: Exception | None) -> None:
        self._open_links.discard(link)
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._report("info", "link_lost", peer=link.peer, error=str(error or ""))
        if self._dialed_links.get(link.peer) is link:
            del self._dialed_links[link.peer]
        self._on_lost(link.peer, link)

    def _write(self, link: Link, message: Any) -> None:
        assert link.transport is not None
        if link.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.fail(link, "the peer does not read; too much unsent data")
            return
        try:
            envelope = encode_envelope(
                self._name, link.peer, message, accepts_compression=True
            )
            frame = to_bytes(envelope)
        except ProtocolError as error:
            # The caller's other messages and actions must still be handled.
            self._report(
                "error",
                "message_not_sent",
                peer=link.peer,
                type=type(message).__name__,
                error=str(error),
            )
            return
        compress = isinstance(message, COMPRESSED_MESSAGES)
        size = link.send(frame, compress, boottime())
        self._sent_bytes.add(type(message).__name__, number=size)

    async def _dial(self, peer: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(peer)
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                _, link = await loop.create_connection(
                    lambda: Link(self, peer), host, port
                )
        except Exception as error:  # a queue without a dial would never be sent
            self._dial_failed_at[peer] = boottime()
            self._report("info", "dial_failed", peer=peer, error=repr(error))
            self._queued_messages.pop(peer, None)
            self._on_lost(peer, None)
            return
        queue = self._queued_messages.pop(peer, deque())
        self._links[peer] = self._dialed_links[peer] = link
        self._report("info", "link_open", peer=peer)
        for message in queue:
            self._write(link, message)

    async def _check_unresponsive(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = boottime()
            for link in list(self._links.values()):
                since = link.unanswered_since
                if since is not None and now - since > RESPONSE_TIMEOUT_SECONDS:
                    self.fail(link, "silent")
