"""Random sessions around a demotion that their proxy does not expect."""

import asyncio

import pytest
from fake_members import FakeConnection, FakeGroup
from hypothesis import given, settings
from hypothesis import strategies as hs
from loopback import free_addresses
from system import Client, make_document

from bronzemoor_core.messages import GroupView, MemberView
from bronzemoor_daemon.wire.clientsession import ClientSession
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.proxy import Proxy
from bronzemoor_daemon.wire.settings import PROXY, WireSettings
from bronzemoor_platform.documents import read_document
from bronzemoor_platform.lines import PlatformLines

# Sessions share connections. Statements at a member without the lead time out.
SESSIONS, CONNECTIONS, SHORT_TIMEOUT = 2, 1, '"timeout_ms": 60'
# What sets state is more frequent, so that it is met inside transactions.
ACTIONS = (
    "BEGIN", "BEGIN", "BEGIN FETCH", "FETCH k", "FETCH k", "STORE k v", "SET", "SET",
    "SET", "PREPARE", "EXECUTE", "EXECUTE", "COMMIT", "ROLLBACK",
)  # fmt: skip


class Session(Client):
    """A session and what was acknowledged to it; its ids name its transaction."""

    def __init__(self, reader, writer) -> None:
        super().__init__(reader, writer)
        self.values, self.shapes, self.shape = {}, {}, ""
        self.name, self.begun, self.is_open, self.home = "", 0, False, None

    @property
    def _query_id(self) -> str:
        return f"{self.name}.{self.begun if self.is_open else '-'}:{self._number}"

    async def step(self, action: str, detail: int) -> None:
        name, kind = f"n{detail}", ("FETCH", "STORE")[detail % 2]
        match action:
            case "COMMIT" | "ROLLBACK":
                await self.call(action)
                self.is_open = False
            case "BEGIN" | "BEGIN FETCH" if not self.is_open:
                self.begun, self.is_open = self.begun + 1, True
                await self.call(action)
            case "SET":
                self.values[name] = f"{self._number}"
                await self.call(f"SET {name} {self.values[name]}")
            case "PREPARE":
                self.shapes[name] = f"{kind} {self.name}{self._number}"
                await self.call(f"PREPARE {name} {self.shapes[name]}")
            case "EXECUTE" if name in self.shapes:
                self.shape = self.shapes[name]
                await self.call(f"EXECUTE {name} k v")
            case "FETCH k" | "STORE k v":
                await self.call(action)


def watch(patch: pytest.MonkeyPatch, sessions: dict[str, Session]) -> list[str]:
    """Makes members check each statement that they run; returns what was broken."""
    broken: list[str] = []
    query, run = FakeConnection.query, FakeConnection.run

    def named_query(self, query_id: str, text: str) -> None:
        self.query_id = query_id
        query(self, query_id, text)

    def checked_run(self, text: str) -> str:
        name, _, transaction = self.query_id.partition(":")[0].partition(".")
        session, (word, *rest) = sessions.get(name), text.split(" ")
        # The state, the values and the shape that it runs with.
        prepared = self.prepared.get(rest[0]) if word == "EXECUTE" else ""
        found, answer = (self.state, dict(self.values), prepared), run(self, text)
        if session is not None and word == "BEGIN":
            session.home = self
        elif session is not None and not answer.startswith("ERROR READONLY"):
            shape = session.shape if word == "EXECUTE" else ""
            expected = ("I" if transaction == "-" else "T", session.values, shape)
            if found != expected or (transaction != "-" and session.home is not self):
                broken.append(f"{self.query_id} {text}: {found} for {expected}")
        return answer

    patch.setattr(FakeConnection, "query", named_query)
    patch.setattr(FakeConnection, "run", checked_run)
    return broken


def make_view(group: FakeGroup, term: int) -> GroupView:
    members = [MemberView(m.name, m.address, "n") for m in group.members.values()]
    return GroupView("ledger", term, group.primary.name, members, CONNECTIONS)


async def play(steps, demoted_at: int, noticed_at: int, state: str) -> list[str]:
    """Plays the steps; the proxy learns of the new primary some steps late."""
    group, address = FakeGroup("ledger"), free_addresses(1)[0]
    await group.start()
    proxy = Proxy(
        WireSettings("p", (PROXY,), "n", "p:1", ()), PlatformLines(), read_document,
        lambda *fields, **named: None, WireMetrics(),
    )  # fmt: skip
    document = make_document(1).replace('"timeout_ms": 800', SHORT_TIMEOUT)
    proxy.deployment = read_document(document)
    proxy._lease.renew(boottime(), 1_000.0)
    proxy.group("ledger").apply_topology(make_view(group, 1))
    server = await asyncio.get_running_loop().create_server(
        lambda: ClientSession(proxy), *address.split(":")
    )
    sessions = {}
    for name in (f"c{n}" for n in range(SESSIONS)):
        sessions[name] = await Session.open(address, "orders")
        sessions[name].name = name
    old = group.primary
    old.state_after_refused_begin = state
    with pytest.MonkeyPatch.context() as patch:
        broken = watch(patch, sessions)
        for number, (index, action, detail) in enumerate(steps):
            if number == demoted_at:
                group.promote("ledger-b", 1)
                old.primary = False
            if number == demoted_at + noticed_at:
                proxy.group("ledger").apply_topology(make_view(group, 2))
            await sessions[f"c{index}"].step(action, detail)
    server.close()
    await group.stop()
    return broken


STEP = hs.tuples(
    hs.integers(0, SESSIONS - 1), hs.sampled_from(ACTIONS), hs.integers(0, 2)
)


@settings(max_examples=100, derandomize=True, deadline=None, database=None)
@given(
    hs.lists(STEP, min_size=20, max_size=40),
    hs.integers(5, 20), hs.integers(0, 8), hs.sampled_from("IE"),
)  # fmt: skip
def test_statements_around_a_demotion_run_in_their_transaction(
    steps, demoted_at, noticed_at, state
):
    """Guards against statements outside their transaction or with foreign state."""
    assert asyncio.run(play(steps, demoted_at, noticed_at, state)) == []
