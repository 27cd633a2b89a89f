"""Tests of callers with keys: sessions, member connections and key withdrawal."""

import asyncio
import json

import pytest
from system import Client, run_system

from bronzemoor_core.messages import ProxyReport
from bronzemoor_core.wire.callers import ANONYMOUS, digest_key, find_caller
from bronzemoor_core.wire.deployment import InvalidDeployment
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_platform.documents import read_document

ORGANISATIONS = [
    {"name": "north", "api_keys": ["key-n1", "key-n2"], "rate_per_s": 50, "burst": 50},
    {"name": "south", "api_keys": ["key-s"], "priority": 2},
]


def document(organisations, **route) -> str:
    routes = [
        {
            "name": "r",
            "database": "orders",
            "route_type": "primary",
            "timeout_ms": 800,
            "service": "ledger",
            **route,
        }
    ]
    services = [{"name": "ledger"}]
    return json.dumps(
        {"version": 1, "routes": routes, "services": services, "tenants": organisations}
    )


def digest(key: str) -> str:
    return digest_key(key.encode())


@pytest.mark.parametrize("public", [False, True])
def test_a_key_identifies_its_organisation(public):
    """Guards against statements that run in another organisation's name."""
    deployment = read_document(document(ORGANISATIONS, public=public))
    route = deployment.routes["orders"]
    assert find_caller(deployment, route, digest("key-n2")) == "north"
    assert find_caller(deployment, route, digest("key-s")) == "south"
    unknown = find_caller(deployment, route, digest("key-"))
    assert unknown == (ANONYMOUS if public else None)


def test_the_copy_for_proxies_has_no_keys():
    """Guards against keys in messages to proxies."""
    deployment = read_document(document(ORGANISATIONS))
    assert "key-" not in deployment.redacted
    copy = read_document(deployment.redacted)
    assert copy.key_owners == deployment.key_owners
    assert copy.organisations == deployment.organisations


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"api_keys": ["key-n1"]}, "has a key in common with 'north'"),
        ({"api_keys": ["k", "k"]}, "a key is listed twice"),
        ({"name": "north"}, "the name is used twice"),
        ({"name": "two words"}, "must be printable without blanks"),
        ({"rate_per_s": 0}, "the rate must be > 0"),
        ({"rate_per_s": 10**30}, "the rate must be > 0"),
        ({"rate_per_s": float("nan")}, "the rate must be > 0"),
        ({"burst": -1}, "the burst must be >= 0"),
        ({"rate_per_s": "fast"}, "rate_per_s must be a number"),
        ({"api_keys": [7]}, "api_keys must be a list of non-empty strings"),
        ({"key_digests": "abc"}, "key_digests must be a list"),
    ],
)
def test_an_invalid_organisation_is_refused(changes, problem):
    """Guards against documents in which a key or a quota has no clear meaning."""
    organisations = [ORGANISATIONS[0], {**ORGANISATIONS[1], **changes}]
    with pytest.raises(InvalidDeployment, match=problem):
        read_document(document(organisations))


def callers(system) -> set[str]:
    members = system.group.members.values()
    return {item.caller for member in members for item in member.connections}


def test_members_are_told_the_organisation_and_never_the_key(tmp_path):
    """Guards against connections in no organisation's name, or shared by two."""

    async def scenario(system):
        one = await Client.open(system.client_addresses[0], "orders", "key-n1")
        two = await Client.open(system.client_addresses[0], "orders", "key-s")
        assert (await one.call("STORE a 1"))[0].startswith("COMPLETE")
        assert (await two.call("STORE b 2"))[0].startswith("COMPLETE")
        opened = callers(system)
        assert {"north", "south"} <= opened
        assert not any("key-" in caller for caller in opened)

    run_system(tmp_path, scenario, tenants=ORGANISATIONS)


@pytest.mark.parametrize("key", ["", "key-x", "k" * 1_000_000, "k\udc80"])
def test_an_unknown_key_is_refused(tmp_path, key):
    """Guards against serving callers that no organisation answers for."""

    async def scenario(system):
        client = await Client.open(system.client_addresses[0], "orders", key)
        assert client.greeting.startswith("ERROR AUTHFAIL")
        assert await client.closed_without_message()
        assert not callers(system) & {"", key}

    run_system(tmp_path, scenario, tenants=ORGANISATIONS)


def test_a_withdrawn_key_is_refused_in_open_sessions(tmp_path):
    """Guards against sessions that outlive their key; a transaction goes on."""

    async def scenario(system):
        idle = await Client.open(system.client_addresses[0], "orders", "key-n1")
        busy = await Client.open(system.client_addresses[0], "orders", "key-n1")
        other = await Client.open(system.client_addresses[0], "orders", "key-n2")
        await busy.call("BEGIN")
        await busy.call("STORE a 1")
        left = [{**ORGANISATIONS[0], "api_keys": ["key-n2"]}]
        assert await system.put(2, tenants=left)
        proxy = system.proxies[0]
        await system.until(lambda: proxy.deployment.version == 2)
        assert (await idle.call("STORE b 2"))[0].startswith("ERROR AUTHFAIL")
        assert await idle.closed_without_message()
        assert (await busy.call("COMMIT"))[0].startswith("COMPLETE")
        assert (await busy.call("STORE c 3"))[0].startswith("ERROR AUTHFAIL")
        assert (await other.call("STORE d 4"))[0].startswith("COMPLETE")

    run_system(tmp_path, scenario, tenants=ORGANISATIONS)


def test_more_organisations_than_connections_are_all_served(tmp_path):
    """Guards against organisations that wait for idle connections of others."""
    organisations = [{"name": f"o{n}", "api_keys": [f"k{n}"]} for n in range(8)]

    async def scenario(system):
        clients = [
            await Client.open(system.client_addresses[0], "orders", f"k{n}")
            for n in range(8)
        ]
        for _ in range(2):
            answers = await asyncio.gather(*(c.call("STORE a 1") for c in clients))
            assert all(lines[0].startswith("COMPLETE") for lines in answers)

    services = [{"name": "ledger", "max_conns": 9, "sync_replicas": 1}]
    run_system(tmp_path, scenario, tenants=organisations, services=services)


def test_a_proxy_that_checks_no_keys_serves_nobody(tmp_path):
    """Guards against a proxy of an earlier build among others, which lets anyone in."""

    async def scenario(system):
        earlier = system.proxies[0]
        send = earlier.links.send

        def send_as_earlier_build(peer, message):
            if isinstance(message, ProxyReport):
                message.checks_keys = False
            send(peer, message)

        earlier.links.send = send_as_earlier_build
        await system.until(lambda: not earlier.has_lease)
        await asyncio.sleep(1.0)
        assert not earlier.has_lease
        assert any(event == "proxy_refused" for event, _ in system.events)
        client = await Client.open(system.client_addresses[1], "orders", "key-s")
        assert (await client.call("STORE a 1"))[0].startswith("COMPLETE")

    run_system(tmp_path, scenario, tenants=ORGANISATIONS)


def test_digests_in_a_document_reach_proxies():
    """Guards against keys that only the control leader knows."""
    given = [
        {"name": "north", "api_keys": ["key-n"]},
        {"name": "south", "key_digests": [digest("key-s")]},
    ]
    deployment = read_document(document(given))
    copy = read_document(deployment.redacted)
    assert copy.key_owners == deployment.key_owners


def test_no_organisation_is_named_like_callers_without_a_key():
    """Guards against callers without a key on an organisation's connections."""
    with pytest.raises(InvalidDeployment, match="clients without a key"):
        given = [{"name": ANONYMOUS, "api_keys": ["key-p"]}]
        read_document(document(given, public=True))


def test_a_delta_that_cannot_be_decoded_is_replaced_by_the_whole_document(tmp_path):
    """Guards against a proxy that keeps a withdrawn key for the next four changes."""

    async def scenario(system):
        proxy = system.proxies[0]
        proxy._decoder._document = "the text of a leader of another build"
        assert await system.put(2, tenants=ORGANISATIONS[1:])
        await system.until(lambda: proxy.deployment.version == 2)

    run_system(tmp_path, scenario, tenants=ORGANISATIONS)


def test_a_proxys_own_limit_is_not_that_of_its_zone(tmp_path):
    """Guards against shares by zone that each proxy takes for itself."""

    async def scenario(system):
        leader = next(c._leader for c in system.controls if c._leader is not None)
        assert not any(view.shared for view in leader._views)
        now, member = boottime(), system.group.primary.name
        leader._shares.record_use(now - 60.0, member, "north", 500)
        assert leader._shares.divide(now, {member: 40}, ["north", "south"])
        assert leader._shares.shares(member)
        assert not any(item.shares for item in leader._group_view("ledger").members)

    run_system(tmp_path, scenario, tenants=ORGANISATIONS)
