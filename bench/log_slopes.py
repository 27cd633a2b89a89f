"""Slopes of the replicated log: entries, snapshots and restarts."""

import json
from functools import cache
from time import process_time

from bench.control_slopes import timed
from bench.fit import slope
from bench.scale import Machine, body_of, databases_of, organisation
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_core.journal import encode_command
from bronzemoor_core.messages import AppendEntries, LogEntry
from bronzemoor_core.records import to_snapshot
from bronzemoor_core.storage import MemoryStorage, Snapshot, decode_snapshot

# Changes come from as many organisations as have three databases each.
ORGANISATIONS = 1_433
CHANGES = (1_000, 2_000, 4_000, 8_000)


def change(number: int) -> dict[str, object]:
    """The ``number``-th change; organisations take turns."""
    version, place = divmod(number, ORGANISATIONS)
    return {
        "type": "template.apply", "organisation": organisation(place),
        "body": body_of(databases_of(place)), "expect_version": version,
        "change_id": f"change-{number:08}", "operator": "operator-1", "at": 1.0,
    }  # fmt: skip


def entry(index: int) -> LogEntry:
    return LogEntry(
        index, 1, encode_command(change(index - 1), f"control-1:0:{index}:1")
    )


def make_group(size: int) -> dict[str, Machine]:
    """An established group whose messages ``settle`` passes on."""
    names = tuple(f"control-{number}" for number in range(1, size + 1))
    group = {
        name: Machine(name, control=True, control_members=names, organisations=("x",))
        for name in names
    }
    for machine in group.values():
        machine.handle(machine.storage.recover())
    for _ in range(300):
        for machine in group.values():
            machine.tick()
        settle(group)
        if any(m.node.blackboard.log.established for m in group.values()):
            return group
    raise AssertionError("no leader")


def settle(group: dict[str, Machine], leader: Machine | None = None) -> float:
    """Passes on all messages; returns the processor seconds of ``leader``."""
    spent = 0.0
    while any(machine.sent for machine in group.values()):
        for machine in group.values():
            sent, machine.sent = machine.sent, []
            for item in sent:
                recipient = group[item.recipient]
                before = process_time()
                recipient.receive(machine.settings.name, item.message)
                if recipient is leader:
                    spent += process_time() - before
    return spent


@slope("leader.entry", "us", "voters", (1, 3, 5, 7))
def append_and_commit(size: int) -> float:
    """The leader's part of one change: append, send, commit and apply."""
    group = make_group(size)
    leader = next(m for m in group.values() if m.node.blackboard.log.established)
    times = []
    for start in range(0, 300, 50):
        spent = 0.0
        for number in range(start, start + 50):
            before = process_time()
            leader.handle(CommandProposed(change(number), ("bench", 0)))
            spent += process_time() - before
            spent += settle(group, leader)
        times.append(spent / 50 * 1e6)
    return min(times)


@slope("follower.append", "us", "entries in the message", (1, 8, 32, 128))
def take_entries(size: int) -> float:
    """A follower stores, acknowledges and applies one message of entries."""
    names = ("control-1", "control-2", "control-3")
    follower = Machine(names[1], control=True, control_members=names)
    follower.handle(follower.storage.recover())
    batches = [[entry(k * size + j + 1) for j in range(size)] for k in range(7)]
    messages = iter(
        AppendEntries(1, b[0].index - 1, int(b[0].index > 1), b, b[-1].index, k)
        for k, b in enumerate(batches)
    )
    return timed(lambda: follower.receive(names[0], next(messages)))


def changed(count: int) -> Machine:
    """A group of one that holds ``count`` changes as entries, without a snapshot."""
    storage = MemoryStorage(entries={k: entry(k) for k in range(1, count + 1)})
    machine = Machine(
        control=True, control_members=("control-1",), organisations=("x",)
    )
    machine.storage = storage
    machine.settings.timers.snapshot_entries = 10**9
    return machine


def restart(machine: Machine) -> None:
    """Until everything that was stored is applied."""
    machine.handle(machine.storage.recover())
    log = machine.node.blackboard.log
    last = machine.node._controllers["log"]._replica.journal.last_index
    for _ in range(200):
        machine.tick()
        if log.applied_index >= last and log.established:
            return
    raise AssertionError("not applied")


@slope("restart.entries", "ms", "entries without a snapshot", CHANGES)
def restart_from_entries(size: int) -> float:
    """Recovery, election and application; reading the disk is not included."""
    machine = changed(size)
    before = process_time()
    restart(machine)
    return (process_time() - before) * 1e3


@cache
def make_snapshot(count: int) -> bytes:
    machine = changed(count)
    restart(machine)
    data = json.loads(json.dumps(to_snapshot(machine.node.blackboard.state)))
    return Snapshot(count, 1, {}, {}, (), data).encode()


@slope("snapshot.size", "KB", "changes", CHANGES)
def snapshot_size(size: int) -> float:
    return len(make_snapshot(size)) / 1024


@slope("restart.snapshot", "ms", "changes in the snapshot", CHANGES)
def restart_from_snapshot(size: int) -> float:
    """Parsing and recovery of a snapshot; reading the disk is not included."""
    data = make_snapshot(size)

    def start() -> None:
        machine = Machine(control=True, control_members=("control-1",))
        machine.storage = MemoryStorage(snapshot=decode_snapshot(data))
        machine.handle(machine.storage.recover())

    return timed(start, runs=3) / 1e3
