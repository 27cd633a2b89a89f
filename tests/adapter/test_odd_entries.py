"""Tests of entries that another writer leaves among those of the members."""

import asyncio
import json
from io import BytesIO
from wsgiref.util import setup_testing_defaults

import pytest
from hypothesis import given, settings
from hypothesis import strategies as hs
from loopback import free_addresses
from msgspec.structs import asdict
from system import Client, run_system
from test_whole_path import outcome

from bronzemoor_core.messages import GroupView, JoinRequest, MemberView, ProxyGrant
from bronzemoor_core.wire.records import MemberRecord, is_usable
from bronzemoor_daemon.codec import encode_envelope, to_bytes
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.wire.links import Links
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.webserver import LoopBridge
from bronzemoor_platform.calls import (
    InvalidAnnouncement,
    decode_announcement,
    make_control_application,
)
from bronzemoor_platform.lines import PlatformLines

NESTED = "[" * 100_000 + "]" * 100_000
TOO_LARGE = 10**30
FAILURES = {"supervisor_failed", "task_failed", "message_failed", "callback_failed"}


def make_entry(**changes) -> str:
    """Returns an entry of a replica, with changes."""
    body = {
        "service": "ledger",
        "address": "127.0.0.1:9",
        "zone": "north",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold_remaining_ms": 0,
        "db_role": "replica",
        "born": 5,
        "sequence": 1,
    }
    return json.dumps({**body, **changes})


def put_entry(application, path: str, body: bytes) -> str:
    """Puts an entry like a member and returns the status line."""
    statuses = []
    environ = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": f"/bronzemoor/instances/{path}",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": BytesIO(body),
    }
    setup_testing_defaults(environ)
    result = application(
        environ, lambda status, headers, info=None: statuses.append(status)
    )
    b"".join(result)
    result.close()
    return statuses[0]


async def assert_failover(system) -> None:
    """Asserts that writes go on at another member once the primary is lost."""
    client = await Client.open(system.client_addresses[0], "orders")
    assert outcome(await client.call("STORE a 1")) == "COMPLETE"
    old = system.group.primary
    await old.stop()

    async def served() -> bool:
        return outcome(await client.call("STORE b 2")) == "COMPLETE"

    await system.until_async(served, 5.0)
    assert system.group.primary is not old


@pytest.mark.parametrize(
    ("path", "changes"),
    [
        ("i-odd", {"address": "127.0.0.1:99999"}),
        ("i-odd", {"address": "127.0.0.1:0"}),
        ("i-odd", {"address": "127.0.0.1:\u00b2"}),
        ("i-odd", {"address": "\ud800:80"}),
        ("i-odd", {"address": "a b:80"}),
        ("i-odd", {"zone": "\ud800"}),
        ("i-odd", {"service": "\ud800"}),
        ("i-odd", {"born": TOO_LARGE}),
        ("i-odd", {"born": -1}),
        ("i-odd", {"sequence": TOO_LARGE}),
        ("i-odd", {"sequence": 1e400}),
        ("i-odd", {"slots": TOO_LARGE}),
        ("i-odd", {"slots": "3"}),
        ("i-odd", {"zone": "z" * 100_000}),
        ("i-odd\r\nQUERY - STEPDOWN 9", {}),
        ("i-odd", {"version": "NESTED"}),
    ],
)
def test_an_odd_entry_is_refused_and_changes_nothing(tmp_path, path, changes):
    """Guards against an entry of another writer that stops failover or leases.

    Very deep nesting, numbers that are too large and ports out of range ended the
    machines that read them, or kept them from following the list.
    """

    async def scenario(system):
        loop = asyncio.get_running_loop()
        application = make_control_application(system.controls[0], LoopBridge(loop))
        body = make_entry(**changes).replace('"NESTED"', NESTED).encode()
        status = await asyncio.to_thread(put_entry, application, path, body)
        await assert_failover(system)
        assert not [event for event in system.events if event[0] in FAILURES]
        assert set(system.controls[0].records.members) <= set(system.group.members)
        assert status.startswith("400")
        refused = [f for event, f in system.events if event == "announcement_refused"]
        assert len(refused) == 1 and refused[0]["reason"]
        counter = system.controls[0]._metrics.refused_announcements
        assert counter.values == {(): 1}

    run_system(tmp_path, scenario)


def test_an_entry_of_an_unknown_service_removes_no_member(tmp_path):
    """Guards against an entry of another writer that takes a member's address.

    Its start was later than the member's, so that the member was dropped for good, and
    each of its own announcements after it (review case 9).
    """

    async def scenario(system):
        loop = asyncio.get_running_loop()
        application = make_control_application(system.controls[0], LoopBridge(loop))
        for name, member in system.group.members.items():
            entry = make_entry(service="other", address=member.address)
            status = await asyncio.to_thread(
                put_entry, application, f"other-{name}", entry.encode()
            )
            assert status.startswith("400")
        assert set(system.controls[0].records.members) == set(system.group.members)
        await assert_failover(system)

    run_system(tmp_path, scenario)


def test_a_member_comes_back_that_lost_its_address_to_an_unknown_service(tmp_path):
    """Guards against entries that were stored before there was a deployment."""

    async def scenario(system):
        name, member = next(iter(system.group.members.items()))
        stray = MemberRecord(
            "stray", "other", member.address, "north", 5, 1, False, False
        )
        put = {"type": "member.put", "member": asdict(stray)}
        assert (await system.controls[0].propose(put)).code == "ok"
        records = system.controls[0].records
        await system.until(lambda: "stray" not in records.members)
        assert await system.announce(name, sequence=2)
        await system.until(lambda: name in records.members)

    run_system(tmp_path, scenario)


FIELD_VALUES = hs.one_of(
    hs.none(),
    hs.booleans(),
    hs.integers(),
    hs.floats(),
    hs.text(max_size=300),
    hs.from_regex(r"[a-z0-9.]{1,8}:[0-9]{1,6}", fullmatch=True),
    hs.sampled_from(["ready", "draining", "primary", "replica", "ledger", "\ud800"]),
    hs.lists(hs.integers(), max_size=2),
)
ENTRIES = hs.one_of(
    hs.binary(max_size=200),
    hs.dictionaries(
        hs.sampled_from(list(json.loads(make_entry()))), FIELD_VALUES, max_size=4
    ).map(lambda changes: make_entry(**changes).encode()),
)
MEMBER_IDS = hs.one_of(hs.just("i-1"), hs.text(max_size=300))


@settings(max_examples=1_000, derandomize=True, deadline=None, database=None)
@given(member=MEMBER_IDS, body=ENTRIES)
def test_any_entry_is_refused_or_can_be_used(member, body):
    """Guards against an accepted entry that a daemon cannot send, dial or store."""
    try:
        record = decode_announcement(member, body)
    except InvalidAnnouncement:
        return
    assert is_usable(record)
    _, port = split_address(record.address)
    assert 0 < port < 65_536
    start = PlatformLines().encode_start(record.group, "caller", record.member)
    assert start.count(b"\r\n") == 1 and len(start.split()) == 4
    view = MemberView(record.member, record.address, record.zone)
    group = GroupView(record.group, 1, record.member, [view], 1)
    grant = ProxyGrant(0, "leader", 0, 0, b"", 1, [group], [])
    to_bytes(encode_envelope("leader", "proxy", grant))
    stored = json.loads(json.dumps(asdict(record)))
    assert MemberRecord(**stored) == record


def test_a_valid_entry_is_accepted(tmp_path):
    """Guards against refusals for a reason other than the one that is tested."""

    async def scenario(system):
        loop = asyncio.get_running_loop()
        application = make_control_application(system.controls[0], LoopBridge(loop))
        body = make_entry().encode()
        status = await asyncio.to_thread(put_entry, application, "i-new", body)
        assert status.startswith("200")
        records = system.controls[0].records
        await system.until(lambda: "i-new" in records.members)

    run_system(tmp_path, scenario)


@pytest.mark.parametrize(
    "changes",
    [{"address": "127.0.0.1:99999"}, {"address": "\ud800:80"}, {"zone": "\ud800"}],
)
def test_an_odd_record_of_an_earlier_build_is_not_used(tmp_path, changes):
    """Guards against stored records that stop failover or leases."""

    async def scenario(system):
        fields = {"address": "127.0.0.1:9", "zone": "north", **changes}
        record = MemberRecord(
            "i-odd",
            "ledger",
            **fields,
            born=5,
            sequence=1,
            leaving=False,
            primary=False,
        )
        assert await system.controls[0].announce(record)
        await assert_failover(system)
        assert not [event for event in system.events if event[0] in FAILURES]

    run_system(tmp_path, scenario)


def test_a_message_that_cannot_be_encoded_does_not_stop_others():
    """Guards against work that ends with one message no peer could read."""
    events = []

    async def scenario() -> None:
        names = free_addresses(2)
        received = []
        links = [
            Links(
                name,
                lambda sender, message: received.append(message),
                lambda level, event, **fields: events.append((event, fields)),
                WireMetrics().sent_bytes,
            )
            for name in names
        ]
        for item in links:
            await item.start()
        links[0].send(names[1], JoinRequest("\ud800", 0))
        links[0].send(names[1], JoinRequest("valid", 0))
        async with asyncio.timeout(5):
            while not received:
                await asyncio.sleep(0.01)
        links[0].send(names[1], JoinRequest("\ud800", 0))
        for item in links:
            item.close()
        assert received == [JoinRequest("valid", 0)]

    asyncio.run(scenario())
    failed = [fields["type"] for event, fields in events if event == "message_not_sent"]
    assert failed == ["JoinRequest"] * 2
