"""Tests of the database of one member."""

import sqlite3

import pytest

from bronzemoor_standin.database import (
    DONE,
    PRUNE_INTERVAL_ENTRIES,
    RESERVED,
    Database,
    RequestRecord,
    Retention,
    Step,
    Transaction,
)
from bronzemoor_standin.statements import Sql


def step(offset, *texts, record=None):
    return Step(Transaction([Sql(t, []) for t in texts], record), 1, offset)


def apply(database, *steps):
    with database.lock:
        database.apply(steps)


def test_transaction_is_unchanged_by_encoding_and_decoding():
    """Guards against a replica that applies another transaction than the primary."""
    record = RequestRecord("r", "d", "x", DONE, b'[{"rows":[]}]', recorded_at=2.5)
    transaction = Transaction(
        [Sql("INSERT INTO t VALUES (?)", ["é", None, 1.1])], record
    )
    assert Transaction.decode(transaction.encode()) == transaction


def test_failed_batch_has_no_effect():
    """Guards against the visible effect of a transaction that failed halfway."""
    database = Database()
    apply(database, step(1, "CREATE TABLE t (a)"))
    with pytest.raises(sqlite3.Error):
        apply(
            database, step(2, "INSERT INTO t VALUES (1)", "INSERT INTO nope VALUES (1)")
        )
    assert database.run([Sql("SELECT * FROM t", [])])[0]["rows"] == []
    assert database.applied == (1, 1)


def test_copy_and_reset():
    """Guards against a copy that shares data, and a reset that keeps old data."""
    one, two = Database(), Database()
    apply(one, step(1, "CREATE TABLE t (a)"))
    two.copy_from(one)
    apply(two, step(2, "DROP TABLE t"))
    assert one.run([Sql("SELECT * FROM t", [])])[0]["columns"] == ["a"]
    one.reset()
    assert one.applied == (0, 0)
    assert one.find("r") is None


def test_old_records_are_pruned_but_open_reservations_stay():
    """Guards against unbounded growth, and a reserved request that runs twice."""
    database = Database(
        Retention(max_age_seconds=100.0, max_records=PRUNE_INTERVAL_ENTRIES // 2)
    )
    records = [
        RequestRecord(
            f"r{i}", "d", "", RESERVED if i == 150 else DONE, b"", recorded_at=i
        )
        for i in range(1, PRUNE_INTERVAL_ENTRIES + 1)
    ]
    apply(database, *(step(i, record=r) for i, r in enumerate(records, start=1)))
    kept = database.run([Sql("SELECT count(*) FROM request_records", [])])[0]["rows"]
    assert kept == [(101,)]
    database = Database(Retention(max_records=10))
    apply(database, *(step(i, record=r) for i, r in enumerate(records, start=1)))
    assert database.find("r150").state == RESERVED
    assert database.find(f"r{PRUNE_INTERVAL_ENTRIES - 10}") is None
    assert database.find(f"r{PRUNE_INTERVAL_ENTRIES - 9}") is not None
