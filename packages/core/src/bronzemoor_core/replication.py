"""Log replication, on the leader and on the followers."""

from collections import OrderedDict, deque

from msgspec import Struct, field

from bronzemoor_core.messages import AppendEntries, AppendEntriesReply, LogEntry
from bronzemoor_core.replica import Replica

# Messages with entries that may await a peer's reply before sending pauses.
MAX_IN_FLIGHT = 8


class Progress(Struct):
    """The leader's view of one peer's log."""

    next_index: int
    last_reply: float
    identity: str = ""
    match_index: int = 0
    # While probing, the peer's match index is unknown and nothing is pipelined.
    probing: bool = True
    in_flight: deque[int] = field(default_factory=deque)
    round_id: int = 0
    # Replies to earlier rounds may come from an identity that was replaced.
    first_valid_round: int = 0
    # Bytes of the snapshot that the peer acknowledged, None while none is sent.
    snapshot_offset: int | None = None


class Replication:
    """Sends entries as leader; checks, stores and acknowledges them as follower."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._round_id = 0
        self._next_heartbeat = 0.0
        # Start time in seconds of each round that may still be confirmed.
        self._round_started: OrderedDict[int, float] = OrderedDict()
        self._confirmed_at = float("-inf")
        # Highest index that is known to match the current leader's log.
        self._verified_index = 0
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

    def start_leader_term(self, now: float) -> None:
        """Resets what is known of the peers at the start of a leader's term."""
        self.progress.clear()
        self._round_started.clear()
        self._confirmed_at = float("-inf")
        self.sync_peers(now)
        self._next_heartbeat = now

    def sync_peers(self, now: float) -> None:
        """Adds and removes peers after a change of the group."""
        names = set(self._replica.group.names) - {self._replica.name}
        for name in set(self.progress) - names:
            del self.progress[name]
        for name in sorted(names - set(self.progress)):
            self.progress[name] = Progress(
                self._replica.journal.last_index + 1,
                now,
                first_valid_round=self._round_id + 1,
            )

    def confirmed_at(self) -> float:
        """Returns when the newest round that a quorum answered started, in seconds.

        No other member can have been elected before that.
        """
        confirmed = self.confirmed_round
        while self._round_started and next(iter(self._round_started)) <= confirmed:
            self._confirmed_at = self._round_started.popitem(last=False)[1]
        return self._confirmed_at

    def last_replies(self) -> dict[str, float]:
        """Returns when each other member last answered, in seconds."""
        return {name: item.last_reply for name, item in self.progress.items()}

    def quorum_contact(self) -> float:
        """Returns when a quorum last answered, in seconds."""
        times = self.last_replies()
        times[self._replica.name] = float("inf")
        return self._replica.group.quorum_value(times)

    def on_tick(self, now: float) -> None:
        """Sends heartbeats, or steps down as a leader without a quorum."""
        replica = self._replica
        if not replica.is_leader:
            return
        if not self._has_quorum(now):
            replica.step_down(replica.term, "")
        elif now >= self._next_heartbeat:
            self.start_round(now)

    def start_round(self, now: float) -> int:
        """Sends a heartbeat to every peer; returns the round id of their replies."""
        self._round_id += 1
        self._round_started[self._round_id] = now
        self._next_heartbeat = now + self._replica.settings.timers.heartbeat_interval
        for name, progress in self.progress.items():
            self._send(name, progress, heartbeat=True)
        return self._round_id

    def send_entries(self) -> None:
        """Sends missing entries to the peers, as far as the pipeline allows."""
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
        """Handles a reply of this term from a recorded identity."""
        progress = self.progress[sender]
        progress.last_reply = now
        progress.round_id = max(progress.round_id, reply.round_id)
        if not reply.success:
            self._rewind(sender, progress, reply.match_index)
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.probing = False
        progress.snapshot_offset = None
        while progress.in_flight and progress.in_flight[0] <= progress.match_index:
            progress.in_flight.popleft()
        self.send_to(sender, progress)

    def quorum_index(self) -> int:
        """Returns the highest index that a quorum synced, 0 if not of this term."""
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

    def _rewind(self, name: str, progress: Progress, hint: int) -> None:
        """Retries after ``hint`` or the last index that is known to match."""
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
        """Handles a leader's entries; returns False if its term is outdated."""
        replica = self._replica
        if message.term < replica.term:
            self._reply(sender, False, 0, message.round_id)
            return False
        if message.term > replica.term or replica.leader != sender:
            replica.step_down(message.term, sender)
        replica.last_contact = now
        if self._verified_term != message.term:
            self._verified_term, self._verified_index = message.term, 0
        self._verified_index = max(self._verified_index, replica.commit_index)
        if not self._matches(message):
            hint = replica.journal.conflict_hint(message.previous_index)
            hint = max(hint, replica.commit_index)
            self._reply(sender, False, hint, message.round_id)
            return True
        stored = self._store_new(message.entries)
        last = message.previous_index + len(message.entries)
        self._verified_index = max(self._verified_index, last)
        replica.commit_index = max(
            replica.commit_index, min(message.commit_index, self._verified_index)
        )
        if stored:
            # Sent once the entries are synced.
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
        # Committed entries never differ in a group, so this leader is of another group.
        replica.emit_log("error", "log_diverges", index=message.previous_index)
        return False

    def _store_new(self, entries: list[LogEntry]) -> bool:
        """Stores entries from the first missing or differing one on."""
        replica = self._replica
        for position, entry in enumerate(entries):
            if entry.index <= replica.commit_index:
                continue
            if replica.journal.term_at(entry.index) != entry.term:
                replica.store(entries[position:])
                return True
        return False

    def _reply_synced(self, sender: str, round_id: int) -> None:
        """Acknowledges immediately what is both verified and synced."""
        match = min(self._verified_index, self._replica.synced_index)
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
