"""A commit that a killed proxy acknowledged, after the control leader was killed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "common3"))

from members3 import Member  # noqa: E402
from system3 import BROKEN, HELD, TROUBLE, Client, System, main  # noqa: E402

# When the replica that has the write crashes after the kills, and for how long.
CRASH_AFTER_SECONDS = 2.4
DOWN_SECONDS = 7.0
# The processes that are killed start again so soon.
RESTART_SECONDS = 0.3
WATCH_SECONDS = 25.0


async def play(system: System) -> int:
    service = system.service
    primary, holder, behind = service.members.values()
    left, right = Client(system, "c1"), Client(system, "c2")
    await left.open(system.edges[0])
    await right.open(system.edges[1])
    if not await right.store("k1", "both") or not await left.store("k2", "both"):
        return 2
    await asyncio.sleep(3.0)
    if TROUBLE:
        system.record(f"replica {behind.name} receives nothing from here on")
        behind.deaf = True
    if not await left.store("k3", "accepted"):
        return 2
    await asyncio.sleep(0.1)
    killed = [system.edges[0], *system.controls] if TROUBLE else []
    for machine in killed:
        await machine.kill()
    crashed_at = time.monotonic()
    if TROUBLE:
        system.record(f"primary {primary.name} is lost for good")
        await primary.crash()
        system.run(crash_for_a_while(holder))
    await asyncio.sleep(RESTART_SECONDS)
    for machine in killed:
        await machine.restart()
    behind.deaf = False
    while time.monotonic() < crashed_at + WATCH_SECONDS and not service.lost:
        await asyncio.sleep(0.5)
        client = Client(system, f"d{int(time.monotonic() * 10) % 10_000}")
        try:
            await client.open(system.edges[1])
            await client.call("FETCH k3")
        except (OSError, TimeoutError, RuntimeError):
            pass
        if not TROUBLE and time.monotonic() > crashed_at + 5.0:
            break
    return BROKEN if service.lost else HELD


async def crash_for_a_while(member: Member) -> None:
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    await member.crash()
    await asyncio.sleep(DOWN_SECONDS)
    await member.come_back()


if __name__ == "__main__":
    main(2, play)
