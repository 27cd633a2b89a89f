"""Tests of the member connections that proxies share through relayed channels."""

import asyncio

import pytest
from system import Client, run_system
from test_whole_path import outcome

from bronzemoor_core.messages import (
    RelayAnswer,
    RelayOpen,
    RelayStatement,
    RelayStatus,
)
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import NoConnection
from bronzemoor_daemon.wire.memberpool import IDLE_TRANSACTION_LIMIT_SECONDS, MemberPool
from bronzemoor_daemon.wire.proxy import CLOSE_IDLE_FRACTION
from bronzemoor_daemon.wire.relays import (
    CLOSED,
    OPEN,
    OVERLOADED,
    REFUSED,
    WAITING,
    RelayClient,
    rank_owners,
)
from bronzemoor_daemon.wire.relayserver import RelayServer
from bronzemoor_platform.lines import PlatformLines

# Not enough connections for each of the two proxies to have its own to every member.
SCARCE = {"services": [{"name": "ledger", "max_conns": 2, "sync_replicas": 1}]}
# Connections that the control leader keeps for its own orders.
LEADER_CONNECTIONS = 1


class RecordingLinks:
    """Replaces a proxy's links and records the messages."""

    def __init__(self) -> None:
        self.messages = []

    def request(self, peer: str, message) -> None:
        self.messages.append(message)


@pytest.mark.parametrize(
    ("states", "opened"),
    [
        ((WAITING, OPEN), True),
        ((OPEN,), True),
        ((REFUSED,), False),
        ((WAITING, OVERLOADED), False),
        ((WAITING, REFUSED), False),
        ((OPEN, CLOSED), False),
    ],
)
def test_status_messages_received_together_are_all_processed(states, opened):
    """Guards against skipping an owner that did open the channel.

    When two status messages arrived in one packet, the second was treated as one for a
    cancelled request, so the request timed out.
    """

    async def scenario() -> None:
        links, codec = RecordingLinks(), PlatformLines()
        relays = RelayClient("me", codec, links)
        pool = MemberPool(
            codec, "g", "me", "m", "h:1", True, 1, lambda *a, **k: None, relays
        )
        task = asyncio.create_task(relays.open("owner", pool, 1, 0.5))
        await asyncio.sleep(0)
        channel = links.messages[0].channel
        for state in states:
            relays.on_status("owner", RelayStatus(channel, state, "", "m", -1))
        if opened:
            assert (await task).channel == channel
        else:
            with pytest.raises(NoConnection):
                await task
        assert relays.owner(boottime(), "m") == ""
        assert not relays._skipped_until

    asyncio.run(scenario())


def test_statements_sent_after_a_refused_begin_do_not_run():
    """Guards against a write that runs outside its transaction.

    An owner refused a BEGIN, learned of the new primary and then forwarded the write
    that followed. The write was committed on its own although the client had
    received an error code that guarantees no effect.
    """
    is_primary, sent, replies = [False, True, True], [], []

    class Connection:
        is_open = is_settled = True
        last_state = "idle"
        on_lost = on_evicted = None

        def query(self, query_id, text, *rest):
            sent.append(text)
            return asyncio.get_running_loop().create_future()

    class Pool:
        member = "m"
        load = 0
        take_idle = staticmethod(lambda session, caller: Connection())

    class Links:
        reply = staticmethod(lambda link, message: replies.append(message))

    async def scenario() -> None:
        server = RelayServer(
            PlatformLines(),
            Links(),
            lambda group, member: Pool(),
            lambda now, pool, term: is_primary.pop(0),
            lambda *a, **k: None,
        )
        server.on_open("link", RelayOpen(1, "g", "m", 1, 500))
        for number, text, term in (
            (1, b"BEGIN", 2),
            (2, b"STORE k v", 2),
            (3, b"ROLLBACK", 0),
        ):
            message = RelayStatement(
                1, number, b"q", text, 0, 0, False, False, b"", False, {}, term
            )
            server.on_statement("link", message)

    asyncio.run(scenario())
    assert sent == [b"ROLLBACK"]
    answers = [item for item in replies if isinstance(item, RelayAnswer)]
    assert [item.number for item in answers] == [1, 2]
    assert all(item.answer.startswith(b"ERROR READONLY") for item in answers)


def test_a_channel_number_used_again_on_a_new_link_is_another_channel():
    """Guards against statements of a restarted proxy on a connection of the earlier.

    Both processes count their channels from 1, and the owner has not noticed yet that
    the link of the earlier one is lost.
    """
    sent, released = [], []

    class Connection:
        is_open = is_settled = True
        last_state = "in_transaction"
        on_lost = on_evicted = None

        def query(self, query_id, text, *rest):
            sent.append((self, text))
            return asyncio.get_running_loop().create_future()

    class Pool:
        member = "m"
        load = 0
        take_idle = staticmethod(lambda session, caller: Connection())
        release = staticmethod(lambda item, clean: released.append((item, clean)))

    class Links:
        reply = staticmethod(lambda link, message: None)

    def statement(text: bytes) -> RelayStatement:
        return RelayStatement(
            1, 1, b"q", text, 0, 0, False, False, b"", False, {}, 0
        )  # fmt: skip

    async def scenario() -> None:
        server = RelayServer(
            PlatformLines(), Links(), lambda group, member: Pool(),
            lambda now, pool, term: True, lambda *a, **k: None,
        )  # fmt: skip
        for link in ("earlier", "later"):
            server.on_open(link, RelayOpen(1, "g", "m", 1, 500))
            server.on_statement(link, statement(link.encode()))
        server.link_lost("earlier")
        server.on_statement("earlier", statement(b"late"))
        server.on_statement("later", statement(b"next"))

    asyncio.run(scenario())
    (first, _), (second, _), (third, _) = sent
    assert [text for _, text in sent] == [b"earlier", b"later", b"next"]
    assert first is not second and second is third
    # A connection inside a transaction is closed, not used again.
    assert released == [(first, False)]


async def wait_until_shared(system) -> None:
    """Waits until both proxies have received the list of sharing proxies."""
    await system.until(lambda: all(len(p._relays.proxies) == 2 for p in system.proxies))


def owner_of(system, member: str) -> int:
    """Returns the index of the proxy that owns the connections to a member."""
    names = [proxy.links._name for proxy in system.proxies]
    return names.index(rank_owners(member, names)[0])


def test_the_loss_of_a_proxy_moves_only_its_own_members():
    """Guards against reassigning all owners when one proxy stops."""
    proxies = [f"10.0.0.{n}:7440" for n in range(12)]
    members = [f"i-{n}" for n in range(200)]
    before = {m: rank_owners(m, proxies)[0] for m in members}
    after = {m: rank_owners(m, proxies[1:])[0] for m in members}
    moved = [m for m in members if before[m] != after[m]]
    assert all(before[m] == proxies[0] for m in moved)
    assert 5 < len(moved) < 40


@pytest.mark.parametrize("front", [0, 1])
def test_sessions_of_every_proxy_share_the_connections(tmp_path, front):
    """Guards against values, prepared statements or transactions lost on a channel."""

    async def scenario(system):
        await wait_until_shared(system)
        one = await Client.open(system.client_addresses[front], "orders")
        two = await Client.open(system.client_addresses[front], "orders")
        await one.call("SET tz lisbon")
        await one.call("PREPARE s1 FETCH shape-one")
        await two.call("PREPARE s1 FETCH shape-two")
        for _ in range(3):
            assert (await one.call("EXECUTE s1 k"))[0] == "ROW shape-one:k"
            assert (await two.call("EXECUTE s1 k"))[0] == "ROW shape-two:k"
        await one.call("BEGIN")
        assert outcome(await one.call("STORE k1 v")) == "COMPLETE"
        assert outcome(await one.call("EXECUTE s1 k")) == "COMPLETE"
        assert (await one.call("COMMIT"))[0].startswith("COMPLETE s.")
        assert outcome(await two.call("STORE k2 v")) == "COMPLETE"
        assert system.group.acknowledged == [("k1", "v"), ("k2", "v")]
        primary = system.group.primary
        executed = [text for _, text in primary.executed]
        assert "SET tz lisbon" in executed
        owner = f"proxy-{owner_of(system, primary.name)}"
        allowed = {owner, "control-0", "control-1", "control-2"}
        # The other proxy may still have a connection from before sharing began.
        await system.until(lambda: {c.caller for c in primary.connections} <= allowed)

    run_system(tmp_path, scenario, **SCARCE)


def test_no_more_connections_are_open_than_the_member_allows(tmp_path):
    """Guards against proxies that together exceed a member's connection limit.

    With 47 connections for 84 proxies, a primary spent a fifth of its time on new
    connections, and most refusals were for lack of a connection.
    """

    async def scenario(system):
        await wait_until_shared(system)
        primary, most = system.group.primary, 0
        clients = [
            await Client.open(system.client_addresses[n % 2], "orders")
            for n in range(12)
        ]
        primary.statement_delays["FETCH"] = 0.02

        async def read(client) -> str:
            nonlocal most
            result = outcome(await client.call("FETCH k"))
            most = max(most, len(primary.connections))
            return result

        results = await asyncio.gather(*(read(client) for client in clients))
        assert results == ["COMPLETE"] * 12
        assert most <= LEADER_CONNECTIONS + 1

    run_system(tmp_path, scenario, **SCARCE)


def test_an_unresponsive_owner_is_skipped(tmp_path):
    """Guards against a zone that loses access to a member with one of its proxies."""

    async def scenario(system):
        await wait_until_shared(system)
        lost = owner_of(system, system.group.primary.name)
        client = await Client.open(system.client_addresses[1 - lost], "orders")
        assert outcome(await client.call("STORE k1 v")) == "COMPLETE"
        # The owner stops responding without closing its connections.
        system.proxies[lost].links.send = lambda peer, message: None
        system.proxies[lost].links.reply = lambda link, message: None
        system.proxies[lost].links._receive = lambda sender, message: None

        async def served() -> bool:
            return outcome(await client.call("STORE k2 v")) == "COMPLETE"

        await system.until_async(served, 3.0)

    run_system(tmp_path, scenario, **SCARCE)


def test_a_transaction_is_rolled_back_at_the_owner_when_its_client_disconnects(
    tmp_path,
):
    """Guards against a shared connection that is released inside a transaction."""

    async def scenario(system):
        await wait_until_shared(system)
        front = 1 - owner_of(system, system.group.primary.name)
        client = await Client.open(system.client_addresses[front], "orders")
        await client.call("BEGIN")
        await client.call("STORE k v")
        client.close()
        executed = system.group.primary.executed
        await system.until(lambda: any(text == "ROLLBACK" for _, text in executed))
        other = await Client.open(system.client_addresses[front], "orders")
        assert outcome(await other.call("STORE k2 v")) == "COMPLETE"
        assert system.group.acknowledged == [("k2", "v")]

    run_system(tmp_path, scenario, **SCARCE)


def test_a_lost_answer_on_a_channel_is_in_doubt_and_affects_no_other(tmp_path):
    """Guards against an answer that is matched to the wrong statement."""

    async def scenario(system):
        await wait_until_shared(system)
        primary = system.group.primary
        front = 1 - owner_of(system, primary.name)
        client = await Client.open(system.client_addresses[front], "orders")
        primary.lost_answers.append("STORE k1")
        assert outcome(await client.call("STORE k1 v")) == "ERROR INDOUBT"
        answers = [await client.call(f"FETCH k{number}") for number in range(5)]
        for number, lines in enumerate(answers):
            assert lines[0] == f"ROW k{number}" or outcome(lines) == "ERROR BUSY"
        # The only connection is closed once its probe has timed out as well.
        assert outcome(answers[-1]) == "COMPLETE"
        assert [t for _, t in primary.executed].count("STORE k1 v") == 1

    run_system(tmp_path, scenario, **SCARCE)


@pytest.mark.parametrize("at_owner", [True, False])
def test_an_idle_transaction_is_evicted_when_statements_wait(tmp_path, at_owner):
    """Guards against idle transactions that occupy all connections."""

    async def scenario(system):
        await wait_until_shared(system)
        owner = owner_of(system, system.group.primary.name)
        idle = await Client.open(
            system.client_addresses[owner if at_owner else 1 - owner], "orders"
        )
        await idle.call("BEGIN")
        assert outcome(await idle.call("STORE k1 v")) == "COMPLETE"
        await asyncio.sleep(IDLE_TRANSACTION_LIMIT_SECONDS)
        started = asyncio.get_running_loop().time()
        other = await Client.open(system.client_addresses[0], "orders")
        assert outcome(await other.call("STORE k2 v")) == "COMPLETE"
        assert asyncio.get_running_loop().time() - started < 0.6
        assert outcome(await idle.call("COMMIT")) == "ERROR ABORTED"
        assert system.group.acknowledged == [("k2", "v")]

    run_system(tmp_path, scenario, **SCARCE)


def test_a_stopping_owner_serves_open_channels(tmp_path):
    """Guards against a planned stop that aborts transactions of other proxies."""

    async def scenario(system):
        await wait_until_shared(system)
        owner = owner_of(system, system.group.primary.name)
        client = await Client.open(system.client_addresses[1 - owner], "orders")
        await client.call("BEGIN")
        assert outcome(await client.call("STORE k v")) == "COMPLETE"
        stopping = asyncio.create_task(system.proxies[owner].stop())
        await asyncio.sleep(
            CLOSE_IDLE_FRACTION * system.proxies[owner]._settings.stop_grace
        )
        assert not stopping.done()
        assert outcome(await client.call("COMMIT")) == "COMPLETE"
        assert outcome(await client.call("STORE k2 v")) == "COMPLETE"
        await asyncio.wait_for(stopping, 1.0)
        assert system.group.acknowledged == [("k", "v"), ("k2", "v")]

    run_system(tmp_path, scenario, **SCARCE)


def test_an_owner_without_a_lease_does_not_forward_statements(tmp_path):
    """Guards against delayed statements that an owner sends to a replaced primary."""

    async def scenario(system):
        await wait_until_shared(system)
        primary = system.group.primary
        owner = owner_of(system, primary.name)
        client = await Client.open(system.client_addresses[1 - owner], "orders")
        assert outcome(await client.call("STORE k1 v")) == "COMPLETE"
        # Simulates an owner that was suspended for longer than its lease.
        system.proxies[owner]._lease.renew = lambda asked_at, length: None
        system.proxies[owner]._lease._expires = 0.0
        executed = len(primary.executed)
        assert outcome(await client.call("STORE k2 v")).startswith("ERROR")
        assert [
            text for _, text in primary.executed[executed:] if "STORE k2" in text
        ] == []
        assert system.group.acknowledged == [("k1", "v")]

    run_system(tmp_path, scenario, **SCARCE)
