"""Decisions to open connections: by demand, ahead of demand, and at a bounded rate."""

from collections import Counter
from itertools import count
from random import Random
from typing import Any

from bronzemoor_core.actions import OpenConnection
from bronzemoor_core.connections import (
    Connection,
    ConnectionState,
    DatabasePool,
    MemberLink,
    Pools,
)
from bronzemoor_core.membership import Database
from bronzemoor_core.retries import backoff
from bronzemoor_core.routing import expected_delay, is_serving

# Maximum delay that spreads the openings of many daemons after a change of primary.
FAILOVER_JITTER_SECONDS = 0.020
# Average interval between two openings of one pool.
OPEN_INTERVAL_SECONDS = 0.002
# Bounds of the backoff after a failed opening.
OPEN_BACKOFF_MIN_SECONDS = 0.025
OPEN_BACKOFF_MAX_SECONDS = 1.0


class Opener:
    """Opens connections within the share of each database."""

    __slots__ = ("_blackboard", "_numbers", "_pools", "_random", "_settings")

    def __init__(
        self, pools: Pools, blackboard: Any, settings: Any, random: Random
    ) -> None:
        self._pools = pools
        self._blackboard = blackboard
        self._settings = settings
        self._random = random
        self._numbers = count(1)

    def open_wanted(
        self, now: float, pool: DatabasePool, starved: Counter[str]
    ) -> list[object]:
        """Opens missing connections, the most urgent first, within share and rate."""
        database = self._blackboard.topology.databases.get(pool.name)
        if database is None or not pool.has_capacity(now) or now < pool.next_open_at:
            return []
        items: list[object] = []
        opening = pool.counts[ConnectionState.OPENING]
        for member in self._missing(now, pool, database, starved):
            if opening >= self._settings.data_path.max_opening:
                break
            if not pool.has_capacity(now):
                break
            if not self._may_open(now, pool, database, member):
                continue
            items.append(self._open(now, pool, database, member))
            opening += 1
        if items:
            pool.next_open_at = now + OPEN_INTERVAL_SECONDS * 2 * self._random.random()
        return items

    def idle_to_close(
        self, now: float, pool: DatabasePool, starved: Counter[str]
    ) -> list[Connection]:
        """Returns idle connections to close in favour of waiting requests."""
        if not starved or pool.has_capacity(now) or now >= pool.valid_until:
            return []
        needed = sum(starved.values()) - (
            pool.counts[ConnectionState.OPENING] + pool.counts[ConnectionState.CLOSING]
        )
        idle = pool.idle_by_member()
        spare = [c for m, group in idle.items() if m not in starved for c in group]
        spare.sort(key=lambda c: (not c.outdated, c.answered_at))
        return spare[: max(0, min(needed, self._settings.data_path.max_opening))]

    def delay_openings(self, now: float, pool: DatabasePool) -> None:
        """Spreads the openings of many daemons after a change of primary."""
        pool.next_open_at = now + FAILOVER_JITTER_SECONDS * self._random.random()

    def record_failure(
        self, now: float, pool: DatabasePool, connection: Connection
    ) -> None:
        link = pool.link(connection.member)
        link.failures += 1
        wait = backoff(
            link.failures,
            OPEN_BACKOFF_MIN_SECONDS,
            OPEN_BACKOFF_MAX_SECONDS,
            self._random,
        )
        link.retry_at = now + wait

    def _missing(
        self, now: float, pool: DatabasePool, database: Database, starved: Counter[str]
    ) -> list[str]:
        missing = []
        less_urgent = []
        for name, link in pool.links.items():
            if (
                link.comparison_wanted_since is not None
                and not link.counts[ConnectionState.OPENING]
            ):
                missing.append(name)
            less_urgent += [name] * link.replacements
            if _is_saturated(link):
                less_urgent.append(name)
        for name, waiting in starved.items():
            opening = pool.link(name).counts[ConnectionState.OPENING]
            missing += [name] * (waiting - opening)
        for name in self._members_to_keep_warm(now, pool, database):
            live = _count_live(pool.link(name))
            missing += [name] * (self._settings.data_path.min_warm - live)
        return missing + less_urgent

    def _members_to_keep_warm(
        self, now: float, pool: DatabasePool, database: Database
    ) -> list[str]:
        """Returns the primary and the nearest replica."""
        lease = self._settings.timers.announcement_lease
        replicas = [
            member
            for member in database.members.values()
            if member.name != database.primary and is_serving(member, now, lease)
        ]
        kept = [database.primary] if database.primary else []
        if replicas:
            nearest = min(
                replicas,
                key=lambda m: expected_delay(m, pool.link(m.name), self._settings),
            )
            kept.append(nearest.name)
        return kept

    def _may_open(
        self, now: float, pool: DatabasePool, database: Database, member: str
    ) -> bool:
        known = database.members.get(member)
        if known is None or now < pool.link(member).retry_at:
            return False
        return is_serving(known, now, self._settings.timers.announcement_lease)

    def _open(
        self, now: float, pool: DatabasePool, database: Database, member: str
    ) -> OpenConnection:
        connection = Connection(next(self._numbers), pool.name, member, now)
        pool.add(connection)
        self._pools.connections[connection.number] = connection
        link = pool.link(member)
        link.replacements = max(0, link.replacements - 1)
        return OpenConnection(
            connection.number,
            pool.name,
            member,
            database.members[member].address,
            self._settings.data_path.open_timeout,
        )


def _count_live(link: MemberLink) -> int:
    return sum(link.counts.values()) - link.counts[ConnectionState.CLOSING]


def _is_saturated(link: MemberLink) -> bool:
    """Returns whether the next request to the member would have to wait."""
    busy = link.counts[ConnectionState.BUSY]
    return busy > 0 and busy == _count_live(link)
