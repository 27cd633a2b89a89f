"""Tests of a control group whose disks are full for a while, one after another."""

import asyncio
from errno import ENOSPC
from pathlib import Path

import pytest
from system import Client, run_system
from test_whole_path import outcome

from bronzemoor_daemon import datafolder, segments
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.control import CONTROL_TIMERS

# A voter takes part again within this time of having room.
REJOIN_SECONDS = 2.0
# A change is acknowledged within this time while a majority of the disks has room.
CHANGE_SECONDS = 4.0


class Quota:
    """Fails writes to some folders after a part was written, as a full disk does."""

    def __init__(self, monkeypatch) -> None:
        self.full: set[str] = set()
        self.refused = 0
        self._write = segments.write_synced
        for module in (segments, datafolder):
            monkeypatch.setattr(module, "write_synced", self.write)

    def write(self, file, data) -> None:
        if Path(file.name).parent.name in self.full:
            self.refused += 1
            file.write(memoryview(data)[: len(data) // 2])
            raise OSError(ENOSPC, "No space left on device", file.name)
        self._write(file, data)


@pytest.fixture
def quota(monkeypatch):
    return Quota(monkeypatch)


async def change(system, version: int) -> None:
    """Sends a change to the daemons in turn until one acknowledges it, and reads it."""
    deadline = boottime() + CHANGE_SECONDS
    attempt = version
    while boottime() < deadline:
        control = system.controls[attempt % len(system.controls)]
        if await system.put(version, control=control):
            document = await control.get_deployment()
            assert document is None or f'"version": {version}' in document
            return
        attempt += 1
        await asyncio.sleep(0.05)
    raise AssertionError(f"version {version} was not acknowledged in time")


def is_voting(control) -> bool:
    replica = control._node._controllers["log"]._replica
    return replica.can_vote and replica.hard_state_synced


def leader_of(system):
    return next((c for c in system.controls if c.log.established), None)


@pytest.mark.parametrize("fills_leader", [True, False])
def test_disks_that_are_full_in_turn_leave_a_whole_group(tmp_path, quota, fills_leader):
    """Guards against voters that stay away once their disk has been full.

    Each disk was full for three seconds, never two at once. The first daemon never
    wrote again; when the second disk was full, no majority was left, and changes were
    unanswered to the end of the day while all processes ran.
    """

    async def scenario(system):
        version = 1
        for turn in range(4):
            await system.until(lambda: leader_of(system) is not None)
            leader = leader_of(system)
            others = [c for c in system.controls if c is not leader]
            victim = leader if fills_leader else others[turn % 2]
            quota.full = {victim._settings.name}
            refused = quota.refused
            for _ in range(3):
                version += 1
                await change(system, version)
                await asyncio.sleep(0.2)
            await system.until(lambda: quota.refused > refused)  # noqa: B023
            assert not is_voting(victim)
            quota.full = set()
            await system.until(lambda: is_voting(victim), REJOIN_SECONDS)  # noqa: B023
        version += 1
        await change(system, version)
        await system.until(
            lambda: all(c.records.version == version for c in system.controls)
        )
        client = await Client.open(system.client_addresses[0], "orders")
        assert outcome(await client.call("STORE k v")) == "COMPLETE"

    run_system(tmp_path, scenario)


def test_a_disk_that_is_full_while_a_snapshot_is_written(tmp_path, quota, monkeypatch):
    """Guards against a snapshot cut short that replaces the log that it covers."""

    monkeypatch.setattr(CONTROL_TIMERS, "snapshot_entries", 1)

    async def scenario(system):
        control = system.controls[0]
        quota.full = {control._settings.name}
        for version in range(2, 5):
            await change(system, version)
        quota.full = set()
        await system.until(lambda: is_voting(control), REJOIN_SECONDS)
        await change(system, 5)
        await system.until(lambda: control.records.version == 5)

    run_system(tmp_path, scenario)
