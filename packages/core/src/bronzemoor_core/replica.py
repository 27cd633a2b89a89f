"""One member's part of the replicated log: terms, entries and what is synced."""

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
from bronzemoor_core.voters import Group, first_group, group_of

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"
LEARNER = "learner"
NONE = "none"


class Replica:
    """Shared by elections, replication, proposals and snapshots.

    Actions and internal events are collected in ``outbox``. Messages that depend on
    storage are held back until the sequence that they depend on is synced.
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
        self._hard_sequence = 0
        # Sequence and the last index that is stored once it is synced.
        self._appends: deque[tuple[int, int]] = deque()
        self._held: deque[tuple[int, str, Any]] = deque()

    @property
    def active(self) -> bool:
        """False outside the control group and after a storage failure."""
        return self.role != NONE and not self.failed

    @property
    def is_leader(self) -> bool:
        return self.role == LEADER

    @property
    def group(self) -> Group:
        """The newest group in the log, committed or not."""
        return self._groups[-1][1]

    @property
    def group_index(self) -> int:
        """Index of the entry that put the group into force."""
        return self._groups[-1][0]

    @property
    def hard_state_synced(self) -> bool:
        return self._hard_sequence <= self._synced_sequence

    @property
    def sequence(self) -> int:
        """Sequence of the newest write."""
        return self._sequence

    @property
    def can_vote(self) -> bool:
        return self.active and self.group.is_voter(self.name, self.identity)

    def group_at(self, index: int) -> Group:
        """The group in force at ``index``."""
        return next(group for start, group in reversed(self._groups) if start <= index)

    # --- start

    def recover(
        self, state: HardState | None, entries: list[LogEntry], snapshot: Any
    ) -> None:
        """Takes over what storage held; a new data folder gets an identity."""
        self.role = FOLLOWER
        if state is not None:
            self.term, self.vote, self.identity = state.term, state.vote, state.identity
        self._groups = [(0, first_group(self.settings))]
        if snapshot is not None:
            self._install(snapshot)
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
        """Puts a received snapshot in the place of the log up to its index."""
        diverges = self.journal.term_at(snapshot.index) != snapshot.term
        if diverges:
            self.synced_index = min(self.synced_index, snapshot.index)
            self._appends.clear()
        self._install(snapshot)
        self.store_snapshot(snapshot)
        if diverges:
            # The stored log must not continue after a snapshot that it contradicts.
            self._clear_stored_log()

    # --- storage

    def persist_hard_state(self) -> None:
        """Stores term, vote and identity; later messages wait for the sync."""
        self._sequence += 1
        self._hard_sequence = self._sequence
        state = HardState(self.term, self.vote, self.identity)
        self.outbox.append(PersistLog(self._sequence, state))

    def store(self, entries: list[LogEntry]) -> None:
        """Appends entries and stores them; a conflicting tail is removed."""
        truncate_from = None
        if entries[0].index <= self.journal.last_index:
            truncate_from = entries[0].index
            self._truncate(truncate_from)
        for entry in entries:
            self._append(entry)
        self._sequence += 1
        self._appends.append((self._sequence, entries[-1].index))
        self.outbox.append(PersistLog(self._sequence, None, entries, truncate_from))

    def store_snapshot(self, snapshot: Snapshot) -> None:
        self._sequence += 1
        self._appends.append((self._sequence, snapshot.index))
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
        """Releases the messages that waited for ``sequence``."""
        self._synced_sequence = max(self._synced_sequence, sequence)
        while self._appends and self._appends[0][0] <= sequence:
            index = self._appends.popleft()[1]
            self.synced_index = max(self.synced_index, index)
        while self._held and self._held[0][0] <= sequence:
            _, recipient, message = self._held.popleft()
            self.outbox.append(SendPeerMessage(recipient, message))

    def on_storage_failed(self, error: str) -> None:
        """Stops taking part; nothing that is not synced is ever answered."""
        self._held.clear()
        self._appends.clear()
        self.step_down(self.term, "")
        self.failed = True
        self.emit_log("error", "storage_failed", error=error)

    # --- messages

    def send(self, recipient: str, message: Any, after: int = 0) -> None:
        """Sends once the hard state and the sequence ``after`` are synced."""
        barrier = max(self._hard_sequence, after)
        if barrier <= self._synced_sequence:
            self.outbox.append(SendPeerMessage(recipient, message))
            return
        # Sequences are released in order, so a later message never has a lower one.
        if self._held:
            barrier = max(barrier, self._held[-1][0])
        self._held.append((barrier, recipient, message))

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

    def _install(self, snapshot: Snapshot) -> None:
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
        group = group_of(entry)
        if group is not None:
            self._groups.append((entry.index, group))

    def _truncate(self, first: int) -> None:
        self.journal.truncate(first)
        while self._groups[-1][0] >= first:
            self._groups.pop()
        self.synced_index = min(self.synced_index, first - 1)
        clipped = [(number, min(index, first - 1)) for number, index in self._appends]
        self._appends = deque(clipped)


def _entries_after(snapshot: Snapshot, entries: list[LogEntry]) -> list[LogEntry]:
    """Stored entries that continue the snapshot.

    A crash while a received snapshot replaces a diverging log leaves entries behind
    that contradict the snapshot at its index; none of them is used.
    """
    for entry in entries:
        if entry.index == snapshot.index and entry.term != snapshot.term:
            return []
    later = [entry for entry in entries if entry.index > snapshot.index]
    if later and later[0].index != snapshot.index + 1:
        return []
    return later
