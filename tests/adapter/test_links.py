"""Tests of the connections between daemons."""

import asyncio
import socket
from contextlib import ExitStack

from loopback import free_addresses

from bronzemoor_daemon.wire.links import Links
from bronzemoor_daemon.wire.metrics import WireMetrics

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
