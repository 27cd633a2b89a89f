"""Tests of the classification of statements as reads and writes."""

import pytest

from bronzemoor_core.events import Statement
from bronzemoor_core.statements import MAX_READ_LENGTH, all_reads, is_read

READS = [
    "select 1",
    "SELECT a, count(*) FROM t WHERE x = ? GROUP BY a ORDER BY 2 LIMIT 3;",
    "/* orders */ select * from t -- end",
    "with a as (select 1 as x) select x from a union all select 2",
    "values (1), (2)",
    "(select 1)",
    "select ifnull(a, hex(b)), json_extract(c, '$.x') from t where d like 'x%'",
    "select 'delete from t; drop table t'",
    "select * from a join b on a.x = b.x where exists (select 1 from c)",
]
WRITES = [
    "insert into t values (1)",
    "update t set x = 1 returning x",
    "delete from t",
    "replace into t values (1)",
    "with a as (select 1) insert into t select * from a",
    "with a as (delete from t returning x) select x from a",
    "select 1; delete from t",
    "select 1; select 2",
    "create table t (x)",
    "drop table t",
    "alter table t add column y",
    "pragma journal_mode = wal",
    "pragma table_info(t)",
    "select * from pragma_table_info('t')",
    "select load_extension('x')",
    "select unknown_function(1)",
    "select * into b from a",
    "select * from t for update",
    "explain select 1",
    "attach 'x' as y",
    "vacuum",
    "begin",
    "commit",
    "savepoint a",
    "set x = 1",
    "not sql at all (",
    "select (",
    "",
    "  -- nothing",
    "select '" + "x" * MAX_READ_LENGTH + "'",
    "select " + "(" * 1_500 + "1" + ")" * 1_500,
]


@pytest.mark.parametrize("sql", READS)
def test_a_provable_read_is_a_read(sql):
    """Guards against reads that are refused or sent to the primary as writes."""
    assert is_read(sql)


@pytest.mark.parametrize("sql", WRITES, ids=lambda sql: sql[:40])
def test_an_unproved_read_is_a_write(sql):
    """Guards against a write that reaches a replica or runs unrecorded."""
    assert not is_read(sql)


def test_one_write_makes_the_list_a_write():
    """Guards against a write hidden behind a read."""
    assert not all_reads([Statement(READS[0]), Statement(WRITES[0])])
    assert all_reads([Statement(sql) for sql in READS])
