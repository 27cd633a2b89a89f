"""Allocation of each database's connections to daemons, at the control leader."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bronzemoor_core.messages import Demand, Heartbeat, Share
from bronzemoor_core.settings import ControlSettings

# Weight of the newest sample in the moving average of the demand.
DEMAND_WEIGHT = 0.3
# Shares move when one of them is off by this ratio of the limit and by at least
# MIN_MOVE_CONNECTIONS; a smaller move costs more in opening connections than it gains.
MIN_MOVE_RATIO = 0.1
MIN_MOVE_CONNECTIONS = 2
# Minimum time between two moves caused by demand alone.
MOVE_INTERVAL_SECONDS = 0.5
# Minimum time between two checks that move no share. Without it, each heartbeat of each
# daemon of a database would divide the limit again.
RECHECK_INTERVAL_SECONDS = 0.1


@dataclass(slots=True)
class Grant:
    """A share as sent in the reply to heartbeat ``sequence``."""

    sequence: int
    connections: int
    expires_at: float


@dataclass(slots=True)
class Allocation:
    """What one process may hold of one database, by its reports and its grants."""

    grants: deque[Grant] = field(default_factory=deque)
    share: int = 0
    held_connections: int = 0
    wanted: float = 0.0
    report_expires_at: float = 0.0

    def ceiling(self, now: float) -> int:
        """Returns the maximum that the process may hold now.

        Every unexpired grant counts, since its reply may still be in flight; so does
        what the process reported, which another leader may have granted.
        """
        live = [item.connections for item in self.grants if item.expires_at > now]
        reported = (
            max(self.share, self.held_connections)
            if self.report_expires_at > now
            else 0
        )
        return max(live, default=0) if not reported else max([reported, *live])

    def is_expired(self, now: float) -> bool:
        return self.report_expires_at <= now and all(
            item.expires_at <= now for item in self.grants
        )


@dataclass(slots=True)
class Division:
    """A limit divided by demand, and when to check next whether to divide it again."""

    limit: int = -1
    targets: dict[str, int] = field(default_factory=dict)
    next_check_at: float = float("-inf")

    def update(self, now: float, limit: int, wanted: dict[str, float]) -> None:
        """Divides the limit again, unless the demand changed too little or too soon."""
        unchanged = limit == self.limit and wanted.keys() == self.targets.keys()
        if unchanged and now < self.next_check_at:
            return
        targets = divide(limit, wanted, self.targets)
        if unchanged:
            move = max(
                (abs(targets[name] - self.targets[name]) for name in targets), default=0
            )
            if move < max(MIN_MOVE_CONNECTIONS, MIN_MOVE_RATIO * limit):
                self.next_check_at = now + RECHECK_INTERVAL_SECONDS
                return
        self.limit, self.targets = limit, targets
        self.next_check_at = now + MOVE_INTERVAL_SECONDS


@dataclass(slots=True)
class DatabaseAllocations:
    """All allocations of one database, by daemon and incarnation."""

    allocations: dict[tuple[str, int], Allocation] = field(default_factory=dict)
    division: Division = field(default_factory=Division)

    def ceiling(self, now: float) -> int:
        return sum(allocation.ceiling(now) for allocation in self.allocations.values())

    def wanted(self, now: float) -> dict[str, float]:
        """Returns the smoothed demand of each daemon whose report has not expired."""
        return {
            name: allocation.wanted
            for (name, _), allocation in self.allocations.items()
            if allocation.report_expires_at > now
        }


@dataclass(slots=True, frozen=True)
class Limit:
    """``hard`` bounds all allocations of a database; ``target`` is what to divide now.

    They differ while an organisation's connections move between its databases.
    """

    hard: int
    target: int


LimitLookup = Callable[[str], Limit | None]


class Allocator:
    """Grants shares so that the allocations of a database never exceed its limit.

    A limit of None is unknown; shares are then renewed, but not raised.
    """

    def __init__(self, timers: ControlSettings) -> None:
        self._timers = timers
        self._databases: dict[str, DatabaseAllocations] = {}
        # Newest heartbeat of each daemon: incarnation, sequence and time of receipt.
        self._newest: dict[str, tuple[int, int, float]] = {}
        self._renew_only_until = 0.0

    @property
    def lease(self) -> float:
        """Seconds that a grant counts here; the holder's own lease is shorter."""
        return self._timers.share_lease * (1 + self._timers.share_drift)

    def start(self, now: float, first: bool) -> None:
        """Starts a term as leader.

        The grants of the previous leader are unknown, and it may continue to grant
        until it notices that it was deposed. Shares are therefore only renewed for that
        time plus one lease. The ``first`` leader of a group has no predecessor.
        """
        self._databases.clear()
        self._newest.clear()
        overlap = self._timers.election_timeout_max * (1 + self._timers.share_drift)
        self._renew_only_until = now if first else now + self.lease + overlap

    def allocate(
        self, now: float, sender: str, heartbeat: Heartbeat, get_limit: LimitLookup
    ) -> list[Share] | None:
        """Returns the shares for a heartbeat, or None if a newer one was received."""
        order = (heartbeat.incarnation, heartbeat.sequence)
        *newest, received_at = self._newest.get(sender, (-1, -1, now))
        # A process that restarted with its old incarnation may start at a lower
        # sequence; its heartbeats are accepted again after a lease without any.
        if order <= tuple(newest) and now - received_at < self.lease:
            return None
        self._newest[sender] = (*order, now)
        for demand in heartbeat.demands:
            self._report(now, sender, heartbeat, demand)
        return [
            Share(
                demand.database,
                self._grant(now, sender, heartbeat, demand, get_limit(demand.database)),
                round(self._timers.share_lease * 1000),
            )
            for demand in heartbeat.demands
        ]

    def used(self, now: float, databases: Iterable[str]) -> int:
        """Returns the maximum that all daemons together may hold now."""
        return sum(
            self._databases[name].ceiling(now)
            for name in databases
            if name in self._databases
        )

    def wanted(self, now: float, database: str) -> float:
        """Returns the demand of all daemons for one database."""
        entry = self._databases.get(database)
        return sum(entry.wanted(now).values()) if entry else 0.0

    def drop_expired(self, now: float) -> list[tuple[str, str]]:
        """Removes expired allocations; returns their databases and daemons."""
        dropped = []
        for database, entry in list(self._databases.items()):
            for key in [
                key for key, item in entry.allocations.items() if item.is_expired(now)
            ]:
                del entry.allocations[key]
                dropped.append((database, key[0]))
            if not entry.allocations:
                del self._databases[database]
        return dropped

    def _report(
        self, now: float, sender: str, heartbeat: Heartbeat, demand: Demand
    ) -> None:
        entry = self._databases.setdefault(demand.database, DatabaseAllocations())
        key = (sender, heartbeat.incarnation)
        known = key in entry.allocations
        allocation = entry.allocations.setdefault(key, Allocation())
        allocation.share, allocation.held_connections = demand.share, demand.held
        allocation.report_expires_at = now + self.lease
        weight = DEMAND_WEIGHT if known else 1.0
        allocation.wanted += weight * (demand.wanted - allocation.wanted)
        # The holder ignores replies older than the one that it acknowledged.
        while (
            allocation.grants and allocation.grants[0].sequence < heartbeat.acknowledged
        ):
            allocation.grants.popleft()
        while allocation.grants and allocation.grants[0].expires_at <= now:
            allocation.grants.popleft()

    def _grant(
        self,
        now: float,
        sender: str,
        heartbeat: Heartbeat,
        demand: Demand,
        limit: Limit | None,
    ) -> int:
        entry = self._databases[demand.database]
        allocation = entry.allocations[(sender, heartbeat.incarnation)]
        if limit is None:
            share = demand.share
        else:
            entry.division.update(now, limit.target, entry.wanted(now))
            free = limit.hard - (entry.ceiling(now) - allocation.ceiling(now))
            share = max(0, min(entry.division.targets.get(sender, 0), free))
        if now < self._renew_only_until:
            share = min(share, demand.share)
        allocation.grants.append(Grant(heartbeat.sequence, share, now + self.lease))
        return share


class ShrinkTimer:
    """Measures how long lowered limits take to be in effect, by any key."""

    def __init__(self) -> None:
        self._limits: dict[tuple[str, str], int] = {}
        self._since: dict[tuple[str, str], float] = {}

    def set_limit(self, now: float, key: tuple[str, str], limit: int) -> None:
        """Sets the configured limit of ``key``; a lower one starts a measurement."""
        if limit < self._limits.get(key, limit):
            self._since.setdefault(key, now)
        self._limits[key] = limit

    def pop_completed(
        self, now: float, used: Callable[[tuple[str, str]], int]
    ) -> list[float]:
        """Removes the completed measurements; returns their durations in seconds."""
        ended = [key for key in self._since if used(key) <= self._limits[key]]
        return [now - self._since.pop(key) for key in ended]


def divide(
    limit: int, wanted: dict[str, float], current: dict[str, int]
) -> dict[str, int]:
    """Divides ``limit`` in proportion to ``wanted``, at least 1 for each if possible.

    Fractions are assigned by the largest remainder. With more daemons than connections,
    those that have one keep it.
    """
    names = sorted(
        wanted, key=lambda name: (not current.get(name), -wanted[name], name)
    )
    shares = {name: int(rank < limit) for rank, name in enumerate(names)}
    remaining = limit - sum(shares.values())
    if remaining <= 0:
        return shares
    total = sum(wanted.values())
    quotas = {
        name: remaining * (wanted[name] / total if total else 1 / len(names))
        for name in names
    }
    for name, quota in quotas.items():
        shares[name] += int(quota)
    leftover = limit - sum(shares.values())
    by_remainder = sorted(
        names, key=lambda name: (int(quotas[name]) - quotas[name], name)
    )
    for name in by_remainder[:leftover]:
        shares[name] += 1
    return shares
