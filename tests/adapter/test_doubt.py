"""Tests of what a proxy says when it cannot confirm a write."""

import asyncio

import pytest
from system import Client, run_system
from test_whole_path import outcome

from bronzemoor_daemon.wire.clock import boottime


def end_lease(proxy, group) -> None:
    group._lease._expires = boottime()


def revoke(proxy, group) -> None:
    group.primary = ""


def replace(proxy, group) -> None:
    group.term += 1


@pytest.mark.parametrize("texts", [("STORE a {}",), ("BEGIN", "STORE a {}", "COMMIT")])
@pytest.mark.parametrize(
    ("change", "message"),
    [
        (end_lease, "the proxy's lease has ended"),
        (revoke, "the primary is being replaced"),
        (replace, "the primary was replaced"),
    ],
)
def test_a_write_in_doubt_names_its_cause(tmp_path, change, message, texts):
    """Guards against operators who look for a replaced primary that there was not."""

    async def scenario(system):
        proxy = system.proxies[0]
        group = proxy.group("ledger")
        client = await Client.open(system.client_addresses[0], "orders")
        assert outcome(await client.call("STORE a 1")) == "COMPLETE"
        primary = next(m for m in system.group.members.values() if m.primary)
        primary.statement_delays[texts[-1].split()[0]] = 0.2
        for text in texts[:-1]:
            await client.call(text.format(2))
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, change, proxy, group)
        # Grants would renew the lease or restore the topology.
        proxy._on_grant = lambda sender, grant: None
        answer = await client.call(texts[-1].format(2))
        assert answer[0] == f"ERROR INDOUBT {message}"

    run_system(tmp_path, scenario)
