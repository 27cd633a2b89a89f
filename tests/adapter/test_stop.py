"""Tests of a planned stop of a proxy under load."""

import asyncio
from contextlib import suppress
from itertools import count

import pytest
from system import Client, run_system
from test_whole_path import outcome

SESSIONS = 12
GRACE_SECONDS = 1.5


async def write_until_closed(address, numbers, acknowledged, texts) -> None:
    """Writes without pauses, as single statements or transactions of ``texts``."""
    client = await Client.open(address, "orders")
    with suppress(ConnectionError):
        while True:
            value = f"v{next(numbers)}"
            for text in texts:
                answer = await client.call(text.format(value))
                if outcome(answer) != "COMPLETE":
                    break
            else:
                acknowledged.add(value)


@pytest.mark.parametrize("texts", [("STORE a {}",), ("BEGIN", "STORE a {}", "COMMIT")])
@pytest.mark.parametrize("delay", [0.0, 0.05])
def test_a_stop_answers_all_that_it_ran(tmp_path, texts, delay):
    """Guards against requests that were accepted and cut off without an answer.

    Members may be slow, and clients go on until their connection is closed.
    """

    async def scenario(system):
        proxy, address = system.proxies[0], system.client_addresses[0]
        proxy._settings.stop_grace = GRACE_SECONDS
        for member in system.group.members.values():
            member.statement_delays["STORE"] = delay
        numbers, acknowledged = count(), set()
        writers = [
            asyncio.create_task(
                write_until_closed(address, numbers, acknowledged, texts)
            )
            for _ in range(SESSIONS)
        ]
        await system.until(lambda: len(acknowledged) >= SESSIONS)
        await proxy.stop()
        assert not proxy.sessions
        await asyncio.gather(*writers)
        primary = next(m for m in system.group.members.values() if m.primary)
        stored = {value for entry in primary.log for _, value in entry}
        assert stored == acknowledged

    run_system(tmp_path, scenario)
