"""Tests of failover, confirmation and rebuilding through the endpoint protocol."""

import threading

import pytest

from bronzemoor_standin.gen.endpoint.ttypes import Status

CREATE = "CREATE TABLE notes (id INTEGER PRIMARY KEY, text TEXT)"


def insert(caller, number, text):
    return caller.execute("INSERT INTO notes VALUES (?, ?)", number, text)


def fail_over(group, call, term, names=("m2", "m3")):
    """Fences ``names`` and promotes the one with the highest position."""
    fenced = {}
    for name in names:
        reply = call(group.members[name]).order("fence", term)
        assert reply.status == Status.OK
        fenced[name] = (reply.term, reply.offset)
    chosen = max(fenced, key=fenced.get)
    caller = call(group.members[chosen])
    order = {"members": group.addresses, "start_offset": fenced[chosen][1]}
    assert caller.order("promote", term, primary=chosen, **order).status == Status.OK
    return caller


@pytest.fixture
def caller(group, call):
    connection = call(group.members["m1"])
    assert connection.confirm(connection.execute(CREATE)).status == Status.OK
    return connection


def test_confirmed_write_reaches_the_replicas(group, caller, call, eventually):
    """Guards against a confirmation of a write that no majority holds."""
    written = insert(caller, 1, "é")
    assert caller.confirm(written).status == Status.OK
    held = [m.ledger.state.log.last for m in group.members.values()]
    assert held.count((written.term, written.offset)) >= 2
    replica = call(group.members["m2"])
    eventually(lambda: replica.rows("SELECT text FROM notes") == [["é"]])
    refused = insert(replica, 2, "x")
    assert (refused.status, refused.code) == (Status.REFUSED, "not_primary")


def test_old_primary_discards_unreplicated_writes(group, caller, call, eventually):
    """Guards against an unacknowledged write surviving on a returned old primary."""
    old = group.members["m1"]
    old.faults.cut_peers = True
    lost = insert(caller, 1, "lost")
    assert caller.confirm(lost, 50).code == "not_confirmed"
    new = fail_over(group, call, 2)
    assert new.confirm(insert(new, 2, "kept")).status == Status.OK
    old.faults.cut_peers = False
    eventually(lambda: old.role == "replica")
    eventually(lambda: b"kept" in caller.execute("SELECT * FROM notes").payload)
    assert caller.rows("SELECT id, text FROM notes") == [[2, "kept"]]


def test_old_request_records_are_reported_in_the_new_term(group, caller, call):
    """Guards against recorded results that daemons attribute to a replaced primary."""
    sql = "INSERT INTO notes VALUES (1, 'a')"
    written = caller.execute(sql, request_id="r", recorded=True)
    assert caller.confirm(written).status == Status.OK
    new = fail_over(group, call, 2)
    found = new.lookup("r")
    assert (found.repeated, found.term, found.offset) == (True, 2, written.offset)
    assert new.confirm(found).status == Status.OK
    stale = new.order("fence", 1)
    assert (stale.code, stale.term) == ("stale_term", 2)


def test_deposed_primary_confirms_nothing(group, caller, call, eventually):
    """Guards against an acknowledgement by a primary that has been replaced."""
    old = group.members["m1"]
    written = insert(caller, 1, "a")
    group.members["m2"].faults.cut_peers = group.members["m3"].faults.cut_peers = True
    late = insert(caller, 2, "b")
    for name in ("m2", "m3"):
        call(group.members[name]).order("fence", 2)
        group.members[name].faults.cut_peers = False
    eventually(lambda: old.role == "deposed")
    for reply in (
        caller.confirm(written),
        caller.confirm(late),
        insert(caller, 3, "c"),
    ):
        assert (reply.status, reply.code) == (Status.REFUSED, "stale_term")
    assert caller.execute("SELECT 1").code == "stale_term"
    assert caller.lookup("r").code == "stale_term"


def test_isolated_primary_does_not_report_a_request_as_unknown(group, caller):
    """Guards against "not run" from a primary that missed the request's execution."""
    assert caller.lookup("r").code == "unknown_request"
    group.members["m1"].faults.cut_peers = True
    assert caller.lookup("r", wait_ms=50).code == "not_confirmed"


def test_fenced_primary_rolls_back_open_transactions(group, caller, call):
    """Guards against a transaction that commits on a fenced primary."""
    caller.transaction("begin", "t1")
    statement = "INSERT INTO notes VALUES (1, 'open')"
    assert caller.execute(statement, transaction_id="t1").status == Status.OK
    call(group.members["m1"]).order("fence", 2)
    assert caller.transaction("commit", "t1").code == "fenced"
    assert insert(caller, 2, "x").code == "fenced"
    assert caller.rows("SELECT * FROM notes") == []


def test_promotion_applies_the_entries_of_a_lagging_replica(group, caller, call):
    """Guards against a promotion that skips entries in the log that are not applied."""
    for name in ("m2", "m3"):
        group.members[name].faults.lag_ms = 60_000
    written = insert(caller, 1, "a")
    assert caller.confirm(written).status == Status.OK
    replica = call(group.members["m2"])
    assert replica.greeting.offset < written.offset
    group.members["m1"].kill()
    new = fail_over(group, call, 2)
    assert new.rows("SELECT text FROM notes") == [["a"]]


def test_long_partitioned_member_rebuilds(group, caller, call, eventually):
    """Guards against a member that does not catch up after a long partition."""
    old = group.members["m1"]
    old.faults.cut_peers = True
    for number in range(300):
        insert(caller, number, "lost")
    new = fail_over(group, call, 2)
    for number in range(1500):
        insert(new, number, "kept")
    old.faults.cut_peers = False
    eventually(lambda: old.ledger.committed.applied[1] >= 1500)
    count = "SELECT count(*) FROM notes WHERE text = 'kept'"
    eventually(lambda: caller.rows(count) == [[1500]])
    assert caller.rows("SELECT count(*) FROM notes") == [[1500]]


def test_concurrent_writes_are_applied_once(group, caller, call, eventually):
    """Guards against writes lost or applied twice between concurrent connections."""

    def work(number):
        connection = call(group.members["m1"])
        for i in range(50):
            request = f"{number}-{i}"
            sql = "INSERT INTO notes (text) VALUES (?)"
            connection.execute(sql, request, request_id=request, recorded=True)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    count = "SELECT count(*), count(DISTINCT text) FROM notes"
    for member in group.members.values():
        reader = call(member)
        eventually(lambda r=reader: r.rows(count) == [[300, 300]])
