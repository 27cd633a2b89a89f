"""Tests that an unexpected exception ends neither a daemon nor its periodic work."""

import asyncio

import pytest
from system import Client, run_system
from test_whole_path import outcome

from bronzemoor_daemon.wire.control import ControlDaemon
from bronzemoor_daemon.wire.leader import Leader
from bronzemoor_daemon.wire.links import Links
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_daemon.wire.proxy import Proxy
from bronzemoor_daemon.wire.relayserver import RelayServer
from bronzemoor_daemon.wire.supervisor import Supervisor
from bronzemoor_daemon.wire.tasks import Tasks


class Injection:
    """Replaces a method by one that raises the first few times it is called."""

    def __init__(self, monkeypatch, owner, name: str, times: int) -> None:
        self._original = getattr(owner, name)
        self.remaining = times
        injection = self

        def failing(self, *arguments, **options):
            if injection.remaining > 0:
                injection.remaining -= 1
                raise RuntimeError("injected")
            return injection._original(self, *arguments, **options)

        monkeypatch.setattr(owner, name, failing)


@pytest.mark.parametrize(
    ("owner", "name", "event"),
    [
        (ControlDaemon, "_handle", "task_failed"),
        (ControlDaemon, "_on_proxy_report", "message_failed"),
        (Leader, "on_report", "message_failed"),
        (Proxy, "_send_report", None),
        (Proxy, "_on_grant", "message_failed"),
        (Proxy, "_track_lease", "task_failed"),
        (RelayServer, "trim", "task_failed"),
        (MemberPool, "_connect", "connect_failed"),
        (Links, "_write", None),
        (Supervisor, "_step", "supervisor_failed"),
    ],
)
def test_work_goes_on_after_an_unexpected_exception(
    tmp_path, monkeypatch, owner, name, event
):
    """Guards against a periodic task or a connection that one exception ends for good.

    A daemon whose task had ended stayed up and did nothing for the rest of the day.
    """

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders")
        injection = Injection(monkeypatch, owner, name, 2)
        if owner is MemberPool:
            for proxy in system.proxies:
                group = proxy.group("ledger")
                pool = group.pools[group.primary]
                while (connection := pool.take_idle(None)) is not None:
                    pool.release(connection, clean=False)
            await client.call("STORE k before")
        await system.until(lambda: injection.remaining == 0)
        await system.until_async(lambda: system.put(2))
        await system.until(
            lambda: all(p.deployment.version == 2 for p in system.proxies)
        )
        await system.until(lambda: all(p.is_ready for p in system.proxies))
        assert outcome(await client.call("STORE k v")) == "COMPLETE"
        client.close()
        failures = {e for e, fields in system.events if "injected" in str(fields)}
        assert failures and (event is None or event in failures)

    run_system(tmp_path, scenario)


def test_a_failed_task_is_logged_and_a_repeated_one_is_started_again():
    """Guards against an exception that nobody retrieves."""
    lines, runs = [], []

    async def fail() -> None:
        raise ValueError("injected")

    async def fail_twice() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("injected")

    async def main() -> None:
        tasks = Tasks(lambda level, event, **fields: lines.append((event, fields)))
        tasks.start(fail(), "once")
        tasks.repeat(fail_twice, "again")
        while len(runs) < 3:
            await asyncio.sleep(0.01)
        tasks.cancel()

    asyncio.run(main())
    assert [fields["task"] for _, fields in lines].count("once") == 1
    assert [fields["task"] for _, fields in lines].count("again") == 2
    assert all(
        event == "task_failed" and "test_tasks" in f["where"] for event, f in lines
    )
