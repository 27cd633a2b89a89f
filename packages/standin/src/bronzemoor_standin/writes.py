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

RecordFactory = Callable[[list[dict[str, Any]]], RequestRecord | None]
# A copy that lags by more entries is replaced: replaying 1,000 takes about 20 ms.
MAX_REPLAYED_ENTRIES = 1000
DISK_FULL_MESSAGE = "database or disk is full"


class Write:
    """A write transaction; holds its term's write lock until commit or rollback.

    ``run_once`` works on the committed data directly. A transaction of several calls
    uses ``run`` and ``commit``, which work on a copy to keep it invisible until then.
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
        self,
        statements: list[Sql],
        write_statements: list[Sql],
        make_record: RecordFactory,
    ) -> "Position":
        """Runs and commits; ``make_record`` turns the results into the request record.

        On an error nothing is changed and the write stays open.
        """
        database = self._ledger.committed
        with database.lock:
            database.begin()
            try:
                self._check_disk(write_statements)
                record = make_record(database.run(statements))
                step = self._ledger.next_step(write_statements, record)
                database.record(step)
                self._ledger.append(self._writer, step, database)
            finally:
                database.rollback()
            return step.position

    def run(
        self, statements: list[Sql], write_statements: list[Sql]
    ) -> list[dict[str, Any]]:
        """Runs statements atomically: on an error none of them has an effect."""
        if self._copy is None:
            self._copy = self._writer.current_copy()
            self._copy.begin()
        database = self._copy
        database.savepoint()
        try:
            self._check_disk(write_statements)
            results = database.run(statements)
        except DATABASE_ERRORS:
            # On some errors sqlite3 rolls back the whole transaction itself.
            if database.in_transaction:
                database.end_savepoint(keep=False)
            else:
                self.rollback()
            raise
        database.end_savepoint(keep=True)
        self._statements += write_statements
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

    def _check_disk(self, write_statements: list[Sql]) -> None:
        if write_statements and self._ledger.faults.disk_full:
            raise sqlite3.OperationalError(DISK_FULL_MESSAGE)


class Writer:
    """Serialises the writes of one term and owns the copy for open transactions."""

    def __init__(self, ledger: "Ledger", term: int) -> None:
        self.term = term
        self.lock = threading.Lock()
        self._ledger = ledger
        self._copy: Database | None = None

    def current_copy(self) -> Database:
        """Returns the up-to-date copy; needs ``lock`` held, so that nothing commits."""
        committed = self._ledger.committed
        if self._copy is None:
            self._copy = Database(committed.retention)
        start = self._copy.applied[1]
        if committed.applied[1] - start > MAX_REPLAYED_ENTRIES:
            with committed.lock:
                self._copy.copy_from(committed)
            return self._copy
        entries = self._ledger.state.log.entries[start : committed.applied[1]]
        with self._copy.lock:
            self._copy.apply([Step.from_entry(entry) for entry in entries])
        return self._copy
