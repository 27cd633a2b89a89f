"""The replicated log of the control group."""

import json
from dataclasses import dataclass
from random import Random
from typing import Any

from bronzemoor_core.actions import PersistLog
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import (
    CommandApplied,
    CommandCommitted,
    CommandCompleted,
    CommandProposed,
    LeadershipChanged,
    QueryReady,
    StorageRecovered,
    StorageSynced,
)
from bronzemoor_core.messages import LogEntry
from bronzemoor_core.storage import HardState


@section("log")
class Log:
    """State of the replicated log at this daemon; ``role`` is follower, candidate,
    leader or none (a daemon outside the control group)."""

    __slots__ = (
        "applied_index",
        "commit_index",
        "last_contact",
        "leader",
        "learners",
        "role",
        "term",
        "voters",
    )

    def __init__(self) -> None:
        self.term = 0
        self.role = "none"
        self.leader = ""
        self.voters: tuple[str, ...] = ()
        self.learners: tuple[str, ...] = ()
        self.commit_index = 0
        self.applied_index = 0
        self.last_contact = 0.0


@dataclass(slots=True)
class ProposalOrigin:
    """Marks commands that consensus handed to ``state``."""

    origin: Any


@controller("log")
class Consensus(Controller):
    """Owns the log section."""

    _own: Log

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._sequence = 0
        self._last_index = 0
        self._unsynced: list[tuple[int, LogEntry, Any]] = []

    @handles(StorageRecovered)
    def on_recovered(self, now: float, event: StorageRecovered) -> list[Any]:
        if not self._settings.control:
            return []
        own = self._own
        name = self._settings.name
        known = event.hard_state or HardState(0, "", f"{name}-1")
        own.term, own.role, own.leader = known.term + 1, "leader", name
        own.voters = (name,)
        self._sequence += 1
        state = HardState(own.term, known.identity, known.identity)
        items: list[Any] = [PersistLog(self._sequence, state)]
        for entry in event.entries:
            items += self._commit(entry, None)
        return [*items, LeadershipChanged(name, own.term, True)]

    @handles(CommandProposed)
    def on_proposed(self, now: float, event: CommandProposed) -> list[Any]:
        if self._own.role != "leader":
            return [CommandCompleted(event.origin, "no_leader", "no leader", {})]
        if event.command.get("query"):
            return [QueryReady(event.command, ProposalOrigin(event.origin))]
        self._last_index += 1
        self._sequence += 1
        command = json.dumps(event.command).encode()
        entry = LogEntry(self._last_index, self._own.term, command)
        self._unsynced.append((self._sequence, entry, ProposalOrigin(event.origin)))
        return [PersistLog(self._sequence, None, [entry])]

    @handles(StorageSynced)
    def on_synced(self, now: float, event: StorageSynced) -> list[Any]:
        items: list[Any] = []
        while self._unsynced and self._unsynced[0][0] <= event.sequence:
            _, entry, origin = self._unsynced.pop(0)
            items += self._commit(entry, origin)
        return items

    @handles(CommandApplied)
    def on_applied(self, now: float, event: CommandApplied) -> list[Any]:
        if isinstance(event.origin, ProposalOrigin):
            return [CommandCompleted(event.origin.origin, "ok", "", event.result)]
        return []

    def _commit(self, entry: LogEntry, origin: Any) -> list[Any]:
        self._last_index = entry.index
        self._own.commit_index = self._own.applied_index = entry.index
        command = json.loads(entry.command)
        return [CommandCommitted(entry.index, entry.term, command, origin)]
