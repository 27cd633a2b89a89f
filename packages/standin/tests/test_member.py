"""Tests of one member and of a whole group over the protocol."""

import zlib

from bronzemoor_standin.gen.endpoint.ttypes import Status

CREATE = "CREATE TABLE notes (id INTEGER PRIMARY KEY, text TEXT)"


def test_write_is_confirmed_and_reaches_the_replicas(group, call, eventually):
    """Guards against a confirm that succeeds without the replicas holding the write."""
    primary = call(group.members["m1"])
    assert primary.execute(CREATE).status == Status.OK
    written = primary.execute("INSERT INTO notes VALUES (?, ?)", 1, "é")
    assert primary.confirm(written).status == Status.OK
    replica = call(group.members["m2"])
    eventually(lambda: replica.greeting.role == "replica")
    eventually(
        lambda: replica.execute("SELECT text FROM notes").payload.count(b"u00e9")
    )
    read = replica.execute("SELECT text FROM notes", read_only=True)
    assert read.checksum == zlib.crc32(read.payload)
    assert read.length == len(read.payload)
    assert replica.execute("DELETE FROM notes").code == "not_primary"


def test_failover_discards_what_only_the_old_primary_held(group, call, eventually):
    """Guards against an unacknowledged write surviving on a returned old primary."""
    old = group.members["m1"]
    caller = call(old)
    assert caller.confirm(caller.execute(CREATE)).status == Status.OK
    old.faults.cut_peers = True
    lost = caller.execute("INSERT INTO notes VALUES (1, 'lost')")
    assert caller.confirm(lost, 50).code == "not_confirmed"
    fenced = {}
    for name in ("m2", "m3"):
        reply = call(group.members[name]).order("fence", 2)
        assert reply.status == Status.OK
        fenced[name] = (reply.term, reply.offset)
    chosen = max(fenced, key=fenced.get)
    order = {"members": group.addresses, "start_offset": fenced[chosen][1]}
    new = call(group.members[chosen])
    assert new.order("promote", 2, primary=chosen, **order).status == Status.OK
    assert new.order("promote", 2, primary=chosen, **order).status == Status.OK
    kept = new.execute("INSERT INTO notes VALUES (2, 'kept')")
    assert new.confirm(kept).status == Status.OK
    old.faults.cut_peers = False
    eventually(lambda: old.role == "replica")
    eventually(lambda: caller.execute("SELECT * FROM notes").payload.count(b"kept"))
    assert caller.rows("SELECT id, text FROM notes") == [[2, "kept"]]


def test_transactions_are_isolated_and_rolled_back_with_their_connection(group, call):
    """Guards against a transaction being seen, mixed or kept after its caller left."""
    primary = group.members["m1"]
    one, two = call(primary), call(primary)
    one.execute(CREATE)
    one.transaction("begin", "t1")
    one.execute("INSERT INTO notes VALUES (1, 'open')", transaction_id="t1")
    assert one.rows("SELECT id FROM notes", transaction_id="t1") == [[1]]
    assert two.rows("SELECT id FROM notes") == []
    blocked = two.execute("INSERT INTO notes VALUES (2, 'x')", deadline_ms=50)
    assert blocked.code == "deadline"
    one.close()
    assert two.execute("INSERT INTO notes VALUES (2, 'x')").status == Status.OK
    assert two.rows("SELECT id FROM notes") == [[2]]


def test_request_ids_and_reservations(group, call):
    """Guards against a request running twice or under another request's id."""
    caller = call(group.members["m1"])
    caller.execute(CREATE)
    insert = "INSERT INTO notes (text) VALUES ('a')"
    first = caller.execute(insert, request_id="r1", recorded=True)
    again = caller.execute(insert, request_id="r1", recorded=True)
    assert again.repeated
    assert (again.payload, again.offset) == (first.payload, first.offset)
    other = caller.execute(insert, request_id="r1", digest="e", recorded=True)
    assert other.code == "request_id_reused"
    assert caller.execute(insert, request_id="r2", reservation="x").code == (
        "not_reserved"
    )
    assert caller.reserve("r2", "x").status == Status.OK
    assert caller.reserve("r2", "y").code == "reserved"
    assert caller.execute(insert, request_id="r2", reservation="y").code == "reserved"
    assert caller.lookup("r2").code == "reserved"
    assert caller.execute(insert, request_id="r2", reservation="x").status == Status.OK
    assert caller.execute(insert, request_id="r2", reservation="x").repeated
    assert caller.reserve("r2", "y").repeated
    assert caller.lookup("r3").code == "unknown_request"
    assert caller.rows("SELECT count(*) FROM notes") == [[2]]
