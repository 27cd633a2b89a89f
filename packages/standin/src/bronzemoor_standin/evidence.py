"""A recorded history with its tables, indexed for the checkers."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from bronzemoor_standin.records import Event, History, Row, Tables, Work, works


@dataclass(slots=True)
class Evidence:
    """A history with its tables, indexed for the checkers."""

    history: History
    tables: Tables
    works: list[Work]
    rows: dict[tuple[str, str, str], list[dict[str, Any]]]

    def stored(self, work: Work, table: str, request_id: str) -> list[dict[str, Any]]:
        return self.rows.get((work.database, table, request_id), [])

    def events(self, kind: str) -> list[Event]:
        found = [event for event in self.history.events if event.kind == kind]
        return sorted(found, key=lambda event: event.at)


def gather(history: History, tables: Tables) -> Evidence:
    """Indexes a history; rows are found by database, table and request id."""
    rows: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for database, contents in tables.items():
        for table, stored in contents.items():
            for row in stored:
                if "request_id" in row:
                    key = (database, table, row["request_id"])
                    rows.setdefault(key, []).append(row)
    return Evidence(history, tables, list(works(history)), rows)


def expected_rows(
    evidence: Evidence, work: Work
) -> Iterator[tuple[str, str, list[Row]]]:
    """Rows of a work by table and request id, for the tables that were read."""
    known = evidence.tables.get(work.database, {})
    groups: dict[tuple[str, str], list[Row]] = {}
    for row in work.rows:
        if row.table in known:
            groups.setdefault((row.table, row.values["request_id"]), []).append(row)
    for (table, request_id), rows in groups.items():
        yield table, request_id, rows


def row_counts(evidence: Evidence, work: Work) -> Iterator[tuple[str, int, int]]:
    """Number of rows expected and stored, by table."""
    for table, request_id, rows in expected_rows(evidence, work):
        yield table, len(rows), len(evidence.stored(work, table, request_id))
