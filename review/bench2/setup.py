"""Brings up a small deployment whose group has three members."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

from clients import Session, make_config, put_config
from cluster import ZONES, CannotRun, Cluster, Record
from members import Group, Member
from web import Platform, call

SERVICE = "stock"
MEMBER_PORT = 8080
START_TIMEOUT_SECONDS = 25.0

Scenario = Callable[[Cluster, Group, Record], Awaitable[bool]]


def add_member(
    cluster: Cluster, group: Group, number: int, primary: bool = False
) -> Member:
    """Adds a member that has not started yet."""
    member = Member(
        group,
        f"i-{number}",
        f"{cluster.network}.{51 + number}:{MEMBER_PORT}",
        ZONES[number % len(ZONES)],
        1_700_000_000_000 + number,
    )
    member.primary = primary
    group.members[member.name] = member
    return member


async def are_ready(cluster: Cluster) -> bool:
    answers = [
        await call(proxy.readiness, "GET", "/bronzemoor/ready")
        for proxy in cluster.proxies
    ]
    return all(status == 200 for status, _ in answers)


async def write(front: str, database: str, query_id: str) -> str:
    """Runs a write in a session of its own; returns the end of the answer."""
    try:
        session = await Session.open(front, database)
    except (OSError, TimeoutError) as error:
        return f"no session: {error!r}"
    try:
        lines = await session.call(query_id, "STORE a1 data")
        return lines[-2]
    except (OSError, TimeoutError) as error:
        return f"no answer: {error!r}"
    finally:
        session.close()


async def play(scenario: Scenario, record: Record, proxies: int = 3) -> int:
    """Runs a scenario on a deployment that serves; returns the exit code."""
    # A script that is terminated ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    group = Group(SERVICE, record.write)
    platform = Platform(
        lambda _, member, holder, fence: group.promote(member, holder, fence)
    )
    try:
        with Cluster(proxies) as cluster:
            await platform.start(cluster.platform)
            for number in range(3):
                member = add_member(cluster, group, number, primary=number == 0)
                await member.start(cluster.controls)
            cluster.start()
            status = await put_config(
                cluster.controls, make_config(1), record.write, START_TIMEOUT_SECONDS
            )
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                while not await are_ready(cluster):
                    await asyncio.sleep(0.2)
            record.write(f"all proxies are ready; configuration 1: {status}")
            broken = await scenario(cluster, group, record)
            return 1 if broken else 0
    except (CannotRun, OSError, TimeoutError) as error:
        record.write(f"the case cannot run: {error!r}")
        return 2
    finally:
        platform.stop()
        for member in group.members.values():
            member.stop()
