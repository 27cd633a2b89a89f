"""Allocation of each database's connections to daemons, at the control leader."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bronzemoor_core.messages import Demand, Heartbeat, Share
from bronzemoor_core.settings import ControlSettings

# Weight of the newest demand in the average that shares follow.
SMOOTHING = 0.3
# Shares move when one of them is off by this part of the limit, and at least by
# MIN_MOVE connections; smaller moves would cost more in opening than they gain.
MOVE_PART = 0.1
MIN_MOVE = 2
# Shortest time between two moves caused by demand alone, in seconds.
MOVE_INTERVAL = 0.5
# Shortest time between two looks at unmoved shares, in seconds. Each heartbeat of each
# daemon of a database would divide its limit otherwise.
LOOK_INTERVAL = 0.1


@dataclass(slots=True)
class Grant:
    """A share as sent in the reply to heartbeat ``sequence``."""

    sequence: int
    connections: int
    expires_at: float


@dataclass(slots=True)
class Claim:
    """What one process may hold of one database, by its reports and its grants."""

    grants: deque[Grant] = field(default_factory=deque)
    share: int = 0
    held: int = 0
    wanted: float = 0.0
    reported_until: float = 0.0

    def ceiling(self, now: float) -> int:
        """The most that the process may hold now.

        Every grant counts that it may still apply, since replies can be on their way;
        so does what it reported, which another leader may have granted.
        """
        live = [item.connections for item in self.grants if item.expires_at > now]
        reported = max(self.share, self.held) if self.reported_until > now else 0
        return max(live, default=0) if not reported else max([reported, *live])

    def is_over(self, now: float) -> bool:
        return self.reported_until <= now and all(
            item.expires_at <= now for item in self.grants
        )


@dataclass(slots=True)
class Division:
    """A limit divided by demand, and when it may next be divided again."""

    limit: int = -1
    targets: dict[str, int] = field(default_factory=dict)
    next_look: float = float("-inf")

    def follow(self, now: float, limit: int, wanted: dict[str, float]) -> None:
        """Divides again, unless the demand changed too little or too soon."""
        settled = limit == self.limit and wanted.keys() == self.targets.keys()
        if settled and now < self.next_look:
            return
        targets = divide(limit, wanted, self.targets)
        if settled:
            move = max(
                (abs(targets[name] - self.targets[name]) for name in targets), default=0
            )
            if move < max(MIN_MOVE, MOVE_PART * limit):
                self.next_look = now + LOOK_INTERVAL
                return
        self.limit, self.targets = limit, targets
        self.next_look = now + MOVE_INTERVAL


@dataclass(slots=True)
class Pool:
    """All claims on one database, by daemon and incarnation."""

    claims: dict[tuple[str, int], Claim] = field(default_factory=dict)
    division: Division = field(default_factory=Division)

    def ceiling(self, now: float) -> int:
        return sum(claim.ceiling(now) for claim in self.claims.values())

    def wanted(self, now: float) -> dict[str, float]:
        """Smoothed demand of each daemon that is heard."""
        return {
            name: claim.wanted
            for (name, _), claim in self.claims.items()
            if claim.reported_until > now
        }


@dataclass(slots=True, frozen=True)
class Limit:
    """``hard`` bounds all claims on a database; ``target`` is what to divide now.

    They differ while an organisation's connections move between its databases.
    """

    hard: int
    target: int


LimitOf = Callable[[str], Limit | None]


class Allocator:
    """Grants shares so that the claims on a database never exceed its limit.

    A limit of None means that it is not known; shares are then renewed, not raised.
    """

    def __init__(self, timers: ControlSettings) -> None:
        self._timers = timers
        self._pools: dict[str, Pool] = {}
        # Newest heartbeat of each daemon: incarnation, sequence and when it came.
        self._newest: dict[str, tuple[int, int, float]] = {}
        self._quiet_until = 0.0

    @property
    def lease(self) -> float:
        """How long a grant counts here; the holder's own lease is shorter."""
        return self._timers.share_lease * (1 + self._timers.share_drift)

    def start(self, now: float, first: bool) -> None:
        """Begins a term as leader.

        The grants of an earlier leader are not known. It may go on granting until it
        notices that it was deposed, so no new grants are made for that time and one
        lease. The ``first`` leader of a group has no predecessor.
        """
        self._pools.clear()
        self._newest.clear()
        overlap = self._timers.election_timeout_max * (1 + self._timers.share_drift)
        self._quiet_until = now if first else now + self.lease + overlap

    def allocate(
        self, now: float, sender: str, heartbeat: Heartbeat, limit_of: LimitOf
    ) -> list[Share] | None:
        """Answers the demands of a heartbeat; None if a newer one came before."""
        order = (heartbeat.incarnation, heartbeat.sequence)
        *newest, heard_at = self._newest.get(sender, (-1, -1, now))
        # A process that restarted with an old incarnation may count from a lower
        # sequence; after a lease of silence it is heard again.
        if order <= tuple(newest) and now - heard_at < self.lease:
            return None
        self._newest[sender] = (*order, now)
        for demand in heartbeat.demands:
            self._report(now, sender, heartbeat, demand)
        return [
            Share(
                demand.database,
                self._grant(now, sender, heartbeat, demand, limit_of(demand.database)),
                round(self._timers.share_lease * 1000),
            )
            for demand in heartbeat.demands
        ]

    def used(self, now: float, databases: Iterable[str]) -> int:
        """The most connections that all daemons together may hold now."""
        return sum(
            self._pools[name].ceiling(now) for name in databases if name in self._pools
        )

    def wanted(self, now: float, database: str) -> float:
        """Demand of all daemons for one database."""
        pool = self._pools.get(database)
        return sum(pool.wanted(now).values()) if pool else 0.0

    def drop_expired(self, now: float) -> list[tuple[str, str]]:
        """Forgets claims that ran out; returns their databases and daemons."""
        dropped = []
        for database, pool in list(self._pools.items()):
            for key in [key for key, item in pool.claims.items() if item.is_over(now)]:
                del pool.claims[key]
                dropped.append((database, key[0]))
            if not pool.claims:
                del self._pools[database]
        return dropped

    def _report(
        self, now: float, sender: str, heartbeat: Heartbeat, demand: Demand
    ) -> None:
        pool = self._pools.setdefault(demand.database, Pool())
        key = (sender, heartbeat.incarnation)
        known = key in pool.claims
        claim = pool.claims.setdefault(key, Claim())
        claim.share, claim.held = demand.share, demand.held
        claim.reported_until = now + self.lease
        weight = SMOOTHING if known else 1.0
        claim.wanted += weight * (demand.wanted - claim.wanted)
        # Earlier replies can no longer be applied.
        while claim.grants and claim.grants[0].sequence < heartbeat.acknowledged:
            claim.grants.popleft()
        while claim.grants and claim.grants[0].expires_at <= now:
            claim.grants.popleft()

    def _grant(
        self,
        now: float,
        sender: str,
        heartbeat: Heartbeat,
        demand: Demand,
        limit: Limit | None,
    ) -> int:
        pool = self._pools[demand.database]
        claim = pool.claims[(sender, heartbeat.incarnation)]
        if limit is None:
            share = demand.share
        else:
            pool.division.follow(now, limit.target, pool.wanted(now))
            free = limit.hard - (pool.ceiling(now) - claim.ceiling(now))
            share = max(0, min(pool.division.targets.get(sender, 0), free))
        if now < self._quiet_until:
            share = min(share, demand.share)
        claim.grants.append(Grant(heartbeat.sequence, share, now + self.lease))
        return share


class ShrinkTimer:
    """Measures how long shrunk limits take to be in effect, by any key."""

    def __init__(self) -> None:
        self._limits: dict[tuple[str, str], int] = {}
        self._since: dict[tuple[str, str], float] = {}

    def note(self, now: float, key: tuple[str, str], limit: int) -> None:
        """Takes the configured limit of ``key`` into account."""
        if limit < self._limits.get(key, limit):
            self._since.setdefault(key, now)
        self._limits[key] = limit

    def review(self, now: float, used: Callable[[tuple[str, str]], int]) -> list[float]:
        """Returns the times that ended, in seconds."""
        ended = [key for key in self._since if used(key) <= self._limits[key]]
        return [now - self._since.pop(key) for key in ended]


def divide(
    limit: int, wanted: dict[str, float], current: dict[str, int]
) -> dict[str, int]:
    """Divides ``limit`` in proportion to ``wanted``, at least 1 for each if possible.

    When there are more daemons than connections, those that have one keep it.
    """
    names = sorted(
        wanted, key=lambda name: (not current.get(name), -wanted[name], name)
    )
    shares = {name: int(place < limit) for place, name in enumerate(names)}
    rest = limit - sum(shares.values())
    if rest <= 0:
        return shares
    total = sum(wanted.values())
    parts = {
        name: rest * (wanted[name] / total if total else 1 / len(names))
        for name in names
    }
    for name, part in parts.items():
        shares[name] += int(part)
    left = limit - sum(shares.values())
    by_fraction = sorted(names, key=lambda name: (int(parts[name]) - parts[name], name))
    for name in by_fraction[:left]:
        shares[name] += 1
    return shares
