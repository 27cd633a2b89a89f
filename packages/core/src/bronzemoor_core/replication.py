"""Replication of the leader's log, and the followers' side of it."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from bronzemoor_core.messages import AppendEntries, AppendEntriesReply, LogEntry
from bronzemoor_core.replica import Replica

# Messages with entries that a peer may leave unanswered before sending pauses.
MAX_IN_FLIGHT = 8


@dataclass(slots=True)
class Progress:
    """What the leader knows of one peer."""

    next_index: int
    last_reply: float
    identity: str = ""
    match_index: int = 0
    # While probing, the peer's matching index is unknown and nothing is pipelined.
    probing: bool = True
    in_flight: deque[int] = field(default_factory=deque)
    round_id: int = 0
    # Answers to earlier rounds may come from an identity that was replaced.
    first_round: int = 0
    # Bytes of the snapshot that the peer acknowledged, None while none is sent.
    snapshot_offset: int | None = None


class Replication:
    """Sends entries as leader; checks, stores and acknowledges them as follower."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._round_id = 0
        self._next_heartbeat = 0.0
        # When each round that may still be confirmed started, seconds.
        self._round_started: OrderedDict[int, float] = OrderedDict()
        self._confirmed_at = float("-inf")
        # Highest index that is known to match the current leader's log.
        self._verified = 0
        self._verified_term = 0
        self.progress: dict[str, Progress] = {}
        self.needs_snapshot: list[str] = []

    # --- leader

    @property
    def confirmed_round(self) -> int:
        """The newest round that a quorum answered."""
        rounds = {name: item.round_id for name, item in self.progress.items()}
        rounds[self._replica.name] = self._round_id
        return self._replica.group.quorum_value(rounds)

    @property
    def round_id(self) -> int:
        return self._round_id

    def lead(self, now: float) -> None:
        """Starts with no knowledge of any peer."""
        self.progress.clear()
        self._round_started.clear()
        self._confirmed_at = float("-inf")
        self.sync_peers(now)
        self._next_heartbeat = now

    def sync_peers(self, now: float) -> None:
        """Follows a change of the group."""
        names = set(self._replica.group.names) - {self._replica.name}
        for name in set(self.progress) - names:
            del self.progress[name]
        for name in sorted(names - set(self.progress)):
            self.progress[name] = Progress(
                self._replica.journal.last_index + 1,
                now,
                first_round=self._round_id + 1,
            )

    def confirmed_at(self) -> float:
        """When the newest round that a quorum answered was started, in seconds.

        No other member can have been elected before that.
        """
        confirmed = self.confirmed_round
        while self._round_started and next(iter(self._round_started)) <= confirmed:
            self._confirmed_at = self._round_started.popitem(last=False)[1]
        return self._confirmed_at

    def quorum_contact(self) -> float:
        """When a quorum last answered, in seconds."""
        times = {name: item.last_reply for name, item in self.progress.items()}
        times[self._replica.name] = float("inf")
        return self._replica.group.quorum_value(times)

    def on_tick(self, now: float) -> None:
        """Sends heartbeats; a leader without a quorum steps down."""
        replica = self._replica
        if not replica.is_leader:
            return
        if not self._has_quorum(now):
            replica.step_down(replica.term, "")
        elif now >= self._next_heartbeat:
            self.start_round(now)

    def start_round(self, now: float) -> int:
        """Sends to every peer; returns the round that their answers will carry."""
        self._round_id += 1
        self._round_started[self._round_id] = now
        self._next_heartbeat = now + self._replica.settings.timers.heartbeat_interval
        for name, progress in self.progress.items():
            self._send(name, progress, heartbeat=True)
        return self._round_id

    def send_entries(self) -> None:
        """Sends entries that peers do not have, as far as the pipeline allows."""
        for name, progress in self.progress.items():
            self.send_to(name, progress)

    def send_to(self, name: str, progress: Progress) -> None:
        last_index = self._replica.journal.last_index
        while (
            not progress.probing
            and progress.snapshot_offset is None
            and progress.next_index <= last_index
            and len(progress.in_flight) < MAX_IN_FLIGHT
        ):
            self._send(name, progress)

    def on_reply(self, now: float, sender: str, reply: AppendEntriesReply) -> None:
        """Takes an answer of this term from a recorded identity into account."""
        progress = self.progress[sender]
        progress.last_reply = now
        progress.round_id = max(progress.round_id, reply.round_id)
        if not reply.success:
            self._go_back(sender, progress, reply.match_index)
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.probing = False
        progress.snapshot_offset = None
        while progress.in_flight and progress.in_flight[0] <= progress.match_index:
            progress.in_flight.popleft()
        self.send_to(sender, progress)

    def quorum_index(self) -> int:
        """The highest index that a quorum has synced, if it is of this term."""
        replica = self._replica
        matches = {name: item.match_index for name, item in self.progress.items()}
        matches[replica.name] = replica.synced_index
        index = replica.group.quorum_value(matches)
        return index if replica.journal.term_at(index) == replica.term else 0

    def _send(self, name: str, progress: Progress, heartbeat: bool = False) -> None:
        replica, journal = self._replica, self._replica.journal
        previous = progress.next_index - 1
        term = journal.term_at(previous)
        if term is None:
            if progress.snapshot_offset is None:
                progress.snapshot_offset = 0
            self.needs_snapshot.append(name)
            previous, term = journal.base_index, journal.base_term
        entries: list[LogEntry] = []
        if progress.snapshot_offset is None and (
            progress.probing or len(progress.in_flight) < MAX_IN_FLIGHT
        ):
            entries = journal.batch(progress.next_index)
        if not entries and not heartbeat:
            return
        replica.send(
            name,
            AppendEntries(
                replica.term,
                previous,
                term,
                entries,
                replica.commit_index,
                self._round_id,
            ),
        )
        if entries and not progress.probing:
            progress.next_index = entries[-1].index + 1
            progress.in_flight.append(entries[-1].index)

    def _go_back(self, name: str, progress: Progress, hint: int) -> None:
        """Continues after ``hint`` or the last index that is known to match."""
        if progress.snapshot_offset is not None:
            if hint < self._replica.journal.base_index:
                return
            progress.snapshot_offset = None
            progress.next_index = hint + 1
        lower = min(progress.next_index - 1, hint + 1)
        progress.next_index = max(progress.match_index + 1, lower)
        progress.in_flight.clear()
        progress.probing = True
        self._send(name, progress)

    def _has_quorum(self, now: float) -> bool:
        limit = self._replica.settings.timers.election_timeout_max
        return self.quorum_contact() >= now - limit

    # --- follower

    def on_append(self, now: float, sender: str, message: AppendEntries) -> bool:
        """Answers a leader; False when its term is over."""
        replica = self._replica
        if message.term < replica.term:
            self._reply(sender, False, 0, message.round_id)
            return False
        if message.term > replica.term or replica.leader != sender:
            replica.step_down(message.term, sender)
        replica.last_contact = now
        if self._verified_term != message.term:
            self._verified_term, self._verified = message.term, 0
        self._verified = max(self._verified, replica.commit_index)
        if not self._matches(message):
            hint = replica.journal.conflict_hint(message.previous_index)
            hint = max(hint, replica.commit_index)
            self._reply(sender, False, hint, message.round_id)
            return True
        stored = self._store_new(message.entries)
        last = message.previous_index + len(message.entries)
        self._verified = max(self._verified, last)
        replica.commit_index = max(
            replica.commit_index, min(message.commit_index, self._verified)
        )
        if stored:
            # Answered once the entries are synced.
            self._reply(sender, True, last, message.round_id, replica.sequence)
        else:
            self._reply_synced(sender, message.round_id)
        return True

    def _matches(self, message: AppendEntries) -> bool:
        replica = self._replica
        term = replica.journal.term_at(message.previous_index)
        if message.previous_index > replica.commit_index:
            return term == message.previous_term
        if term in (None, message.previous_term):
            return True
        # Committed entries never differ within a group: this leader is of another one.
        replica.emit_log("error", "log_diverges", index=message.previous_index)
        return False

    def _store_new(self, entries: list[LogEntry]) -> bool:
        """Stores entries from the first one on that is missing or differs."""
        replica = self._replica
        for position, entry in enumerate(entries):
            if entry.index <= replica.commit_index:
                continue
            if replica.journal.term_at(entry.index) != entry.term:
                replica.store(entries[position:])
                return True
        return False

    def _reply_synced(self, sender: str, round_id: int) -> None:
        """Acknowledges at once what is both verified and synced."""
        match = min(self._verified, self._replica.synced_index)
        self._reply(sender, True, match, round_id)

    def _reply(
        self, sender: str, success: bool, match: int, round_id: int, after: int = 0
    ) -> None:
        replica = self._replica
        replica.send(
            sender,
            AppendEntriesReply(
                replica.term, success, match, round_id, replica.identity
            ),
            after,
        )
