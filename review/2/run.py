"""A proxy is stopped as planned while its members are busy."""

import asyncio
import random
import signal
import sys
from contextlib import closing, suppress
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import Client, ClientClosed  # noqa: E402
from system import System, run_case  # noqa: E402

SERVICE = "ledger"
# The proxy gets three connections to each member; one is for the control leader.
MAX_CONNS = 4
SLOTS, WORK_SECONDS = 8, 0.03
# Times are in seconds after the SIGTERM. Others take all slots of the primary:
BUSY_FROM, BUSY_TO = 2.85, 3.55
# A session commits while the primary is busy, and two pause in a transaction then. They
# use all connections. Times of their writes and of COMMIT:
COMMITTER_TIMES = (1.5, 2.0, 2.5, 2.9)
HOLDER_TIMES = (1.5, 2.15, 2.75, 3.9)
# Sessions that pause after BEGIN, and write when all connections are in use.
OTHERS, OTHERS_FROM = 20, (2.0, 2.35)
OTHERS_PAUSE = (1.0, 1.2)
OTHERS_WRITES, OTHERS_WRITE_PAUSE = 3, 0.3
# The proxy is stopped and started again in each round.
ROUNDS = 3
SECONDS_BEFORE, GRACE_SECONDS = 6.0, 6.0


async def hold_connection(
    system: System, name: str, stop_at: float, times: tuple[float, ...]
) -> None:
    """A session with a transaction that writes at all of the times but the last."""
    client = Client(name, system.recorder.write)
    with closing(client), suppress(ClientClosed):
        await client.open(system.front(0), f"primary-{SERVICE}")
        for count, after in enumerate(times):
            await asyncio.sleep(stop_at + after - system.recorder.now)
            if not count:
                await client.call("BEGIN")
            text = "COMMIT" if after == times[-1] else f"STORE item{count} data"
            _, lines = await client.call(text)
            if any(line.startswith("ERROR") for line in lines):
                if text != "COMMIT":
                    await client.call("ROLLBACK")
                return


async def write_while_stopping(
    system: System, name: str, number: int, start: float
) -> None:
    """A session that begins before idle sessions are closed, and pauses first."""
    chance = random.Random(number)
    client = Client(name, system.recorder.write)
    with closing(client), suppress(ClientClosed):
        await client.open(system.front(0), f"primary-{SERVICE}")
        await asyncio.sleep(start - system.recorder.now)
        await client.call("BEGIN")
        await asyncio.sleep(chance.uniform(*OTHERS_PAUSE))
        for count in range(OTHERS_WRITES):
            _, lines = await client.call(f"STORE item{count} data")
            if any(line.startswith("ERROR") for line in lines):
                await client.call("ROLLBACK")
                return
            await asyncio.sleep(OTHERS_WRITE_PAUSE)
        await client.call("COMMIT")


async def scenario(system: System, with_trouble: bool) -> list[str]:
    for member in system.groups[SERVICE].members.values():
        member.slots, member.work_seconds = SLOTS, WORK_SECONDS
    for part in range(ROUNDS):
        await play_round(system, part, with_trouble)
    return unasked_commits(system)


async def play_round(system: System, part: int, with_trouble: bool) -> None:
    stop_at = system.recorder.now + SECONDS_BEFORE
    for name, times in (
        (f"a{part}", COMMITTER_TIMES),
        (f"h{part}.0", HOLDER_TIMES),
        (f"h{part}.1", HOLDER_TIMES),
    ):
        system.spawn(hold_connection(system, name, stop_at, times))
    for number in range(OTHERS):
        first, last = OTHERS_FROM
        start = stop_at + first + (last - first) * number / OTHERS
        name = f"b{part}.{number}"
        system.spawn(write_while_stopping(system, name, number, start))
    await asyncio.sleep(stop_at - system.recorder.now)
    edge = system.edges[0]
    system.recorder.write("sigterm", node=edge.name, sent=with_trouble)
    if with_trouble:
        edge.send(signal.SIGTERM)
    await occupy_slots(system, stop_at)
    await asyncio.sleep(stop_at + GRACE_SECONDS + 1 - system.recorder.now)
    if with_trouble:
        edge.end()
        edge.start(first_start=False)
    await system.wait_ready()


async def occupy_slots(system: System, stop_at: float) -> None:
    """Lets the primary answer BUSY for less than the route's timeout."""
    primary = system.groups[SERVICE].newest_primary()
    assert primary is not None
    await asyncio.sleep(stop_at + BUSY_FROM - system.recorder.now)
    system.recorder.write("slots_taken", member=primary.name)
    primary.slots = 0
    await asyncio.sleep(stop_at + BUSY_TO - system.recorder.now)
    primary.slots = SLOTS
    system.recorder.write("slots_free", member=primary.name)


def unasked_commits(system: System) -> list[str]:
    """Returns the transactions that were committed though no client asked for it."""
    committed: dict[str, str] = {}
    for member in system.groups[SERVICE].members.values():
        for _, number, writes in member.log:
            for query_id in writes:
                committed[query_id] = f"{member.name} as number {number}"
    asked: set[str] = set()
    promises: dict[str, str] = {}
    for writes, end, lines in client_transactions(system.recorder.events):
        if end == "COMMIT":
            asked.update(writes)
        promise = next((x for x in lines if x.startswith("ERROR ABORTED")), "")
        promises |= dict.fromkeys(writes, promise)
    broken = []
    for query_id, where in sorted(committed.items()):
        if query_id not in asked:
            promise = promises.get(query_id, "")
            told = f"; REFUSED: the client was told {promise}" if promise else ""
            broken.append(
                f"UNASKED: {query_id} was committed at {where}, and its client had not"
                f" sent COMMIT{told}"
            )
    return broken


def client_transactions(
    events: list[dict[str, Any]],
) -> list[tuple[list[str], str, list[str]]]:
    """Returns the writes of each transaction, how it ended and its last answer."""
    open_writes: dict[str, list[str]] = {}
    answers: dict[str, list[str]] = {}
    ended = []
    for event in events:
        session = event.get("id", "").split("-")[0]
        if event["event"] == "sent":
            word = event["text"].split(" ")[0]
            if word == "BEGIN":
                if open_writes.get(session):
                    ended.append((open_writes[session], "", answers.get(session, [])))
                open_writes[session] = []
                answers[session] = []
            elif word == "STORE":
                open_writes[session].append(event["id"])
            else:
                ended.append((open_writes.pop(session, []), word, answers[session]))
        elif event["event"] == "answered":
            answers.setdefault(session, []).extend(event["lines"])
    ended += [(writes, "", answers.get(s, [])) for s, writes in open_writes.items()]
    return ended


if __name__ == "__main__":
    run_case(
        Path(__file__).resolve().parent, ["north-a"], [SERVICE], scenario, MAX_CONNS
    )
