"""The data of one member: an in-memory sqlite3 database with the request-id table."""

import json
import sqlite3
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bronzemoor_standin.replication import Entry
from bronzemoor_standin.statements import Sql

_SCHEMA = """
CREATE TABLE request_records (
    request_id TEXT PRIMARY KEY,
    digest TEXT NOT NULL,
    reservation TEXT NOT NULL,
    state TEXT NOT NULL,
    payload BLOB NOT NULL,
    term INTEGER NOT NULL,
    offset INTEGER NOT NULL,
    recorded_at REAL NOT NULL
) WITHOUT ROWID
"""
RESERVED = "reserved"
DONE = "done"
FAILED = "failed"
# Raised by failing statements: Warning for several statements in one text,
# ValueError for text that cannot be stored.
DATABASE_ERRORS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)
# Request records are pruned at multiples of this offset, which are the same on all
# members.
PRUNE_INTERVAL_ENTRIES = 256


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """State and result recorded for a request id; ``recorded_at`` in epoch seconds."""

    request_id: str
    digest: str
    reservation: str
    state: str
    payload: bytes
    term: int = 0
    offset: int = 0
    recorded_at: float = 0.0


@dataclass(slots=True, frozen=True)
class Transaction:
    """The decoded body of a log entry."""

    statements: list[Sql]
    record: RequestRecord | None = None

    def encode(self) -> bytes:
        body: dict[str, Any] = {
            "statements": [[s.text, s.params] for s in self.statements]
        }
        if self.record is not None:
            record = self.record
            body["request"] = {
                "request_id": record.request_id,
                "digest": record.digest,
                "reservation": record.reservation,
                "state": record.state,
                "payload": record.payload.decode(),
                "recorded_at": record.recorded_at,
            }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, body: bytes) -> "Transaction":
        data = json.loads(body)
        request = data.get("request")
        record = None
        if request:
            record = RequestRecord(
                **{**request, "payload": request["payload"].encode()}
            )
        return cls([Sql(text, params) for text, params in data["statements"]], record)


@dataclass(slots=True, frozen=True)
class Step:
    """A decoded transaction with its position in the log."""

    transaction: Transaction
    term: int
    offset: int

    @property
    def position(self) -> tuple[int, int]:
        return (self.term, self.offset)

    @classmethod
    def from_entry(cls, entry: Entry) -> "Step":
        return cls(Transaction.decode(entry.body), entry.term, entry.offset)


@dataclass(slots=True, frozen=True)
class Retention:
    """How long and how many request records are kept.

    A request that is retried after its record was pruned runs again, so the age must
    exceed the longest time after which callers or daemons retry. Reservations without
    a result are pruned by age only.
    """

    max_age_seconds: float = 86_400.0
    max_records: int = 1_000_000


class Database:
    """Data and request records of a member in one sqlite3 connection.

    Every method that touches data must be called with ``lock`` held.
    """

    def __init__(self, retention: Retention | None = None) -> None:
        self.retention = retention or Retention()
        self.lock = threading.RLock()
        self.applied_changed = threading.Condition(self.lock)
        self.applied = (0, 0)
        self._connection = _connect()
        self._connection.execute(_SCHEMA)

    @property
    def in_transaction(self) -> bool:
        return self._connection.in_transaction

    def begin(self) -> None:
        self._connection.execute("BEGIN")

    def commit(self) -> None:
        self._connection.execute("COMMIT")

    def rollback(self) -> None:
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")

    def savepoint(self) -> None:
        self._connection.execute("SAVEPOINT call")

    def end_savepoint(self, keep: bool) -> None:
        """Ends the savepoint; rolls back to it first unless ``keep``."""
        if not keep:
            self._connection.execute("ROLLBACK TO call")
        self._connection.execute("RELEASE call")

    def run(self, statements: Iterable[Sql]) -> list[dict[str, Any]]:
        """Runs statements; raises one of ``DATABASE_ERRORS``."""
        results = []
        for statement in statements:
            cursor = self._connection.execute(statement.text, statement.params)
            if cursor.description is None:
                columns: list[str] = []
                rows: list[Any] = []
                count = max(cursor.rowcount, 0)
            else:
                columns = [column[0] for column in cursor.description]
                rows = cursor.fetchall()
                count = len(rows)
            results.append({"columns": columns, "rows": rows, "row_count": count})
        return results

    def find(self, request_id: str) -> RequestRecord | None:
        row = self._connection.execute(
            "SELECT request_id, digest, reservation, state, payload, term, offset,"
            " recorded_at FROM request_records WHERE request_id = ?",
            (request_id,),
        ).fetchone()
        return RequestRecord(*row) if row else None

    def record(self, step: Step) -> None:
        """Records the request of ``step``, if any, and prunes old records."""
        record = step.transaction.record
        if record is not None:
            self._connection.execute(
                "REPLACE INTO request_records VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    record.request_id,
                    record.digest,
                    record.reservation,
                    record.state,
                    record.payload,
                    step.term,
                    step.offset,
                    record.recorded_at,
                ),
            )
            if step.offset % PRUNE_INTERVAL_ENTRIES == 0:
                self._prune(record.recorded_at)

    def _prune(self, now: float) -> None:
        self._connection.execute(
            "DELETE FROM request_records WHERE recorded_at < ?",
            (now - self.retention.max_age_seconds,),
        )
        self._connection.execute(
            "DELETE FROM request_records WHERE state <> ? AND offset <= ("
            "SELECT offset FROM request_records ORDER BY offset DESC LIMIT 1 OFFSET ?)",
            (RESERVED, self.retention.max_records),
        )

    def run_step(self, step: Step) -> None:
        """Runs a logged transaction and records its request."""
        self.run(step.transaction.statements)
        self.record(step)

    def apply(self, steps: Iterable[Step]) -> None:
        """Applies log entries in order in one sqlite3 transaction."""
        self.begin()
        applied = self.applied
        try:
            for step in steps:
                self.run_step(step)
                applied = step.position
        except BaseException:
            self.rollback()
            raise
        self.commit()
        self.applied = applied
        self.applied_changed.notify_all()

    def copy_from(self, other: "Database") -> None:
        """Replaces the data with that of ``other``."""
        self._connection.close()
        self._connection = _connect()
        other._connection.backup(self._connection)
        self.applied = other.applied

    def reset(self) -> None:
        """Discards all data, so that the log can be replayed."""
        self._connection.close()
        self._connection = _connect()
        self._connection.execute(_SCHEMA)
        self.applied = (0, 0)

    def wait_for(self, reached: Any, timeout: float) -> bool:
        """Waits up to ``timeout`` seconds and returns whether ``reached()`` holds."""
        deadline = time.monotonic() + timeout
        while not reached():
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self.applied_changed.wait(remaining):
                return bool(reached())
        return True


def _connect() -> sqlite3.Connection:
    return sqlite3.connect(
        ":memory:",
        isolation_level=None,
        check_same_thread=False,
        cached_statements=512,
    )
