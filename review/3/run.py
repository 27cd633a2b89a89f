"""A primary is cut off from its replicas while clients are inside transactions."""

import asyncio
import sys
import time
from contextlib import closing
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import Client, ClientClosed  # noqa: E402
from system import System, run_case  # noqa: E402

SERVICE = "ledger"
# The cut ends as another member is promoted, after this time at the latest.
MAX_CUT_SECONDS = 5.0
ROUNDS = 4
# Before each round; a machine is in touch after 5 s without a disruption.
SECONDS_BEFORE = 6.0
# When the clients begin their transactions, after the start of the cut.
BEGIN_AFTER_SECONDS = 0.6
# A transaction has 12 statements at most.
STATEMENTS, PAUSE_SECONDS = 11, 0.4
# How long the clients go on reading after their transactions.
READ_SECONDS, READ_PAUSE_SECONDS = 6.0, 0.02
READERS, READER_PAUSE_SECONDS = 6, 0.05
WRITE_PAUSE_SECONDS = 0.08


async def write_forever(system: System, number: int) -> None:
    """A session that writes, and connects again when it is closed."""
    count = 0
    while True:
        client = Client(f"w{number}", system.recorder.write)
        with closing(client):
            try:
                if await client.open(system.front(number), f"primary-{SERVICE}"):
                    while True:
                        count += 1
                        await client.call(f"STORE item{count} data")
                        await asyncio.sleep(WRITE_PAUSE_SECONDS)
            except ClientClosed:
                pass
        await asyncio.sleep(0.2)


async def read_forever(system: System, number: int) -> None:
    """A session that reads single items."""
    client = Client(f"r{number}", system.recorder.write)
    with closing(client):
        await open_session(client, system)
        while True:
            await client.call("FETCH item")
            await asyncio.sleep(READER_PAUSE_SECONDS)


async def run_prepared(system: System, part: int, number: int) -> None:
    """Prepares reads, uses them in a transaction with pauses, and then in short ones.

    The statement that failed is used again in the short transactions.
    """
    client = Client(f"p{part}.{number}", system.recorder.write)
    with closing(client):
        await open_session(client, system)
        names = [f"s{count}" for count in range(STATEMENTS)]
        for count, name in enumerate(names):
            await client.call(f"PREPARE {name} FETCH q{part}x{number}x{count}")
        await asyncio.sleep(SECONDS_BEFORE + BEGIN_AFTER_SECONDS)
        texts = [f"EXECUTE {name} item" for name in names]
        used = await run_reads(client, "BEGIN", texts, PAUSE_SECONDS)
        await read_on(client, ["FETCH item", texts[used - 1]])


async def run_values(system: System, part: int, number: int) -> None:
    """Sets a session value again and again in a transaction, and reads on after it."""
    client = Client(f"v{part}.{number}", system.recorder.write)
    with closing(client):
        await open_session(client, system)
        await client.call("SET page 0")
        await asyncio.sleep(SECONDS_BEFORE + BEGIN_AFTER_SECONDS)
        texts = []
        for count in range(1, STATEMENTS // 2 + 1):
            texts += [f"SET page {number}{count}", "FETCH item"]
        await run_reads(client, "BEGIN", texts, PAUSE_SECONDS)
        await read_on(client, ["FETCH item"])


async def open_session(client: Client, system: System) -> None:
    if not await client.open(system.front(0), f"read_your_writes-{SERVICE}"):
        raise OSError("a client could not connect")


async def read_on(client: Client, texts: list[str]) -> None:
    deadline = time.monotonic() + READ_SECONDS
    while time.monotonic() < deadline:
        await run_reads(client, "BEGIN FETCH", texts, 0.0)
        await asyncio.sleep(READ_PAUSE_SECONDS)


async def run_reads(client: Client, begin: str, texts: list[str], pause: float) -> int:
    """Runs a transaction; returns the number of statements up to an error."""
    await client.call(begin)
    for number, text in enumerate(texts, 1):
        _, lines = await client.call(text)
        if any(line.startswith("ERROR") for line in lines):
            await client.call("ROLLBACK")
            return number
        await asyncio.sleep(pause)
    await client.call("COMMIT")
    return len(texts)


async def cut_primary(system: System) -> None:
    """Cuts the primary off from its replicas until another one is promoted."""
    await asyncio.sleep(SECONDS_BEFORE)
    group = system.groups[SERVICE]
    primary = group.newest_primary()
    assert primary is not None
    primary.is_cut = True
    system.recorder.write("primary_cut", member=primary.name, how="replicas heals")
    for _ in range(int(MAX_CUT_SECONDS / 0.01)):
        if group.newest_primary() is not primary:
            break
        await asyncio.sleep(0.01)
    primary.is_cut = False
    system.recorder.write("cut_healed", member=primary.name)


async def scenario(system: System, with_trouble: bool) -> list[str]:
    for number in range(2):
        system.spawn(write_forever(system, number))
    for number in range(READERS):
        system.spawn(read_forever(system, number))
    for part in range(ROUNDS):
        runs = [
            run(system, part, number)
            for number in range(3)
            for run in (run_prepared, run_values)
        ]
        if with_trouble:
            runs.append(cut_primary(system))
        await asyncio.gather(*runs)
    return check(system.recorder.events)


def check(events: list[dict[str, Any]]) -> list[str]:
    """Returns where prepared names or values differ from what was acknowledged.

    The clients deallocate no name, and a session sends one statement at a time.
    """
    prepared: set[tuple[str, str]] = set()
    values: dict[str, dict[str, str]] = {}
    texts: dict[str, str] = {}
    broken = []
    for event in events:
        name = event.get("id", "").split("-")[0]
        if event["event"] == "sent":
            texts[event["id"]] = event["text"]
        elif event["event"] == "answered":
            word, *rest = texts[event["id"]].split(" ")
            error = next((x for x in event["lines"] if x.startswith("ERROR")), "")
            if word == "PREPARE" and not error:
                prepared.add((name, rest[0]))
            if word == "SET" and not error:
                values.setdefault(name, {})[rest[0]] = rest[1]
            unknown = word == "EXECUTE" and "NOPREPARED" in error
            if unknown and (name, rest[0]) in prepared:
                broken.append(
                    f"PINNED: {event['at']} s: {event['id']} ({texts[event['id']]})"
                    f" got {error}, though PREPARE {rest[0]} was acknowledged"
                )
        elif event["event"] == "ran" and event["values"] != values.get(name, {}):
            broken.append(
                f"PINNED: {event['at']} s: {event['id']} ran at {event['member']} with"
                f" {event['values']}, acknowledged were {values.get(name, {})}"
            )
    return broken


if __name__ == "__main__":
    run_case(
        Path(__file__).resolve().parent, ["north-a", "north-a"], [SERVICE], scenario
    )
