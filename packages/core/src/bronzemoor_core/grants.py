"""Assigns idle connections to waiting requests."""

from collections import Counter
from typing import Any

from bronzemoor_core.admission import QueueEntry
from bronzemoor_core.connections import Connection, ConnectionState, DatabasePool, Pools
from bronzemoor_core.internal_events import ConnectionGranted
from bronzemoor_core.membership import Database


def grant_waiting(
    now: float, pools: Pools, blackboard: Any, pool: DatabasePool
) -> tuple[list[object], Counter[str]]:
    """Grants idle connections in queue order.

    Returns the grants and the number of waiting requests without a connection by
    preferred member. Requests that only wait for a slot are not counted.
    """
    unserved: Counter[str] = Counter()
    grants: list[object] = []
    queue = blackboard.queues.databases.get(pool.name)
    if queue is None or not queue.entries:
        return grants, unserved
    database = blackboard.topology.databases.get(pool.name)
    idle = pool.idle_by_member()
    groups = [_RequestGroup(members, group) for members, group in queue.groups.items()]
    waiting = [group for group in groups if group.advance(pools)]
    while waiting:
        group = min(waiting, key=_RequestGroup.next_entry)
        members = [m for m in group.members if _has_slot(database, pool, m)]
        member = next((m for m in members if idle.get(m)), None)
        if member is None:
            waiting.remove(group)
            if members:
                reachable = (m for m in members if not pool.link(m).unreachable)
                unserved[next(reachable, members[0])] += group.remaining
            continue
        ticket = group.next_entry().wanted.ticket
        connection = idle[member].pop()
        _assign(now, pools, pool, connection, ticket)
        grants.append(ConnectionGranted(ticket, connection.number, member))
        if not group.advance(pools):
            waiting.remove(group)
    if unserved:
        # Connections that are being probed will soon be idle again.
        unserved -= Counter(
            c.member for c in pool.of_state(ConnectionState.WARM) if c.probe
        )
    return grants, unserved


class _RequestGroup:
    """Requests that accept the same members; granted requests are skipped."""

    __slots__ = ("_entries", "_index", "members")

    def __init__(self, members: tuple[str, ...], entries: list[QueueEntry]) -> None:
        self.members = members
        self._entries = entries
        self._index = 0

    @property
    def remaining(self) -> int:
        return len(self._entries) - self._index

    def next_entry(self) -> QueueEntry:
        return self._entries[self._index]

    def advance(self, pools: Pools) -> bool:
        """Skips requests with a connection; returns whether another request is left."""
        if not self.members:
            return False
        while self.remaining and self.next_entry().wanted.ticket in pools.by_ticket:
            self._index += 1
        return self.remaining > 0


def _has_slot(database: Database | None, pool: DatabasePool, member: str) -> bool:
    known = database.members.get(member) if database else None
    if known is None or known.leaving:
        return False
    return pool.link(member).slots_in_use < max(1, known.slots)


def _assign(
    now: float, pools: Pools, pool: DatabasePool, connection: Connection, ticket: int
) -> None:
    pool.change_state(connection, ConnectionState.BUSY)
    connection.ticket = ticket
    connection.executing = True
    connection.used_at = now
    pools.by_ticket[ticket] = connection.number
    pool.link(connection.member).slots_in_use += 1
