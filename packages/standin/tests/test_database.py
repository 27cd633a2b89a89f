"""Tests of the data of one member."""

import sqlite3

import pytest

from bronzemoor_standin.database import (
    DONE,
    PRUNE_EVERY,
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


def test_bodies_survive_encoding():
    """Guards against a replica that applies something else than the primary ran."""
    record = RequestRecord("r", "d", "x", DONE, b'[{"rows":[]}]', recorded_at=2.5)
    transaction = Transaction(
        [Sql("INSERT INTO t VALUES (?)", ["é", None, 1.1])], record
    )
    assert Transaction.decode(transaction.encode()) == transaction


def test_failed_batch_leaves_nothing_behind():
    """Guards against half of a transaction being visible."""
    database = Database()
    apply(database, step(1, "CREATE TABLE t (a)"))
    with pytest.raises(sqlite3.Error):
        apply(
            database, step(2, "INSERT INTO t VALUES (1)", "INSERT INTO nope VALUES (1)")
        )
    assert database.run([Sql("SELECT * FROM t", [])])[0]["rows"] == []
    assert database.applied == (1, 1)


def test_copy_and_reset():
    """Guards against a copy that shares data, or a rebuild on top of old data."""
    one, two = Database(), Database()
    apply(one, step(1, "CREATE TABLE t (a)"))
    two.copy_from(one)
    apply(two, step(2, "DROP TABLE t"))
    assert one.run([Sql("SELECT * FROM t", [])])[0]["columns"] == ["a"]
    one.reset()
    assert one.applied == (0, 0)
    assert one.find("r") is None


def test_old_records_are_pruned_but_open_reservations_stay():
    """Guards against unbounded growth, and against a reservation that runs twice."""
    database = Database(Retention(age=100.0, count=PRUNE_EVERY // 2))
    records = [
        RequestRecord(
            f"r{i}", "d", "", RESERVED if i == 150 else DONE, b"", recorded_at=i
        )
        for i in range(1, PRUNE_EVERY + 1)
    ]
    apply(database, *(step(i, record=r) for i, r in enumerate(records, start=1)))
    kept = database.run([Sql("SELECT count(*) FROM request_records", [])])[0]["rows"]
    assert kept == [(101,)]
    database = Database(Retention(count=10))
    apply(database, *(step(i, record=r) for i, r in enumerate(records, start=1)))
    assert database.find("r150").state == RESERVED
    assert database.find(f"r{PRUNE_EVERY - 10}") is None
    assert database.find(f"r{PRUNE_EVERY - 9}") is not None
