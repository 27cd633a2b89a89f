"""Slopes of a daemon: its client side of control, relaying and routing."""

import json
import random
import tracemalloc
from collections.abc import Callable

from bench.control_slopes import tick_cost
from bench.fit import microseconds, slope
from bench.scale import (
    LEADER,
    MEMBERS,
    Fleet,
    Machine,
    announcement,
    body_of,
    databases_of,
    organisation,
    summary,
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


def topology(numbers: range, offset: int = 1) -> TopologyUpdate:
    """All databases of the organisations ``numbers`` with their members."""
    names = [name for number in numbers for name in databases_of(number)]
    return TopologyUpdate(
        True,
        [DatabaseState(name, 4, MEMBERS[0], False, {4: 1}, 3) for name in names],
        [summary(name, member, offset) for name in names for member in MEMBERS],
    )


def configuration(numbers: range, version: int) -> ConfigurationUpdate:
    bodies = {number: body_of(databases_of(number)) for number in numbers}
    return ConfigurationUpdate(
        [
            TemplateVersion(organisation(number), version, json.dumps(body).encode())
            for number, body in bodies.items()
        ],
        0,
        [],
    )


def make_daemon(databases: int) -> Machine:
    """A daemon that subscribes to ``databases``, with a share of each."""
    numbers = range(databases // 3)
    names = tuple(organisation(number) for number in numbers)
    machine = Machine("daemon-0001", organisations=names, control_members=(LEADER,))
    machine.handle(machine.storage.recover())
    machine.receive(LEADER, configuration(numbers, 1))
    machine.receive(LEADER, topology(numbers))
    for _ in range(20):
        machine.tick()
    return machine


@slope("daemon.tick", "us", "subscribed databases", SUBSCRIBED)
def tick(size: int) -> float:
    """Pools without a share, leases and one heartbeat in ten ticks."""
    return tick_cost(make_daemon(size))


@slope("daemon.heartbeat", "us", "subscribed databases", SUBSCRIBED)
def make(size: int) -> float:
    machine = make_daemon(size)
    board, settings = machine.node.blackboard, machine.settings
    return microseconds(lambda: make_heartbeat(machine.now, board, settings, 1))


@slope("daemon.reply", "us", "subscribed databases", SUBSCRIBED)
def take_reply(size: int) -> float:
    """A reply with a share of every database and the digest, as once a second."""
    machine = make_daemon(size)
    names = [name for number in range(size // 3) for name in databases_of(number)]
    digest = topology_digest(machine.node.blackboard.topology.databases, None)
    shares = [Share(name, 0, 3_000) for name in names]
    held = dict.fromkeys(machine.settings.organisations, 1)
    limits = machine.node._controllers["limits"]

    def reply() -> None:
        machine.now += 0.001
        sequence = limits._sequence = limits._sequence + 1
        limits._sent_at[sequence] = machine.now
        limits._sent_at.pop(sequence - 100, None)
        machine.receive(LEADER, HeartbeatReply(sequence, LEADER, shares, held, digest))

    return microseconds(reply)


@slope("daemon.topology_update", "us", "databases in the update", SUBSCRIBED)
def take_topology(size: int) -> float:
    machine = make_daemon(size)
    offsets = iter(range(2, 10_000_000))

    def update() -> None:
        machine.now += 0.001
        machine.receive(LEADER, topology(range(size // 3), next(offsets)))

    build = microseconds(lambda: topology(range(size // 3)))
    return microseconds(update) - build


@slope("daemon.configuration_update", "us", "templates in the update", (3, 6, 12, 24))
def take_configuration(size: int) -> float:
    machine = make_daemon(3 * size)
    versions = iter(range(2, 10_000_000))

    def update() -> None:
        machine.receive(LEADER, configuration(range(size), next(versions)))
        machine.sent.clear()

    build = microseconds(lambda: configuration(range(size), 1))
    return microseconds(update) - build


def announced(size: int) -> list[tuple[str, str]]:
    names = [n for number in range(1 + size // 9) for n in databases_of(number)]
    return [(name, member) for name in names for member in MEMBERS][:size]


def make_relay(size: int) -> Machine:
    machine = make_daemon(9)
    for _ in range(2):
        machine.tick()
        for name, member in announced(size):
            machine.handle(announcement(name, member))
    return machine


@slope("relay.announcement", "us", "members announced here", ANNOUNCED)
def take_announcement(size: int) -> float:
    """One announcement with a new position; its HTTP request is not included."""
    machine, members = make_relay(size), announced(size)
    offsets = iter(range(10, 10_000_000))

    def announce() -> None:
        machine.now += 0.0001
        offset = next(offsets)
        for name, member in members:
            machine.handle(announcement(name, member, offset))

    return microseconds(announce, len(members))


@slope("relay.heartbeat", "us", "members announced here", ANNOUNCED)
def relay_heartbeat(size: int) -> float:
    """A heartbeat with the member summaries that are due."""
    machine = make_relay(size)
    board, settings = machine.node.blackboard, machine.settings
    return microseconds(lambda: make_heartbeat(machine.now, board, settings, 1))


@slope("relay.summaries", "summaries a heartbeat", "members announced here", ANNOUNCED)
def relay_summaries(size: int) -> float:
    """Mean over one second in which only positions change."""
    machine, count = make_relay(size), 0
    for step in range(20):
        machine.now += 0.1
        for name, member in announced(size):
            machine.handle(announcement(name, member, 10 + step))
        board, timers = machine.node.blackboard, machine.settings.timers
        if step >= 10:
            count += len(member_summaries(machine.now, board, timers))
    return count / 10


@slope("relay.tick", "us", "members announced here", ANNOUNCED)
def relay_tick(size: int) -> float:
    return tick_cost(make_relay(size))


@slope("routing.decision", "us", "known databases", (600, 1200, 2400, 4800))
def decide(size: int) -> float:
    machine = Machine("daemon-0001", organisations=("none",))
    machine.receive(LEADER, topology(range(size // 3)))
    databases = machine.node.blackboard.topology.databases
    names, pools = list(databases), {name: DatabasePool(name) for name in databases}
    chosen = random.Random(1).choices(names, k=1_000)
    router = Router(machine.settings, random.Random(1))

    def route() -> None:
        for name in chosen:
            router.read_route(machine.now, databases[name], pools[name], ZERO, None)

    return microseconds(route, len(chosen))


def kilobytes(make: Callable[[], object]) -> float:
    """Memory that stays allocated for what ``make`` returns."""
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
    return kilobytes(lambda: make_daemon(size))


@slope("memory.relay", "KB", "members announced here", ANNOUNCED)
def memory_announced(size: int) -> float:
    return kilobytes(lambda: make_relay(size))


@slope("memory.leader", "KB", "daemons", (25, 50, 100, 200))
def memory_daemons(size: int) -> float:
    """A leader with 60 databases."""
    return kilobytes(lambda: Fleet(size, 20))


@slope("memory.leader", "KB", "databases", (60, 120, 240, 480))
def memory_databases(size: int) -> float:
    """A leader with 20 daemons; a database has three members and one third of a
    template."""
    return kilobytes(lambda: Fleet(20, size // 3))
