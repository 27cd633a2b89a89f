"""Tests of a planned stop of a proxy under load."""

import asyncio
import time
from contextlib import suppress
from itertools import count

import pytest
from system import Client, run_system
from test_logged_causes import only_session
from test_relays import SCARCE, owner_of, wait_until_shared
from test_whole_path import outcome

from bronzemoor_daemon.wire.proxy import CLOSE_IDLE_FRACTION, ROLL_BACK_FRACTION

SESSIONS = 12
GRACE_SECONDS = 1.5
TIMEOUT_SECONDS = 0.8  # of the routes
PERIOD_SECONDS = 0.01


class Pauses:
    """How long the process stood still, by an event loop that wakes every 10 ms."""

    def __init__(self) -> None:
        self._pauses: list[tuple[float, float]] = []

    async def watch(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(PERIOD_SECONDS)
            self._pauses.append((began + PERIOD_SECONDS, time.monotonic()))

    def between(self, begin: float, end: float) -> float:
        """Returns the seconds between two times in which the process stood still."""
        parts = (min(end, e) - max(begin, b) for b, e in self._pauses)
        return sum(part for part in parts if part > 0)


def is_allowed(result: tuple, pauses: Pauses) -> bool:
    """Returns whether a client may have got ``result`` for a write that is stored.

    *In doubt* is true if the answer of the member came too late. That is not the stop's
    doing where the process ran for less than half of the route's timeout.
    """
    answer, _, sent_at, answered_at = result
    running = answered_at - sent_at - pauses.between(sent_at, answered_at)
    return (
        answer.startswith("ERROR INDOUBT")
        and answered_at - sent_at >= TIMEOUT_SECONDS
        and running < TIMEOUT_SECONDS / 2
    )


async def write_until_closed(address, numbers, acknowledged, failed, texts) -> None:
    """Writes without pauses, as single statements or transactions of ``texts``.

    A transaction that failed is rolled back, since its session cannot end otherwise.
    ``failed`` gets what clients got for the other writes, when sent and answered.
    """
    client = await Client.open(address, "orders")
    with suppress(ConnectionError):
        while True:
            value = f"v{next(numbers)}"
            for text in texts:
                sent_at = time.monotonic()
                failed[value] = ("no answer", text, sent_at, sent_at)
                answer = await client.call(text.format(value))
                if outcome(answer) != "COMPLETE":
                    failed[value] = (answer[-2], text, sent_at, time.monotonic())
                    if answer[-1].startswith("READY E"):
                        await client.call("ROLLBACK")
                    break
            else:
                acknowledged.add(value)
                del failed[value]


@pytest.mark.parametrize("texts", [("STORE a {}",), ("BEGIN", "STORE a {}", "COMMIT")])
@pytest.mark.parametrize("delay", [0.0, 0.05])
@pytest.mark.parametrize("stall", [False, True])
def test_a_stop_answers_all_that_it_ran(tmp_path, texts, delay, stall):
    """Guards against requests that were accepted and cut off without an answer.

    Members may be slow, and clients go on until their connection is closed. The process
    may stall while idle sessions are closed, until open transactions are ended.
    """

    async def scenario(system):
        proxy, address = system.proxies[0], system.client_addresses[0]
        proxy._settings.stop_grace = GRACE_SECONDS
        for member in system.group.members.values():
            member.statement_delays["STORE"] = delay
        numbers, acknowledged, failed = count(), set(), {}
        pauses = Pauses()
        watch = asyncio.create_task(pauses.watch())
        writers = [
            asyncio.create_task(
                write_until_closed(address, numbers, acknowledged, failed, texts)
            )
            for _ in range(SESSIONS)
        ]
        await system.until(lambda: len(acknowledged) >= SESSIONS)
        if stall:
            # Longer than the stage between, and begun just before it.
            stage = (ROLL_BACK_FRACTION - CLOSE_IDLE_FRACTION) * GRACE_SECONDS
            begin = CLOSE_IDLE_FRACTION * GRACE_SECONDS - 0.02
            loop = asyncio.get_running_loop()
            loop.call_later(begin, time.sleep, stage + 0.1)
        await proxy.stop()
        assert not proxy.sessions
        await asyncio.gather(*writers)
        primary = next(m for m in system.group.members.values() if m.primary)
        stored = {value for entry in primary.log for _, value in entry}
        assert acknowledged <= stored
        watch.cancel()
        lost = [failed[value] for value in stored - acknowledged]
        assert not [result for result in lost if not is_allowed(result, pauses)]

    run_system(tmp_path, scenario)


def end_by_stop(session) -> None:
    """Ends the session's transaction like a stopping proxy, in its second half."""
    session.end_transaction()


def end_by_idle_timeout(session) -> None:
    session._transaction.fail("idle for too long")


def end_by_eviction(session) -> None:
    session._transaction._connection.on_evicted()


@pytest.mark.parametrize("end", [end_by_stop, end_by_idle_timeout, end_by_eviction])
def test_a_commit_that_is_repeated_keeps_its_connection(tmp_path, end):
    """Guards against a repeated COMMIT that commits another client's transaction.

    A stop released the connection while its COMMIT waited for a busy member, and the
    COMMIT was sent again after another session had begun on that connection.
    """

    async def scenario(system):
        proxy, address = system.proxies[0], system.client_addresses[0]
        primary = system.group.primary
        pool = proxy.group("ledger").pools[primary.name]
        one = await Client.open(address, "orders")
        await one.call("BEGIN")
        assert outcome(await one.call("STORE k1 v")) == "COMPLETE"
        primary.busy_keywords, primary.overloaded = {"COMMIT"}, True
        committing = asyncio.create_task(one.call("COMMIT"))
        await system.until(lambda: pool.refused_at > 0)
        end(only_session(proxy))
        two = await Client.open(address, "orders")
        await two.call("BEGIN")
        assert outcome(await two.call("STORE k2 v")) == "COMPLETE"
        primary.overloaded = False
        assert outcome(await committing) == "COMPLETE"
        assert system.group.acknowledged == [("k1", "v")]
        assert outcome(await two.call("COMMIT")) == "COMPLETE"
        assert system.group.acknowledged == [("k1", "v"), ("k2", "v")]

    run_system(tmp_path, scenario)


@pytest.mark.parametrize("changes", [{}, SCARCE])
def test_a_commit_in_flight_releases_its_connection_once(tmp_path, changes):
    """Guards against a connection that is released by its stop and by its COMMIT."""

    async def scenario(system):
        primary, number = system.group.primary, 0
        if changes:
            await wait_until_shared(system)
            number = 1 - owner_of(system, primary.name)
        proxy = system.proxies[number]
        client = await Client.open(system.client_addresses[number], "orders")
        await client.call("BEGIN")
        assert outcome(await client.call("STORE k1 v")) == "COMPLETE"
        primary.statement_delays["COMMIT"] = 0.1
        committing = asyncio.create_task(client.call("COMMIT"))
        await asyncio.sleep(0.05)
        only_session(proxy).end_transaction()
        assert outcome(await committing) == "COMPLETE"
        pool = proxy.group("ledger").pools[primary.name]
        await system.until(lambda: pool.load <= 0)
        assert pool.load == 0
        assert "ROLLBACK" not in [text for _, text in primary.executed]
        assert system.group.acknowledged == [("k1", "v")]

    run_system(tmp_path, scenario, **changes)
