"""Membership of endpoints and daemons: announcements, leases and incarnations."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller
from bronzemoor_core.positions import ZERO, Position, TermHistory


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
    leaving: bool = False
    slots: int = 3
    connections: int = 20
    last_heard: float = 0.0


@dataclass(slots=True)
class PrimarySample:
    """The primary's position, known to be at least as new as ``proved_at``."""

    proved_at: float
    position: Position


@dataclass(slots=True)
class Database:
    """One database group. ``primary`` is a member's name, empty while there is none."""

    name: str
    term: int = 0
    primary: str = ""
    group: tuple[str, ...] = ()
    history: TermHistory = field(default_factory=TermHistory)
    members: dict[str, Member] = field(default_factory=dict)
    # Oldest first.
    samples: deque[PrimarySample] = field(default_factory=lambda: deque(maxlen=64))


@section("topology")
class Topology:
    __slots__ = ("databases",)

    def __init__(self) -> None:
        self.databases: dict[str, Database] = {}


@controller("topology")
class Membership(Controller):
    """Owns the topology section."""

    _own: Any
