"""A voter that stood still is replaced by a new machine and never votes again.

One machine of the core is lost at a time. Checks that the configuration that was
acknowledged last is read back once ``recovery_s`` has passed since the last loss.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bench2"))

from clients import get_config, make_config, put_config  # noqa: E402
from cluster import BOUNDS, ZONES, CannotRun, Cluster, Daemon, Record  # noqa: E402
from members import Group  # noqa: E402
from setup import play, write  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_SECONDS = 3.5
# A lost machine counts for ``catch_up_s`` after it is back.
CALM_SECONDS = BOUNDS["catch_up_s"] + BOUNDS["contact_ms"] / 1_000
DOWN_SECONDS = 1.0
READ_INTERVAL_SECONDS = 0.5
LAST_VERSION = 7


async def exit_of(daemon: Daemon) -> None:
    """Waits for the end of a stopped process, and kills it after ``grace_s``."""
    for _ in range(int(BOUNDS["grace_s"] * 10)):
        if not daemon.is_running:
            break
        await asyncio.sleep(0.1)
    daemon.kill()


async def read_back(controls: list[str], record: Record) -> int:
    """Reads for ``contact_ms`` at all control daemons; returns the newest version."""
    newest, until = 0, record.now + BOUNDS["contact_ms"] / 1_000
    while record.now < until:
        for control in controls:
            status, body = await get_config(control)
            version = body["version"] if body else 0
            record.write(f"operator reads at {control}: {status}, version {version}")
            newest = max(newest, version)
        await asyncio.sleep(READ_INTERVAL_SECONDS)
    return newest


async def count_served(cluster: Cluster, record: Record, text: str) -> int:
    served = 0
    for index, proxy in enumerate(cluster.proxies):
        answer = await write(proxy.front, "orders", f"{text}{index}")
        record.write(f"client writes {text}{index} at {proxy.name}: {answer}")
        served += answer.startswith("COMPLETE")
    return served


async def scenario(cluster: Cluster, group: Group, record: Record) -> bool:
    leader = cluster.leader()
    if leader is None:
        raise CannotRun("no control daemon leads")
    frozen, replaced = [core for core in cluster.cores if core is not leader]
    record.write(
        f"{leader.name} leads; {frozen.name} will stand still;"
        f" {replaced.name} will be replaced"
    )
    successor = cluster.add_core("core-new", 14, ZONES[0])
    successor.start()
    record.write(f"{successor.name} starts with an empty disk, to replace a machine")
    await asyncio.sleep(CALM_SECONDS)
    if TROUBLE:
        frozen.send(signal.SIGSTOP)
        record.write(f"{frozen.name} stands still")
        await asyncio.sleep(FREEZE_SECONDS)
        frozen.send(signal.SIGCONT)
        record.write(f"{frozen.name} goes on")
    await asyncio.sleep(CALM_SECONDS)
    replaced.send(signal.SIGTERM)
    await exit_of(replaced)
    record.write(f"{replaced.name} has left for good")
    await asyncio.sleep(CALM_SECONDS)
    remaining = [leader, frozen, successor]
    controls = [daemon.control for daemon in remaining]
    served = await count_served(cluster, record, "b")
    status = await put_config(controls, make_config(LAST_VERSION), record.write)
    if not 200 <= status < 300 or not served:
        raise CannotRun("the system does not work before the loss of a disk")
    leader.kill()
    leader.lose_disk()
    record.write(f"{leader.name} loses its disk")
    await asyncio.sleep(DOWN_SECONDS)
    leader.start()
    record.write(f"{leader.name} starts again")
    await asyncio.sleep(BOUNDS["recovery_s"])
    newest = await read_back(controls, record)
    await count_served(cluster, record, "a")
    record.write(f"acknowledged: version {LAST_VERSION}; read back: {newest}")
    return newest < LAST_VERSION


def main() -> int:
    record = Record(HERE / "record.txt")
    try:
        return asyncio.run(play(scenario, record))
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
