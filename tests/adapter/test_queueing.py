"""Tests of waiting for connections, on a virtual clock and through the whole path."""

import asyncio
from random import Random

import pytest
import virtualpool
from hypothesis import given, settings
from hypothesis import strategies as hs
from system import Client, run_system
from test_callers import ORGANISATIONS
from test_relays import SCARCE, wait_until_shared
from test_whole_path import outcome
from virtualpool import CONNECTIONS, OPENING_SECONDS, VirtualPool, play

from bronzemoor_daemon.wire.exceptions import Refused
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_daemon.wire.memberqueue import MemberQueue

# The target load: 79 organisations whose sizes follow a Zipf law.
WEIGHTS = [number**-1.2 for number in range(1, 80)]
HOT = "o0"


def arrivals(rate, hot_rate=0.0):
    """Returns 40 s of statements of 4 to 20 ms; HOT sends more from 20 to 26 s."""
    random, found = Random(1), []
    at, hot_at = 0.0, 20.0
    while (at := at + random.expovariate(rate)) < 40:
        caller = f"o{random.choices(range(79), WEIGHTS)[0]}"
        found.append((at, caller, random.uniform(0.004, 0.020)))
    while hot_rate and (hot_at := hot_at + random.expovariate(hot_rate)) < 26:
        found.append((hot_at, HOT, random.uniform(0.004, 0.020)))
    return found


def percentile(pool):
    """Returns the 99th percentile of the waits of all others from the hot phase on."""
    waits = pool.waits(since=20.0)
    others = sorted(w for name, ws in waits.items() if name != HOT for w in ws)
    return others[int(0.99 * len(others))]


@pytest.mark.parametrize(("rate", "slots"), [(15, 1), (60, 5)])
def test_waits_do_not_grow_while_one_organisation_sends_seven_times_its_load(
    monkeypatch, rate, slots
):
    """Guards against an organisation that crowds out the others within its quota.

    The bound allows for one more connection that has to be opened.
    """
    monkeypatch.setattr(virtualpool, "SLOTS", slots)
    usual = play(arrivals(rate))
    hot = play(arrivals(rate, 6 * rate * WEIGHTS[0] / sum(WEIGHTS)))
    assert percentile(hot) <= percentile(usual) + OPENING_SECONDS
    assert hot.most_open <= CONNECTIONS


def test_others_are_served_while_one_organisation_overloads_the_member(monkeypatch):
    """Guards against an overload by one that is refused to all.

    The hot organisation's statements that cannot be served are refused at once, with a
    hint, instead of at their deadline.
    """
    monkeypatch.setattr(virtualpool, "SLOTS", 1)
    pool = play(arrivals(30, 80))
    late, refused = pool.waits("late"), pool.waits("refused")
    assert set(late) <= {HOT} and set(refused) == {HOT}
    assert len(late[HOT]) < len(refused[HOT]) and max(refused[HOT]) == 0.0
    hints = [f["retry_after_ms"] for event, f in pool.events if event == "wait_refused"]
    assert hints and min(hints) > 0


def test_an_organisation_that_waits_with_two_priorities_is_served_once_each():
    """Guards against a connection that is lost to a statement served before.

    The same organisation stands in the queue with two priorities.
    """
    for seed in range(12):
        random, statements = Random(seed), []
        for number in range(300):
            caller = HOT if random.random() < 0.8 else f"o{random.randint(1, 9)}"
            priority = number % 2 if caller == HOT else 1
            duration = random.uniform(0.005, 0.1)
            statements.append((number * 0.01, caller, duration, 0.8, priority))
        pool = play(statements)
        assert len(pool.results) == len(statements)
        assert pool.load == 0


def test_few_connections_are_opened_for_many_organisations():
    """Guards against paying for a new connection with each statement."""
    load = arrivals(15)
    pool = play(load)
    print(f"{pool.openings} openings for {len(load)} statements")
    assert pool.openings < len(load) / 2
    assert pool.most_open <= CONNECTIONS
    assert len(pool.waits()) == len({caller for _, caller, _ in load})


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(
    hs.integers(1, 4),
    hs.lists(
        hs.tuples(hs.floats(0, 1), hs.sampled_from("abcdef"), hs.floats(0.001, 0.1)),
        min_size=1, max_size=40,
    ),
    hs.sampled_from([0.05, 10.0]),
)  # fmt: skip
def test_every_statement_is_served_or_answered_in_its_time(limit, load, timeout):
    """Guards against statements that nothing wakes up, and against late ones."""
    pool = play([(*item, timeout) for item in load], limit=limit)
    assert len(pool.results) == len(load) and pool.load == 0
    assert max(wait for _, _, wait, _ in pool.results) <= timeout + 0.002
    assert timeout < 1 or not pool.waits("late")
    assert pool.most_open <= limit


def test_a_statement_does_not_wait_for_an_idle_connection_of_another():
    """Guards against waits that are longer than it takes to open a connection."""
    pool = play([(0, "a", 0.01), (0, "b", 0.01), (0.1, "c", 0.01)], limit=2)
    assert pool.waits()["c"][0] < OPENING_SECONDS + 0.001
    assert pool._metrics.evicted_connections.values["other",] == 1


def test_without_organisations_statements_are_served_as_before():
    """Guards against refusals and another order in deployments without organisations.

    One that is let in late may still be served in place of others that gave up.
    """
    load = [
        (burst + n * 0.001, "me", 0.01 + n % 7 * 0.008, 0.4, n % 3)
        for burst in range(10)
        for n in range(200)
    ]
    pool = play(load, by_organisation=False)
    assert pool.waits("late") and not pool.waits("refused")
    priorities = {arrival[0]: arrival[4] for arrival in load}
    served = [at for _, at, wait, done in pool.results if done == "served" and wait]
    for priority in range(3):
        order = [at for at in served if priorities[at] == priority]
        assert order == sorted(order)


def test_statements_of_a_lost_proxy_leave_the_owners_queue():
    """Guards against connections for a proxy that is gone, while others wait."""

    class Pool(VirtualPool):
        async def run(self) -> None:
            held = await self.acquire_own(None, 1, 0.5, "a")
            *lost, kept = [
                asyncio.create_task(self.acquire_own(None, 1, 0.5, "a"))
                for _ in range(3)
            ]
            await asyncio.sleep(0.01)
            assert self.load == 4
            for task in lost:
                # As RelayServer does when it loses the link.
                task.cancel()
            self.release(held, clean=True)
            assert await kept is held
            assert self.load == 1

    play([()], Pool, limit=1)


@pytest.mark.parametrize("front", [0, 1])
def test_a_refused_wait_is_answered_at_once_with_a_hint(tmp_path, monkeypatch, front):
    """Guards against clients that wait in vain until their deadline."""

    async def scenario(system):
        await wait_until_shared(system)
        address = system.client_addresses[front]
        client = await Client.open(address, "orders", "key-s")
        other = await Client.open(address, "orders", "key-n1")

        def refuse(self, now, rank, caller, remaining) -> None:
            assert (caller, rank[2]) == ("south", 2)
            raise Refused("retry_after_ms=70", step="pool", peer="m")

        await other.call("BEGIN")
        assert outcome(await other.call("STORE a 1")) == "COMPLETE"
        monkeypatch.setattr(MemberQueue, "check_wait", refuse)
        started = asyncio.get_running_loop().time()
        assert (await client.call("STORE b 2"))[0] == "ERROR BUSY retry_after_ms=70"
        assert (await client.call("FETCH b"))[0] == "ERROR BUSY retry_after_ms=70"
        await client.call("BEGIN")
        assert (await client.call("STORE b 2"))[0] == "ERROR BUSY retry_after_ms=70"
        assert asyncio.get_running_loop().time() - started < 0.4
        assert system.group.acknowledged == []
        assert outcome(await other.call("COMMIT")) == "COMPLETE"
        client.close()
        other.close()

    run_system(tmp_path, scenario, tenants=ORGANISATIONS, **SCARCE)


def test_only_a_transaction_that_had_a_connection_goes_first(tmp_path, monkeypatch):
    """Guards against new transactions that leave single statements no connection."""
    seen, acquire = [], VirtualPool.acquire

    async def record(self, session, priority, timeout, started=False):
        seen.append(started)
        return await acquire(self, session, priority, timeout, started)

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders", "key-s")
        system.group.primary.refusals["BEGIN"] = "BUSY"
        monkeypatch.setattr(MemberPool, "acquire", record)
        await client.call("BEGIN")
        assert outcome(await client.call("FETCH a")) == "COMPLETE"
        assert seen == [False, True]

    run_system(tmp_path, scenario, tenants=ORGANISATIONS)
