"""Tests of values and prepared statements that a proxy sets up for a session."""

import asyncio
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as hs
from system import Client, run_system
from test_relays import SCARCE, owner_of, wait_until_shared
from test_whole_path import outcome

from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_daemon.wire.exceptions import ConnectionLost
from bronzemoor_daemon.wire.memberconnection import MemberConnection
from bronzemoor_platform.lines import PlatformLines


def setup_refusals(system) -> list[tuple[str, str]]:
    return [
        (fields["setup"], fields["code"])
        for event, fields in system.events
        if event == "setup_refused"
    ]


async def open_client(system, shared: bool) -> Client:
    """Opens a session at a proxy that has to borrow its connections if ``shared``."""
    number = 0
    if shared:
        await wait_until_shared(system)
        number = 1 - owner_of(system, system.group.primary.name)
    return await Client.open(system.client_addresses[number], "orders")


@pytest.mark.parametrize("shared", [False, True])
def test_a_value_that_a_member_refused_is_set_again(tmp_path, shared):
    """Guards against statements that run without a session value.

    A member that had lost the lead refused the SET inside a transaction. The value
    counted as set on the connection, which was used again after the rollback.
    """

    async def scenario(system):
        client = await open_client(system, shared)
        primary = system.group.primary
        await client.call("BEGIN")
        assert outcome(await client.call("FETCH a")) == "COMPLETE"
        await client.call("SET tz lisbon")
        primary.refusals["SET"] = "READONLY"
        assert outcome(await client.call("FETCH b")).startswith("ERROR")
        assert setup_refusals(system) == [("set", "not_primary")]
        await client.call("ROLLBACK")
        assert outcome(await client.call("FETCH c")) == "COMPLETE"
        assert primary.values_at_run["FETCH c"] == {"tz": "lisbon"}

    run_system(tmp_path, scenario, **(SCARCE if shared else {}))


@pytest.mark.parametrize("shared", [False, True])
def test_a_statement_whose_preparing_was_refused_is_prepared_again(tmp_path, shared):
    """Guards against EXECUTE of a name that its member does not know."""

    async def scenario(system):
        client = await open_client(system, shared)
        primary = system.group.primary
        await client.call("PREPARE s1 FETCH shape")
        await client.call("BEGIN")
        assert outcome(await client.call("FETCH a")) == "COMPLETE"
        primary.refusals["PREPARE"] = "READONLY"
        assert outcome(await client.call("EXECUTE s1 k")).startswith("ERROR")
        assert setup_refusals(system) == [("prepare", "not_primary")]
        await client.call("ROLLBACK")
        assert (await client.call("EXECUTE s1 k"))[0] == "ROW shape:k"

    run_system(tmp_path, scenario, **(SCARCE if shared else {}))


def test_a_statement_gets_the_error_code_of_its_refused_setup(tmp_path):
    """Guards against MALFORMED, which promises nothing, for a statement of a client.

    A connection whose SET was refused fails, and answers MALFORMED to what follows.
    """

    async def scenario(system):
        client = await open_client(system, shared=False)
        await client.call("BEGIN")
        assert outcome(await client.call("FETCH a")) == "COMPLETE"
        await client.call("SET tz lisbon")
        system.group.primary.refusals["SET"] = "READONLY"
        assert outcome(await client.call("STORE b v")) == "ERROR READONLY"
        await client.call("ROLLBACK")
        assert system.group.acknowledged == []

    run_system(tmp_path, scenario)


def test_a_repeated_statement_is_set_up_again(tmp_path):
    """Guards against a statement repeated after BUSY without its session value."""

    async def scenario(system):
        client = await open_client(system, shared=False)
        primary = system.group.primary
        await client.call("BEGIN")
        assert outcome(await client.call("FETCH a")) == "COMPLETE"
        await client.call("SET tz lisbon")
        primary.refusals |= {"SET": "BUSY", "FETCH b": "BUSY"}
        assert outcome(await client.call("FETCH b")) == "COMPLETE"
        assert primary.values_at_run["FETCH b"] == {"tz": "lisbon"}
        assert outcome(await client.call("COMMIT")) == "COMPLETE"

    run_system(tmp_path, scenario)


@pytest.mark.parametrize("shared", [False, True])
def test_a_value_set_after_the_last_statement_holds_for_the_commit(tmp_path, shared):
    """Guards against a COMMIT that runs with other values than its client's."""

    async def scenario(system):
        client = await open_client(system, shared)
        await client.call("BEGIN")
        assert outcome(await client.call("STORE a v")) == "COMPLETE"
        await client.call("SET tz lisbon")
        assert outcome(await client.call("COMMIT")) == "COMPLETE"
        primary = system.group.primary
        assert primary.values_at_run["COMMIT"] == {"tz": "lisbon"}
        assert system.group.acknowledged == [("a", "v")]

    run_system(tmp_path, scenario, **(SCARCE if shared else {}))


def test_a_commit_whose_value_was_refused_is_not_confirmed(tmp_path):
    """Guards against a confirmed COMMIT that ran without its session value."""

    async def scenario(system):
        client = await open_client(system, shared=False)
        await client.call("BEGIN")
        assert outcome(await client.call("STORE a v")) == "COMPLETE"
        await client.call("SET tz lisbon")
        system.group.primary.refusals["SET"] = "READONLY"
        assert outcome(await client.call("COMMIT")) == "ERROR ABORTED"
        assert system.group.acknowledged == []

    run_system(tmp_path, scenario)


@pytest.mark.parametrize("refused", ["SET", "RESET"])
@pytest.mark.parametrize(
    ("text", "expected"), [("FETCH c", "COMPLETE"), ("STORE c v", "ERROR INDOUBT")]
)
def test_an_answer_without_its_session_values_is_not_passed_on(
    tmp_path, refused, text, expected
):
    """Guards against an answer to a statement that ran with other values."""

    async def scenario(system):
        primary = system.group.primary
        one = await Client.open(system.client_addresses[0], "orders")
        two = await Client.open(system.client_addresses[0], "orders")
        await one.call("SET tz lisbon")
        assert outcome(await one.call("FETCH a")) == "COMPLETE"
        await two.call("SET lang pt")
        primary.refusals[refused] = "FAILED"
        assert outcome(await two.call(text)) == expected
        if expected == "COMPLETE":
            assert primary.values_at_run[text] == {"lang": "pt"}
        assert outcome(await two.call("FETCH d")) == "COMPLETE"
        assert primary.values_at_run["FETCH d"] == {"lang": "pt"}

    run_system(tmp_path, scenario)


class RefusingTransport:
    """A member that refuses set-up statements as it is told.

    A refused statement may have run all the same, as the codes of some errors say.
    """

    def __init__(self, refusals: Iterator[str]) -> None:
        self._refusals = refusals
        self._closed = False
        self.answers = b""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.state = "I"
        # What each client's statement ran with.
        self.ran: list[tuple[dict[str, str], str]] = []

    def write(self, data: bytes) -> None:
        for line in data.decode().split("\r\n")[:-1]:
            _, query_id, text = line.split(" ", 2)
            result = self._run(text, text.split(" "), query_id == "-")
            self.answers += f"{result}\r\nREADY {self.state} 1.1\r\n".encode()

    def _run(self, text: str, words: list[str], is_own: bool) -> str:
        if text == "ROLLBACK":
            self.state = "I"
            return "COMPLETE -"
        if self.state == "E":
            return "ERROR MALFORMED -"
        refusal = next(self._refusals) if is_own else ""
        if refusal in ("", "run"):
            error = self._execute(text, words)
            if error or not refusal:
                return error or "COMPLETE s"
        self.state = "E" if self.state == "T" else "I"
        return f"ERROR {'FAILED' if refusal == 'run' else 'READONLY'} -"

    def _execute(self, text: str, words: list[str]) -> str:
        match words:
            case ["RESET"]:
                self.values, self.prepared = {}, {}
            case ["SET", name, value]:
                self.values[name] = value
            case ["PREPARE", name, *shape]:
                self.prepared[name] = " ".join(shape)
            case ["BEGIN"]:
                self.state = "T"
            case ["EXECUTE", name, _]:
                if name not in self.prepared:
                    return "ERROR NOPREPARED -"
                self.ran.append((dict(self.values), self.prepared[name]))
            case ["FETCH", _]:
                self.ran.append((dict(self.values), ""))
        return ""

    def abort(self) -> None:
        self._closed = True

    def is_closing(self) -> bool:
        return self._closed

    def get_extra_info(self, name: str) -> None:
        return None


# Session, what it does, and which value or shape it uses.
STEPS = hs.lists(
    hs.tuples(
        hs.integers(0, 1),
        hs.sampled_from(["set", "fetch", "execute", "begin", "end"]),
        hs.integers(0, 2),
    ),
    max_size=25,
)
REFUSALS = hs.lists(hs.sampled_from(["", "refused", "run"]), max_size=12)


@settings(max_examples=1_000, derandomize=True, deadline=None, database=None)
@given(steps=STEPS, refusals=REFUSALS)
def test_a_delivered_answer_ran_with_the_state_of_its_session(steps, refusals):
    """Guards against a foreign, a missing or an old value or prepared statement.

    Set-up statements are refused at random, and two sessions use one connection.
    """
    asyncio.run(play(steps, iter(refusals + [""] * 1_000)))


async def play(steps, refusals: Iterator[str]) -> None:
    transport = RefusingTransport(refusals)
    connection = MemberConnection(PlatformLines(), "m", "h:1", "test")
    connection._transport = transport
    sessions, holder = [SessionState(), SessionState()], None
    for number, action, detail in steps:
        session = sessions[number]
        if holder not in (None, session) or not connection.is_open:
            continue
        if action == "set":
            session.values[b"v%d" % (detail % 2)] = b"%d" % detail
        elif action == "begin" and holder is None:
            connection.apply_session(session)
            await exchange(connection, transport, b"BEGIN")
            holder = session if transport.state == "T" else None
        elif action == "end":
            await exchange(connection, transport, b"ROLLBACK", b"")
            holder = None
        elif action in ("fetch", "execute"):
            shape = (False, b"q%d" % detail) if action == "execute" else None
            connection.apply_session(session)
            answer = await exchange(
                connection, transport, b"item" if shape else b"FETCH item", b"q", shape
            )
            assert answer is None or answer.error != "unknown_prepared"
            if answer is not None and answer.ok:
                wanted = {n.decode(): v.decode() for n, v in session.values.items()}
                text = f"FETCH {shape[1].decode()}" if shape else ""
                assert transport.ran[-1] == (wanted, text)
            if transport.state == "E":
                await exchange(connection, transport, b"ROLLBACK", b"")
                holder = None


async def exchange(connection, transport, text, query_id=b"q", shape=None):
    """Sends a statement and delivers all answers; None if the connection is lost."""
    future = connection.query(query_id, text, shape=shape)
    data, transport.answers = transport.answers, b""
    connection.data_received(data)
    try:
        return await asyncio.wait_for(future, 0)
    except ConnectionLost:
        return None
