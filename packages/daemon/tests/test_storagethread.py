"""Writes of the log run in order and report their syncs."""

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageRecovered, StorageSynced
from bronzemoor_core.exceptions import StorageError
from bronzemoor_daemon.storagethread import StorageThread


class Disk:
    """Storage that notes its calls and fails at one sequence."""

    def __init__(self, broken=0):
        self.calls, self.broken, self.closed = [], broken, False

    def recover(self):
        return StorageRecovered(None, [])

    def persist(self, action):
        if action.sequence == self.broken:
            raise StorageError("disk full")
        self.calls.append(action.sequence)

    def close(self):
        self.closed = True

    def save(self, action):
        self.calls.append(action.sequence)

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
    assert disk.calls == [1, 2, 3] and disk.closed


def test_nothing_is_written_after_a_failure():
    """Guards against a gap in the log that counts as synced."""
    disk = Disk(broken=2)
    events = run(disk, [PersistLog(1), PersistLog(2), PersistLog(3)])
    assert events[1] == StorageSynced(1)
    assert type(events[2]) is StorageFailed
    assert "disk full" in events[2].error
    assert len(events) == 3
    assert disk.calls == [1]
