"""Assignment of idle connections to waiting requests."""

from collections import Counter
from typing import Any

from bronzemoor_core.connections import Connection, DatabasePool, Pools, State
from bronzemoor_core.events import ConnectionGranted
from bronzemoor_core.membership import Database


def grant_waiting(
    now: float, pools: Pools, blackboard: Any, pool: DatabasePool
) -> tuple[list[object], Counter[str]]:
    """Grants idle connections in queue order.

    Returns the grants and how many waiting requests lack a connection, by the member
    that they prefer. Requests that only wait for a slot are not counted.
    """
    starved: Counter[str] = Counter()
    items: list[object] = []
    queue = blackboard.queues.databases.get(pool.name)
    if queue is None or not queue.entries:
        return items, starved
    database = blackboard.topology.databases.get(pool.name)
    idle = pool.idle_by_member()
    for entry in queue.entries:
        wanted = entry.wanted
        if wanted.ticket in pools.by_ticket or not wanted.members:
            continue
        members = [m for m in wanted.members if _has_slot(database, pool, m)]
        member = next((m for m in members if idle.get(m)), None)
        if member is None:
            if members:
                starved[members[0]] += 1
            continue
        connection = idle[member].pop()
        _assign(pools, pool, connection, wanted.ticket)
        items.append(ConnectionGranted(wanted.ticket, connection.number, member))
    return items, starved


def _has_slot(database: Database | None, pool: DatabasePool, member: str) -> bool:
    known = database.members.get(member) if database else None
    if known is None or known.leaving:
        return False
    return pool.link(member).running < max(1, known.slots)


def _assign(
    pools: Pools, pool: DatabasePool, connection: Connection, ticket: int
) -> None:
    pool.move(connection, State.BUSY)
    connection.ticket = ticket
    connection.executing = True
    pools.by_ticket[ticket] = connection.number
    pool.link(connection.member).running += 1
