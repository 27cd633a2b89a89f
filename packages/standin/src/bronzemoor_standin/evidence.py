"""Indexes a recorded history and its tables for the checkers."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from bronzemoor_standin.records import Event, History, Row, Tables, Work, units_of_work


@dataclass(slots=True)
class IndexedHistory:
    """A history with its tables, indexed for the checkers."""

    history: History
    tables: Tables
    units: list[Work]
    rows: dict[tuple[str, str, str], list[dict[str, Any]]]

    def stored_rows(
        self, work: Work, table: str, request_id: str
    ) -> list[dict[str, Any]]:
        return self.rows.get((work.database, table, request_id), [])

    def events(self, kind: str) -> list[Event]:
        found = [event for event in self.history.events if event.kind == kind]
        return sorted(found, key=lambda event: event.at)


def index_history(history: History, tables: Tables) -> IndexedHistory:
    """Indexes the stored rows by database, table and request id."""
    rows: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for database, contents in tables.items():
        for table, stored in contents.items():
            for row in stored:
                if "request_id" in row:
                    key = (database, table, row["request_id"])
                    rows.setdefault(key, []).append(row)
    return IndexedHistory(history, tables, list(units_of_work(history)), rows)


def expected_rows(
    indexed: IndexedHistory, work: Work
) -> Iterator[tuple[str, str, list[Row]]]:
    """Yields a unit's rows by table and request id, for the tables that were read."""
    known_tables = indexed.tables.get(work.database, {})
    expected: dict[tuple[str, str], list[Row]] = {}
    for row in work.rows:
        if row.table in known_tables:
            expected.setdefault((row.table, row.values["request_id"]), []).append(row)
    for (table, request_id), rows in expected.items():
        yield table, request_id, rows


def row_counts(indexed: IndexedHistory, work: Work) -> Iterator[tuple[str, int, int]]:
    """Yields the numbers of rows expected and stored, by table."""
    for table, request_id, rows in expected_rows(indexed, work):
        yield table, len(rows), len(indexed.stored_rows(work, table, request_id))
