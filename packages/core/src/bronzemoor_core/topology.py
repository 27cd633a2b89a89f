"""What a daemon knows of databases, their members and other daemons."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from bronzemoor_core.blackboard import section
from bronzemoor_core.messages import MemberSummary
from bronzemoor_core.positions import ZERO, Position, TermHistory

NEVER = float("-inf")


@dataclass(slots=True)
class Member:
    """An endpoint of one database as this daemon knows it."""

    name: str
    database: str
    address: str
    data_centre: str
    role: str = "replica"
    position: Position = ZERO
    incarnation: int = 0
    # Gets no new work: it announced so, or an operator drains it (``drained``).
    leaving: bool = False
    drained: bool = False
    slots: int = 3
    connections: int = 20
    last_heard: float = 0.0
    # When it last announced itself to this daemon.
    announced_at: float = NEVER
    # When anything but its position last changed.
    changed_at: float = NEVER
    group: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    history: dict[int, int] = field(default_factory=dict)
    # announcement, relay or leader: who this daemon last heard it from.
    source: str = "announcement"


@dataclass(slots=True)
class PrimarySample:
    """The primary's position, known to be at least as new as ``proved_at``."""

    proved_at: float
    position: Position


@dataclass(slots=True)
class Database:
    """One database group. ``primary`` is a member's name, empty while there is none.

    While a promotion is in progress (``fenced``) ``primary`` is empty and
    ``committed_primary`` still names the one of ``term``.
    """

    name: str
    term: int = 0
    primary: str = ""
    group: tuple[str, ...] = ()
    history: TermHistory = field(default_factory=TermHistory)
    members: dict[str, Member] = field(default_factory=dict)
    # Oldest first.
    samples: deque[PrimarySample] = field(default_factory=lambda: deque(maxlen=64))
    committed_primary: str = ""
    fenced: bool = False
    version: int = 0


@dataclass(slots=True)
class Daemon:
    """A daemon known by its heartbeats."""

    name: str
    incarnation: int
    data_centre: str
    last_heard: float
    subscriptions: tuple[str, ...] = ()
    draining: bool = False
    # When this leader last sent it the whole topology.
    updated_at: float = NEVER
    # Its lease ran out. It is remembered for a while, so that a report of what is in
    # force everywhere does not forget it.
    lost: bool = False


@section("topology")
class Topology:
    """``leader`` is the control leader as far as this daemon knows."""

    __slots__ = ("daemons", "databases", "is_leader", "leader", "leader_since")

    def __init__(self) -> None:
        self.databases: dict[str, Database] = {}
        self.daemons: dict[str, Daemon] = {}
        self.leader = ""
        self.is_leader = False
        self.leader_since = NEVER


def topology_digest(databases: Any, names: frozenset[str] | None) -> int:
    """Returns a checksum of all but the positions over ``names``, or over all."""
    rows = []
    for name in sorted(databases if names is None else names):
        database = databases.get(name)
        if database is None:
            continue
        members = [
            (m.name, m.incarnation, m.address, m.leaving)
            for _, m in sorted(database.members.items())
        ]
        rows.append((name, database.version, database.term, members))
    # 0 stands for "no digest" in HeartbeatReply.
    return crc32(repr(rows).encode()) or 1


def make_member(summary: MemberSummary, heard: float, source: str) -> Member:
    """Returns the member that a summary describes, last heard at ``heard``."""
    return Member(
        name=summary.member,
        database=summary.database,
        address=summary.address,
        data_centre=summary.data_centre,
        role=summary.role,
        position=Position(summary.term, summary.offset),
        incarnation=summary.incarnation,
        leaving=summary.leaving,
        slots=summary.slots,
        connections=summary.connections,
        last_heard=heard,
        group=tuple(summary.members),
        unreachable=tuple(summary.unreachable),
        history=dict(summary.history),
        source=source,
    )


def member_facts(member: Member) -> tuple[Any, ...]:
    """Everything that is forwarded at once when it changes."""
    return (
        member.address,
        member.role,
        member.position.term,
        member.incarnation,
        member.leaving,
        member.slots,
        member.connections,
        member.group,
        member.unreachable,
        member.history,
    )
