"""Tests of the life cycle and the limits of a member."""

import threading
import time

import pytest

from bronzemoor_standin.caller import Caller
from bronzemoor_standin.framing import EndpointClient
from bronzemoor_standin.gen.endpoint.ttypes import Status, TransactionCall
from bronzemoor_standin.group import Group
from bronzemoor_standin.member import ConnectionLimiter, Member
from bronzemoor_standin.settings import MemberSettings

CREATE = "CREATE TABLE notes (id INTEGER PRIMARY KEY, text TEXT)"


def test_connections_beyond_the_limit_are_refused(single, call, eventually):
    """Guards against a member that accepts more connections than configured."""
    single.primary.connection_limiter = ConnectionLimiter(1)
    first, second = call(single.primary), call(single.primary)
    assert second.greeting.code == "too_many_connections"
    first.close()
    eventually(lambda: call(single.primary).greeting.status == Status.OK)


def test_hello_names_the_database_and_comes_first(single):
    """Guards against work on the wrong database or without a counted connection."""
    wrong = Caller(single.primary.address, "other")
    assert wrong.greeting.code == "wrong_database"
    wrong.close()
    plain = EndpointClient(single.primary.address, 5000)
    assert plain.begin(TransactionCall(wait_ms=0)).code == "hello_required"
    plain.close()


def test_statements_wait_for_a_slot_until_their_deadline(single, call, eventually):
    """Guards against more statements at once than there are slots."""
    member = single.primary
    member.faults.statement_ms = 600
    occupying = [call(member) for _ in range(member.settings.slots)]
    threads = [
        threading.Thread(target=b.execute, args=("SELECT 1",)) for b in occupying
    ]
    for thread in threads:
        thread.start()
    waiting = call(member)
    eventually(lambda: member.calls_in_progress == member.settings.slots)
    assert waiting.execute("SELECT 1", deadline_ms=20).code == "deadline"
    for thread in threads:
        thread.join()
    assert waiting.execute("SELECT 1").status == Status.OK


def test_leaving_member_finishes_its_work_and_takes_no_more(single, call):
    """Guards against interrupted work, and against new work while leaving."""
    member = single.primary
    member.settings.leave_after_ms = 0
    caller = call(member)
    caller.execute(CREATE)
    caller.transaction("begin", "t1")
    member.leave()
    insert = "INSERT INTO notes VALUES (1, 'a')"
    assert caller.execute(insert, transaction_id="t1").leaving
    assert caller.transaction("commit", "t1").status == Status.OK
    assert caller.execute("SELECT 1").code == "leaving"
    assert call(member).greeting.code == "leaving"


def test_graceful_stop_lets_calls_finish(single, call, eventually):
    """Guards against a stop that interrupts a request in progress."""
    single.primary.faults.statement_ms = 300
    caller, replies = call(single.primary), []
    thread = threading.Thread(target=lambda: replies.append(caller.execute("SELECT 1")))
    thread.start()
    eventually(lambda: single.primary.calls_in_progress)
    single.stop()
    thread.join()
    assert replies[0].status == Status.OK


def test_killed_primary_restarts_as_a_replica_with_its_log(group, call, eventually):
    """Guards against two primaries, and against losing the log at a restart."""
    first = group.members["m1"]
    caller = call(first)
    assert caller.confirm(caller.execute(CREATE)).status == Status.OK
    first.kill()
    first.start()
    caller = call(first)
    assert (first.role, caller.greeting.offset) == ("replica", 2)
    assert caller.execute("DROP TABLE notes").code == "not_primary"
    time.sleep(0.1)
    assert first.role == "replica"


@pytest.mark.parametrize("bootstrap", [True, False])
def test_file_keeps_log_and_accepted_term(tmp_path, call, bootstrap, eventually):
    """Guards against an acknowledged write or an accepted term lost at a restart."""
    settings = MemberSettings("claims", "m1", file=str(tmp_path / "m1.db"))
    settings.bootstrap_primary = "m1" if bootstrap else ""
    member = Member(settings)
    member.start()
    if not bootstrap:
        call(member).order("promote", 1, primary="m1", members={"m1": member.address})
    eventually(lambda: member.role == "primary")
    assert call(member).execute(CREATE).status == Status.OK
    call(member).order("fence", 4)
    member.kill()
    again = Member(settings)
    again.start()
    eventually(lambda: again.ledger.committed.applied == (1, 2))
    assert call(again).rows("SELECT * FROM notes") == []
    assert call(again).order("fence", 3).code == "stale_term"
    assert again.role == "replica"
    again.stop()


def test_full_disk_fails_writes_and_keeps_reads(group, call, eventually):
    """Guards against an acknowledged write that could not be stored."""
    primary = group.members["m1"]
    caller = call(primary)
    caller.execute(CREATE)
    primary.faults.disk_full = True
    assert caller.execute("INSERT INTO notes VALUES (1, 'a')").status == Status.FAILED
    assert caller.rows("SELECT * FROM notes") == []
    primary.faults.disk_full = False
    for name in ("m2", "m3"):
        group.members[name].faults.disk_full = True
    written = caller.execute("INSERT INTO notes VALUES (1, 'a')")
    assert caller.confirm(written, 100).code == "not_confirmed"
    group.members["m2"].faults.disk_full = False
    assert caller.confirm(written, 5000).status == Status.OK


def test_restarted_empty_member_does_not_start_the_first_term_again():
    """Guards against starting term 1 twice, which replaces acknowledged entries."""
    with Group() as group:
        group.members["m1"].kill()
        settings = MemberSettings("claims", "m1", members=group.addresses)
        settings.members["m1"] = "127.0.0.1:0"
        settings.bootstrap_primary = "m1"
        fresh = Member(settings)
        fresh.start()
        time.sleep(0.2)
        assert fresh.role == "replica"
        fresh.stop()
