"""Nodes on a virtual clock, filled with databases, members and daemons of a size.

Messages are passed as objects. An organisation has three databases and a daemon
serves three organisations, as many daemons per database (7.7) as today (6 to 7).
"""

import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bronzemoor_core.actions import PersistLog, PersistSnapshot, SendPeerMessage
from bronzemoor_core.events import (
    Announcement,
    AnnouncementReceived,
    PeerMessageReceived,
    StorageSynced,
    Tick,
)
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_core.messages import Demand, Heartbeat, MemberSummary
from bronzemoor_core.node import Node, make_node
from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.storage import MemoryStorage

MEMBERS = ("m1", "m2", "m3")
DATABASES_PER_ORGANISATION = 3
ORGANISATIONS_PER_DAEMON = 3
CONNECTIONS = 60
LEADER = "control-1"
CLASSES = {
    "order": {"kind": "write", "repeatable": False, "deadline": "2s"},
    "count": {"kind": "write", "priority": 7},
    "catalogue": {"kind": "read", "max_age": "2s", "deadline": "500ms"},
    "pick": {"kind": "read"},
}


def organisation(number: int) -> str:
    return f"organisation-{number:04}"


def databases_of(number: int) -> list[str]:
    first = number * DATABASES_PER_ORGANISATION
    return [f"stock-{first + k:05}" for k in range(DATABASES_PER_ORGANISATION)]


def body_of(databases: list[str]) -> dict[str, Any]:
    """A template with four classes."""
    return {"databases": databases, "connections": CONNECTIONS, "classes": CLASSES}


def summary(database: str, member: str, offset: int = 1, age_ms: int = 10) -> Any:
    role = "primary" if member == MEMBERS[0] else "replica"
    return MemberSummary(
        database, member, f"10.20.30.40:{7000 + int(member[1])}", "data-centre-17",
        role, 4, offset, 3, list(MEMBERS), False, 3, 20, {4: 1}, [], age_ms,
    )  # fmt: skip


def announcement(database: str, member: str, offset: int = 1) -> AnnouncementReceived:
    role = "primary" if member == MEMBERS[0] else "replica"
    return AnnouncementReceived(
        Announcement(
            database, member, f"10.20.30.40:{7000 + int(member[1])}", "data-centre-17",
            role, 4, offset, 3, MEMBERS, history={4: 1},
        )
    )  # fmt: skip


def demand(database: str, organisation: str, wanted: int) -> Demand:
    return Demand(database, organisation, held=8, wanted=wanted, share=8)


def heartbeat(
    sequence: int, served: list[int], members: list[Any], wanted: int = 4
) -> Heartbeat:
    """A heartbeat of a daemon that serves the organisations ``served``."""
    demands = [
        demand(database, organisation(number), wanted)
        for number in served
        for database in databases_of(number)
    ]
    names = [organisation(number) for number in served]
    return Heartbeat(
        3, "data-centre-17", sequence, dict.fromkeys(names, 1), demands, [], members,
        names, acknowledged=max(0, sequence - 1),
    )  # fmt: skip


class Machine:
    """A node, its clock, its storage in memory and the messages that it sent."""

    def __init__(self, name: str = LEADER, **settings: Any) -> None:
        self.settings = NodeSettings(name, "data-centre-17", **settings)
        self.node: Node = make_node(self.settings, Random(name))
        self.storage = MemoryStorage()
        self.now = 0.0
        self.sent: list[SendPeerMessage] = []

    def handle(self, event: object) -> list[Any]:
        """Handles an event and syncs at once what it stores."""
        actions = self.node.handle(self.now, event)
        for item in actions:
            if isinstance(item, SendPeerMessage):
                self.sent.append(item)
            elif isinstance(item, PersistLog):
                self.storage.persist(item)
                self.handle(StorageSynced(item.sequence))
            elif isinstance(item, PersistSnapshot):
                self.storage.save(item)
                self.handle(StorageSynced(item.sequence))
        return actions

    def receive(self, sender: str, message: Any) -> list[Any]:
        return self.handle(PeerMessageReceived(sender, message))

    def tick(self, seconds: float = 0.01) -> list[Any]:
        self.now += seconds
        return self.handle(Tick())


def make_leader(organisations: tuple[str, ...] = ()) -> Machine:
    """An established control leader, alone in its group.

    It serves the organisations given as a daemon, none given means all.
    """
    machine = Machine(
        control=True, control_members=(LEADER,), organisations=organisations
    )
    machine.handle(machine.storage.recover())
    for _ in range(100):
        machine.tick()
        if machine.node.blackboard.log.established:
            return machine
    raise AssertionError("no leader")


@dataclass(slots=True)
class Fleet:
    """A control leader that knows databases, their templates and daemons."""

    daemons: int
    organisations: int
    # Organisations of each daemon; None spreads them evenly.
    served: list[list[int]] = field(default_factory=list)
    sequence: int = 0
    leader: Machine = field(default_factory=make_leader)

    def __post_init__(self) -> None:
        if not self.served:
            self.served = [
                [
                    (daemon * ORGANISATIONS_PER_DAEMON + k) % self.organisations
                    for k in range(ORGANISATIONS_PER_DAEMON)
                ]
                for daemon in range(self.daemons)
            ]
        for number in range(self.organisations):
            self.apply(number, 0)
            for name in databases_of(number):
                self.appoint(name)
        self.beat_all(members=True)
        self.beat_all()
        self.leader.sent.clear()

    @property
    def databases(self) -> int:
        return self.organisations * DATABASES_PER_ORGANISATION

    def apply(self, number: int, version: int) -> None:
        """Commits a version of one organisation's template."""
        command = {
            "type": "template.apply", "organisation": organisation(number),
            "body": body_of(databases_of(number)), "expect_version": version,
            "change_id": f"change-{version}", "operator": "operator", "at": 1.0,
        }  # fmt: skip
        self.leader.handle(CommandProposed(command, ("bench", 0)))

    def appoint(self, database: str) -> None:
        """Commits the first primary, so that the leader has nothing left to do."""
        base = {"database": database, "change_id": f"auto:{database}:4"}
        start = {"type": "failover.start", "old_term": 3, "new_term": 4}
        choose = {"type": "failover.choose", "member": MEMBERS[0], "start_offset": 1}
        for command in (
            {**start, "group": list(MEMBERS)},
            {**choose, "term": 4},
            {"type": "failover.done", "term": 4},
        ):
            self.leader.handle(CommandProposed({**base, **command}, ("bench", 0)))

    def beat_all(self, members: bool = False) -> None:
        """Every daemon sends a heartbeat; with ``members`` it relays its part."""
        self.sequence += 1
        self.leader.now += 0.1
        names = [n for k in range(self.organisations) for n in databases_of(k)]
        for daemon, served in enumerate(self.served):
            part = names[daemon :: self.daemons] if members else []
            relayed = [
                summary(name, m, self.sequence) for name in part for m in MEMBERS
            ]
            self.beat(daemon, heartbeat(self.sequence, served, relayed))

    def beat(self, daemon: int, message: Heartbeat) -> None:
        self.leader.receive(f"daemon-{daemon:04}", message)

    def beats(self, limit: int) -> list[tuple[int, Heartbeat]]:
        """Heartbeats of the next round from at most ``limit`` daemons."""
        self.sequence += 1
        self.leader.now += 0.1
        return [
            (daemon, heartbeat(self.sequence, served, []))
            for daemon, served in enumerate(self.served[:limit])
        ]


def encoded_body(databases: int) -> bytes:
    """The body of a template as ``TemplateVersion`` carries it."""
    return json.dumps(body_of([f"stock-{k:05}" for k in range(databases)])).encode()
