"""Tests of the classification, decoding and encoding of statements."""

import pytest

from bronzemoor_standin.gen.endpoint.ttypes import Statement
from bronzemoor_standin.statements import (
    InvalidStatement,
    decode,
    encode_results,
    is_write,
)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("SELECT 1", False),
        (" -- a comment's quote\n select 'insert'", False),
        ("WITH a AS (SELECT 1) SELECT * FROM a", False),
        ("WITH a AS (SELECT 'update') SELECT * FROM a", False),
        ("WITH a AS (SELECT 1) INSERT INTO t SELECT * FROM a", True),
        ("/* SELECT */ UPDATE t SET a = 1", True),
        ("INSERT INTO t VALUES ('changes (today) -- random()')", True),
        ("CREATE TABLE t (a)", True),
    ],
)
def test_writes_are_recognised(text, expected):
    """Guards against a write that reaches a replica as a read, or is refused."""
    assert is_write(text) is expected


@pytest.mark.parametrize(
    "text",
    [
        "",
        "COMMIT",
        "pragma query_only = 1",
        "INSERT INTO t VALUES (random())",
        "UPDATE t SET at = datetime('now', 'utc')",
        "INSERT INTO t VALUES (current_timestamp)",
        "DELETE FROM request_records",
    ],
)
def test_statements_that_break_transactions_or_replicas_are_refused(text):
    """Guards against members whose data differs, and altered request records."""
    with pytest.raises(InvalidStatement):
        is_write(text)


@pytest.mark.parametrize("params", [b"{", b"{}", b"1"])
def test_malformed_params_are_refused(params):
    """Guards against an exception that closes the connection on bad input."""
    with pytest.raises(InvalidStatement):
        decode([Statement("SELECT ?", params)])


def test_blobs_are_encoded_as_hex():
    """Guards against a result that cannot be sent."""
    assert encode_results([{"rows": [[b"\x01\xff"]]}]) == b'[{"rows":[["01ff"]]}]'
