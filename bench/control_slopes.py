"""Slopes of the costs of the control leader and of control followers."""

import gc
from collections.abc import Callable
from time import process_time

from bench.fit import cpu_microseconds, slope
from bench.scale import (
    LEADER,
    NodeHarness,
    SimulatedSystem,
    make_daemon_heartbeat,
    make_leader,
    make_member_summary,
)
from bronzemoor_core.messages import HeartbeatReply
from bronzemoor_core.relays import answer_digest

# Timed rounds of heartbeats, and the heartbeats timed in each.
ROUNDS = 6
HEARTBEATS_PER_ROUND = 50
# Rounds before them, after which the allocator no longer moves shares.
WARMUP_ROUNDS = 7
# Ticks of 10 ms in the heartbeat interval of 100 ms.
TICKS_PER_INTERVAL = 10


def heartbeat_cost(system: SimulatedSystem, members: int = 0) -> float:
    """Returns the leader's microseconds per heartbeat in the fastest round.

    One round in ten also makes digests; ``leader.digest`` measures their cost.
    """
    times = []
    for _ in range(WARMUP_ROUNDS):
        for daemon, heartbeat in system.make_heartbeats(system.daemons):
            system.send_heartbeat(daemon, heartbeat)
    for _ in range(ROUNDS):
        heartbeats = system.make_heartbeats(HEARTBEATS_PER_ROUND)
        for _, heartbeat in heartbeats:
            heartbeat.members = [
                make_member_summary(f"extra-{k}", "m1", system.sequence)
                for k in range(members)
            ]
        gc.collect()
        before = process_time()
        for daemon, heartbeat in heartbeats:
            system.send_heartbeat(daemon, heartbeat)
        times.append((process_time() - before) / len(heartbeats) * 1e6)
        system.leader.sent.clear()
    return min(times)


@slope("leader.heartbeat", "us", "daemons", (50, 100, 200, 400))
def heartbeat_by_daemons(size: int) -> float:
    """Daemons and databases in the ratio of the two-year scale."""
    return heartbeat_cost(SimulatedSystem(size, round(size * 4_300 / 3_700 / 3)))


@slope("leader.heartbeat", "us", "databases", (150, 300, 600, 1200))
def heartbeat_by_databases(size: int) -> float:
    return heartbeat_cost(SimulatedSystem(50, size // 3))


@slope("leader.heartbeat.shared", "us", "daemons per database", (5, 10, 20, 40))
def heartbeat_by_sharers(size: int) -> float:
    """All daemons serve the same three organisations."""
    return heartbeat_cost(SimulatedSystem(size, 3))


@slope("leader.heartbeat.members", "us", "member summaries", (0, 10, 20, 40))
def heartbeat_by_members(size: int) -> float:
    return heartbeat_cost(SimulatedSystem(50, 20), size)


@slope("follower.heartbeat", "us", "daemons", (50, 100, 200, 400))
def follower_heartbeat(size: int) -> float:
    """Cost of the same heartbeats at a control member that is not the leader."""
    follower = NodeHarness(
        "control-2", control=True, control_members=(LEADER, "control-2")
    )
    follower.handle(follower.storage.recover())
    served = [
        [daemon % 20, (daemon + 1) % 20, (daemon + 2) % 20] for daemon in range(size)
    ]
    sequences = iter(range(1, 1_000_000))

    def handle_heartbeats() -> None:
        sequence = next(sequences)
        for daemon, numbers in enumerate(served):
            heartbeat = make_daemon_heartbeat(sequence, numbers, [])
            follower.receive(f"daemon-{daemon:04}", heartbeat)

    build = cpu_microseconds(
        lambda: [make_daemon_heartbeat(1, numbers, []) for numbers in served], size
    )
    return cpu_microseconds(handle_heartbeats, size) - build


def fastest_call_microseconds(function: Callable[[], object], runs: int = 7) -> float:
    """Times single calls that change the state; returns the fastest of ``runs``."""
    times = []
    for _ in range(runs):
        gc.collect()
        before = process_time()
        function()
        times.append((process_time() - before) * 1e6)
    return min(times)


@slope("leader.change", "us", "subscribed daemons", (25, 50, 100, 200))
def change_by_subscribers(size: int) -> float:
    """From the proposal to the last message that distributes the change."""
    system = SimulatedSystem(size, 3)
    versions = iter(range(1, 100))
    return fastest_call_microseconds(lambda: system.apply_template(0, next(versions)))


@slope("leader.change.elsewhere", "us", "daemons", (50, 100, 200, 400))
def change_by_daemons(size: int) -> float:
    """A change for an organisation that only a few daemons serve."""
    system = SimulatedSystem(size, round(size * 4_300 / 3_700 / 3))
    versions = iter(range(1, 100))
    return fastest_call_microseconds(lambda: system.apply_template(0, next(versions)))


def tick_cost(harness: NodeHarness) -> float:
    """Returns the mean microseconds of a tick in the fastest of ten intervals.

    The node checks leases and sends its own heartbeat once per heartbeat interval.
    """
    times = []
    for _ in range(10):
        before = process_time()
        for _ in range(TICKS_PER_INTERVAL):
            harness.tick()
        times.append((process_time() - before) / TICKS_PER_INTERVAL * 1e6)
    return min(times)


@slope("leader.tick", "us", "databases", (150, 300, 600, 1200))
def tick_by_databases(size: int) -> float:
    """A control VM that serves no organisation."""
    leader = make_leader(organisations=("none",))
    return tick_cost(SimulatedSystem(50, size // 3, leader=leader).leader)


@slope("leader.tick", "us", "daemons", (100, 200, 400, 800))
def tick_by_daemons(size: int) -> float:
    leader = make_leader(organisations=("none",))
    return tick_cost(SimulatedSystem(size, 20, leader=leader).leader)


@slope("leader.tick.serving", "us", "databases", (75, 150, 300, 600))
def tick_by_served_databases(size: int) -> float:
    """A control VM that also serves every organisation, which is the default."""
    return tick_cost(SimulatedSystem(50, size // 3).leader)


@slope("leader.digest", "us", "databases", (150, 300, 600, 1200))
def digest_by_databases(size: int) -> float:
    """Added cost of a heartbeat reply with a digest of nine databases."""
    system = SimulatedSystem(50, size // 3)
    leader, served = system.leader.node.blackboard, system.served[0]
    reply = HeartbeatReply(0, LEADER, [], {}, 0)
    heartbeat = make_daemon_heartbeat(0, served, [])
    settings = system.leader.settings
    return cpu_microseconds(
        lambda: answer_digest(system.leader.now, leader, settings, heartbeat, reply)
    )
