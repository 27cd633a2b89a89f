"""Tests of the data folder: recovery, damage, full disks and the lock."""

import os
from contextlib import suppress
from functools import wraps
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageRecovered, StorageSynced, Tick
from bronzemoor_core.exceptions import CorruptStorage, StorageError
from bronzemoor_core.journal import encode_command
from bronzemoor_core.messages import LogEntry
from bronzemoor_core.node import make_node
from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.storage import HardState, Snapshot
from bronzemoor_daemon import datafolder, segments
from bronzemoor_daemon.datafolder import DataFolder

STATE = HardState(3, "vm-1.x", "vm-1.x")


def entry(index, term=1, size=20):
    return LogEntry(index, term, f"{index}".encode().rjust(size))


def snapshot(index):
    return Snapshot(index, 1, {"vm-1": "vm-1.x"}, {}, ("a",), {"upto": index})


def make_filled_folder(path, count=10, **options):
    """Returns a folder with hard state and ``count`` separately written entries."""
    folder = DataFolder(path)
    folder.recover()
    folder.persist(PersistLog(1, STATE))
    for index in range(1, count + 1):
        folder.persist(PersistLog(index, None, [entry(index, **options)]))
    return folder


def reopen(folder):
    folder.close()
    folder = DataFolder(folder._path)
    recovered = folder.recover()
    return folder, recovered


def recovery_error(path):
    """Returns the error that the recovery of a folder raises."""
    folder = DataFolder(path)
    with pytest.raises(CorruptStorage) as caught:
        folder.recover()
    folder.close()
    return caught.value


def newest_segment(path):
    return max(path.glob("log-*.seg"))


def test_synced_data_is_recovered(tmp_path):
    """Guards against a restart that loses hard state, entries or a truncation."""
    folder = make_filled_folder(tmp_path)
    folder.persist(PersistLog(11, None, [entry(6, term=2), entry(7, term=2)], 6))
    folder.persist(PersistLog(12, None, [], 7))
    folder, recovered = reopen(folder)
    assert recovered.hard_state == STATE and recovered.snapshot is None
    assert recovered.entries == [*map(entry, range(1, 6)), entry(6, term=2)]
    folder.close()


def without_fsync(test):
    """Disables fsync in a test that damages the files itself."""

    @wraps(test)
    def run(*arguments, **options):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(os, "fsync", lambda descriptor: None)
            test(*arguments, **options)

    return run


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(cut=st.integers(1, 120), flip=st.booleans())
@without_fsync
def test_a_torn_tail_is_truncated_after_the_last_complete_record(
    tmp_path_factory, cut, flip
):
    """Guards against a failed start, or entries never written, after a power loss."""
    path = tmp_path_factory.mktemp("torn")
    folder = make_filled_folder(path, 5)
    before = newest_segment(path).stat().st_size
    folder.persist(PersistLog(6, None, [entry(6), entry(7), entry(8)]))
    data = bytearray(newest_segment(path).read_bytes())
    if flip:
        # Blocks of one batch may reach the disk in any order.
        data[before + cut % 35] ^= 0xFF
    else:
        data = data[: max(before, len(data) - cut)]
    newest_segment(path).write_bytes(data)
    folder, recovered = reopen(folder)
    indexes = [item.index for item in recovered.entries]
    assert indexes == list(range(1, len(indexes) + 1)) and 5 <= len(indexes) < 8
    folder.persist(PersistLog(7, None, [entry(len(indexes) + 1)]))
    folder, recovered_again = reopen(folder)
    assert len(recovered_again.entries) == len(indexes) + 1
    folder.close()


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(place=st.integers(0, 300), bit=st.integers(0, 7))
@without_fsync
def test_damage_before_the_tail_fails_recovery(tmp_path_factory, place, bit):
    """Guards against acknowledged entries that are dropped as a torn tail."""
    path = tmp_path_factory.mktemp("damage")
    folder = make_filled_folder(path, 20)
    folder.close()
    data = bytearray(newest_segment(path).read_bytes())
    data[place] ^= 1 << bit
    newest_segment(path).write_bytes(data)
    error = recovery_error(path)
    assert error.file == str(newest_segment(path))
    assert error.offset <= place < error.offset + 60


def test_a_missing_or_damaged_segment_fails_recovery(tmp_path, monkeypatch):
    """Guards against serving from a log with a gap."""
    monkeypatch.setattr(datafolder, "SEGMENT_BYTES", 200)
    folder = make_filled_folder(tmp_path, 20)
    folder.close()
    paths = sorted(tmp_path.glob("log-*.seg"))
    assert len(paths) > 3
    content = paths[1].read_bytes()
    for damaged in (content[:-1], b"x" + content[1:], None):
        paths[1].unlink()
        if damaged is not None:
            paths[1].write_bytes(damaged)
        assert recovery_error(tmp_path).file == str(paths[1])
        paths[1].write_bytes(content)


@pytest.mark.parametrize("name", ["hard-state", "log-*.seg"])
def test_a_missing_file_fails_recovery(tmp_path, name):
    """Guards against a second vote in a term by a member that lost its first one."""
    make_filled_folder(tmp_path).close()
    next(tmp_path.glob(name)).unlink()
    assert recovery_error(tmp_path)


def test_a_damaged_snapshot_falls_back_to_the_older_one(tmp_path, monkeypatch):
    """Guards against the loss of a member by one bad block in its newest snapshot."""
    monkeypatch.setattr(datafolder, "SEGMENT_BYTES", 200)
    folder = make_filled_folder(tmp_path, 30)
    for index in (5, 15, 25):
        folder.save(PersistSnapshot(30 + index, snapshot(index)))
    paths = sorted(tmp_path.glob("snapshot-*"))
    assert len(paths) == 2
    paths[-1].write_bytes(paths[-1].read_bytes()[:-1])
    folder, recovered = reopen(folder)
    assert recovered.snapshot == snapshot(15)
    assert recovered.entries[0].index <= 15 and recovered.entries[-1].index == 30
    assert recovered.entries[0].index > 1, "covered segments are not removed"
    paths[0].write_bytes(b"")
    folder.close()
    assert recovery_error(tmp_path)


def test_a_damaged_received_snapshot_fails_recovery(tmp_path):
    """Guards against recovering an earlier state than the member acknowledged."""
    folder = make_filled_folder(tmp_path, 10)
    folder.save(PersistSnapshot(11, snapshot(5)))
    folder.save(PersistSnapshot(12, snapshot(100)))
    folder.persist(PersistLog(13, None, [], 1))
    folder.persist(PersistLog(14, None, [entry(101)]))
    folder, recovered = reopen(folder)
    assert [item.index for item in recovered.entries] == [101]
    folder.close()
    path = max(tmp_path.glob("snapshot-*"))
    path.write_bytes(b"")
    assert recovery_error(tmp_path)


def test_nothing_is_written_after_a_failed_sync(tmp_path, monkeypatch):
    """Guards against a repeated fsync that reports lost pages as written."""
    folder = make_filled_folder(tmp_path, 3)
    failing = iter([OSError(28, "No space left on device")])

    def fsync(descriptor, real=os.fsync):
        for error in failing:
            raise error
        real(descriptor)

    monkeypatch.setattr(segments.os, "fsync", fsync)
    with pytest.raises(StorageError):
        folder.persist(PersistLog(4, None, [entry(4)]))
    with pytest.raises(StorageError):
        folder.persist(PersistLog(5, None, [entry(5)]))
    folder.close()


class Crash(Exception):
    """Raised by fsync to simulate a crash of the process."""


@pytest.mark.parametrize("calls", range(24))
def test_a_crash_at_any_sync_loses_no_acknowledged_data(tmp_path, calls):
    """Guards against files that are valid only after the following write."""
    remaining_syncs, real, acknowledged = [calls], os.fsync, [0, 0, 0]

    def fsync(descriptor):
        remaining_syncs[0] -= 1
        if remaining_syncs[0] < 0:
            raise Crash
        real(descriptor)

    with pytest.MonkeyPatch.context() as patch, suppress(Crash):
        patch.setattr(os, "fsync", fsync)
        patch.setattr(datafolder, "SEGMENT_BYTES", 150)
        folder = DataFolder(tmp_path)
        folder.recover()
        for number in range(1, 8):
            state = HardState(number, "", "vm-1.x")
            folder.persist(PersistLog(1, state, [entry(number)]))
            acknowledged[:2] = number, number
            if number in (3, 6):
                folder.save(PersistSnapshot(2, snapshot(number)))
                acknowledged[2] = number
    folder.close()
    folder = DataFolder(tmp_path)
    found = folder.recover()
    folder.close()
    indexes = [item.index for item in found.entries]
    assert (found.hard_state.term if found.hard_state else 0) >= acknowledged[0]
    assert (indexes[-1] if indexes else 0) >= acknowledged[1]
    assert (found.snapshot.index if found.snapshot else 0) >= acknowledged[2]


def test_several_actions_share_one_sync(tmp_path, monkeypatch):
    """Guards against one fsync for each record under load."""
    folder = make_filled_folder(tmp_path, 1)
    calls = []
    monkeypatch.setattr(segments.os, "fsync", calls.append)
    folder.persist_all([PersistLog(n, None, [entry(n)]) for n in range(2, 50)])
    assert len(calls) == 1
    folder.close()


def test_a_folder_is_locked_by_one_owner(tmp_path):
    """Guards against two processes that vote with one identity."""
    folder = make_filled_folder(tmp_path)
    with pytest.raises(StorageError):
        DataFolder(tmp_path)
    folder.close()
    DataFolder(tmp_path).close()


def test_append_of_one_entry(tmp_path, benchmark):
    """Guards against a slow write path; the sync takes most of the time."""
    folder = make_filled_folder(tmp_path, 1)
    numbers = iter(range(2, 1_000_000))

    def append():
        number = next(numbers)
        folder.persist(PersistLog(number, None, [entry(number, size=200)]))

    benchmark(append)
    folder.close()


def process_event(node, folder, event, now=0.0):
    """Handles an event and performs the storage actions until none is left."""
    pending = [event]
    while pending:
        for action in node.handle(now, pending.pop(0)):
            if isinstance(action, PersistLog):
                folder.persist(action)
                pending.append(StorageSynced(action.sequence))


def test_recovery_from_ten_thousand_commands(tmp_path, benchmark):
    """Guards against a restart that takes longer than a second."""
    options = NodeSettings("vm-1", "lisbon", control=True, control_members=("vm-1",))
    folder = DataFolder(tmp_path)
    folder.recover()
    node = make_node(options, Random(1))
    process_event(node, folder, StorageRecovered(None, []))
    body = {"databases": ["claims"], "classes": {"poll": {"kind": "read"}}}
    change = {"type": "template.apply", "organisation": "voo", "operator": "op"}
    entries = []
    for version in range(10_000):
        change |= {"expect_version": version, "change_id": f"c{version}", "at": 0.0}
        change["body"] = {**body, "connections": 1 + version}
        command = encode_command(change, f"vm-2:s:{version}:1")
        entries.append(LogEntry(version + 2, 1, command))
    folder.persist(PersistLog(10, None, entries))
    folder.close()

    def restart():
        folder = DataFolder(tmp_path)
        node = make_node(options, Random(1))
        process_event(node, folder, folder.recover())
        for tick in range(8):
            process_event(node, folder, Tick(), 0.01 * tick)
        assert node.blackboard.state.templates["voo"][-1].version == 10_000
        folder.close()

    benchmark.pedantic(restart, rounds=5)
