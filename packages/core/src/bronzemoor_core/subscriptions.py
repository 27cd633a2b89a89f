"""Topology updates from the control leader to the subscribed daemons."""

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

# Below this many daemons, positions are sent in every digest interval. Beyond it, the
# interval grows in proportion: the data path measures positions itself, and each flush
# costs a message to every daemon.
DAEMONS_PER_FLUSH = 50


class Publisher:
    """Sends changes of the topology to other daemons; active only on the leader.

    ``changed`` collects databases whose members changed until the next tick, so that
    many simultaneous changes cost one pass over the daemons. ``position_changed``
    collects databases of which only positions changed.
    """

    def __init__(self, settings: Any, blackboard: Any, topology: Topology) -> None:
        self._settings = settings
        self._blackboard = blackboard
        self._topology = topology
        self._flushed_at = NEVER
        self.changed: set[str] = set()
        self.position_changed: set[str] = set()

    def publish(self, now: float, changed: Iterable[str]) -> list[object]:
        """Returns updates on the changed databases for their subscribers."""
        out: list[object] = []
        # Daemons that need the same databases share one message.
        updates: dict[frozenset[str], TopologyUpdate] = {}
        for daemon, names in self._subscribers(frozenset(changed)):
            if names not in updates:
                updates[names] = self._make_update(now, names)
            out.append(SendPeerMessage(daemon.name, updates[names]))
        return out

    def full_update(self, now: float, daemon: Daemon) -> SendPeerMessage:
        """Returns an update with every database that a daemon subscribes to."""
        daemon.updated_at = now
        names = subscribed_databases(daemon.subscriptions, self._blackboard)
        if names is None:
            names = frozenset(self._topology.databases)
        # A new leader may not know every member yet, so its updates remove none.
        lease = self._settings.timers.announcement_lease
        full = now - self._topology.leader_since >= lease
        return SendPeerMessage(daemon.name, self._make_update(now, names, full))

    def announce_loss(
        self, now: float, database: Database, member: Member
    ) -> list[object]:
        """Returns updates on a lost member, whose age exceeds the lease."""
        summary = summarize_member(now, database, member)
        update = TopologyUpdate(False, [database_state(database)], [summary])
        return [
            SendPeerMessage(daemon.name, update)
            for daemon, _ in self._subscribers(frozenset((database.name,)))
        ]

    def flush(self, now: float) -> list[object]:
        """Returns updates on changed members, and on positions when they are due."""
        if self.changed:
            changed, self.changed = self.changed, set()
            return self.publish(now, changed)
        factor = 1 + len(self._topology.daemons) // DAEMONS_PER_FLUSH
        interval = self._settings.timers.digest_interval * factor
        if not self.position_changed or now - self._flushed_at < interval:
            return []
        self._flushed_at = now
        position_changed, self.position_changed = self.position_changed, set()
        return self.publish(now, position_changed)

    def _subscribers(
        self, changed: frozenset[str]
    ) -> Iterator[tuple[Daemon, frozenset[str]]]:
        if not self._topology.is_leader or not changed:
            return
        databases_by_subscription: dict[tuple[str, ...], frozenset[str] | None] = {}
        for daemon in self._topology.daemons.values():
            key = daemon.subscriptions
            if key not in databases_by_subscription:
                databases_by_subscription[key] = subscribed_databases(
                    key, self._blackboard
                )
            names = databases_by_subscription[key]
            wanted = changed if names is None else names & changed
            if wanted and not daemon.lost and daemon.name != self._settings.name:
                yield daemon, wanted

    def _make_update(
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
