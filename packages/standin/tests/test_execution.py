"""Tests of statements, transactions and request ids over the protocol."""

import threading

import pytest

from bronzemoor_standin.gen.endpoint.ttypes import Position, Status

CREATE = "CREATE TABLE notes (id INTEGER PRIMARY KEY, text TEXT)"
INSERT = "INSERT INTO notes (text) VALUES ('a')"


@pytest.fixture
def primary(single):
    return single.primary


@pytest.fixture
def caller(primary, call):
    connection = call(primary)
    assert connection.execute(CREATE).status == Status.OK
    return connection


def test_transaction_is_isolated_and_rolled_back_with_its_connection(
    primary, caller, call
):
    """Guards against dirty reads, and a transaction that outlives its connection."""
    other = call(primary)
    caller.transaction("begin", "t1")
    caller.execute("INSERT INTO notes VALUES (1, 'open')", transaction_id="t1")
    assert caller.rows("SELECT id FROM notes", transaction_id="t1") == [[1]]
    assert caller.rows("SELECT id FROM notes") == []
    assert other.rows("SELECT id FROM notes") == []
    assert other.execute(INSERT, deadline_ms=50).code == "deadline"
    assert other.execute(INSERT, transaction_id="t1").code == "unknown_transaction"
    caller.close()
    assert other.execute("INSERT INTO notes VALUES (2, 'x')").status == Status.OK
    assert other.rows("SELECT id FROM notes") == [[2]]


def test_transaction_locks_from_its_first_write_only(primary, caller, call):
    """Guards against a transaction that blocks other writers before its first write."""
    other = call(primary)
    caller.transaction("begin", "t1")
    assert caller.rows("SELECT * FROM notes", transaction_id="t1") == []
    assert other.execute(INSERT).status == Status.OK
    assert caller.execute(INSERT, transaction_id="t1").status == Status.OK
    assert caller.transaction("commit", "t1").offset == other.greeting.offset + 2
    assert other.rows("SELECT count(*) FROM notes") == [[2]]


def test_failed_call_preserves_the_rest_of_the_transaction(caller):
    """Guards against partial effects of a failed call, and loss of the calls before."""
    caller.transaction("begin", "t1")
    caller.execute("INSERT INTO notes VALUES (1, 'a')", transaction_id="t1")
    failed = caller.execute("INSERT INTO notes VALUES (1, 'b')", transaction_id="t1")
    assert (failed.status, failed.code) == (Status.FAILED, "statement_failed")
    assert caller.transaction("commit", "t1").status == Status.OK
    assert caller.rows("SELECT text FROM notes") == [["a"]]
    caller.transaction("begin", "t2")
    caller.execute(INSERT, transaction_id="t2")
    rolled_back = "INSERT OR ROLLBACK INTO notes VALUES (1, 'b')"
    assert caller.execute(rolled_back, transaction_id="t2").status == Status.FAILED
    assert caller.transaction("commit", "t2").code == "unknown_transaction"
    assert caller.rows("SELECT count(*) FROM notes") == [[1]]


def test_rollback_undoes_and_commit_records(caller):
    """Guards against a retried commit that runs twice after its answer was lost."""
    caller.transaction("begin", "t1")
    caller.execute(INSERT, transaction_id="t1")
    caller.transaction("rollback", "t1")
    for _ in range(2):
        caller.transaction("begin", "t2")
        caller.execute(INSERT, transaction_id="t2")
        done = caller.transaction("commit", "t2", request_id="r", recorded=True)
        assert done.status == Status.OK
    assert done.repeated
    assert caller.rows("SELECT count(*) FROM notes") == [[1]]


def test_known_request_id_returns_the_recorded_result(caller):
    """Guards against a request running twice or under another request's id."""
    first = caller.execute(INSERT, request_id="r1", recorded=True)
    again = caller.execute(INSERT, request_id="r1", recorded=True)
    assert again.repeated
    assert (again.payload, again.offset) == (first.payload, first.offset)
    assert caller.lookup("r1").payload == first.payload
    other = caller.execute(INSERT, request_id="r1", digest="e", recorded=True)
    assert other.code == "request_id_reused"
    assert caller.lookup("r1", digest="e").code == "request_id_reused"
    assert caller.lookup("r3").code == "unknown_request"
    assert caller.rows("SELECT count(*) FROM notes") == [[1]]


def test_reserved_request_runs_once_for_its_holder(caller):
    """Guards against a reserved request that a second proxy executes again."""
    early = caller.execute(INSERT, request_id="r", reservation="x")
    assert early.code == "not_reserved"
    first = caller.reserve("r", "x")
    assert caller.reserve("r", "x").offset == first.offset
    held = caller.reserve("r", "y")
    assert (held.code, held.message) == ("reserved", "x")
    assert caller.execute(INSERT, request_id="r", reservation="y").code == "reserved"
    assert caller.execute(INSERT, request_id="r", recorded=True).code == "reserved"
    assert caller.lookup("r").code == "reserved"
    assert caller.execute(INSERT, request_id="r", reservation="x").status == Status.OK
    assert caller.execute(INSERT, request_id="r", reservation="x").repeated
    assert caller.reserve("r", "y").repeated
    assert caller.rows("SELECT count(*) FROM notes") == [[1]]


def test_recorded_request_needs_an_id(caller):
    """Guards against all requests without an id sharing one record."""
    assert caller.execute(INSERT, recorded=True).code == "request_id_missing"
    assert caller.reserve("", "x").code == "request_id_missing"
    assert caller.rows("SELECT count(*) FROM notes") == [[0]]


def test_transaction_after_many_writes_sees_them(caller):
    """Guards against a transaction that works on an outdated copy of the data."""
    for start in (0, 1200, 1210):
        for number in range(1200 if start == 0 else 10):
            caller.execute("INSERT INTO notes VALUES (?, 'a')", start + number)
        caller.transaction("begin", "t1")
        caller.execute(INSERT, transaction_id="t1")
        count = "SELECT count(*) FROM notes"
        inside = caller.rows(count, transaction_id="t1")
        assert inside == [[caller.rows(count)[0][0] + 1]]
        caller.transaction("rollback", "t1")


def test_failed_reserved_request_never_runs_later(caller):
    """Guards against a delayed duplicate that runs after the failure was reported."""
    caller.reserve("r", "x")
    broken = "INSERT INTO missing VALUES (1)"
    assert caller.execute(broken, request_id="r", reservation="x").code == (
        "statement_failed"
    )
    caller.execute("CREATE TABLE missing (a)")
    again = caller.execute(broken, request_id="r", reservation="x")
    assert (again.status, again.repeated) == (Status.FAILED, True)
    assert caller.rows("SELECT * FROM missing") == []


def test_lookup_sees_a_request_in_progress(primary, caller, call):
    """Guards against reporting a request as not run while it is still running."""
    other = call(primary)
    primary.faults.statement_ms = 300
    running = threading.Thread(
        target=other.execute,
        args=(INSERT,),
        kwargs={"request_id": "r", "recorded": True},
    )
    running.start()
    codes = set()
    while running.is_alive():
        codes.add(caller.lookup("r").code)
    assert "in_progress" in codes
    assert caller.lookup("r").repeated


def test_reads_wait_for_their_position_and_refuse_otherwise(caller):
    """Guards against a read that misses the session's own write."""
    reply = caller.execute(INSERT)
    wanted = Position(reply.term, reply.offset + 1)
    late = caller.execute("SELECT 1", min_position=wanted, wait_ms=20)
    assert (late.status, late.code) == (Status.REFUSED, "behind")
    found = Position(reply.term, reply.offset)
    assert caller.execute("SELECT 1", min_position=found).status == Status.OK


@pytest.mark.parametrize(
    ("statement", "read_only", "code"),
    [
        ([INSERT], True, "read_only"),
        (["BEGIN"], False, "invalid_statement"),
        (["SELECT 1; SELECT 2"], False, "statement_failed"),
        (["SELECT ?"], False, "statement_failed"),
        (["INSERT INTO notes VALUES (?, 1)", 2**70], False, "statement_failed"),
        (["INSERT INTO notes VALUES (1, ?)", "\ud800"], False, "statement_failed"),
    ],
)
def test_bad_calls_get_a_code_and_change_nothing(caller, statement, read_only, code):
    """Guards against invalid input that closes the connection or has an effect."""
    reply = caller.execute(*statement, read_only=read_only)
    assert (reply.status == Status.OK, reply.code) == (False, code)
    assert caller.rows("SELECT count(*) FROM notes") == [[0]]


def test_result_beyond_the_size_limit_fails_without_an_effect(caller):
    """Guards against a write whose answer cannot be sent."""
    big = "INSERT INTO notes VALUES (1, hex(zeroblob(1000000))) RETURNING text"
    assert caller.execute(big).code == "statement_failed"
    assert caller.rows("SELECT count(*) FROM notes") == [[0]]
