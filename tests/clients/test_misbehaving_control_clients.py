"""Crowds of misbehaving clients at the control port, with real processes.

Each test checks that the process lives, that its memory and descriptors stay under the
limits of its settings, and that a heartbeat and a read of the document are served while
the crowd stays.
"""

import asyncio

from clientbench import MAX_DESCRIPTORS, run_crowd

CONTROL = "control_plane"
HEAD = "PUT /bronzemoor/config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n"
LARGEST_BODY_BYTES = 4 * 1_048_576
SLOW_SENDERS = 64
HEARTBEAT = (
    b'{"service": "ledger", "address": "127.0.0.1:1", "zone": "one", "state": "ready",'
    b' "db_role": "replica", "sequence": 1, "version": "%b"}'
)


def _head(length: int) -> bytes:
    return (HEAD % length).encode()


def test_bodies_over_the_limit():
    """Guards against reading bodies that are refused, of heartbeats in particular."""

    async def crowd(bench):
        await bench.connect(16, CONTROL)
        # One such character makes the whole decoded text four times as large.
        text = b"v" * (LARGEST_BODY_BYTES - len(HEARTBEAT) - 4) + "\U0001f600".encode()
        body = HEARTBEAT % text
        head = _head(len(body)).replace(b"config", b"instances/ledger-a")
        await bench.send_to_all(head + body, piece=65_536)
        bench.writers.clear()
        await bench.connect(1, CONTROL)
        body = b"v" * (200 * 1_048_576)
        await bench.send_to_all(_head(len(body)) + body, piece=1_048_576)

    run_crowd(crowd, CONTROL)


def test_many_bodies_at_once():
    """Guards against memory in proportion to the number of large bodies."""

    async def crowd(bench):
        await bench.connect(16, CONTROL)
        body = b'{"version": "' + b"v" * (LARGEST_BODY_BYTES - 15) + b'"}'
        await bench.send_to_all(_head(len(body)) + body, piece=65_536)
        await asyncio.sleep(1.0)

    run_crowd(crowd, CONTROL)


def test_many_bodies_that_decode_to_much():
    """Guards against documents that take many times their size once decoded."""

    async def crowd(bench):
        await bench.connect(8, CONTROL)
        body = b"[" + b"[]," * (LARGEST_BODY_BYTES // 3 - 2) + b"[]]"
        await bench.send_to_all(_head(len(body)) + body, piece=65_536)
        await asyncio.sleep(1.0)

    run_crowd(crowd, CONTROL)


def test_slow_senders():
    """Guards against slow bodies that occupy all threads."""

    async def send_slowly(bench):
        while True:
            for writer in bench.writers:
                writer.write(b" ")
            await asyncio.sleep(1.0)

    async def crowd(bench):
        await bench.connect(SLOW_SENDERS, CONTROL)
        await bench.send_to_all(_head(4_000))
        bench.spawn(send_slowly(bench))
        await asyncio.sleep(1.0)

    run_crowd(crowd, CONTROL)


def test_stopped_senders():
    """Guards against requests without an end that occupy all threads."""

    async def crowd(bench):
        await bench.connect(SLOW_SENDERS, CONTROL)
        await bench.send_to_all(_head(4_000) + b"half")

    run_crowd(crowd, CONTROL)


def test_large_headers():
    """Guards against keeping a header without an end."""

    async def crowd(bench):
        await bench.connect(8, CONTROL)
        await bench.send_to_all(b"GET /bronzemoor/config HTTP/1.1\r\nX: ")
        await bench.send_to_all(b"v" * 32 * 1_048_576, piece=1_048_576)

    run_crowd(crowd, CONTROL)


def test_connections_that_do_nothing():
    """Guards against idle connections that take all descriptors."""

    async def crowd(bench):
        await bench.connect(2 * MAX_DESCRIPTORS, CONTROL)
        await asyncio.sleep(1.0)

    run_crowd(crowd, CONTROL)
