"""Stores a member's terms and log in a file, so that they survive a restart."""

import json
import sqlite3

from bronzemoor_standin.replication import Entry, ReplicationState

_SCHEMA = """
CREATE TABLE IF NOT EXISTS entries (
    offset INTEGER PRIMARY KEY, term INTEGER NOT NULL, body BLOB NOT NULL
);
CREATE TABLE IF NOT EXISTS state (name TEXT PRIMARY KEY, value TEXT NOT NULL);
"""


class Journal:
    """Persists the terms and log of a ``ReplicationState`` in a sqlite3 file.

    Calls must be serialised. ``sync`` returns once the data is synced to disk.
    """

    def __init__(self, path: str) -> None:
        self._connection = sqlite3.connect(
            path, isolation_level=None, check_same_thread=False
        )
        self._connection.execute("PRAGMA journal_mode = TRUNCATE")
        self._connection.execute("PRAGMA synchronous = FULL")
        self._connection.executescript(_SCHEMA)
        self._stored_offset = 0
        self._stored_terms = ""

    def load(self, state: ReplicationState) -> None:
        """Restores terms and log; the member starts as a replica without a primary."""
        row = self._connection.execute("SELECT value FROM state").fetchone()
        if row:
            self._stored_terms = row[0]
            terms = json.loads(row[0])
            state.accepted_term = terms["accepted_term"]
            state.term = terms["term"]
            state.log.history = {int(t): s for t, s in terms["history"].items()}
        rows = self._connection.execute(
            "SELECT term, offset, body FROM entries ORDER BY offset"
        )
        for row in rows:
            state.log.append(Entry(*row))
        self._stored_offset = state.log.last[1]
        state.log.truncated_to = None

    def sync(self, state: ReplicationState) -> None:
        """Stores the changes since the last call; raises ``sqlite3.Error``."""
        log = state.log
        terms = json.dumps(
            {
                "accepted_term": state.accepted_term,
                "term": state.term,
                "history": log.history,
            }
        )
        truncated = log.truncated_to
        if (
            terms == self._stored_terms
            and truncated is None
            and log.last[1] == self._stored_offset
        ):
            return
        kept = (
            self._stored_offset
            if truncated is None
            else min(truncated, self._stored_offset)
        )
        connection = self._connection
        connection.execute("BEGIN IMMEDIATE")
        try:
            connection.execute("DELETE FROM entries WHERE offset > ?", (kept,))
            connection.executemany(
                "INSERT INTO entries VALUES (?, ?, ?)",
                ((e.offset, e.term, e.body) for e in log.entries[kept:]),
            )
            connection.execute(
                "INSERT OR REPLACE INTO state VALUES ('terms', ?)", (terms,)
            )
            connection.execute("COMMIT")
        except sqlite3.Error:
            if connection.in_transaction:
                connection.execute("ROLLBACK")
            raise
        self._stored_offset, self._stored_terms, log.truncated_to = (
            log.last[1],
            terms,
            None,
        )

    def close(self) -> None:
        self._connection.close()
