"""Snapshots for compacting the log and for members that lag too far behind."""

import json
import zlib
from typing import Any

from bronzemoor_core.internal_events import (
    SnapshotReady,
    SnapshotRequested,
    SnapshotRestored,
)
from bronzemoor_core.messages import InstallSnapshot, InstallSnapshotReply
from bronzemoor_core.replica import Replica
from bronzemoor_core.replication import Progress, Replication
from bronzemoor_core.storage import Snapshot, decode_snapshot

CHUNK_BYTES = 65_536
# Share of ``snapshot_entries`` kept in memory before a snapshot, so that a member that
# lags a little is sent entries instead of the whole state.
RETAINED_RATIO = 0.2


class Snapshots:
    """Takes snapshots on members, sends them as leader, receives them as follower."""

    def __init__(self, replica: Replica, replication: Replication) -> None:
        self._replica = replica
        self._replication = replication
        self._requested_index = 0
        self._encoded: tuple[int, bytes] = (0, b"")
        self._encoded_term = 0
        # The snapshot being received (sender, term, last index, size) and its bytes.
        self._transfer_key: tuple[Any, ...] = ()
        self._received = bytearray()

    def request_if_due(self) -> None:
        """Requests a snapshot from ``state`` once enough entries were applied."""
        replica = self._replica
        last = replica.snapshot.index if replica.snapshot else 0
        last = max(last, self._requested_index)
        if replica.applied_index - last >= replica.settings.timers.snapshot_entries:
            self._requested_index = replica.applied_index
            replica.outbox.append(SnapshotRequested())

    def on_ready(self, event: SnapshotReady) -> None:
        """Stores a snapshot and drops the entries that it covers."""
        replica = self._replica
        index = replica.applied_index
        term = replica.journal.term_at(index)
        if term is None or (replica.snapshot and index <= replica.snapshot.index):
            return
        if event.index > index:
            # After a storage failure the state is ahead of the log that is re-applied.
            return
        group = replica.group_at(index)
        # Copied because ``state`` may change its objects before they are encoded.
        data = json.loads(json.dumps(event.data))
        replica.snapshot = Snapshot(
            index, term, group.voters, group.learners, tuple(replica.recent), data
        )
        replica.store_snapshot(replica.snapshot)
        kept = int(RETAINED_RATIO * replica.settings.timers.snapshot_entries)
        replica.journal.compact(index - kept)
        replica.emit_log("info", "snapshot_made", index=index)

    # --- leader

    def send_needed(self) -> None:
        """Sends the next chunk to every peer whose next entries were compacted."""
        for name in dict.fromkeys(self._replication.needs_snapshot):
            progress = self._replication.progress.get(name)
            if progress is not None and progress.snapshot_offset is not None:
                self._send_chunk(name, progress)
        self._replication.needs_snapshot.clear()

    def on_reply(self, now: float, sender: str, reply: InstallSnapshotReply) -> None:
        """Sends the next chunk, or entries after the last chunk."""
        progress = self._replication.progress[sender]
        progress.last_reply = now
        if progress.snapshot_offset is None or reply.last_index != self._encoded[0]:
            return
        total = len(self._encoded[1])
        if reply.received < total:
            if reply.received != progress.snapshot_offset:
                progress.snapshot_offset = reply.received
                self._send_chunk(sender, progress)
            return
        progress.snapshot_offset = None
        progress.probing = False
        progress.match_index = max(progress.match_index, reply.last_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._replication.send_to(sender, progress)

    def _send_chunk(self, name: str, progress: Progress) -> None:
        replica, snapshot = self._replica, self._replica.snapshot
        if snapshot is None:
            return
        # A newer snapshot must not restart a transfer in progress.
        peers = self._replication.progress.values()
        if not any(peer.snapshot_offset for peer in peers):
            self._encode(snapshot)
        data = self._encoded[1]
        offset = progress.snapshot_offset or 0
        chunk = data[offset : offset + CHUNK_BYTES]
        replica.send(
            name,
            InstallSnapshot(
                replica.term,
                self._encoded[0],
                self._encoded_term,
                offset,
                len(data),
                chunk,
                zlib.crc32(chunk),
            ),
        )

    def _encode(self, snapshot: Snapshot) -> None:
        if self._encoded[0] != snapshot.index:
            self._encoded = (snapshot.index, snapshot.encode())
            self._encoded_term = snapshot.term

    # --- follower

    def on_install(self, now: float, sender: str, message: InstallSnapshot) -> bool:
        """Stores a chunk and installs a complete snapshot; returns False if refused."""
        replica = self._replica
        if message.term < replica.term:
            self._reply(sender, message.last_index, 0)
            return False
        if message.term > replica.term or replica.leader != sender:
            replica.step_down(message.term, sender)
        replica.last_contact = now
        if message.last_index <= replica.commit_index:
            # Entries committed here may not be synced yet.
            self._reply(sender, message.last_index, message.total, replica.sequence)
            return True
        key = (sender, message.term, message.last_index, message.total)
        if key != self._transfer_key:
            self._transfer_key, self._received = key, bytearray()
        intact = zlib.crc32(message.chunk) == message.checksum
        if intact and message.offset == len(self._received):
            self._received += message.chunk
        if len(self._received) < message.total:
            self._reply(sender, message.last_index, len(self._received))
            return True
        self._restore(decode_snapshot(bytes(self._received)))
        self._transfer_key, self._received = (), bytearray()
        self._reply(sender, message.last_index, message.total, replica.sequence)
        return True

    def _restore(self, snapshot: Snapshot) -> None:
        replica = self._replica
        replica.restore(snapshot)
        replica.outbox.append(SnapshotRestored(snapshot.index, snapshot.data))
        replica.emit_log("info", "snapshot_installed", index=snapshot.index)

    def _reply(
        self, sender: str, last_index: int, received: int, after: int = 0
    ) -> None:
        replica = self._replica
        replica.send(
            sender,
            InstallSnapshotReply(replica.term, last_index, received, replica.identity),
            after,
        )
