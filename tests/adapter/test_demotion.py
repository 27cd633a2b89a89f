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
