"""Tests of waiting for connections, on a virtual clock and through the whole path."""

import asyncio
from random import Random

import pytest
import virtualpool
from system import Client, run_system
from test_callers import ORGANISATIONS
from test_relays import SCARCE, wait_until_shared
from test_whole_path import outcome
from virtualpool import CONNECTIONS, OPENING_SECONDS, VirtualPool, play

from bronzemoor_core.messages import RelayOpen, RelayStatus
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import Refused
from bronzemoor_daemon.wire.memberqueue import MemberQueue
from bronzemoor_daemon.wire.relays import OPEN, OVERLOADED, RelayClient
from bronzemoor_daemon.wire.relayserver import RelayServer
from bronzemoor_platform.lines import PlatformLines

# The target load: 79 organisations whose sizes follow a Zipf law.
WEIGHTS = [number**-1.2 for number in range(1, 80)]
HOT = "o0"


def arrivals(rate, seconds, hot_rate=0.0):
    """Returns statements of 4 to 20 ms; in the middle HOT sends more for 6 s."""
    random, found = Random(1), []
    at, until = 0.0, seconds / 2
    while (at := at + random.expovariate(rate)) < seconds:
        caller = random.choices(range(79), WEIGHTS)[0]
        found.append((at, f"o{caller}", random.uniform(0.004, 0.020)))
    while hot_rate and (until := until + random.expovariate(hot_rate)) < (
        seconds / 2 + 6
    ):
        found.append((until, HOT, random.uniform(0.004, 0.020)))
    return found


def percentile(pool, share=0.99):
    """Returns a percentile of the waits of all others from the hot phase on."""
    waits = pool.waits(since=20.0)
    others = sorted(w for name, ws in waits.items() if name != HOT for w in ws)
    return others[int(share * len(others))]


@pytest.mark.parametrize(("rate", "slots"), [(15, 1), (60, 5)])
def test_waits_do_not_grow_while_one_organisation_sends_seven_times_its_load(
    monkeypatch, rate, slots
):
    """Guards against an organisation that crowds out the others within its quota.

    The bound allows for one more connection that has to be opened.
    """
    monkeypatch.setattr(virtualpool, "SLOTS", slots)
    usual = play(arrivals(rate, 40))
    hot = play(arrivals(rate, 40, 6 * rate * WEIGHTS[0] / sum(WEIGHTS)))
    assert percentile(hot) <= percentile(usual) + OPENING_SECONDS
    assert hot.most_open <= CONNECTIONS


def test_others_are_served_while_one_organisation_overloads_the_member(monkeypatch):
    """Guards against an overload by one that is refused to all.

    The hot organisation's statements that cannot be served are refused at once, with a
    hint, instead of at their deadline.
    """
    monkeypatch.setattr(virtualpool, "SLOTS", 1)
    pool = play(arrivals(30, 40, 80))
    assert set(pool.waits(outcome="late")) <= {HOT}
    assert set(pool.waits(outcome="refused")) == {HOT}
    assert max(pool.waits(outcome="refused")[HOT]) == 0.0
    assert len(pool.waits(outcome="late")[HOT]) < len(
        pool.waits(outcome="refused")[HOT]
    )
    refusals = [fields for event, fields in pool.events if event == "wait_refused"]
    assert refusals and all(item["retry_after_ms"] > 0 for item in refusals)
    assert max(wait for waits in pool.waits().values() for wait in waits) <= 0.8


def test_few_connections_are_opened_for_many_organisations():
    """Guards against paying for a new connection with each statement."""
    load = arrivals(15, 120)
    pool = play(load)
    print(f"{pool.openings} openings for {len(load)} statements")
    assert pool.openings < len(load) / 2
    assert pool.most_open <= CONNECTIONS
    assert len(pool.waits()) == len({caller for _, caller, _ in load})


def test_without_organisations_statements_are_served_as_before():
    """Guards against a change of service in deployments without organisations.

    Statements of one priority that arrive and time out in the same order are served in
    it, and none is refused: one that is let in late may still be served in the place of
    those before it that gave up.
    """
    random = Random(2)
    load = [
        (burst + n * 0.001, "me", random.uniform(0.01, 0.06), 0.4, n % 3)
        for burst in range(10)
        for n in range(200)
    ]
    pool = play(load, by_organisation=False)
    assert not pool.waits(outcome="refused") and pool.waits(outcome="late")
    priorities = {arrival[0]: arrival[4] for arrival in load}
    for priority in range(3):
        served = [
            at for _, at, wait, outcome in pool.results
            if outcome == "served" and wait and priorities[at] == priority
        ]  # fmt: skip
        assert served == sorted(served)
    assert pool.most_open <= CONNECTIONS


def test_statements_of_a_lost_proxy_leave_the_owners_queue():
    """Guards against connections for a proxy that is gone, while others wait."""
    replies = []

    class Links:
        reply = staticmethod(lambda link, message: replies.append((link, message)))

    class Pool(VirtualPool):
        async def run(self, *arguments) -> None:
            server = RelayServer(
                PlatformLines(), Links(), lambda group, member: self,
                lambda *_: True, lambda *_, **__: None,
            )  # fmt: skip
            held = await self.acquire_own(None, 1, 0.5, "a")
            for channel, link in enumerate(("lost", "lost", "kept")):
                server.on_open(link, RelayOpen(channel, "g", "m", 1, 500, "a"))
            await asyncio.sleep(0.01)
            assert self.load == 4
            server.link_lost("lost")
            await asyncio.sleep(0)
            assert self.load == 2
            self.release(held, clean=True)
            await asyncio.sleep(0.01)

    play([()], Pool, limit=1)
    opened = [link for link, message in replies if message.state == OPEN]
    assert opened == ["kept"]


def test_a_refusal_by_the_owner_is_not_a_failure_of_the_owner():
    """Guards against skipping an overloaded owner, which would add connections."""
    sent = []

    class Links:
        request = staticmethod(lambda peer, message: sent.append(message))

    async def scenario() -> None:
        relays = RelayClient("me", PlatformLines(), Links())
        relays.set_proxies(["owner"])
        pool = VirtualPool()
        task = asyncio.create_task(relays.open("owner", pool, 1, 0.5, "a", 2, True))
        await asyncio.sleep(0)
        assert sent == [RelayOpen(1, "g", "m", 1, 500, "a", 2, True)]
        status = RelayStatus(1, OVERLOADED, "retry_after_ms=70", "", -1)
        relays.on_status("owner", status)
        with pytest.raises(Refused, match="retry_after_ms=70"):
            await task
        assert relays.owner(boottime(), "m") == "owner"
        assert pool.refused_at > 0

    asyncio.run(scenario())


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
