"""Tests of the storage thread: writes run in order and report their syncs."""

import time
from threading import Event, Timer

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageRecovered, StorageSynced
from bronzemoor_core.exceptions import CorruptStorage, StorageError
from bronzemoor_daemon.storagethread import StorageThread


class FakeStorage:
    """Storage that records its calls and fails at one sequence number."""

    def __init__(self, failing_sequence=0):
        self.calls, self.failing_sequence = [], failing_sequence
        self.sync_released, self.closed = Event(), False
        self.sync_released.set()

    def recover(self):
        return StorageRecovered(None, [])

    def persist_all(self, actions):
        sequences = [action.sequence for action in actions]
        if self.failing_sequence in sequences:
            raise StorageError("disk full")
        self.calls.append(sequences)
        self.sync_released.wait(2)

    def save(self, action):
        self.calls.append([action.sequence])

    def close(self):
        self.closed = True


def run_storage_thread(storage, actions):
    events = []
    thread = StorageThread(lambda: storage, events.append)
    thread.start()
    for action in actions:
        thread.put(action)
    thread.stop()
    return events


def test_writes_are_reported_in_order_after_the_recovery():
    """Guards against acknowledging an entry that is not yet on disk."""
    storage = FakeStorage()
    events = run_storage_thread(
        storage, [PersistLog(1), PersistSnapshot(2, None), PersistLog(3)]
    )
    assert type(events[0]) is StorageRecovered
    assert events[1:] == [StorageSynced(1), StorageSynced(2), StorageSynced(3)]
    assert storage.calls == [[1], [2], [3]]
    assert storage.closed


def test_no_write_follows_a_failure():
    """Guards against a gap in the log that counts as synced."""
    storage = FakeStorage(failing_sequence=2)
    events = run_storage_thread(storage, [PersistLog(1), PersistLog(2), PersistLog(3)])
    assert type(events[-1]) is StorageFailed
    assert "disk full" in events[-1].error
    assert StorageSynced(2) not in events
    assert StorageSynced(3) not in events
    assert [3] not in storage.calls


def start_blocked_sync():
    """Starts a thread that blocks in one sync until ``sync_released`` is set."""
    storage, events = FakeStorage(), []
    storage.sync_released.clear()
    thread = StorageThread(lambda: storage, events.append)
    thread.start()
    thread.put(PersistLog(1))
    while not storage.calls:
        time.sleep(0.001)
    return storage, events, thread


def test_queued_writes_share_a_sync():
    """Guards against one sync per entry, which limits the rate of changes."""
    storage, events, thread = start_blocked_sync()
    for sequence in (2, 3, 4):
        thread.put(PersistLog(sequence))
    storage.sync_released.set()
    thread.stop()
    assert storage.calls == [[1], [2, 3, 4]]
    assert events[1:] == [StorageSynced(1), StorageSynced(4)]


def test_an_immediate_stop_discards_queued_writes():
    """Guards against a killed daemon that still writes beside its successor."""
    storage, events, thread = start_blocked_sync()
    thread.put(PersistLog(2))
    Timer(0.05, storage.sync_released.set).start()
    thread.stop(flush=False)
    assert storage.calls == [[1]]


class FullDisk:
    """Opens fake storages; those opened while ``full`` refuse every write."""

    def __init__(self):
        self.full, self.opened, self.discarded = False, [], 0
        self.corrupt = False

    def open(self):
        if self.corrupt:
            raise CorruptStorage("checksum mismatch", file="log", offset=0)
        storage = FakeStorage()
        storage.check_writable = self.check_writable
        storage.persist_all = lambda actions: self.persist(storage, actions)
        self.opened.append(storage)
        return storage

    def check_writable(self):
        if self.full:
            raise OSError(28, "No space left on device")

    def persist(self, storage, actions):
        self.check_writable()
        FakeStorage.persist_all(storage, actions)

    def discard(self):
        self.discarded += 1
        self.corrupt = False


def wait_until(condition, timeout=5.0):
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.005)


def start_on_full_disk():
    """Starts a thread whose first write fails, and waits until that is reported."""
    disk, events, lines = FullDisk(), [], []

    def report(level, event, **fields):
        lines.append(event)

    thread = StorageThread(disk.open, events.append, report)
    thread.start()
    disk.full = True
    thread.put(PersistLog(1))
    wait_until(lambda: type(events[-1]) is StorageFailed)
    return disk, events, lines, thread


def test_a_full_disk_is_tried_until_it_has_room():
    """Guards against a voter that never writes again after a full disk.

    The only attempt to open the log met the disk while it was still full, and the
    group had one voter less for the rest of the day.
    """
    disk, events, lines, thread = start_on_full_disk()
    assert disk.opened[0].closed
    thread.reopen()
    wait_until(lambda: len(disk.opened) >= 4)
    assert all(storage.closed for storage in disk.opened)
    assert lines == ["storage_unusable"]
    disk.full, freed_at = False, time.monotonic()
    wait_until(lambda: type(events[-1]) is StorageRecovered)
    assert time.monotonic() - freed_at < 2.0
    thread.put(PersistLog(1))
    wait_until(lambda: events[-1] == StorageSynced(1))
    assert lines == ["storage_unusable", "storage_reopened"]
    thread.stop()
    assert disk.opened[-1].calls == [[1]] and disk.opened[-1].closed


def test_writes_of_the_failed_log_are_dropped():
    """Guards against a stale write whose sync confirms a new write of its number."""
    disk, events, _, thread = start_on_full_disk()
    thread.put(PersistLog(2))
    disk.full = False
    thread.reopen()
    thread.put(PersistLog(3))
    wait_until(lambda: events[-1] == StorageSynced(3))
    thread.stop()
    assert StorageSynced(2) not in events
    assert disk.opened[-1].calls == [[3]]


def test_a_corrupt_log_is_discarded_and_opened_again():
    """Guards against a daemon that stays out of its group after its log is damaged."""
    disk, events = FullDisk(), []
    disk.corrupt = True
    thread = StorageThread(disk.open, events.append, discard_corrupt=disk.discard)
    thread.start(required=False)
    wait_until(lambda: events)
    assert type(events[0]) is StorageRecovered and disk.discarded == 1
    thread.stop()


def test_a_stop_ends_the_attempts_on_a_full_disk():
    """Guards against a daemon that cannot be stopped while its disk is full."""
    for orders_reopen in (True, False):
        disk, _, _, thread = start_on_full_disk()
        if orders_reopen:
            thread.reopen()
        thread.stop()
        assert not thread._thread.is_alive()
        assert all(storage.closed for storage in disk.opened)
