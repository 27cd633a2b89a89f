"""Replication state machine of one member of a database group, without I/O.

The caller serialises calls and persists ``accepted_term``, ``history`` and the log.
"""

from dataclasses import dataclass, field
from itertools import islice

PRIMARY = "primary"
REPLICA = "replica"
DEPOSED = "deposed"


@dataclass(slots=True, frozen=True)
class Entry:
    """One committed write transaction; ``body`` is encoded JSON."""

    term: int
    offset: int
    body: bytes


@dataclass(slots=True, frozen=True)
class Refusal:
    """Reason for refusing an order or a call; ``code`` is part of the protocol."""

    code: str
    message: str


@dataclass(slots=True, frozen=True)
class Batch:
    """Entries from the primary to one replica; without entries, a heartbeat."""

    term: int
    primary: str
    previous: tuple[int, int]
    entries: list[Entry]
    majority_offset: int
    history: dict[int, int]


@dataclass(slots=True, frozen=True)
class BatchAnswer:
    """``offset`` is the last matching one if accepted, else where to resume."""

    accepted: bool
    term: int
    offset: int


class GroupLog:
    """Entries with offsets 1, 2, ...; terms never decrease along the log.

    ``history`` maps a term to its start offset: the last offset before the term.
    """

    __slots__ = ("entries", "history", "truncated_to")

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.history: dict[int, int] = {}
        # Lowest offset the log was truncated to since the journal last stored it.
        self.truncated_to: int | None = None

    @property
    def last(self) -> tuple[int, int]:
        """(term, offset) of the last entry, (0, 0) when the log is empty."""
        if not self.entries:
            return (0, 0)
        entry = self.entries[-1]
        return (entry.term, entry.offset)

    def term_at(self, offset: int) -> int | None:
        """Term of the entry at ``offset``, or None when the log does not reach it."""
        if offset == 0:
            return 0
        if not 0 < offset <= len(self.entries):
            return None
        return self.entries[offset - 1].term

    def holds(self, term: int, offset: int) -> bool:
        return self.term_at(offset) == term

    def append(self, entry: Entry) -> None:
        if entry.offset != len(self.entries) + 1:
            raise ValueError(
                f"entry offset {entry.offset} does not follow {len(self.entries)}"
            )
        self.entries.append(entry)

    def entries_after(
        self, offset: int, max_entries: int, max_bytes: int
    ) -> list[Entry]:
        """Entries after ``offset`` within both limits, at least one if there is any."""
        batch: list[Entry] = []
        total_bytes = 0
        for entry in islice(self.entries, offset, offset + max_entries):
            total_bytes += len(entry.body)
            if batch and total_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def truncate(self, offset: int) -> None:
        """Discards every entry beyond ``offset``."""
        if offset < len(self.entries):
            del self.entries[offset:]
            lowest = self.truncated_to
            self.truncated_to = offset if lowest is None else min(lowest, offset)

    def first_offset_of_term_at(self, offset: int) -> int:
        """First offset whose entry has the same term as the entry at ``offset``."""
        term = self.term_at(offset)
        while offset > 1 and self.term_at(offset - 1) == term:
            offset -= 1
        return offset


@dataclass(slots=True)
class _ReplicaProgress:
    """Replication progress of one replica as known to the primary in its term."""

    next_offset: int
    acknowledged_offset: int = 0
    # Send time of the last batch that the replica accepted, in seconds.
    confirmed_at: float = field(default=float("-inf"))


class ReplicationState:
    """Role, terms and log of one member, and the primary's view of its replicas.

    ``term`` is the term that the member leads or follows; ``accepted_term`` is the
    highest one it knows of; orders and batches of older terms are refused.
    """

    def __init__(self, name: str, members: tuple[str, ...] = ()) -> None:
        self.name = name
        self.members = members or (name,)
        self.role = REPLICA
        self.primary = ""
        self.term = 0
        self.accepted_term = 0
        self.fenced = False
        # Set for a member that lost its log: it may have acknowledged entries that it
        # no longer holds, so it must not count towards a majority for a new term yet.
        self.catching_up = False
        self.log = GroupLog()
        self.known_majority = 0
        self._replicas: dict[str, _ReplicaProgress] = {}

    # --- orders

    def fence(self, term: int) -> Refusal | None:
        """Accepts ``term``, so that orders and batches of older terms are refused."""
        if term < self.accepted_term:
            return self._stale_term_refusal(term)
        if term == self.accepted_term:
            return None  # The order is a retry of one that was already carried out.
        if self.catching_up:
            return Refusal("catching_up", "the log is not complete yet")
        self.accepted_term = term
        if self.role == PRIMARY:
            self.role = DEPOSED
            self.fenced = True
        return None

    def promote(
        self, term: int, start_offset: int, members: tuple[str, ...], body: bytes
    ) -> Refusal | None:
        """Becomes primary of ``term`` and appends its first entry, ``body``.

        The majority offset counts from this first entry on: an entry of an older term
        can still be replaced by a later primary although a majority holds it.
        """
        if term < self.accepted_term:
            return self._stale_term_refusal(term)
        if self.term == term:
            if self.role == PRIMARY:
                return None
            if self.primary not in ("", self.name):
                return Refusal("term_taken", f"{self.primary} leads term {term}")
        if self.log.last[1] != start_offset:
            return Refusal(
                "offset_mismatch",
                f"log ends at {self.log.last[1]}, order says {start_offset}",
            )
        self.accepted_term = self.term = term
        self.role, self.primary, self.fenced = PRIMARY, self.name, False
        self.members = members or self.members
        self.log.history[term] = start_offset
        self._replicas = {
            name: _ReplicaProgress(start_offset)
            for name in self.members
            if name != self.name
        }
        self.append(body)
        return None

    def follow(
        self, term: int, primary: str, start_offset: int, members: tuple[str, ...]
    ) -> Refusal | None:
        """Becomes a replica of ``primary``; discards entries the term does not have."""
        if term < self.accepted_term:
            return self._stale_term_refusal(term)
        if primary == self.name:
            return Refusal("invalid_order", "a member cannot follow itself")
        if self.term == term and self.role == PRIMARY:
            return Refusal("term_taken", f"{self.name} leads term {term}")
        self._become_replica(term, primary)
        self.members = members or self.members
        if self.log.last[0] < term and self.log.last[1] > start_offset:
            self.log.truncate(start_offset)
        return None

    def step_down(self) -> None:
        """Becomes a replica without a primary, as after a restart."""
        if self.role == PRIMARY:
            self.role, self.primary = REPLICA, ""
            self._replicas = {}

    # --- primary

    def append(self, body: bytes) -> Entry:
        """Adds a transaction to the primary's log."""
        entry = Entry(self.term, self.log.last[1] + 1, body)
        self.log.append(entry)
        return entry

    def refusal_of_write(self) -> Refusal | None:
        """Reason why this member accepts no writes, or None if it does."""
        if self.role == PRIMARY:
            return None
        if self.role == REPLICA:
            return Refusal("not_primary", f"primary is {self.primary or 'unknown'}")
        if self.fenced:
            return Refusal("fenced", f"term {self.accepted_term} was accepted")
        return Refusal("stale_term", f"term {self.accepted_term} exists")

    def refusal_of_read(self) -> Refusal | None:
        """Reason why this member serves no reads, or None if it does."""
        if self.role == DEPOSED and not self.fenced:
            return self.refusal_of_write()
        return None

    def batch_for(self, peer: str, max_entries: int, max_bytes: int) -> Batch | None:
        """The next batch for ``peer``, or None when this member is not primary."""
        replica = self._replicas.get(peer)
        if self.role != PRIMARY or replica is None:
            return None
        start = min(replica.next_offset, self.log.last[1])
        return Batch(
            self.term,
            self.name,
            (self.log.term_at(start) or 0, start),
            self.log.entries_after(start, max_entries, max_bytes),
            self.majority_offset,
            dict(self.log.history),
        )

    def has_work_for(self, peer: str, round_wanted_at: float) -> bool:
        """Whether ``peer`` lacks entries or a batch sent since ``round_wanted_at``."""
        replica = self._replicas.get(peer)
        if self.role != PRIMARY or replica is None:
            return False
        if replica.next_offset < self.log.last[1]:
            return True
        return replica.confirmed_at < round_wanted_at

    def acknowledge(
        self, peer: str, batch: Batch, answer: BatchAnswer, sent_at: float
    ) -> None:
        """Records a replica's answer to ``batch``, which was sent at ``sent_at``."""
        if answer.term > self.accepted_term:
            self.accepted_term = answer.term
        if self.role != PRIMARY or batch.term != self.term:
            return
        if answer.term > self.term:
            self.role = DEPOSED
            return
        replica = self._replicas.get(peer)
        if replica is None:
            return
        if not answer.accepted:
            replica.next_offset = min(answer.offset, batch.previous[1] - 1)
            replica.next_offset = max(replica.next_offset, 0)
            return
        replica.acknowledged_offset = max(replica.acknowledged_offset, answer.offset)
        replica.next_offset = max(replica.next_offset, answer.offset)
        replica.confirmed_at = max(replica.confirmed_at, sent_at)

    @property
    def majority_offset(self) -> int:
        """Highest offset of the primary's own term that a majority holds, or 0."""
        if self.role != PRIMARY:
            return 0
        acknowledged = sorted(
            (r.acknowledged_offset for r in self._replicas.values()), reverse=True
        )
        needed = len(self.members) // 2
        offset = acknowledged[needed - 1] if needed else self.log.last[1]
        return offset if self.log.term_at(offset) == self.term else 0

    def confirmed_at(self, now: float) -> float | None:
        """Send time of the last round that a majority accepted, or None without one."""
        if self.role != PRIMARY:
            return None
        times = sorted((r.confirmed_at for r in self._replicas.values()), reverse=True)
        needed = len(self.members) // 2
        confirmed = times[needed - 1] if needed else now
        return None if confirmed == float("-inf") else confirmed

    # --- replica

    def replicate(self, batch: Batch) -> BatchAnswer:
        """Stores the primary's entries and discards those that its log lacks."""
        if batch.term < self.accepted_term:
            return BatchAnswer(False, self.accepted_term, self.log.last[1])
        if batch.term == self.term and self.role == PRIMARY:
            return BatchAnswer(False, self.term, self.log.last[1])
        if batch.term != self.term or self.role != REPLICA:
            self._become_replica(batch.term, batch.primary)
        self.primary = batch.primary
        self._discard_superseded(batch.history)
        previous_term, previous = batch.previous
        held_term = self.log.term_at(previous)
        if held_term is None:
            return BatchAnswer(False, self.term, self.log.last[1])
        if held_term != previous_term:
            resume = self.log.first_offset_of_term_at(previous) - 1
            return BatchAnswer(False, self.term, resume)
        for entry in batch.entries:
            stored_term = self.log.term_at(entry.offset)
            if stored_term == entry.term:
                continue
            if stored_term is not None:
                self.log.truncate(entry.offset - 1)
            self.log.append(entry)
        self.log.history = dict(batch.history)
        matched = previous + len(batch.entries)
        self.known_majority = min(batch.majority_offset, matched)
        if 0 < batch.majority_offset <= matched:
            self.catching_up = False
        return BatchAnswer(True, self.term, matched)

    def _discard_superseded(self, history: dict[int, int]) -> None:
        """Truncates the log at the start of a term whose entries it does not hold.

        The control plane reads the term of a member's last entry from its history, so
        both must agree even before the first entry of the new term arrives.
        """
        for term, start in sorted(history.items()):
            held_term = self.log.term_at(start + 1)
            if held_term is not None and held_term < term:
                self.log.truncate(start)

    def _become_replica(self, term: int, primary: str) -> None:
        self.accepted_term = self.term = term
        self.role, self.primary, self.fenced = REPLICA, primary, False
        self._replicas = {}

    def _stale_term_refusal(self, term: int) -> Refusal:
        return Refusal("stale_term", f"term {term} is older than {self.accepted_term}")


def covers(
    history: dict[int, int], held: tuple[int, int], wanted: tuple[int, int]
) -> bool:
    """Whether a member at ``held`` contains everything up to ``wanted``.

    Comparing offsets is not enough: a promotion may have discarded the tail of an older
    term.
    """
    if wanted[1] == 0:
        return True
    if held[0] == wanted[0]:
        return held[1] >= wanted[1]
    if held[0] < wanted[0]:
        return False
    ends = [start for term, start in history.items() if term > wanted[0]]
    return (not ends or wanted[1] <= min(ends)) and held[1] >= wanted[1]
