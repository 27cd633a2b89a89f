"""A session reads its own write after its route was moved away and back."""

import asyncio
import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "common3"))

from system3 import (  # noqa: E402
    BROKEN,
    HELD,
    SERVICES,
    TROUBLE,
    CannotRun,
    Client,
    System,
    main,
)

KIND = "read_your_writes"
HERE, AWAY = SERVICES
READS = 12


async def play(system: System) -> int:
    session, other = Client(system, "c1"), Client(system, "c2")
    await session.open(system.edges[2])
    await other.open(system.edges[2])
    for number in range(8):
        # Positions of the primary that are known when the route comes back.
        if not await other.store(f"k{number}", "earlier"):
            raise CannotRun("no write")
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.1)
    if TROUBLE:
        for member in system.services[HERE].members.values():
            member.deaf = not member.primary and member.zone == "sousse-a"
            if member.deaf:
                system.record(f"replica {member.name} receives nothing from here on")
    if not await session.store("own", "mine", HERE):
        raise CannotRun("no write")
    await move(system, 8, AWAY)
    await until_moved(session, AWAY)
    await move(system, 9, HERE)
    await until_moved(other, HERE)
    broken = False
    for _ in range(READS):
        result = await session.call("FETCH own")
        log = system.services[HERE].reads.get(session.last_id)
        if result.startswith("COMPLETE") and log is not None and "own mine" not in log:
            system.record(f"STALE READ: {session.last_id} ran on a log without 'own'")
            broken = True
    return BROKEN if broken else HELD


async def move(system: System, version: int, service: str) -> None:
    if not await system.put_config(version, service, KIND):
        raise CannotRun("no acknowledgement")


async def until_moved(client: Client, service: str) -> None:
    """Writes with ``client`` until the route leads to ``service``."""
    for number in range(20):
        item = f"w{number}"
        if not await client.store(item, service, service):
            continue
        members = client.system.services[service].members.values()
        if any(f"{item} {service}" in e[2] for m in members for e in m.log):
            return
        await asyncio.sleep(0.05)
    raise CannotRun("the route did not move")


if __name__ == "__main__":
    main(3, play, services=2, kind=KIND)
