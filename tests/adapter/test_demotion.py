"""Tests of a primary that is demoted by a promotion that no proxy expects.

Proxies hold their leases and send transactions to the old primary, which refuses BEGIN
and the statements of open transactions.
"""

import pytest
from system import run_system
from test_relays import SCARCE
from test_setup import open_client
from test_whole_path import outcome


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize("text", ["FETCH k", "EXECUTE s1 k"])
def test_a_read_after_a_refused_begin_does_not_run(tmp_path, text, shared):
    """Guards against a read outside its transaction.

    BEGIN and the first statement were sent in one packet. A connection whose BEGIN was
    refused stayed outside a transaction, and the read ran there.
    """

    async def scenario(system):
        client = await open_client(system, shared)
        primary = system.group.primary
        await client.call("PREPARE s1 FETCH shape")
        await client.call("BEGIN")
        primary.refusals["BEGIN"] = "READONLY"
        assert outcome(await client.call(text)) == "COMPLETE"
        assert outcome(await client.call("COMMIT")) == "COMPLETE"
        ran = [text.split()[0] for _, text in primary.executed]
        reads = [i for i, word in enumerate(ran) if word in ("FETCH", "EXECUTE")]
        assert len(reads) == 1
        assert "BEGIN" in ran[: reads[0]]

    run_system(tmp_path, scenario, **(SCARCE if shared else {}))


def end_at_member(primary) -> None:
    """Ends the open transactions of a member without a message to their clients."""
    for connection in primary.connections:
        if connection.state == "T":
            connection.state, connection.writes = "I", []


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize(
    ("text", "expected"), [("FETCH b", "ERROR ABORTED"), ("STORE b v", "ERROR INDOUBT")]
)
def test_a_transaction_that_its_member_ended_is_not_continued(
    tmp_path, text, expected, shared
):
    """Guards against statements that follow one which ran outside the transaction.

    The answer to it says that no transaction is open at the member.
    """

    async def scenario(system):
        client = await open_client(system, shared)
        primary = system.group.primary
        await client.call("BEGIN")
        assert outcome(await client.call("STORE a v")) == "COMPLETE"
        end_at_member(primary)
        lines = await client.call(text)
        assert outcome(lines) == expected and lines[-1].startswith("READY E")
        assert outcome(await client.call("STORE c v")).startswith("ERROR")
        assert outcome(await client.call("COMMIT")).startswith("ERROR")
        assert ("c", "v") not in system.group.acknowledged
        assert outcome(await client.call("FETCH d")) == "COMPLETE"

    run_system(tmp_path, scenario, **(SCARCE if shared else {}))


def test_a_write_that_ran_after_a_refused_begin_is_not_repeated(tmp_path):
    """Guards against a second run of a write that a member committed on its own."""

    async def scenario(system):
        client = await open_client(system, shared=False)
        await client.call("BEGIN")
        system.group.primary.refusals["BEGIN"] = "READONLY"
        assert outcome(await client.call("STORE a v")) == "ERROR INDOUBT"
        await client.call("ROLLBACK")
        assert system.group.acknowledged == [("a", "v")]

    run_system(tmp_path, scenario)
