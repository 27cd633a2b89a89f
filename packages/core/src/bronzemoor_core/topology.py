"""A daemon's view of databases, their members and other daemons."""

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
    # Gets no new work: it announced that it leaves, or an operator drains it
    # (``drained``).
    leaving: bool = False
    drained: bool = False
    slots: int = 3
    connections: int = 20
    last_contact_at: float = 0.0
    # Time of the last announcement received directly by this daemon.
    announced_at: float = NEVER
    # Time of the last change other than of its position.
    changed_at: float = NEVER
    group: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    history: dict[int, int] = field(default_factory=dict)
    # Origin of the latest information: announcement, relay or leader.
    source: str = "announcement"


@dataclass(slots=True)
class PrimarySample:
    """The primary's position, proved to be current at ``proved_at`` or later."""

    proved_at: float
    position: Position


@dataclass(slots=True)
class Database:
    """One database group; ``primary`` is a member's name, empty while there is none.

    While a promotion is in progress (``fenced``), ``primary`` is empty and
    ``committed_primary`` still names the primary of ``term``.
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
    """A daemon known from its heartbeats."""

    name: str
    incarnation: int
    data_centre: str
    last_contact_at: float
    subscriptions: tuple[str, ...] = ()
    draining: bool = False
    # When this leader last sent it a full topology update.
    updated_at: float = NEVER
    # Its lease expired. It stays listed for a while, so that the report of versions in
    # force everywhere still includes it.
    lost: bool = False


@section("topology")
class Topology:
    """The topology section; ``leader`` is the control leader last known here."""

    __slots__ = ("daemons", "databases", "is_leader", "leader", "leader_since")

    def __init__(self) -> None:
        self.databases: dict[str, Database] = {}
        self.daemons: dict[str, Daemon] = {}
        self.leader = ""
        self.is_leader = False
        self.leader_since = NEVER


def topology_digest(databases: Any, names: frozenset[str] | None) -> int:
    """Returns a checksum without positions over ``names``; None means all databases."""
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
    # 0 means "no digest" in HeartbeatReply.
    return crc32(repr(rows).encode()) or 1


def make_member(summary: MemberSummary, contact_at: float, source: str) -> Member:
    """Returns the member that a summary describes, last contacted at ``contact_at``."""
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
        last_contact_at=contact_at,
        group=tuple(summary.members),
        unreachable=tuple(summary.unreachable),
        history=dict(summary.history),
        source=source,
    )


def member_facts(member: Member) -> tuple[Any, ...]:
    """Returns the values whose changes are forwarded immediately."""
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
