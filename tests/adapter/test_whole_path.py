"""End-to-end tests with fake members: sessions, transactions, failures, promotions."""

import asyncio

from system import Client, run_system

from bronzemoor_core.wire.leases import LEASE_SECONDS
from bronzemoor_core.wire.succession import is_alive
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.memberorders import NO_DEADLINE, send_order
from bronzemoor_daemon.wire.proxy import (
    LEASE_LOSS_GRACE_SECONDS,
    MIN_IDLE_BEFORE_CLOSE_SECONDS,
)
from bronzemoor_platform.lines import PlatformLines


def outcome(lines: list[str]) -> str:
    """Returns the keyword of the answer's result line, with the code for an error."""
    words = lines[-2].split(" ")
    return " ".join(words[:2]) if words[0] == "ERROR" else words[0]


def test_reads_writes_and_transactions_carry_the_members_answers(tmp_path):
    """Guards against answers that differ from the member's."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        assert client.greeting == "READY I -"
        assert (await client.call("STORE k1 v1"))[0].startswith("COMPLETE s.")
        assert (await client.call("FETCH k1"))[0] == "ROW k1"
        assert await client.call("BEGIN") == ["COMPLETE -", "READY T -"]
        assert outcome(await client.call("STORE k2 v2")) == "COMPLETE"
        lines = await client.call("COMMIT")
        assert lines[0].startswith("COMPLETE s.") and lines[1].startswith("READY I")
        assert system.group.acknowledged == [("k1", "v1"), ("k2", "v2")]

    run_system(tmp_path, scenario)


def test_session_values_and_prepared_names_follow_their_session(tmp_path):
    """Guards against a statement that runs with another session's values."""

    async def scenario(system):
        one = await Client.open(system.client_addresses[0], "orders")
        two = await Client.open(system.client_addresses[0], "orders")
        await one.call("SET tz lisbon")
        await one.call("PREPARE s1 FETCH shape-one")
        await two.call("PREPARE s1 FETCH shape-two")
        for _ in range(3):
            assert (await one.call("EXECUTE s1 k"))[0] == "ROW shape-one:k"
            assert (await two.call("EXECUTE s1 k"))[0] == "ROW shape-two:k"
        executed = [text for _, text in system.group.primary.executed]
        assert executed.index("SET tz lisbon") < executed.index("RESET")
        assert outcome(await two.call("EXECUTE s2 k")) == "ERROR NOPREPARED"

    run_system(tmp_path, scenario)


def test_a_lost_answer_is_retried_only_where_nothing_can_be_kept(tmp_path):
    """Guards against duplicate writes and reads that fail after one lost answer."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        primary = system.group.primary
        primary.lost_answers.append("STORE k1")
        assert outcome(await client.call("STORE k1 v")) == "ERROR INDOUBT"
        assert [t for _, t in primary.executed].count("STORE k1 v") == 1
        await client.call("BEGIN")
        primary.lost_answers.append("STORE k2")
        assert outcome(await client.call("STORE k2 v")) == "COMPLETE"
        primary.lost_answers.append("STORE k4")
        lines = await client.call("STORE k4 v")
        assert outcome(lines) == "ERROR ABORTED" and lines[-1].startswith("READY E")
        assert (await client.call("ROLLBACK"))[-1].startswith("READY I")
        primary.lost_answers.append("FETCH k3")
        assert (await client.call("FETCH k3"))[0] == "ROW k3"
        assert ("k2", "v") not in system.group.acknowledged

    run_system(tmp_path, scenario)


def test_a_refused_write_is_retried_and_runs_once(tmp_path):
    """Guards against failing a statement that certainly did not run."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        system.group.primary.refusals["STORE k1"] = "BUSY"
        assert outcome(await client.call("STORE k1 v")) == "COMPLETE"
        assert system.group.acknowledged == [("k1", "v")]

    run_system(tmp_path, scenario)


def test_a_lost_primary_is_replaced_without_losing_commits(tmp_path):
    """Guards against a promotion that loses an acknowledged commit."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        for number in range(5):
            await client.call(f"STORE k{number} v")
        old = system.group.primary
        await old.stop()
        old.primary = False

        async def writes_again() -> bool:
            return outcome(await client.call("STORE after v")) == "COMPLETE"

        await system.until_async(writes_again)
        kept = [item for work in system.group.primary.log for item in work]
        assert system.group.primary is not old
        assert [item for item in system.group.acknowledged if item not in kept] == []
        fences = [fence for _, fence in system.group.promotions]
        assert fences == sorted(set(fences))

    run_system(tmp_path, scenario)


def test_a_leaving_primary_hands_over_while_it_still_serves(tmp_path):
    """Guards against a handover that starts only after the member has stopped."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        await client.call("STORE k0 v")
        old = system.group.primary
        assert await system.announce(old.name, sequence=2, leaving=True)
        await system.until(lambda: system.group.primary is not old)

        async def writes_again() -> bool:
            return outcome(await client.call("STORE after v")) == "COMPLETE"

        await system.until_async(writes_again)
        await system.until(lambda: not old.primary)
        kept = [item for work in system.group.primary.log for item in work]
        assert set(system.group.acknowledged) <= set(kept)

    run_system(tmp_path, scenario)


def test_a_leaving_primary_hands_over_while_a_replica_is_unreachable(tmp_path):
    """Guards against a handover that is postponed while a replica is down.

    After a replica had crashed, proxies stopped using the leaving primary, and no other
    member was promoted for 6 s.
    """

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        await client.call("STORE k0 v")
        old = system.group.primary
        await next(m for m in system.group.members.values() if m is not old).stop()
        assert await system.announce(old.name, sequence=2, leaving=True)
        await system.until(lambda: system.group.primary is not old)

        async def writes_again() -> bool:
            return outcome(await client.call("STORE after v")) == "COMPLETE"

        await system.until_async(writes_again)
        kept = [item for work in system.group.primary.log for item in work]
        assert set(system.group.acknowledged) <= set(kept)

    run_system(tmp_path, scenario)


def test_a_late_answer_does_not_close_the_connection(tmp_path):
    """Guards against new connections that keep an overloaded member overloaded."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        primary = system.group.primary
        assert outcome(await client.call("FETCH k1")) == "COMPLETE"
        before = primary.connections_of("proxy-0")
        primary.statement_delays["FETCH k2"] = 0.9
        assert outcome(await client.call("FETCH k2")).startswith("ERROR")
        primary.statement_delays.clear()
        await asyncio.sleep(0.3)
        assert outcome(await client.call("FETCH k1")) == "COMPLETE"
        assert before and before <= primary.connections

    run_system(tmp_path, scenario)


def test_an_unresponsive_connection_is_closed_by_its_probe(tmp_path):
    """Guards against reusing idle connections that have stopped answering."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        primary = system.group.primary
        assert outcome(await client.call("FETCH k1")) == "COMPLETE"
        unresponsive = primary.connections_of("proxy-0")
        for connection in unresponsive:
            connection.on_line = lambda text: None
        assert outcome(await client.call("FETCH k2")) == "COMPLETE"
        await system.until(lambda: not unresponsive & primary.connections)
        assert unresponsive
        assert outcome(await client.call("FETCH k1")) == "COMPLETE"

    run_system(tmp_path, scenario)


def test_a_full_member_is_not_treated_as_lost(tmp_path):
    """Guards against replacing a primary that still counts lost machines' connections.

    After a power loss of all machines, members refused new connections for seconds, and
    two healthy primaries were replaced.
    """

    async def scenario(system):
        primary = system.group.primary
        primary.limit = 0
        leader = next(c for c in system.controls if c.log.established)
        record = leader.records.members[primary.name]
        status = await send_order(
            PlatformLines(), "test", record, b"STATUS", NO_DEADLINE
        )
        assert is_alive(status)
        for connection in list(primary.connections):
            connection.transport.abort()
        client = await Client.open(system.client_addresses[0], "orders")
        assert outcome(await client.call("FETCH k1")) == "ERROR BUSY"
        await asyncio.sleep(1.0)
        assert system.group.promotions == []
        primary.limit = 100
        assert outcome(await client.call("FETCH k1")) == "COMPLETE"

    run_system(tmp_path, scenario)


def test_a_proxy_without_the_control_group_stops_using_the_primary(tmp_path):
    """Guards against reads at a primary that may have been replaced."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        assert outcome(await client.call("FETCH k1")) == "COMPLETE"
        for control in system.controls:
            control.links.send = lambda peer, message: None
        await asyncio.sleep(LEASE_SECONDS + 0.2)
        assert outcome(await client.call("FETCH k1")) == "ERROR BUSY"

    run_system(tmp_path, scenario)


def test_a_new_session_waits_for_the_first_deployment(tmp_path):
    """Guards against sessions refused before a restarted proxy has its deployment."""

    async def scenario(system):
        proxy = system.proxies[0]
        # The next grant or announcement would restore the deployment.
        proxy.links.send = lambda peer, message: None
        proxy.links._receive = lambda sender, message: None
        deployment, proxy.deployment = proxy.deployment, None
        proxy.deployment_received.clear()
        opening = asyncio.create_task(Client.open(system.client_addresses[0], "orders"))
        await asyncio.sleep(0.3)
        assert not opening.done()
        proxy.deployment = deployment
        proxy.deployment_received.set()
        assert (await opening).greeting == "READY I -"
        other = await Client.open(system.client_addresses[0], "nowhere")
        assert other.greeting.startswith("ERROR NODB")

    run_system(tmp_path, scenario)


def test_a_proxy_that_has_just_started_keeps_its_sessions(tmp_path):
    """Guards against closing sessions that wait for the first deployment.

    After a power loss, proxies closed idle sessions 0.3 s after their start because
    they had never had a lease.
    """

    async def scenario(system):
        proxy = system.proxies[0]
        client = await Client.open(system.client_addresses[0], "orders")
        proxy._had_lease, proxy._without_lease_since = False, boottime()
        proxy._lease._expires = float("-inf")
        proxy.links.send = lambda peer, message: None
        await asyncio.sleep(LEASE_LOSS_GRACE_SECONDS / 2)
        assert len(proxy.sessions) == 1
        await system.until(lambda: not proxy.sessions)
        assert await client.closed_without_message()

    run_system(tmp_path, scenario)


def test_a_new_session_is_not_closed_for_lack_of_a_lease(tmp_path):
    """Guards against closing a session while its first statement is in transit.

    Proxies without a connection to the control group still received clients, and closed
    each new session before its first statement arrived.
    """

    async def scenario(system):
        proxy = system.proxies[0]
        proxy._lease.renew = lambda asked_at, length: None
        proxy._lease._expires = float("-inf")
        await asyncio.sleep(LEASE_LOSS_GRACE_SECONDS + 0.6)
        for _ in range(8):
            client = await Client.open(system.client_addresses[0], "orders")
            await asyncio.sleep(MIN_IDLE_BEFORE_CLOSE_SECONDS / 5)
            assert outcome(await client.call("BEGIN")) == "COMPLETE"
            client.close()

    run_system(tmp_path, scenario)


def test_stale_reads_are_served_by_replicas_that_prove_their_position(tmp_path):
    """Guards against reads at lagging replicas, and against unused replicas."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "catalogue")
        writer = await Client.open(system.client_addresses[0], "orders")
        await writer.call("STORE k v")
        replicas = [m for m in system.group.members.values() if not m.primary]
        pools = system.proxies[0].group("ledger").pools
        pools[system.group.primary.name].delay = 0.5
        assert (await client.call("FETCH k"))[0] == "ROW k"
        assert any(("FETCH k" in text) for m in replicas for _, text in m.executed)
        # Positions from before the write, also the leader's, prove nothing any more.
        await asyncio.sleep(2.0)
        await writer.call("STORE k v")
        pools[system.group.primary.name].delay = 0.5
        for member in replicas:
            member.log.clear()
            member.executed.clear()
        assert (await client.call("FETCH k"))[0] == "ROW k"
        # The control leader's status requests have no id.
        assert not any(number != "-" for m in replicas for number, _ in m.executed)

    run_system(tmp_path, scenario)


def test_a_transaction_is_rolled_back_when_its_client_disconnects(tmp_path):
    """Guards against a connection reused inside another client's transaction."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        await client.call("BEGIN")
        await client.call("STORE k v")
        client.close()
        executed = system.group.primary.executed
        await system.until(lambda: any(text == "ROLLBACK" for _, text in executed))
        other = await Client.open(system.client_addresses[0], "orders")
        assert outcome(await other.call("STORE k2 v")) == "COMPLETE"
        assert system.group.acknowledged == [("k2", "v")]

    run_system(tmp_path, scenario)
