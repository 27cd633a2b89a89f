"""A relief of the primary while a replica that was removed still acknowledges."""

import asyncio
import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "common3"))

from members3 import Member  # noqa: E402
from system3 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    Client,
    System,
    main,
)

# The replica is down, and then cut off from the control daemons, for this long.
DOWN_SECONDS = 7.0
CUT_SECONDS = 5.5
# What a replica needs to receive the log of the primary after its start.
CATCH_UP_SECONDS = 0.1
# Sessions that write, and those beside them in the burst; each writes once in a period.
USUAL, MORE = 36, 25
PERIOD_SECONDS = 0.3
WORK_SECONDS = 0.018
BURST_AFTER_SECONDS = 10.2
DEAF_BEFORE_SECONDS = 0.7
# The usual sessions begin so long before the burst.
USUAL_BEFORE_SECONDS = 0.8
BURST_SECONDS = 3.0


async def play(system: System) -> int:
    service, loop = system.service, asyncio.get_running_loop()
    _, away, behind = service.members.values()
    clients = [Client(system, f"c{number:02}") for number in range(USUAL + MORE)]
    for number, client in enumerate(clients):
        await client.open(system.edges[number % 2])
    if not await clients[0].store("k0", "earlier"):
        raise CannotRun("no write")
    for member in service.members.values():
        member.work_seconds = WORK_SECONDS
    # The leases of the time before the first control leader have ended.
    await asyncio.sleep(3.0)
    begun = loop.time()
    burst = begun + BURST_AFTER_SECONDS
    usual, end = burst - USUAL_BEFORE_SECONDS, burst + BURST_SECONDS
    writers = [
        system.run(write(client, usual if number < USUAL else burst, end))
        for number, client in enumerate(clients)
        if number < USUAL or TROUBLE
    ]
    if TROUBLE:
        await away.crash()
        await asyncio.sleep(DOWN_SECONDS)
        away.cut = True
        system.record(f"control daemons cannot reach {away.name} from here on")
        loop.call_later(CUT_SECONDS, end_cut, system, away)
        await away.come_back()
        await asyncio.sleep(CATCH_UP_SECONDS)
    await asyncio.sleep(max(0.0, burst - DEAF_BEFORE_SECONDS - loop.time()))
    if TROUBLE:
        system.record(f"replica {behind.name} receives nothing from here on")
        behind.deaf = True
    await asyncio.gather(*writers)
    system.record(f"{len(service.acknowledged)} writes acknowledged")
    await asyncio.sleep(2.0)
    return BROKEN if service.lost else HELD


async def write(client: Client, begun: float, end: float) -> None:
    """Writes an item in each period; one that takes longer delays the next."""
    number, loop = 0, asyncio.get_running_loop()
    offset = PERIOD_SECONDS * (int(client.name[1:]) % 12) / 12
    await asyncio.sleep(begun + offset - loop.time())
    while loop.time() < end:
        number += 1
        due = loop.time() + PERIOD_SECONDS
        await client.store(f"{client.name}-{number}", "accepted")
        await asyncio.sleep(max(0.0, due - loop.time()))


def end_cut(system: System, member: Member) -> None:
    member.cut = False
    system.record(f"control daemons can reach {member.name} again")


if __name__ == "__main__":
    main(2, play)
