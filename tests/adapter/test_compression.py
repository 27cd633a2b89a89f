"""Tests of compressed frames between daemons."""

import asyncio
import os
import zlib
from contextlib import suppress

import pytest
from loopback import free_addresses

from bronzemoor_core.exceptions import ProtocolError
from bronzemoor_core.messages import GroupReport, ProxyGrant, ProxyReport
from bronzemoor_daemon.codec import encode_envelope, to_bytes
from bronzemoor_daemon.framing import FRAME_LENGTH
from bronzemoor_daemon.wire import compression, links
from bronzemoor_daemon.wire.compression import FrameCompressor, FrameDecompressor
from bronzemoor_daemon.wire.links import COMPRESSED_FLAG, Links
from bronzemoor_daemon.wire.metrics import WireMetrics


def make_report(number: int) -> ProxyReport:
    groups = [
        GroupReport(f"ledger-{i}", f"i-{i:08x}", 1, sample_offset=number + i)
        for i in range(10)
    ]
    return ProxyReport(0, number, 1, 1, False, groups, zone="north")


class Daemon:
    """Links of one daemon, with the messages that it received."""

    def __init__(self, name: str) -> None:
        self.received: list[object] = []
        self.events: list[str] = []
        self.metrics = WireMetrics()
        self.links = Links(
            name,
            lambda sender, message: self.received.append(message),
            lambda level, event, **fields: self.events.append(event),
            self.metrics.sent_bytes,
        )

    def sent_bytes(self, kind: str) -> int:
        return self.metrics.sent_bytes.values[kind,]


async def until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def names():
    return free_addresses(2)


def test_frames_are_restored_in_order():
    """Guards against frames that depend on a state which both sides do not share."""
    compressor, decompressor = FrameCompressor(), FrameDecompressor()
    frames = [os.urandom(300), b"", b"a" * 100_000, *[b"report %d" % i for i in (1, 2)]]
    for frame in frames:
        assert decompressor.decompress(compressor.compress(frame)) == frame


def test_what_cannot_be_restored_is_refused(monkeypatch):
    """Guards against a malformed frame, or a small one that fills the memory."""
    with pytest.raises(ProtocolError):
        FrameDecompressor().decompress(b"\xff\xff\xff\xff")
    monkeypatch.setattr(compression, "MAX_FRAME_BYTES", 1_000)
    bomb = FrameCompressor().compress(b"\0" * 1_000_000)
    with pytest.raises(ProtocolError):
        FrameDecompressor().decompress(bomb)
    ended = zlib.compressobj(wbits=-12)
    data = ended.compress(b"a") + ended.flush()
    with pytest.raises(ProtocolError):
        FrameDecompressor().decompress(data)


def test_reports_cost_a_fifth_once_the_peer_accepts_compression(names):
    """Guards against reports whose cost between regions grows with the groups.

    A proxy reports on every group twice a second. The bound is the target of a fifth.
    """

    async def run() -> None:
        proxy, control = Daemon(names[0]), Daemon(names[1])
        await proxy.links.start()
        await control.links.start()
        proxy.links.send(names[1], make_report(0))
        await until(lambda: control.received)
        plain = proxy.sent_bytes("ProxyReport")
        control.links.send(names[0], ProxyGrant(1, names[1]))
        await until(lambda: proxy.received)
        for number in range(1, 21):
            proxy.links.send(names[1], make_report(number))
        await until(lambda: len(control.received) == 21)
        assert control.received == [make_report(number) for number in range(21)]
        assert proxy.sent_bytes("ProxyReport") - plain < 20 * plain / 5
        proxy.links.close()
        control.links.close()

    asyncio.run(run())


def test_a_daemon_of_an_earlier_build_gets_plain_frames(names, monkeypatch):
    """Guards against frames that a daemon cannot read while builds are replaced."""

    def encode_as_before(sender, recipient, message, **options):
        return encode_envelope(sender, recipient, message)

    async def run() -> None:
        old, new = Daemon(names[0]), Daemon(names[1])
        await old.links.start()
        await new.links.start()
        monkeypatch.setattr(links, "encode_envelope", encode_as_before)
        old.links.send(names[1], make_report(0))
        await until(lambda: new.received)
        monkeypatch.undo()
        sizes = []
        for number in range(3):
            before = new.sent_bytes("ProxyReport")
            new.links.send(names[0], make_report(number))
            sizes.append(new.sent_bytes("ProxyReport") - before)
        await until(lambda: len(old.received) == 3)
        assert min(sizes) > 500
        old.links.close()
        new.links.close()

    asyncio.run(run())


def test_a_malformed_frame_ends_only_its_connection(names):
    """Guards against bytes of one peer that stop a daemon or other connections."""

    async def run() -> None:
        daemon = Daemon(names[1])
        await daemon.links.start()
        host, port = names[1].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        envelope = encode_envelope(names[0], names[1], make_report(0))
        for data, flag in ((to_bytes(envelope), 0), (b"\xff" * 9, COMPRESSED_FLAG)):
            writer.write(FRAME_LENGTH.pack(len(data) | flag) + data)
        async with asyncio.timeout(5):
            with suppress(ConnectionResetError):
                while await reader.read(100):
                    pass
        assert daemon.received == [make_report(0)]
        assert "link_failed" in daemon.events
        peer = Daemon(names[0])
        await peer.links.start()
        peer.links.send(names[1], make_report(1))
        await until(lambda: len(daemon.received) == 2)
        peer.links.close()
        daemon.links.close()

    asyncio.run(run())
