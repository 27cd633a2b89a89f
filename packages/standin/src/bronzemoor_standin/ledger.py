"""The log and data of one member: reads, writes, orders and replication."""

import sqlite3
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from bronzemoor_standin.applier import Applier
from bronzemoor_standin.database import (
    Database,
    RequestRecord,
    Retention,
    Step,
    Transaction,
)
from bronzemoor_standin.faults import Faults
from bronzemoor_standin.journal import Journal
from bronzemoor_standin.replication import (
    PRIMARY,
    Batch,
    BatchAnswer,
    Refusal,
    ReplicationState,
    covers,
)
from bronzemoor_standin.statements import Sql
from bronzemoor_standin.writes import DISK_FULL_MESSAGE, Write, Writer

Position = tuple[int, int]


class Refused(Exception):
    """The call was refused before anything ran."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that waits for a majority; ``changed`` uses the ledger's lock."""

    condition: Callable[[], bool]
    changed: threading.Condition


class Ledger:
    """The log, the committed data and, on a primary, the writer of one member.

    Lock order: a writer's lock, ``applier.apply_lock``, ``committed.lock``, ``lock``.
    """

    def __init__(
        self,
        name: str,
        members: tuple[str, ...],
        faults: Faults,
        retention: Retention,
        journal: Journal | None = None,
    ) -> None:
        self.faults = faults
        self.lock = threading.RLock()
        self.log_changed = threading.Condition(self.lock)
        self._waiters: set[_Waiter] = set()
        self.state = ReplicationState(name, members)
        self.committed = Database(retention)
        self.schema: list[Sql] = []
        self.last_contact_at = float("-inf")
        # Earliest send time of a replication round that can answer a waiting lookup.
        self.round_wanted_at = float("-inf")
        self._journal = journal
        if journal is not None:
            journal.load(self.state)
        self._writer: Writer | None = None
        self.applier = Applier(
            self.state.log, self.lock, self.committed, lambda: self.faults.lag_ms
        )

    def _persist(self) -> None:
        if self._journal is not None:
            self._journal.sync(self.state)

    # --- reads

    def read(
        self, statements: list[Sql], min_position: Position, timeout: float
    ) -> tuple[list[dict[str, Any]], Position]:
        """Runs reads at or after ``min_position``; waits up to ``timeout`` seconds."""
        database = self.committed
        with database.lock:
            self.wait_for_position(min_position, timeout)
            return database.run(statements), database.applied

    def wait_for_position(self, min_position: Position, timeout: float) -> None:
        """Raises ``Refused`` unless the position is reached in ``timeout`` seconds."""
        state, database = self.state, self.committed
        refusal = state.refusal_of_read()
        if refusal is not None:
            raise Refused(refusal.code, refusal.message)

        def reached() -> bool:
            return not self.applier.rebuilding and covers(
                state.log.history, database.applied, min_position
            )

        with database.lock:
            if not reached() and not database.wait_for(reached, timeout):
                if self.applier.rebuilding:
                    raise Refused("behind", "discarded entries are being undone")
                raise Refused("behind", f"at {database.applied}, wanted {min_position}")

    def find(self, request_id: str) -> RequestRecord | None:
        """The committed record of ``request_id``; raises ``Refused`` on a replica."""
        with self.committed.lock, self.lock:
            self._require_writer()
            return self.committed.find(request_id)

    # --- writes

    def open_write(self, timeout: float) -> Write:
        """Acquires the writer's lock; raises ``Refused`` on timeout or as a replica."""
        with self.lock:
            writer = self._require_writer()
        if not writer.lock.acquire(timeout=max(timeout, 0)):
            raise Refused("deadline", "waited too long for the write lock")
        if writer is not self._writer:
            writer.lock.release()
            with self.lock:
                self._require_writer()
            raise Refused("stale_term", f"term {writer.term} is over")
        return Write(self, writer)

    def next_step(self, writing: list[Sql], record: RequestRecord | None) -> Step:
        """Returns the next log step; the caller holds the writer's lock."""
        offset = self.state.log.last[1] + 1
        return Step(Transaction(writing, record), self.state.term, offset)

    def append(self, writer: Writer, step: Step, database: Database) -> None:
        """Appends ``step``, which ran in ``database``, to the log and commits both."""
        body = step.transaction.encode()
        with self.lock:
            if self._require_writer() is not writer:
                raise Refused("stale_term", f"term {writer.term} is over")
            self.state.append(body)
            try:
                if self.faults.disk_full:
                    raise sqlite3.OperationalError(DISK_FULL_MESSAGE)
                self._persist()
            except sqlite3.Error:
                self.state.log.truncate(step.offset - 1)
                raise
            database.commit()
            database.applied = step.position
            self.log_changed.notify_all()
            if len(self.state.members) == 1:
                self._wake_waiters()
        database.applied_changed.notify_all()

    def _require_writer(self) -> Writer:
        refusal = self.state.refusal_of_write()
        if refusal is not None:
            raise Refused(refusal.code, refusal.message)
        assert self._writer is not None
        return self._writer

    def position_in_current_term(self, offset: int) -> Position:
        """Returns the position of an entry of any term in the primary's current term.

        Daemons treat an answer with an older term as one of a replaced primary, so an
        older record is reported as part of the current term's log.
        """
        return (self.state.term, offset)

    # --- the majority

    def confirm(self, position: Position, timeout: float) -> None:
        """Waits until a majority holds ``position``; raises ``Refused`` on timeout."""

        def held() -> bool:
            return self.state.majority_offset >= max(position[1], 1)

        with self.lock:
            self._require_writer()
            log = self.state.log
            if not covers(log.history, (self.state.term, log.last[1]), position):
                raise Refused("position_discarded", f"{position} is not in the log")
        self._wait_for_majority(held, timeout)

    def confirm_term(self, timeout: float) -> None:
        """Waits until a majority accepts this primary in a round sent from now on."""
        since = time.monotonic()

        def confirmed() -> bool:
            moment = self.state.confirmed_at(time.monotonic())
            return moment is not None and moment >= since

        with self.lock:
            self.round_wanted_at = since
            self.log_changed.notify_all()
        self._wait_for_majority(confirmed, timeout)

    def _wait_for_majority(self, condition: Callable[[], bool], timeout: float) -> None:
        deadline = time.monotonic() + timeout
        waiter = _Waiter(condition, threading.Condition(self.lock))
        with self.lock:
            self._waiters.add(waiter)
            try:
                while True:
                    self._require_writer()
                    if condition():
                        return
                    remaining = deadline - time.monotonic()
                    if remaining <= 0:
                        raise Refused("not_confirmed", "no majority answered in time")
                    waiter.changed.wait(remaining)
            finally:
                self._waiters.discard(waiter)

    def _wake_waiters(self, wake_all: bool = False) -> None:
        """Wakes only calls whose condition holds: an acknowledgement satisfies few."""
        for waiter in self._waiters:
            if wake_all or waiter.condition():
                waiter.changed.notify()

    def acknowledge(
        self, peer: str, batch: Batch, answer: BatchAnswer, sent_at: float
    ) -> None:
        """Processes a replica's answer and wakes the calls that it satisfies."""
        with self.lock:
            role = self.state.role
            self.state.acknowledge(peer, batch, answer, sent_at)
            if self.state.role != role:
                self._persist()
                self._role_changed()
            self._wake_waiters()

    # --- orders

    def fence(self, term: int) -> Refusal | None:
        with self.lock:
            refusal = self.state.fence(term)
            self._persist()
            self._role_changed()
            return refusal

    def promote(
        self, term: int, start_offset: int, members: tuple[str, ...]
    ) -> Refusal | None:
        """Applies the rest of the log and starts the writer of the new term."""
        body = Transaction(self.schema if start_offset == 0 else []).encode()
        with self.applier.apply_lock, self.committed.lock, self.lock:
            refusal = self.state.promote(term, start_offset, members, body)
            writer = self._writer
            if refusal is not None or (writer is not None and writer.term == term):
                return refusal
            self._persist()
            while self.applier.apply_some(ignore_lag=True):
                pass
            self._writer = Writer(self, term)
            self._role_changed()
            return None

    def follow(
        self, term: int, primary: str, start_offset: int, members: tuple[str, ...]
    ) -> Refusal | None:
        with self.lock:
            refusal = self.state.follow(term, primary, start_offset, members)
            if refusal is None:
                self.last_contact_at = time.monotonic()
            self._persist()
            self.applier.rebuild_if_truncated()
            self._role_changed()
            return refusal

    def step_down(self) -> None:
        """Gives up the role of primary, as a restart does; the term is kept."""
        with self.lock:
            self.state.step_down()
            self._role_changed()

    def _role_changed(self) -> None:
        if self.state.role != PRIMARY:
            self._writer = None
        self.log_changed.notify_all()
        self._wake_waiters(wake_all=True)

    # --- replication

    def replicate(self, batch: Batch) -> BatchAnswer:
        """Stores a batch, which the applier applies after the replica's lag."""
        if self.faults.disk_full:
            batch = replace(batch, entries=[])
        with self.lock:
            role = self.state.role
            answer = self.state.replicate(batch)
            self._persist()
            if answer.term == batch.term:
                self.last_contact_at = time.monotonic()
            self.applier.rebuild_if_truncated()
            if batch.entries and answer.accepted:
                self.applier.record_arrival(answer.offset)
            if self.state.role != role:
                self._role_changed()
            return answer
