"""Tests of the load figures that proxies exchange where connections are shared."""

import asyncio

from system import Client, run_system
from test_relays import SCARCE, owner_of, wait_until_shared
from test_whole_path import outcome

from bronzemoor_core.messages import RelayAnswer, RelayOpen, RelayStatement
from bronzemoor_core.positions import Position
from bronzemoor_core.wire.replicalag import LagRecord
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.memberloads import MemberLoads
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.relayserver import RelayServer
from bronzemoor_platform.lines import PlatformLines


def test_loads_reach_the_proxies_of_the_zone_and_of_others(tmp_path):
    """Guards against proxies that know only what they have in progress themselves."""

    async def scenario(system):
        await wait_until_shared(system)
        name = system.group.primary.name
        owner = owner_of(system, name)
        client = await Client.open(system.client_addresses[1 - owner], "orders")
        assert outcome(await client.call("FETCH k")) == "COMPLETE"
        pools = [proxy.group("ledger").pools for proxy in system.proxies]
        figures = pools[1 - owner][name].figures
        assert boottime() - figures.told_at < 1.0

        def told() -> bool:
            # Stands for statements in progress that the samples of the owner find.
            pools[owner][name].average_load._value = 6.0
            return figures.load(boottime(), 0) > 2.0

        # The proxies are in one zone, whose loads are known from the owner.
        await asyncio.sleep(1.2)
        assert not told()
        system.proxies[1 - owner]._settings.zone = "elsewhere"
        await system.until(told)

    run_system(tmp_path, scenario, **SCARCE)


def test_nothing_is_told_where_connections_are_not_shared(tmp_path):
    """Guards against more bytes and another order in earlier deployments."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "catalogue")
        for _ in range(5):
            assert outcome(await client.call("FETCH k")) == "COMPLETE"
        for proxy in system.proxies:
            group = proxy.group("ledger")
            for pool in group.pools.values():
                pool.average_load._value = 6.0
                assert pool.figures.told_at == float("-inf")
            assert group.build_report(boottime(), 0.0).loads == []
            assert not proxy._metrics.loads.values

    run_system(tmp_path, scenario)


def test_an_owner_answers_for_a_replica_that_is_known_to_lag():
    """Guards against a zone whose proxies each ask a lagging replica."""
    sent, replies, required = [], [], Position(1, 50)

    class Connection:
        is_open = is_settled = True
        last_state = "idle"
        on_lost = on_evicted = None

        def query(self, query_id, text, *rest):
            sent.append(text)
            return asyncio.get_running_loop().create_future()

    class Pool:
        member, load, lag = "m", 2, LagRecord()
        take_idle = staticmethod(lambda session, caller: Connection())

    class Links:
        reply = staticmethod(lambda link, message: replies.append(message))

    async def scenario() -> None:
        server = RelayServer(
            PlatformLines(), Links(), lambda group, member: Pool(),
            lambda now, pool, term: True, lambda *a, **k: None,
        )  # fmt: skip
        server.on_open("link", RelayOpen(1, "g", "m", 1, 500))
        Pool.lag.record_lacked(boottime(), required)
        for number, offset in enumerate((50, 60, 40)):
            server.on_statement(
                "link",
                RelayStatement(
                    1, number, b"q", str(offset).encode(), 1, offset, False, False,
                    b"", False, {},
                ),
            )  # fmt: skip

    asyncio.run(scenario())
    assert sent == [b"40"]
    answers = [item for item in replies if isinstance(item, RelayAnswer)]
    assert [item.answer.split(b" ")[1] for item in answers] == [b"LAGGING"] * 2
    assert [item.in_progress for item in answers] == [2, 2]


def test_a_share_that_is_cut_is_logged_once_and_shown(tmp_path):
    """Guards against a member that is left out without a trace of the evidence."""

    async def scenario(system):
        await wait_until_shared(system)
        events, metrics, group = [], WireMetrics(), system.proxies[0].group("ledger")
        loads = MemberLoads(
            lambda _, event, **fields: events.append((event, fields)), metrics
        )  # noqa: E501
        pool = group.pools[system.group.primary.name]
        now = boottime()
        pool.failures.record_failure(now)
        for _ in range(3):
            loads.update(now, {"ledger": group})
        pool.failures.record_success(now + 1.0, now + 0.9)
        loads.update(now + 1.0, {"ledger": group})
        assert [event for event, _ in events] == [
            "member_share_cut",
            "member_share_restored",
        ]
        assert events[0][1]["failures"] == 1
        page = metrics.render().decode()
        assert (
            f'bronzemoor_member_load{{group="ledger",member="{pool.member}"}}' in page
        )
        assert 'bronzemoor_group_load_spread{group="ledger"}' in page

    run_system(tmp_path, scenario, **SCARCE)
