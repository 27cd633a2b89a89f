"""Tests of the traffic mixes without a network."""

import random
import sqlite3

import pytest

from bronzemoor_standin.mixes import MIXES, User
from bronzemoor_standin.schemas import load_schema
from bronzemoor_standin.statements import is_write


@pytest.mark.parametrize("mix", MIXES.values(), ids=MIXES)
def test_every_operation_occurs_and_succeeds(mix):
    """Guards against operations that never occur, fail, or return no request id."""
    database = sqlite3.connect(":memory:")
    for statement in load_schema(mix.schema):
        database.execute(statement.text)
    user, seen = User("s", random.Random(1), []), set()
    seed = mix.seed("seed")
    for number in range(-1, 400):
        operation = mix.choose_operation(user, f"r{number}") if number >= 0 else seed
        if operation is None:
            continue
        request_id = f"r{number}"
        for sql, params in operation.statements:
            assert is_write(sql) is operation.write
            for row in database.execute(sql, params):
                assert row[0] == request_id
        for row in operation.rows:
            where = " AND ".join(f"{column} = ?" for column in row.values)
            sql = f"SELECT count(*) FROM {row.table} WHERE {where}"
            assert database.execute(sql, list(row.values.values())).fetchone() == (1,)
        user.record_result(operation, acknowledged=True)
        seen.add(operation.name)
    assert len(seen - {"seed"}) == len(mix.weights)
    for table in mix.tables:
        assert database.execute(f"SELECT count(*) FROM {table}").fetchone() > (0,)


def test_item_with_a_write_in_doubt_is_not_used_again():
    """Guards against histories in which the expected value of a read is unknown."""
    mix, user = MIXES["claims"], User("s", random.Random(1), [])
    operation = mix.weights[2][0](user, "r1")
    user.record_result(operation, acknowledged=True)
    assert user.choose_item("filed") == "c-r1"
    user.record_result(operation, acknowledged=False)
    assert (user.choose_item("filed"), user.items) == (None, {})
