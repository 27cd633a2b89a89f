"""Builds heartbeats from daemons to the control members, and the replies."""

from collections.abc import Callable

from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.connections import ConnectionState
from bronzemoor_core.messages import Demand, Heartbeat, HeartbeatReply, Share
from bronzemoor_core.settings import NodeSettings

HeartbeatPart = Callable[[float, Blackboard, NodeSettings, Heartbeat], None]
ReplyPart = Callable[[float, Blackboard, NodeSettings, Heartbeat, HeartbeatReply], None]

HEARTBEAT_PARTS: list[HeartbeatPart] = []
REPLY_PARTS: list[ReplyPart] = []


def heartbeat_part(function: HeartbeatPart) -> HeartbeatPart:
    """Registers a function that fills its part of every heartbeat sent."""
    HEARTBEAT_PARTS.append(function)
    return function


def reply_part(function: ReplyPart) -> ReplyPart:
    """Registers a function that fills its part of every reply to a heartbeat."""
    REPLY_PARTS.append(function)
    return function


def make_heartbeat(
    now: float, blackboard: Blackboard, settings: NodeSettings, sequence: int
) -> Heartbeat:
    """Builds a heartbeat; every registered part fills in its fields."""
    heartbeat = Heartbeat(
        settings.incarnation, settings.data_centre, sequence, {}, [], [], [], []
    )
    for part in HEARTBEAT_PARTS:
        part(now, blackboard, settings, heartbeat)
    return heartbeat


def make_reply(
    now: float,
    blackboard: Blackboard,
    settings: NodeSettings,
    heartbeat: Heartbeat,
    shares: list[Share],
) -> HeartbeatReply:
    """Builds the leader's reply to ``heartbeat``."""
    reply = HeartbeatReply(heartbeat.sequence, settings.name, shares, {}, 0)
    for part in REPLY_PARTS:
        part(now, blackboard, settings, heartbeat, reply)
    return reply


def heartbeat_recipients(blackboard: Blackboard, settings: NodeSettings) -> set[str]:
    """Returns the names of the control members that get this daemon's heartbeats."""
    log = blackboard.log
    names = set(settings.control_members) | set(log.voters) | set(log.learners)
    if log.leader:
        names.add(log.leader)
    if settings.control:
        names.add(settings.name)
    return names


@heartbeat_part
def report_demands(
    now: float, blackboard: Blackboard, settings: NodeSettings, heartbeat: Heartbeat
) -> None:
    """Reports demand for databases with connections, requests, shares or templates.

    Idle connections count as held but not as wanted, so that they keep no share alive.
    """
    pools = blackboard.pools.databases
    queues = blackboard.queues.databases
    shares = blackboard.limits.shares
    owners = {
        database: organisation
        for organisation, template in blackboard.configuration.templates.items()
        for database in template.databases
    }
    for database in sorted({*pools, *queues, *shares, *owners}):
        pool, queue, share = (part.get(database) for part in (pools, queues, shares))
        wanted = len(queue.entries) if queue else 0
        if pool:
            wanted += pool.counts[ConnectionState.BUSY]
        heartbeat.demands.append(
            Demand(
                database,
                owners.get(database, ""),
                held=pool.total if pool else 0,
                wanted=wanted,
                share=share.connections if share else 0,
            )
        )


@heartbeat_part
def report_acknowledged(
    now: float, blackboard: Blackboard, settings: NodeSettings, heartbeat: Heartbeat
) -> None:
    heartbeat.acknowledged = blackboard.limits.acknowledged


@heartbeat_part
def report_suspicions(
    now: float, blackboard: Blackboard, settings: NodeSettings, heartbeat: Heartbeat
) -> None:
    heartbeat.suspicions = list(blackboard.failover.suspicions)
