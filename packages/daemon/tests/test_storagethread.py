"""Writes of the log run in order and report their syncs."""

import time
from threading import Event, Timer

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageRecovered, StorageSynced
from bronzemoor_core.exceptions import StorageError
from bronzemoor_daemon.storagethread import StorageThread


class Disk:
    """Storage that notes its calls and fails at one sequence."""

    def __init__(self, broken=0):
        self.calls, self.broken = [], broken
        self.syncing, self.closed = Event(), False
        self.syncing.set()

    def recover(self):
        return StorageRecovered(None, [])

    def persist_all(self, actions):
        sequences = [action.sequence for action in actions]
        if self.broken in sequences:
            raise StorageError("disk full")
        self.calls.append(sequences)
        self.syncing.wait(2)

    def save(self, action):
        self.calls.append([action.sequence])

    def close(self):
        self.closed = True


def run(disk, actions):
    events = []
    thread = StorageThread(disk, events.append)
    thread.start()
    for action in actions:
        thread.put(action)
    thread.stop()
    return events


def test_writes_are_reported_in_order_after_the_recovery():
    """Guards against an acknowledged entry that is not on the disk yet."""
    disk = Disk()
    events = run(disk, [PersistLog(1), PersistSnapshot(2, None), PersistLog(3)])
    assert type(events[0]) is StorageRecovered
    assert events[1:] == [StorageSynced(1), StorageSynced(2), StorageSynced(3)]
    assert disk.calls == [[1], [2], [3]]
    assert disk.closed


def test_nothing_is_written_after_a_failure():
    """Guards against a gap in the log that counts as synced."""
    disk = Disk(broken=2)
    events = run(disk, [PersistLog(1), PersistLog(2), PersistLog(3)])
    assert type(events[-1]) is StorageFailed
    assert "disk full" in events[-1].error
    assert StorageSynced(2) not in events
    assert StorageSynced(3) not in events
    assert [3] not in disk.calls


def syncing():
    """A disk that is in the sync of one write until ``syncing`` is set."""
    disk, events = Disk(), []
    disk.syncing.clear()
    thread = StorageThread(disk, events.append)
    thread.start()
    thread.put(PersistLog(1))
    while not disk.calls:
        time.sleep(0.001)
    return disk, events, thread


def test_writes_that_wait_share_a_sync():
    """Guards against a sync per entry, which bounds the rate of changes."""
    disk, events, thread = syncing()
    for sequence in (2, 3, 4):
        thread.put(PersistLog(sequence))
    disk.syncing.set()
    thread.stop()
    assert disk.calls == [[1], [2, 3, 4]]
    assert events[1:] == [StorageSynced(1), StorageSynced(4)]


def test_an_abrupt_end_writes_nothing_more():
    """Guards against a killed daemon that still writes beside its successor."""
    disk, events, thread = syncing()
    thread.put(PersistLog(2))
    Timer(0.05, disk.syncing.set).start()
    thread.stop(finish=False)
    assert disk.calls == [[1]]
