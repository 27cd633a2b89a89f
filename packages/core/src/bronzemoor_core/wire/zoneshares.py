"""Divides a member's connections among the data centres by demand.

Load pattern: organisations outnumber the connections that a data centre may hold to a
member, and most data centres use the members near them. With equal shares the
connections of far data centres stay idle, while those of near ones change hands
between organisations, each time for an opening that takes a slot of the member.
"""

from collections.abc import Mapping

# Connections that a data centre keeps to a member that it does not use, for writes and
# reads that arrive until the next division.
MIN_ZONE_SHARE = 3
# Shares are divided anew at most this often, since each division is announced.
DIVIDE_INTERVAL_SECONDS = 2.0
# A division that moves a smaller fraction of the connections is not announced.
MIN_MOVED_FRACTION = 0.1
# Most connections of one data centre to a member. More would let it fill the member's
# queue alone.
MAX_ZONE_SHARE = 24
# What a data centre used counts half after this time.
DEMAND_HALF_LIFE_SECONDS = 4.0


# Distance of the members' indices in encoded uses, which bounds the number of uses.
USES_SCALE = 1_024


def encode_uses(index: int, uses: int) -> int:
    """Returns how often the member with this index was used, as one integer."""
    return index * USES_SCALE + min(uses, USES_SCALE - 1)


def decode_uses(items: list[int], number: int) -> dict[int, int]:
    """Returns uses by index; indices beyond the ``number`` of members are left out."""
    return {
        item // USES_SCALE: item % USES_SCALE
        for item in items
        if 0 <= item < number * USES_SCALE
    }


def divide_connections(
    limit: int, demand: Mapping[str, float], minimum: int = MIN_ZONE_SHARE
) -> dict[str, int]:
    """Divides ``limit`` connections in proportion to ``demand`` by data centre.

    Each data centre gets at least ``minimum`` connections, or an equal part if the
    limit is too small for that, and at most ``MAX_ZONE_SHARE``. Negative demand counts
    as none.
    """
    if not demand:
        return {}
    floor = max(0, min(minimum, limit // len(demand)))
    spare = max(0, limit - floor * len(demand))
    weights = {zone: max(0.0, value) for zone, value in demand.items()}
    total = sum(weights.values())
    if total <= 0:
        weights, total = dict.fromkeys(demand, 1.0), float(len(demand))
    exact = {zone: spare * weight / total for zone, weight in weights.items()}
    shares = {zone: floor + int(value) for zone, value in exact.items()}
    by_remainder = sorted(
        exact, key=lambda zone: (int(exact[zone]) - exact[zone], zone)
    )
    for zone in by_remainder[: max(0, limit - sum(shares.values()))]:
        shares[zone] += 1
    return {zone: min(share, MAX_ZONE_SHARE) for zone, share in shares.items()}


class MemberShares:
    """The shares of one member's connections, at the control leader.

    What one data centre gives up is assigned to another only after every proxy has
    confirmed the lowered shares.
    """

    __slots__ = ("_counted_at", "_demand", "_divided_at", "_shares", "_target")

    def __init__(self, now: float) -> None:
        self._shares: dict[str, int] = {}
        # Shares that apply once the lowered ones are confirmed, None without a change.
        self._target: dict[str, int] | None = None
        self._demand: dict[str, float] = {}
        self._counted_at = self._divided_at = now

    @property
    def shares(self) -> dict[str, int]:
        """Connections by data centre; empty if they are divided equally."""
        return self._shares

    @property
    def is_changing(self) -> bool:
        """Returns whether lowered shares wait for their confirmation."""
        return self._target is not None

    def record_use(self, now: float, zone: str, number: int) -> None:
        """Records that a data centre used connections ``number`` times."""
        elapsed = max(0.0, now - self._counted_at)
        decay = 0.5 ** (elapsed / DEMAND_HALF_LIFE_SECONDS)
        for known in self._demand:
            self._demand[known] *= decay
        self._counted_at = max(now, self._counted_at)
        self._demand[zone] = self._demand.get(zone, 0.0) + max(0, number)

    def divide(self, now: float, limit: int, zones: list[str]) -> bool:
        """Divides the connections anew; returns whether lowered shares apply now."""
        if self.is_changing or now - self._divided_at < DIVIDE_INTERVAL_SECONDS:
            return False
        self._divided_at = now
        equal = divide_connections(limit, dict.fromkeys(zones, 1.0))
        current = equal
        if self._shares:
            current = {z: self._shares.get(z, MIN_ZONE_SHARE) for z in zones}
        is_valid = set(self._shares) in (set(), set(zones)) and (
            sum(current.values()) <= limit
        )
        target = divide_connections(
            limit, {zone: self._demand.get(zone, 0.0) for zone in zones}
        )
        moved = sum(max(0, target[zone] - current[zone]) for zone in zones)
        if is_valid and moved < max(1.0, limit * MIN_MOVED_FRACTION):
            return False
        self._shares = {zone: min(current[zone], target[zone]) for zone in zones}
        self._target = target
        return True

    def confirmed(self) -> None:
        """Applies raised shares after every proxy confirmed the lowered ones."""
        if self._target is not None:
            self._shares, self._target = self._target, None


class ZoneShares:
    """The shares of all members whose connections are divided by demand."""

    __slots__ = ("_members",)

    def __init__(self) -> None:
        self._members: dict[str, MemberShares] = {}

    @property
    def is_changing(self) -> bool:
        """Returns whether lowered shares wait for their confirmation."""
        return any(item.is_changing for item in self._members.values())

    def shares(self, member: str) -> dict[str, int]:
        """Returns connections by data centre, empty if they are divided equally."""
        known = self._members.get(member)
        return known.shares if known is not None else {}

    def record_use(self, now: float, member: str, zone: str, number: int) -> None:
        """Records that a data centre used connections to ``member``."""
        known = self._members.get(member)
        if known is None:
            known = self._members[member] = MemberShares(now)
        known.record_use(now, zone, number)

    def divide(self, now: float, limits: Mapping[str, int], zones: list[str]) -> bool:
        """Divides the connections of members anew; returns whether shares changed.

        ``limits`` has the number of connections by member; others are forgotten.
        """
        for member in self._members.keys() - limits.keys():
            del self._members[member]
        changed = False
        for member, item in self._members.items():
            changed |= item.divide(now, limits[member], zones)
        return changed

    def confirmed(self) -> None:
        """Applies raised shares after every proxy confirmed the lowered ones."""
        for item in self._members.values():
            item.confirmed()
