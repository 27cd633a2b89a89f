"""Slopes of a daemon's costs: client of the control group, relay and router."""

import json
import random
import tracemalloc
from collections.abc import Callable

from bench.control_slopes import tick_cost
from bench.fit import cpu_microseconds, slope
from bench.scale import (
    LEADER,
    MEMBERS,
    NodeHarness,
    SimulatedSystem,
    database_names,
    make_announcement,
    make_member_summary,
    organisation_name,
    template_body,
)
from bronzemoor_core.connections import DatabasePool
from bronzemoor_core.heartbeats import make_heartbeat
from bronzemoor_core.messages import (
    ConfigurationUpdate,
    DatabaseState,
    HeartbeatReply,
    Share,
    TemplateVersion,
    TopologyUpdate,
)
from bronzemoor_core.positions import ZERO
from bronzemoor_core.relays import member_summaries
from bronzemoor_core.routing import Router
from bronzemoor_core.topology import topology_digest

SUBSCRIBED = (9, 18, 36, 72)
ANNOUNCED = (25, 50, 100, 200)


def topology_update(numbers: range, offset: int = 1) -> TopologyUpdate:
    """Returns the databases and members of the organisations ``numbers``."""
    names = [name for number in numbers for name in database_names(number)]
    return TopologyUpdate(
        True,
        [DatabaseState(name, 4, MEMBERS[0], False, {4: 1}, 3) for name in names],
        [
            make_member_summary(name, member, offset)
            for name in names
            for member in MEMBERS
        ],
    )


def configuration_update(numbers: range, version: int) -> ConfigurationUpdate:
    bodies = {number: template_body(database_names(number)) for number in numbers}
    return ConfigurationUpdate(
        [
            TemplateVersion(
                organisation_name(number), version, json.dumps(body).encode()
            )
            for number, body in bodies.items()
        ],
        0,
        [],
    )


def make_daemon(databases: int) -> NodeHarness:
    """Returns a daemon subscribed to ``databases`` that has a share of each."""
    numbers = range(databases // 3)
    names = tuple(organisation_name(number) for number in numbers)
    harness = NodeHarness("daemon-0001", organisations=names, control_members=(LEADER,))
    harness.handle(harness.storage.recover())
    harness.receive(LEADER, configuration_update(numbers, 1))
    harness.receive(LEADER, topology_update(numbers))
    for _ in range(20):
        harness.tick()
    return harness


@slope("daemon.tick", "us", "subscribed databases", SUBSCRIBED)
def daemon_tick(size: int) -> float:
    """Checks pools without a share and leases, with one heartbeat in ten ticks."""
    return tick_cost(make_daemon(size))


@slope("daemon.heartbeat", "us", "subscribed databases", SUBSCRIBED)
def daemon_heartbeat(size: int) -> float:
    harness = make_daemon(size)
    blackboard, settings = harness.node.blackboard, harness.settings
    return cpu_microseconds(
        lambda: make_heartbeat(harness.now, blackboard, settings, 1)
    )


@slope("daemon.reply", "us", "subscribed databases", SUBSCRIBED)
def handle_reply(size: int) -> float:
    """A reply with a share of every database and the digest, as sent once a second."""
    harness = make_daemon(size)
    names = [name for number in range(size // 3) for name in database_names(number)]
    digest = topology_digest(harness.node.blackboard.topology.databases, None)
    shares = [Share(name, 0, 3_000) for name in names]
    held = dict.fromkeys(harness.settings.organisations, 1)
    limits = harness.node._controllers["limits"]

    def reply() -> None:
        harness.now += 0.001
        sequence = limits._sequence = limits._sequence + 1
        limits._sent_at[sequence] = harness.now
        limits._sent_at.pop(sequence - 100, None)
        harness.receive(LEADER, HeartbeatReply(sequence, LEADER, shares, held, digest))

    return cpu_microseconds(reply)


@slope("daemon.topology_update", "us", "databases in the update", SUBSCRIBED)
def handle_topology_update(size: int) -> float:
    harness = make_daemon(size)
    offsets = iter(range(2, 10_000_000))

    def update() -> None:
        harness.now += 0.001
        harness.receive(LEADER, topology_update(range(size // 3), next(offsets)))

    build = cpu_microseconds(lambda: topology_update(range(size // 3)))
    return cpu_microseconds(update) - build


@slope("daemon.configuration_update", "us", "templates in the update", (3, 6, 12, 24))
def handle_configuration_update(size: int) -> float:
    harness = make_daemon(3 * size)
    versions = iter(range(2, 10_000_000))

    def update() -> None:
        harness.receive(LEADER, configuration_update(range(size), next(versions)))
        harness.sent.clear()

    build = cpu_microseconds(lambda: configuration_update(range(size), 1))
    return cpu_microseconds(update) - build


def announced_members(size: int) -> list[tuple[str, str]]:
    names = [n for number in range(1 + size // 9) for n in database_names(number)]
    return [(name, member) for name in names for member in MEMBERS][:size]


def make_relay(size: int) -> NodeHarness:
    harness = make_daemon(9)
    for _ in range(2):
        harness.tick()
        for name, member in announced_members(size):
            harness.handle(make_announcement(name, member))
    return harness


@slope("relay.announcement", "us", "members announced here", ANNOUNCED)
def handle_announcement(size: int) -> float:
    """One announcement with a new position, without its HTTP request."""
    harness, members = make_relay(size), announced_members(size)
    offsets = iter(range(10, 10_000_000))

    def announce() -> None:
        harness.now += 0.0001
        offset = next(offsets)
        for name, member in members:
            harness.handle(make_announcement(name, member, offset))

    return cpu_microseconds(announce, len(members))


@slope("relay.heartbeat", "us", "members announced here", ANNOUNCED)
def relay_heartbeat(size: int) -> float:
    """A heartbeat with the member summaries that are due."""
    harness = make_relay(size)
    blackboard, settings = harness.node.blackboard, harness.settings
    return cpu_microseconds(
        lambda: make_heartbeat(harness.now, blackboard, settings, 1)
    )


@slope("relay.summaries", "summaries a heartbeat", "members announced here", ANNOUNCED)
def relay_summaries(size: int) -> float:
    """Mean over one second in which only positions change."""
    harness, count = make_relay(size), 0
    for step in range(20):
        harness.now += 0.1
        for name, member in announced_members(size):
            harness.handle(make_announcement(name, member, 10 + step))
        blackboard, timers = harness.node.blackboard, harness.settings.timers
        if step >= 10:
            count += len(member_summaries(harness.now, blackboard, timers))
    return count / 10


@slope("relay.tick", "us", "members announced here", ANNOUNCED)
def relay_tick(size: int) -> float:
    return tick_cost(make_relay(size))


@slope("routing.decision", "us", "known databases", (600, 1200, 2400, 4800))
def routing_decision(size: int) -> float:
    harness = NodeHarness("daemon-0001", organisations=("none",))
    harness.receive(LEADER, topology_update(range(size // 3)))
    databases = harness.node.blackboard.topology.databases
    names, pools = list(databases), {name: DatabasePool(name) for name in databases}
    chosen = random.Random(1).choices(names, k=1_000)
    router = Router(harness.settings, random.Random(1))

    def route() -> None:
        for name in chosen:
            router.read_route(harness.now, databases[name], pools[name], ZERO, None)

    return cpu_microseconds(route, len(chosen))


def allocated_kilobytes(make: Callable[[], object]) -> float:
    """Returns the memory allocated for the object that ``make`` returns."""
    make()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / 1024


@slope("memory.daemon", "KB", "subscribed databases", SUBSCRIBED)
def memory_subscribed(size: int) -> float:
    """A whole node with templates, members and pools."""
    return allocated_kilobytes(lambda: make_daemon(size))


@slope("memory.relay", "KB", "members announced here", ANNOUNCED)
def memory_announced(size: int) -> float:
    return allocated_kilobytes(lambda: make_relay(size))


@slope("memory.leader", "KB", "daemons", (25, 50, 100, 200))
def memory_daemons(size: int) -> float:
    """A leader with 60 databases."""
    return allocated_kilobytes(lambda: SimulatedSystem(size, 20))


@slope("memory.leader", "KB", "databases", (60, 120, 240, 480))
def memory_databases(size: int) -> float:
    """A leader with 20 daemons; databases have three members, and three share a
    template."""
    return allocated_kilobytes(lambda: SimulatedSystem(20, size // 3))
