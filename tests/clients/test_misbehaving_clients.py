"""Crowds of misbehaving clients at a proxy, with real processes.

Each test checks that the process lives, that its memory and descriptors stay under the
limits of its settings, and that an ordinary statement is served while the crowd stays.
"""

import asyncio
from contextlib import suppress

from clientbench import MAX_DESCRIPTORS, run_crowd

CROWD = 150
LARGE = b"QUERY q STORE key " + b"v" * 1_048_000 + b"\r\n"
SLOW_STATEMENT_SECONDS = 0.2
# Until so many answers wait for slow readers, or for this time.
SLOWLY_READ_ANSWERS = 1_000
SLOW_READING_SECONDS = 10.0


def _slow_writes(bench) -> None:
    bench.group.primary.statement_delays["STORE key"] = SLOW_STATEMENT_SECONDS


def test_large_messages_in_one_piece():
    """Guards against memory in proportion to the number of large messages."""

    async def crowd(bench):
        _slow_writes(bench)
        await bench.open_sessions(CROWD)
        await bench.send_to_all(LARGE)

    run_crowd(crowd)


def test_large_messages_in_small_pieces():
    """Guards against a cost that grows with the square of a message's length."""

    async def crowd(bench):
        _slow_writes(bench)
        await bench.open_sessions(CROWD)
        await bench.send_to_all(LARGE, piece=1_500)

    run_crowd(crowd)


def test_messages_far_over_the_limit():
    """Guards against keeping what will be refused."""

    async def crowd(bench):
        await bench.open_sessions(CROWD)
        await bench.send_to_all(b"v" * 4 * 1_048_576, piece=65_536)

    run_crowd(crowd)


def test_one_message_far_over_the_limit():
    """Guards against reading on after the limit."""

    async def crowd(bench):
        await bench.open_sessions(1)
        await bench.send_to_all(b"v" * 256 * 1_048_576, piece=1_048_576)

    run_crowd(crowd)


def test_answers_that_are_not_read():
    """Guards against statements sent ahead whose answers pile up."""

    async def crowd(bench):
        await bench.open_sessions(4)
        await bench.send_to_all(b"QUERY q FETCH large\r\n" * 60)
        await asyncio.sleep(4.0)

    run_crowd(crowd)


def test_slow_senders():
    """Guards against messages that never end and are kept."""

    async def send_slowly(bench):
        while True:
            for writer in bench.writers:
                writer.write(b"v" * 100)
            await asyncio.sleep(0.2)

    async def crowd(bench):
        await bench.open_sessions(CROWD)
        await bench.send_to_all(LARGE[:1_000_000], piece=65_536)
        bench.spawn(send_slowly(bench))
        await asyncio.sleep(2.0)

    run_crowd(crowd)


def test_slow_readers():
    """Guards against answers that wait for slow readers."""

    async def read_slowly(bench):
        while True:
            for reader in bench.readers:
                await reader.read(1_024)
            await asyncio.sleep(0.2)

    async def crowd(bench):
        await bench.open_sessions(CROWD)
        bench.spawn(read_slowly(bench))
        await bench.send_to_all(b"QUERY q FETCH large\r\n" * 20)
        with suppress(TimeoutError):
            async with asyncio.timeout(SLOW_READING_SECONDS):
                while len(bench.group.primary.executed) < SLOWLY_READ_ANSWERS:
                    await asyncio.sleep(0.1)

    run_crowd(crowd)


def test_messages_stopped_half_way():
    """Guards against keeping incomplete messages of senders that stopped."""

    async def crowd(bench):
        await bench.open_sessions(CROWD)
        await bench.send_to_all(LARGE[:1_000_000])

    run_crowd(crowd)


def test_connections_that_do_nothing():
    """Guards against idle connections that take all descriptors."""

    async def crowd(bench):
        await bench.open_sessions(MAX_DESCRIPTORS // 2)
        await bench.connect(MAX_DESCRIPTORS)
        await asyncio.sleep(1.0)

    run_crowd(crowd)


def test_session_values_without_end():
    """Guards against session state that a client enlarges without limit."""

    async def crowd(bench):
        await bench.open_sessions(4)
        for number in range(40):
            value = b"v" * 1_000_000
            await bench.send_to_all(b"QUERY q SET name%d %b\r\n" % (number, value))
        await asyncio.sleep(1.0)

    run_crowd(crowd)
