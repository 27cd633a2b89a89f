"""Tests of snapshots: compaction, transfer and recovery."""

import zlib

import pytest
from logcluster import Cluster

from bronzemoor_core import snapshots
from bronzemoor_core.events import PeerMessageReceived
from bronzemoor_core.journal import encode_command
from bronzemoor_core.messages import AppendEntries, InstallSnapshot, LogEntry
from bronzemoor_core.storage import HardState, Snapshot


def propose_many(cluster, member, numbers):
    for n in numbers:
        cluster.propose(member, n)
        if n % 10 == 0:
            cluster.run(0.02)
    cluster.run(0.2)


@pytest.fixture
def behind(monkeypatch):
    """A group whose log was compacted while one member was down; small chunks."""
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 200)
    cluster = Cluster(3, snapshot_entries=20)
    leader = cluster.elect()
    name = cluster.followers()[0].name
    cluster.crash(name)
    propose_many(cluster, leader, range(200))
    return cluster, name


def test_a_lagging_member_gets_the_snapshot_in_chunks(behind):
    """Guards against a member that can never rejoin after a compaction."""
    cluster, name = behind
    member = cluster.start(name)
    cluster.loss, cluster.duplication = 0.1, 0.2
    cluster.run(3.0)
    assert member.state.values == list(range(200))
    assert len({chunk.offset for chunk in cluster.messages(InstallSnapshot)}) > 3
    cluster.propose(cluster.leader(), 200)
    cluster.run(1.0)
    assert member.state.values[-1] == 200


def test_a_corrupted_chunk_is_not_used(behind):
    """Guards against a state that differs after a corrupted transfer."""
    cluster, name = behind
    member = cluster.start(name)
    send = cluster.send

    def corrupt_and_send(sender, recipient, message):
        if isinstance(message, InstallSnapshot) and cluster.random.random() < 0.5:
            message.chunk = b"#" + message.chunk[1:]
        send(sender, recipient, message)

    cluster.send = corrupt_and_send
    cluster.run(5.0)
    assert member.state.values == list(range(200))


def test_a_crash_while_a_snapshot_replaces_the_log_is_harmless(behind):
    """Guards against a log that continues a snapshot which it contradicts."""
    cluster, name = behind
    for synced in range(4):
        member = cluster.start(name)
        cluster.sync_delay = 60.0
        cluster.run(0.5)
        cluster.crash(name, synced)
        cluster.sync_delay = 0.004
    member = cluster.start(name)
    cluster.run(1.0)
    assert member.state.values == list(range(200))


def test_the_state_is_recovered_from_snapshot_and_log():
    """Guards against commands lost or repeated around a snapshot at a restart."""
    cluster = Cluster(3, snapshot_entries=20)
    propose_many(cluster, cluster.elect(), range(90))
    for name in cluster.names:
        cluster.crash(name)
    assert all(
        cluster.disks[name].storage.snapshot.index > 50 for name in cluster.names
    )
    for name in cluster.names:
        cluster.start(name)
    cluster.run(2.0)
    for member in cluster.members:
        assert member.state.values == list(range(90))


def make_entry(index, term):
    return LogEntry(index, term, encode_command({"type": "set", "n": index}))


def make_snapshot(index, term):
    return Snapshot(index, term, {"vm-1": "vm-1.x"}, {}, (), {"values": []})


def test_a_stored_log_that_contradicts_its_snapshot_is_dropped():
    """Guards against serving entries that a received snapshot replaced."""
    cluster = Cluster(3, start=False)
    storage = cluster.disks["vm-1"].storage
    storage.hard_state, storage.snapshot = (
        HardState(6, "", "vm-1.x"),
        make_snapshot(100, 5),
    )
    storage.entries = {index: make_entry(index, 6) for index in range(99, 103)}
    member = cluster.start("vm-1")
    assert member.consensus._replica.journal.last_index == 100
    while member.disk.unsynced:
        member.disk.sync_one()
    assert storage.entries == {}


def test_a_received_snapshot_removes_a_diverging_log():
    """Guards against a stored log that continues a snapshot it contradicts."""
    cluster = Cluster(3, start=False)
    member = cluster.start("vm-1")
    cluster.run(0.02)
    append = AppendEntries(1, 0, 0, [make_entry(n, 1) for n in range(1, 6)], 0, 1)
    member.handle(PeerMessageReceived("vm-2", append))
    data = make_snapshot(3, 2).encode()
    install = InstallSnapshot(2, 3, 2, 0, len(data), data, zlib.crc32(data))
    member.handle(PeerMessageReceived("vm-2", install))
    cluster.run(0.05)
    assert member.disk.storage.entries == {}
    assert member.disk.storage.snapshot.index == member.log.commit_index == 3


def test_a_snapshot_of_an_old_leader_is_refused():
    """Guards against reverting to the state of a deposed leader."""
    cluster = Cluster(3)
    member = cluster.elect()
    old = InstallSnapshot(0, 100, 0, 0, 1, b"x", 0)
    member.handle(PeerMessageReceived("vm-9", old))
    assert member.log.role == "leader" and member.log.applied_index < 100
