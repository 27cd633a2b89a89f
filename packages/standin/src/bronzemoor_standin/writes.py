"""Write transactions of a primary."""

import sqlite3
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bronzemoor_standin.database import (
    DATABASE_ERRORS,
    Database,
    RequestRecord,
    Step,
)
from bronzemoor_standin.statements import Sql

if TYPE_CHECKING:
    from bronzemoor_standin.ledger import Ledger, Position

Finish = Callable[[list[dict[str, Any]]], RequestRecord | None]
# A copy that lacks more entries is replaced: replaying 1,000 takes about 20 ms.
REPLAY_LIMIT = 1000
DISK_FULL = "database or disk is full"


class Write:
    """A write; holds the lock of its term's writer until it is committed or undone.

    ``run_once`` works on the committed data directly. A transaction of several calls
    uses ``run`` and ``commit``, which work on a copy, so that nobody sees it before.
    """

    def __init__(self, ledger: "Ledger", writer: "Writer") -> None:
        self.open = True
        self._ledger = ledger
        self._writer = writer
        self._copy: Database | None = None
        self._statements: list[Sql] = []

    def find(self, request_id: str) -> RequestRecord | None:
        committed = self._ledger.committed
        with committed.lock:
            return committed.find(request_id)

    def run_once(
        self, statements: list[Sql], writing: list[Sql], finish: Finish
    ) -> "Position":
        """Runs and commits; ``finish`` gets the results and returns the record.

        After an error nothing has changed and the write is still open.
        """
        database = self._ledger.committed
        with database.lock:
            database.begin()
            try:
                self._check_disk(writing)
                record = finish(database.run(statements))
                step = self._ledger.next_step(writing, record)
                database.record(step)
                self._ledger.append(self._writer, step, database)
            finally:
                database.rollback()
            return step.position

    def run(self, statements: list[Sql], writing: list[Sql]) -> list[dict[str, Any]]:
        """Runs statements as a unit; on an error none of them has an effect."""
        if self._copy is None:
            self._copy = self._writer.current_copy()
            self._copy.begin()
        database = self._copy
        database.savepoint()
        try:
            self._check_disk(writing)
            results = database.run(statements)
        except DATABASE_ERRORS:
            # Some errors make sqlite3 roll the whole transaction back by itself.
            if database.in_transaction:
                database.release(keep=False)
            else:
                self.rollback()
            raise
        database.release(keep=True)
        self._statements += writing
        return results

    def commit(self, record: RequestRecord | None) -> "Position":
        """Appends the transaction to the log; raises ``Refused`` after a rollback."""
        database = self._ledger.committed
        try:
            with database.lock:
                step = self._ledger.next_step(self._statements, record)
                database.begin()
                try:
                    database.run_step(step)
                    self._ledger.append(self._writer, step, database)
                finally:
                    database.rollback()
            if self._copy is not None:
                self._copy.record(step)
                self._copy.commit()
                self._copy.applied = step.position
            return step.position
        finally:
            self.rollback()

    def rollback(self) -> None:
        if self.open:
            self.open = False
            if self._copy is not None:
                self._copy.rollback()
            self._writer.lock.release()

    def _check_disk(self, writing: list[Sql]) -> None:
        if writing and self._ledger.faults.disk_full:
            raise sqlite3.OperationalError(DISK_FULL)


class Writer:
    """Serialises the writes of one term and keeps the copy for open transactions."""

    def __init__(self, ledger: "Ledger", term: int) -> None:
        self.term = term
        self.lock = threading.Lock()
        self._ledger = ledger
        self._copy: Database | None = None

    def current_copy(self) -> Database:
        """The copy, brought up to date; call with ``lock`` held, so nothing commits."""
        committed = self._ledger.committed
        if self._copy is None:
            self._copy = Database(committed.retention)
        start = self._copy.applied[1]
        if committed.applied[1] - start > REPLAY_LIMIT:
            with committed.lock:
                self._copy.copy_from(committed)
            return self._copy
        entries = self._ledger.state.log.entries[start : committed.applied[1]]
        with self._copy.lock:
            self._copy.apply([Step.of(entry) for entry in entries])
        return self._copy
