"""Tests of the storage thread: writes run in order and report their syncs."""

import time
from threading import Event, Timer

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageRecovered, StorageSynced
from bronzemoor_core.exceptions import StorageError
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
    thread = StorageThread(storage, events.append)
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
    thread = StorageThread(storage, events.append)
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
