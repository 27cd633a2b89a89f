"""One member's replica of the log: terms, entries and what is synced."""

from collections import OrderedDict, deque
from random import Random
from typing import Any

from bronzemoor_core.actions import (
    EmitLog,
    PersistLog,
    PersistSnapshot,
    SendPeerMessage,
)
from bronzemoor_core.internal_events import LeadershipChanged
from bronzemoor_core.journal import Journal, encode_command
from bronzemoor_core.messages import LogEntry
from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.storage import HardState, Snapshot
from bronzemoor_core.voters import Group, group_from_entry, initial_group

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"
LEARNER = "learner"
NONE = "none"


class Replica:
    """State shared by elections, replication, proposals and snapshots.

    Actions and internal events are collected in ``outbox``. Messages that depend on
    storage are held until the write sequence that they depend on is synced.
    """

    def __init__(self, settings: NodeSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.name = settings.name
        self.identity = ""
        self.term = 0
        self.vote = ""
        self.role = NONE
        self.leader = ""
        self.last_contact = float("-inf")
        self.journal = Journal()
        self.snapshot: Snapshot | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.synced_index = 0
        # Ids of the last applied proposals, oldest first.
        self.recent: OrderedDict[str, None] = OrderedDict()
        self.failed = False
        self.outbox: list[Any] = []
        self._groups: list[tuple[int, Group]] = [(0, Group())]
        self._sequence = 0
        self._synced_sequence = 0
        self._hard_state_sequence = 0
        # Write sequences and the last log index that each of them stores.
        self._unsynced_appends: deque[tuple[int, int]] = deque()
        self._held_messages: deque[tuple[int, str, Any]] = deque()

    @property
    def active(self) -> bool:
        """Returns False outside the control group and after a storage failure."""
        return self.role != NONE and not self.failed

    @property
    def is_leader(self) -> bool:
        return self.role == LEADER

    @property
    def group(self) -> Group:
        """The newest group configuration in the log, committed or not."""
        return self._groups[-1][1]

    @property
    def group_index(self) -> int:
        """Index of the entry that contains this group configuration."""
        return self._groups[-1][0]

    @property
    def hard_state_synced(self) -> bool:
        return self._hard_state_sequence <= self._synced_sequence

    @property
    def sequence(self) -> int:
        """Sequence number of the newest write."""
        return self._sequence

    @property
    def can_vote(self) -> bool:
        return self.active and self.group.is_voter(self.name, self.identity)

    def group_at(self, index: int) -> Group:
        """Returns the group configuration in effect at ``index``."""
        return next(group for start, group in reversed(self._groups) if start <= index)

    # --- start

    def recover(
        self, state: HardState | None, entries: list[LogEntry], snapshot: Any
    ) -> None:
        """Restores the stored state; a new data folder gets an identity."""
        self.role = FOLLOWER
        if state is not None:
            self.term, self.vote, self.identity = state.term, state.vote, state.identity
        self._groups = [(0, initial_group(self.settings))]
        if snapshot is not None:
            self._install_snapshot(snapshot)
            stored, entries = entries, _entries_after(snapshot, entries)
            if stored and not entries:
                self._clear_stored_log()
        for entry in entries:
            self._append(entry)
        self.synced_index = self.journal.last_index
        if not self.identity:
            self.identity = f"{self.name}.{self.random.getrandbits(64):016x}"
            self.persist_hard_state()

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the log up to the snapshot's index by a received snapshot."""
        diverges = self.journal.term_at(snapshot.index) != snapshot.term
        if diverges:
            self.synced_index = min(self.synced_index, snapshot.index)
            self._unsynced_appends.clear()
        self._install_snapshot(snapshot)
        self.store_snapshot(snapshot)
        if diverges:
            # The stored log must not continue after a snapshot that it contradicts.
            self._clear_stored_log()

    # --- storage

    def persist_hard_state(self) -> None:
        """Stores term, vote and identity; later messages wait until they are synced."""
        self._sequence += 1
        self._hard_state_sequence = self._sequence
        state = HardState(self.term, self.vote, self.identity)
        self.outbox.append(PersistLog(self._sequence, state))

    def store(self, entries: list[LogEntry]) -> None:
        """Appends and stores entries after removing a conflicting tail."""
        truncate_from = None
        if entries[0].index <= self.journal.last_index:
            truncate_from = entries[0].index
            self._truncate(truncate_from)
        for entry in entries:
            self._append(entry)
        self._sequence += 1
        self._unsynced_appends.append((self._sequence, entries[-1].index))
        self.outbox.append(PersistLog(self._sequence, None, entries, truncate_from))

    def store_snapshot(self, snapshot: Snapshot) -> None:
        self._sequence += 1
        self._unsynced_appends.append((self._sequence, snapshot.index))
        self.outbox.append(PersistSnapshot(self._sequence, snapshot))

    def _clear_stored_log(self) -> None:
        self._sequence += 1
        self.outbox.append(PersistLog(self._sequence, truncate_from=1))

    def propose(self, command: dict[str, Any], proposal_id: str = "") -> int:
        """Appends a command as leader; returns its index."""
        index = self.journal.last_index + 1
        self.store([LogEntry(index, self.term, encode_command(command, proposal_id))])
        return index

    def on_synced(self, sequence: int) -> None:
        """Sends the messages that waited for ``sequence``."""
        self._synced_sequence = max(self._synced_sequence, sequence)
        while self._unsynced_appends and self._unsynced_appends[0][0] <= sequence:
            index = self._unsynced_appends.popleft()[1]
            self.synced_index = max(self.synced_index, index)
        while self._held_messages and self._held_messages[0][0] <= sequence:
            _, recipient, message = self._held_messages.popleft()
            self.outbox.append(SendPeerMessage(recipient, message))

    def on_storage_failed(self, error: str) -> None:
        """Stops participating, so that nothing unsynced is ever acknowledged."""
        self._held_messages.clear()
        self._unsynced_appends.clear()
        self.step_down(self.term, "")
        self.failed = True
        self.emit_log("error", "storage_failed", error=error)

    # --- messages

    def send(self, recipient: str, message: Any, after: int = 0) -> None:
        """Sends once the hard state and the sequence ``after`` are synced."""
        barrier = max(self._hard_state_sequence, after)
        if barrier <= self._synced_sequence:
            self.outbox.append(SendPeerMessage(recipient, message))
            return
        # Messages are sent in order, so a later one never waits for a lower sequence.
        if self._held_messages:
            barrier = max(barrier, self._held_messages[-1][0])
        self._held_messages.append((barrier, recipient, message))

    def emit_log(self, level: str, event: str, **fields: Any) -> None:
        self.outbox.append(EmitLog(level, event, {**fields, "term": self.term}))

    # --- roles

    def step_down(self, term: int, leader: str) -> None:
        """Becomes a follower of ``leader`` (empty while unknown) in ``term``."""
        was_leader = self.is_leader
        if term > self.term:
            self.term, self.vote = term, ""
            self.persist_hard_state()
        self.role, self.leader = FOLLOWER, leader
        if was_leader:
            self.outbox.append(LeadershipChanged(leader, self.term, False))
            self.emit_log("info", "leadership_lost", leader=leader)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        group = Group(dict(snapshot.voters), dict(snapshot.learners))
        later = [item for item in self._groups if item[0] > snapshot.index]
        if self.journal.term_at(snapshot.index) == snapshot.term:
            self.journal.compact(snapshot.index)
        else:
            self.journal.reset(snapshot.index, snapshot.term)
            later = []
        self._groups = [(snapshot.index, group), *later]
        self.commit_index = max(self.commit_index, snapshot.index)
        self.applied_index = snapshot.index
        self.recent = OrderedDict.fromkeys(snapshot.recent)

    def _append(self, entry: LogEntry) -> None:
        self.journal.append(entry)
        group = group_from_entry(entry)
        if group is not None:
            self._groups.append((entry.index, group))

    def _truncate(self, first: int) -> None:
        self.journal.truncate(first)
        while self._groups[-1][0] >= first:
            self._groups.pop()
        self.synced_index = min(self.synced_index, first - 1)
        clipped = [
            (number, min(index, first - 1)) for number, index in self._unsynced_appends
        ]
        self._unsynced_appends = deque(clipped)


def _entries_after(snapshot: Snapshot, entries: list[LogEntry]) -> list[LogEntry]:
    """Returns the stored entries that continue the snapshot.

    A crash while a received snapshot replaces a diverging log leaves entries that
    contradict the snapshot at its index; none of them is used.
    """
    for entry in entries:
        if entry.index == snapshot.index and entry.term != snapshot.term:
            return []
    later = [entry for entry in entries if entry.index > snapshot.index]
    if later and later[0].index != snapshot.index + 1:
        return []
    return later
