"""Topology updates from the control leader to the daemons that subscribe."""

from collections.abc import Iterable, Iterator
from typing import Any

from bronzemoor_core.actions import SendPeerMessage
from bronzemoor_core.messages import TopologyUpdate
from bronzemoor_core.relays import (
    database_state,
    subscribed_databases,
    summarize_member,
)
from bronzemoor_core.topology import NEVER, Daemon, Database, Member, Topology

# Daemons for which positions are sent in every digest interval. Beyond that, positions
# go out more rarely: the data path measures them itself, and each flush costs a
# message to every daemon.
DAEMONS_PER_FLUSH = 50


class Publisher:
    """Sends changes of the topology to other daemons; only the leader does.

    ``changed`` collects databases whose members changed, for the next tick, so that
    many changes at once cost one pass over the daemons. ``moved`` collects those of
    which only positions changed.
    """

    def __init__(self, settings: Any, blackboard: Any, topology: Topology) -> None:
        self._settings = settings
        self._blackboard = blackboard
        self._topology = topology
        self._flushed = NEVER
        self.changed: set[str] = set()
        self.moved: set[str] = set()

    def notify(self, now: float, changed: Iterable[str]) -> list[object]:
        """Returns updates of the changed databases for their subscribers."""
        out: list[object] = []
        # Daemons that lack the same databases share one message.
        updates: dict[frozenset[str], TopologyUpdate] = {}
        for daemon, names in self._subscribers(frozenset(changed)):
            if names not in updates:
                updates[names] = self._update(now, names)
            out.append(SendPeerMessage(daemon.name, updates[names]))
        return out

    def whole(self, now: float, daemon: Daemon) -> SendPeerMessage:
        """Returns an update of all that a daemon subscribes to."""
        daemon.updated_at = now
        names = subscribed_databases(daemon.subscriptions, self._blackboard)
        if names is None:
            names = frozenset(self._topology.databases)
        # A new leader may not have heard of every member yet, so it removes none.
        lease = self._settings.timers.announcement_lease
        full = now - self._topology.leader_since >= lease
        return SendPeerMessage(daemon.name, self._update(now, names, full))

    def lost(self, now: float, database: Database, member: Member) -> list[object]:
        """Returns updates that a member was lost; its age exceeds the lease."""
        summary = summarize_member(now, database, member)
        update = TopologyUpdate(False, [database_state(database)], [summary])
        return [
            SendPeerMessage(daemon.name, update)
            for daemon, _ in self._subscribers(frozenset((database.name,)))
        ]

    def flush(self, now: float) -> list[object]:
        """Returns updates of changed members, and of positions when they are due."""
        if self.changed:
            changed, self.changed = self.changed, set()
            return self.notify(now, changed)
        factor = 1 + len(self._topology.daemons) // DAEMONS_PER_FLUSH
        interval = self._settings.timers.digest_interval * factor
        if not self.moved or now - self._flushed < interval:
            return []
        self._flushed = now
        moved, self.moved = self.moved, set()
        return self.notify(now, moved)

    def _subscribers(
        self, changed: frozenset[str]
    ) -> Iterator[tuple[Daemon, frozenset[str]]]:
        if not self._topology.is_leader or not changed:
            return
        known: dict[tuple[str, ...], frozenset[str] | None] = {}
        for daemon in self._topology.daemons.values():
            key = daemon.subscriptions
            if key not in known:
                known[key] = subscribed_databases(key, self._blackboard)
            names = known[key]
            wanted = changed if names is None else names & changed
            if wanted and not daemon.lost and daemon.name != self._settings.name:
                yield daemon, wanted

    def _update(
        self, now: float, names: frozenset[str], full: bool = False
    ) -> TopologyUpdate:
        known = self._topology.databases
        databases = [known[name] for name in sorted(names) if name in known]
        return TopologyUpdate(
            full=full,
            databases=[database_state(database) for database in databases],
            members=[
                summarize_member(now, database, member)
                for database in databases
                for member in database.members.values()
            ],
        )
