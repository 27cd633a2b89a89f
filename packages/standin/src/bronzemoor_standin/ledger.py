"""The log and the data of one member: reads, writes, orders and replication.

Lock order: ``apply_lock``, ``lock`` (terms and log), ``committed.lock`` (data).
"""

import sqlite3
import threading
import time
from collections import deque
from typing import Any

from bronzemoor_standin.database import Database, RequestRecord, Step, Transaction
from bronzemoor_standin.replication import (
    PRIMARY,
    Batch,
    BatchAnswer,
    Refusal,
    ReplicationState,
    covers,
)
from bronzemoor_standin.statements import Sql

APPLY_BATCH = 200
Position = tuple[int, int]


class Refused(Exception):
    """The call was refused before anything ran."""

    def __init__(self, code: str, message: str, payload: bytes = b"") -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.payload = payload


class Writer:
    """The primary's writing connection during one term."""

    def __init__(self, term: int, source: Database) -> None:
        self.term = term
        self.lock = threading.Lock()
        self.database = Database()
        self.database.copy_from(source)


class Write:
    """A write transaction; holds the writer's lock until ``commit`` or ``rollback``."""

    def __init__(self, ledger: "Ledger", writer: Writer) -> None:
        self._ledger = ledger
        self._writer = writer
        self._statements: list[Sql] = []
        self._open = True
        writer.database.begin()

    def find(self, request_id: str) -> RequestRecord | None:
        return self._writer.database.find(request_id)

    def run(self, statements: list[Sql], writing: list[Sql]) -> list[dict[str, Any]]:
        """Runs statements as a unit; on an error none of them has an effect."""
        database = self._writer.database
        database.savepoint()
        try:
            results = database.run(statements)
        except (sqlite3.Error, OverflowError):
            database.release(keep=False)
            raise
        database.release(keep=True)
        self._statements += writing
        return results

    def commit(self, record: RequestRecord | None) -> Position:
        """Appends the transaction to the log; raises ``Refused`` after a rollback."""
        transaction = Transaction(self._statements, record)
        body = transaction.encode()
        try:
            return self._ledger.commit(self._writer, transaction, body)
        finally:
            self.rollback()

    def rollback(self) -> None:
        if self._open:
            self._open = False
            self._writer.database.rollback()
            self._writer.lock.release()


class Ledger:
    """Log, committed data and, on a primary, the writer of one member."""

    def __init__(self, name: str, members: tuple[str, ...]) -> None:
        self.apply_lock = threading.Lock()
        self.lock = threading.RLock()
        self.log_changed = threading.Condition(self.lock)
        self.majority_changed = threading.Condition(self.lock)
        self.state = ReplicationState(name, members)
        self.committed = Database()
        self.lag_ms = 0.0
        self.schema: list[Sql] = []
        self.heard_at = float("-inf")
        self._writer: Writer | None = None
        self._arrivals: deque[tuple[int, float]] = deque()
        self._rebuilding = False

    # --- reads

    def read(
        self, statements: list[Sql], wanted: Position, wait: float
    ) -> tuple[list[dict[str, Any]], Position]:
        """Runs reads at or after ``wanted``; waits at most ``wait`` seconds for it."""
        database = self.committed
        with database.lock:
            self.require(wanted, wait)
            return database.run(statements), database.applied

    def require(self, wanted: Position, wait: float) -> None:
        """Raises ``Refused`` (``behind``) unless ``wanted`` is reached in time."""
        database = self.committed

        def reached() -> bool:
            return not self._rebuilding and covers(
                self.state.log.history, database.applied, wanted
            )

        with database.lock:
            if not reached() and not database.wait_for(reached, wait):
                if self._rebuilding:
                    raise Refused("rebuilding", "discarded entries are being undone")
                raise Refused("behind", f"at {database.applied}, wanted {wanted}")

    # --- writes

    def open_write(self, timeout: float) -> Write:
        """Waits for the writer's lock; raises ``Refused`` when not primary or late."""
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

    def commit(self, writer: Writer, transaction: Transaction, body: bytes) -> Position:
        """Commits to the log and to the data that reads see; called by ``Write``."""
        with self.lock:
            if self._require_writer() is not writer:
                raise Refused("stale_term", f"term {writer.term} is over")
            term, offset = self.state.term, self.state.log.last[1] + 1
            if transaction.record is not None:
                writer.database.record(transaction.record, term, offset)
            writer.database.commit()
            self.state.append(body)
            with self.committed.lock:
                self.committed.apply([Step(transaction, term, offset)])
            self.log_changed.notify_all()
            self._note_majority()
            return (term, offset)

    def _require_writer(self) -> Writer:
        refusal = self.state.refusal_of_write()
        if refusal is not None:
            raise Refused(refusal.code, refusal.message)
        assert self._writer is not None
        return self._writer

    # --- the majority

    def confirm(self, position: Position, wait: float) -> None:
        """Waits until a majority holds ``position``; raises ``Refused`` otherwise."""
        until = time.monotonic() + wait
        with self.lock:
            while True:
                self._require_writer()
                term, offset = position
                if offset and not self.state.log.holds(term, offset):
                    raise Refused("position_discarded", f"{position} is not in the log")
                if self.state.majority_offset >= max(offset, 1):
                    return
                left = until - time.monotonic()
                if left <= 0:
                    raise Refused("not_confirmed", "no majority holds the position yet")
                self.majority_changed.wait(left)

    def acknowledge(
        self, peer: str, batch: Batch, answer: BatchAnswer, sent_at: float
    ) -> None:
        """Passes a replica's answer to the rules and wakes those who wait for it."""
        with self.lock:
            role = self.state.role
            self.state.acknowledge(peer, batch, answer, sent_at)
            if self.state.role != role:
                self._role_changed()
            self._note_majority()

    def _note_majority(self) -> None:
        self.majority_changed.notify_all()

    # --- orders

    def fence(self, term: int) -> Refusal | None:
        with self.lock:
            refusal = self.state.fence(term)
            self._role_changed()
            return refusal

    def promote(
        self, term: int, start_offset: int, members: tuple[str, ...]
    ) -> Refusal | None:
        """Applies what the log holds and starts the writer of the new term."""
        body = Transaction(self.schema if start_offset == 0 else []).encode()
        with self.apply_lock, self.lock:
            refusal = self.state.promote(term, start_offset, members, body)
            if refusal is not None or self._writer_of(term):
                return refusal
            while self._apply_some(ignore_lag=True):
                pass
            self._writer = Writer(term, self.committed)
            self._role_changed()
            return None

    def _writer_of(self, term: int) -> bool:
        return self._writer is not None and self._writer.term == term

    def follow(
        self, term: int, primary: str, start_offset: int, members: tuple[str, ...]
    ) -> Refusal | None:
        with self.lock:
            refusal = self.state.follow(term, primary, start_offset, members)
            if refusal is None:
                self.heard_at = time.monotonic()
            self._log_replaced()
            self._role_changed()
            return refusal

    def _role_changed(self) -> None:
        if self.state.role != PRIMARY:
            self._writer = None
        self.log_changed.notify_all()
        self.majority_changed.notify_all()

    # --- replication

    def replicate(self, batch: Batch) -> BatchAnswer:
        """Stores a batch; the applier thread applies it after the replica's lag."""
        with self.lock:
            role = self.state.role
            answer = self.state.replicate(batch)
            if answer.term == batch.term:
                self.heard_at = time.monotonic()
            self._log_replaced()
            if batch.entries and answer.accepted:
                self._arrivals.append((answer.offset, time.monotonic()))
                self.log_changed.notify_all()
            if self.state.role != role:
                self._role_changed()
            return answer

    def _log_replaced(self) -> None:
        """Starts a rebuild when applied entries were discarded from the log."""
        term, offset = self.committed.applied
        if not self.state.log.holds(term, offset):
            self._rebuilding = True
            self.log_changed.notify_all()

    def apply_pending(self, timeout: float) -> None:
        """One round of the applier thread; waits up to ``timeout`` s for work."""
        with self.apply_lock:
            worked = self._apply_some()
        if not worked:
            with self.lock:
                if not self._steps_due(False) and not self._rebuilding:
                    self.log_changed.wait(self._until_due(timeout))

    def _apply_some(self, ignore_lag: bool = False) -> bool:
        with self.lock:
            if self._rebuilding and not self.state.log.holds(*self.committed.applied):
                with self.committed.lock:
                    self.committed.reset()
            count = self._steps_due(ignore_lag or self._rebuilding)
            start = self.committed.applied[1]
            entries = self.state.log.entries[start : start + min(count, APPLY_BATCH)]
            if not entries:
                self._finish_rebuild()
                return False
        steps = [Step.of(entry) for entry in entries]
        with self.lock, self.committed.lock:
            last = entries[-1]
            if self.state.log.holds(last.term, last.offset):
                self.committed.apply(steps)
        return True

    def _finish_rebuild(self) -> None:
        if self._rebuilding:
            with self.committed.lock:
                self._rebuilding = False
                self.committed.advanced.notify_all()

    def _steps_due(self, ignore_lag: bool) -> int:
        """Number of entries beyond the applied ones that may be applied now."""
        applied = self.committed.applied[1]
        if ignore_lag or self.lag_ms <= 0:
            self._arrivals.clear()
            return self.state.log.last[1] - applied
        due = applied
        moment = time.monotonic() - self.lag_ms / 1000
        while self._arrivals and self._arrivals[0][1] <= moment:
            due = max(due, self._arrivals.popleft()[0])
        return min(due, self.state.log.last[1]) - applied

    def _until_due(self, timeout: float) -> float:
        if not self._arrivals:
            return timeout
        due = self._arrivals[0][1] + self.lag_ms / 1000
        return max(0.0, min(timeout, due - time.monotonic()))
