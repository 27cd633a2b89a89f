"""Nodes on a virtual clock with given numbers of databases, members and daemons.

Messages are passed as objects. An organisation has three databases and a daemon
serves three organisations, which gives 7.7 daemons per database (6 to 7 today).
"""

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


def organisation_name(number: int) -> str:
    return f"organisation-{number:04}"


def database_names(number: int) -> list[str]:
    first = number * DATABASES_PER_ORGANISATION
    return [f"stock-{first + k:05}" for k in range(DATABASES_PER_ORGANISATION)]


def template_body(databases: list[str]) -> dict[str, Any]:
    """Returns the body of a template with four classes."""
    return {"databases": databases, "connections": CONNECTIONS, "classes": CLASSES}


def make_member_summary(
    database: str, member: str, offset: int = 1, age_ms: int = 10
) -> Any:
    role = "primary" if member == MEMBERS[0] else "replica"
    return MemberSummary(
        database, member, f"10.20.30.40:{7000 + int(member[1])}", "data-centre-17",
        role, 4, offset, 3, list(MEMBERS), False, 3, 20, {4: 1}, [], age_ms,
    )  # fmt: skip


def make_announcement(
    database: str, member: str, offset: int = 1
) -> AnnouncementReceived:
    role = "primary" if member == MEMBERS[0] else "replica"
    return AnnouncementReceived(
        Announcement(
            database, member, f"10.20.30.40:{7000 + int(member[1])}", "data-centre-17",
            role, 4, offset, 3, MEMBERS, history={4: 1},
        )
    )  # fmt: skip


def make_demand(database: str, organisation: str, wanted: int) -> Demand:
    return Demand(database, organisation, held=8, wanted=wanted, share=8)


def make_daemon_heartbeat(
    sequence: int, served: list[int], members: list[Any], wanted: int = 4
) -> Heartbeat:
    """Returns a heartbeat of a daemon that serves the organisations ``served``."""
    demands = [
        make_demand(database, organisation_name(number), wanted)
        for number in served
        for database in database_names(number)
    ]
    names = [organisation_name(number) for number in served]
    return Heartbeat(
        3, "data-centre-17", sequence, dict.fromkeys(names, 1), demands, [], members,
        names, acknowledged=max(0, sequence - 1),
    )  # fmt: skip


class NodeHarness:
    """Runs a node on a virtual clock, with storage in memory; keeps sent messages."""

    def __init__(self, name: str = LEADER, **settings: Any) -> None:
        self.settings = NodeSettings(name, "data-centre-17", **settings)
        self.node: Node = make_node(self.settings, Random(name))
        self.storage = MemoryStorage()
        self.now = 0.0
        self.sent: list[SendPeerMessage] = []

    def handle(self, event: object) -> list[Any]:
        """Handles an event and immediately syncs what the node stores."""
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


def make_leader(organisations: tuple[str, ...] = ()) -> NodeHarness:
    """Returns the established leader of a control group of one.

    As a daemon it serves ``organisations``, or all of them if that is empty.
    """
    harness = NodeHarness(
        control=True, control_members=(LEADER,), organisations=organisations
    )
    harness.handle(harness.storage.recover())
    for _ in range(100):
        harness.tick()
        if harness.node.blackboard.log.established:
            return harness
    raise AssertionError("no leader was elected")


@dataclass(slots=True)
class SimulatedSystem:
    """A control leader with databases, their templates and daemons that it knows."""

    daemons: int
    organisations: int
    # Organisations by daemon; if empty, they are spread evenly.
    served: list[list[int]] = field(default_factory=list)
    sequence: int = 0
    leader: NodeHarness = field(default_factory=make_leader)

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
            self.apply_template(number, 0)
            for name in database_names(number):
                self.commit_primary(name)
        self.send_all_heartbeats(members=True)
        self.send_all_heartbeats()
        self.leader.sent.clear()

    @property
    def databases(self) -> int:
        return self.organisations * DATABASES_PER_ORGANISATION

    def apply_template(self, number: int, version: int) -> None:
        """Commits a new version of an organisation's template."""
        command = {
            "type": "template.apply", "organisation": organisation_name(number),
            "body": template_body(database_names(number)), "expect_version": version,
            "change_id": f"change-{version}", "operator": "operator", "at": 1.0,
        }  # fmt: skip
        self.leader.handle(CommandProposed(command, ("bench", 0)))

    def commit_primary(self, database: str) -> None:
        """Commits the first primary, which leaves the leader nothing to do."""
        base = {"database": database, "change_id": f"auto:{database}:4"}
        start = {"type": "failover.start", "old_term": 3, "new_term": 4}
        choose = {"type": "failover.choose", "member": MEMBERS[0], "start_offset": 1}
        for command in (
            {**start, "group": list(MEMBERS)},
            {**choose, "term": 4},
            {"type": "failover.done", "term": 4},
        ):
            self.leader.handle(CommandProposed({**base, **command}, ("bench", 0)))

    def send_all_heartbeats(self, members: bool = False) -> None:
        """Sends a heartbeat of every daemon; with ``members`` it relays its members."""
        self.sequence += 1
        self.leader.now += 0.1
        names = [
            n for index in range(self.organisations) for n in database_names(index)
        ]
        for daemon, served in enumerate(self.served):
            relayed_databases = names[daemon :: self.daemons] if members else []
            relayed = [
                make_member_summary(name, m, self.sequence)
                for name in relayed_databases
                for m in MEMBERS
            ]
            self.send_heartbeat(
                daemon, make_daemon_heartbeat(self.sequence, served, relayed)
            )

    def send_heartbeat(self, daemon: int, message: Heartbeat) -> None:
        self.leader.receive(f"daemon-{daemon:04}", message)

    def make_heartbeats(self, limit: int) -> list[tuple[int, Heartbeat]]:
        """Returns the heartbeats of the next round from at most ``limit`` daemons."""
        self.sequence += 1
        self.leader.now += 0.1
        return [
            (daemon, make_daemon_heartbeat(self.sequence, served, []))
            for daemon, served in enumerate(self.served[:limit])
        ]
