"""Tests of the connections between daemons."""

import asyncio
import socket
from contextlib import ExitStack

from loopback import free_addresses, own_host

from bronzemoor_core.messages import ProxyReport
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.links import Links
from bronzemoor_daemon.wire.metrics import WireMetrics

# A peer is reached within this time of the end of a partition.
RECONNECT_SECONDS = 0.6
# Proxies of a large deployment that find a new leader at the same time.
DIALLING = 250


def test_all_proxies_reach_a_leader_that_is_busy():
    """Guards against connections that are dropped in the kernel and lost for a second.

    After a loss of power a new leader reads its log and applies it while every proxy
    dials it; with a short backlog a fifth of the proxies had a lease a second later.
    """

    async def run() -> None:
        (name,) = free_addresses(1)
        links = Links(
            name, lambda *_: None, lambda *_, **__: None, WireMetrics().sent_bytes
        )
        await links.start()
        host, port = name.split(":")
        with ExitStack() as stack:
            # The event loop accepts nothing meanwhile.
            for _ in range(DIALLING):
                connection = socket.create_connection((host, int(port)), 0.5)
                stack.enter_context(connection)
        links.close()

    asyncio.run(run())


def test_a_peer_is_reached_soon_after_a_partition():
    """Guards against a dial that waits for the kernel to repeat its opening packet.

    Proxies that were cut off from the control group for seven seconds regained their
    leases up to 1.4 s after the cut ended.
    """

    async def run() -> None:
        (name,) = free_addresses(1)
        links = Links(
            name, lambda *_: None, lambda *_, **__: None, WireMetrics().sent_bytes
        )
        with ExitStack() as stack:
            listener = stack.enter_context(socket.create_server((own_host(), 0)))
            # Opening packets are dropped while the backlog is full.
            listener.listen(0)
            listener.setblocking(False)
            peer = "{}:{}".format(*listener.getsockname())
            stack.enter_context(socket.create_connection(listener.getsockname(), 0.5))
            report = ProxyReport(0, 1, 0, 0, False, [])
            links.send(peer, report)
            await asyncio.sleep(0.1)
            stack.enter_context(listener.accept()[0])
            healed = boottime()
            while True:
                links.send(peer, report)
                await asyncio.sleep(0.05)
                try:
                    accepted = stack.enter_context(listener.accept()[0])
                except BlockingIOError:
                    assert boottime() - healed < RECONNECT_SECONDS
                    continue
                accepted.close()
                break
        links.close()

    asyncio.run(run())


def test_closed_links_exchange_nothing_with_a_peer_that_dialed_at_the_same_time():
    """Guards against a stopped daemon that goes on answering over a second connection.

    Only the newest connection of each peer was closed, so that a control daemon which
    had stopped still counted as a voter that is heard.
    """

    async def run() -> None:
        names = free_addresses(2)
        received = dict.fromkeys(names, 0)

        def make_links(name: str) -> Links:
            def count(*_) -> None:
                received[name] += 1

            return Links(name, count, lambda *_, **__: None, WireMetrics().sent_bytes)

        closed, other = (make_links(name) for name in names)
        report = ProxyReport(0, 1, 0, 0, False, [])
        await closed.start()
        await other.start()
        closed.send(names[1], report)
        other.send(names[0], report)
        async with asyncio.timeout(RECONNECT_SECONDS):
            while not all(received.values()):
                await asyncio.sleep(0.01)
        closed.close()
        before = dict(received)
        await asyncio.sleep(0.05)
        other.send(names[0], report)
        other.request(names[0], report)
        closed.send(names[1], report)
        await asyncio.sleep(0.2)
        other.close()
        assert received == before

    asyncio.run(run())
