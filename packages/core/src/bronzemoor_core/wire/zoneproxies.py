"""The proxies of each zone, among which the connections of scarce members are shared.

Load pattern: after a loss of power every proxy asks a new leader at once, and each
answer names the proxies of one zone; the names are therefore computed once a zone.
"""

from zlib import crc32

from msgspec import Struct

from bronzemoor_core.wire.leases import LeaseTable

# A proxy that got or lost its lease is taken into account within this time.
REFRESH_INTERVAL_SECONDS = 0.050


class Owners(Struct):
    """The proxies of a zone that may own connections, and a version of that list."""

    computed_at: float
    proxies: list[str]
    version: int


class ZoneProxies:
    """Proxies by zone, with the leases that the control leader granted to them."""

    def __init__(self, leases: LeaseTable) -> None:
        self._leases = leases
        # Zone of each proxy that is not draining.
        self._zones: dict[str, str] = {}
        self._owners: dict[str, Owners] = {}

    @property
    def zone_count(self) -> int:
        return len(set(self._zones.values()))

    @property
    def zones(self) -> list[str]:
        """The zones that have proxies, sorted by name."""
        return sorted(set(self._zones.values()))

    def zone(self, proxy: str) -> str:
        """Returns the proxy's zone, empty if it is unknown or draining."""
        return self._zones.get(proxy, "")

    def add(self, proxy: str, zone: str) -> None:
        if self._zones.get(proxy) != zone:
            self._zones[proxy] = zone
            self._owners.clear()

    def remove(self, proxy: str) -> bool:
        """Removes a proxy that drains or is lost; returns whether it was known."""
        known = self._zones.pop(proxy, None) is not None
        if known:
            self._owners.clear()
        return known

    def owners(self, now: float, zone: str) -> Owners:
        """Returns the zone's proxies that hold a lease."""
        owners = self._owners.get(zone)
        if owners is None or now - owners.computed_at >= REFRESH_INTERVAL_SECONDS:
            proxies = sorted(
                proxy
                for proxy, proxy_zone in self._zones.items()
                if proxy_zone == zone and self._leases.holds(now, proxy)
            )
            version = crc32(",".join(proxies).encode())
            owners = self._owners[zone] = Owners(now, proxies, version)
        return owners
