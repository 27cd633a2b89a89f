"""Slopes of the replicated log's costs: entries, snapshots and restarts."""

import json
from functools import cache
from time import process_time

from bench.control_slopes import fastest_call_microseconds
from bench.fit import slope
from bench.scale import NodeHarness, database_names, organisation_name, template_body
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_core.journal import encode_command
from bronzemoor_core.messages import AppendEntries, LogEntry
from bronzemoor_core.records import to_snapshot
from bronzemoor_core.storage import MemoryStorage, Snapshot, decode_snapshot

# Organisations that make changes in turn: 4,300 databases, three in each.
ORGANISATIONS = 1_433
CHANGES = (1_000, 2_000, 4_000, 8_000)


def template_change(number: int) -> dict[str, object]:
    """Returns change ``number``; organisations take turns."""
    version, index = divmod(number, ORGANISATIONS)
    return {
        "type": "template.apply", "organisation": organisation_name(index),
        "body": template_body(database_names(index)), "expect_version": version,
        "change_id": f"change-{number:08}", "operator": "operator-1", "at": 1.0,
    }  # fmt: skip


def log_entry(index: int) -> LogEntry:
    return LogEntry(
        index, 1, encode_command(template_change(index - 1), f"control-1:0:{index}:1")
    )


def make_group(size: int) -> dict[str, NodeHarness]:
    """Returns a control group of ``size`` members with an established leader."""
    names = tuple(f"control-{number}" for number in range(1, size + 1))
    group = {
        name: NodeHarness(
            name, control=True, control_members=names, organisations=("x",)
        )
        for name in names
    }
    for harness in group.values():
        harness.handle(harness.storage.recover())
    for _ in range(300):
        for harness in group.values():
            harness.tick()
        deliver_messages(group)
        if any(m.node.blackboard.log.established for m in group.values()):
            return group
    raise AssertionError("no leader was elected")


def deliver_messages(
    group: dict[str, NodeHarness], leader: NodeHarness | None = None
) -> float:
    """Delivers all messages; returns the processor seconds used by ``leader``."""
    spent = 0.0
    while any(harness.sent for harness in group.values()):
        for harness in group.values():
            sent, harness.sent = harness.sent, []
            for item in sent:
                recipient = group[item.recipient]
                before = process_time()
                recipient.receive(harness.settings.name, item.message)
                if recipient is leader:
                    spent += process_time() - before
    return spent


@slope("leader.entry", "us", "voters", (1, 3, 5, 7))
def append_and_commit(size: int) -> float:
    """The leader's cost of one change: append, send, commit and apply."""
    group = make_group(size)
    leader = next(m for m in group.values() if m.node.blackboard.log.established)
    times = []
    for start in range(0, 300, 50):
        spent = 0.0
        for number in range(start, start + 50):
            before = process_time()
            leader.handle(CommandProposed(template_change(number), ("bench", 0)))
            spent += process_time() - before
            spent += deliver_messages(group, leader)
        times.append(spent / 50 * 1e6)
    return min(times)


@slope("follower.append", "us", "entries in the message", (1, 8, 32, 128))
def follower_append(size: int) -> float:
    """Cost of storing, acknowledging and applying one message of entries."""
    names = ("control-1", "control-2", "control-3")
    follower = NodeHarness(names[1], control=True, control_members=names)
    follower.handle(follower.storage.recover())
    batches = [[log_entry(k * size + j + 1) for j in range(size)] for k in range(7)]
    messages = iter(
        AppendEntries(
            1, batch[0].index - 1, int(batch[0].index > 1), batch, batch[-1].index, k
        )
        for k, batch in enumerate(batches)
    )
    return fastest_call_microseconds(lambda: follower.receive(names[0], next(messages)))


def make_changed_member(count: int) -> NodeHarness:
    """Returns a group of one with ``count`` changes as entries and no snapshot."""
    storage = MemoryStorage(entries={k: log_entry(k) for k in range(1, count + 1)})
    harness = NodeHarness(
        control=True, control_members=("control-1",), organisations=("x",)
    )
    harness.storage = storage
    harness.settings.timers.snapshot_entries = 10**9
    return harness


def restart(harness: NodeHarness) -> None:
    """Recovers from storage and ticks until all stored entries are applied."""
    harness.handle(harness.storage.recover())
    log = harness.node.blackboard.log
    last = harness.node._controllers["log"]._replica.journal.last_index
    for _ in range(200):
        harness.tick()
        if log.applied_index >= last and log.established:
            return
    raise AssertionError("stored entries were not applied")


@slope("restart.entries", "ms", "entries without a snapshot", CHANGES)
def restart_from_entries(size: int) -> float:
    """Recovery, election and application, without reading the disk."""
    harness = make_changed_member(size)
    before = process_time()
    restart(harness)
    return (process_time() - before) * 1e3


@cache
def make_snapshot(count: int) -> bytes:
    harness = make_changed_member(count)
    restart(harness)
    data = json.loads(json.dumps(to_snapshot(harness.node.blackboard.state)))
    return Snapshot(count, 1, {}, {}, (), data).encode()


@slope("snapshot.size", "KB", "changes", CHANGES)
def snapshot_size(size: int) -> float:
    return len(make_snapshot(size)) / 1024


@slope("restart.snapshot", "ms", "changes in the snapshot", CHANGES)
def restart_from_snapshot(size: int) -> float:
    """Parsing and recovery of a snapshot, without reading the disk."""
    data = make_snapshot(size)

    def recover() -> None:
        harness = NodeHarness(control=True, control_members=("control-1",))
        harness.storage = MemoryStorage(snapshot=decode_snapshot(data))
        harness.handle(harness.storage.recover())

    return fastest_call_microseconds(recover, runs=3) / 1e3
