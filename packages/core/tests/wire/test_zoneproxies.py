"""Tests of the lists of proxies that share the connections of a zone."""

from bronzemoor_core.wire.leases import LEASE_SECONDS, LeaseTable
from bronzemoor_core.wire.zoneproxies import REFRESH_INTERVAL_SECONDS, ZoneProxies


def make_zones(*zones: str) -> tuple[ZoneProxies, LeaseTable]:
    """Returns one proxy in each of the named zones, all with a lease."""
    leases = LeaseTable(0.0)
    proxies = ZoneProxies(leases)
    for number, zone in enumerate(zones):
        leases.grant(10.0, f"p{number}", 10.0)
        proxies.add(f"p{number}", zone)
    return proxies, leases


def test_only_proxies_of_the_zone_with_a_lease_may_own_connections():
    """Guards against an owner that is in another zone, or that is lost."""
    proxies, leases = make_zones("north", "south", "north")
    proxies.add("no-lease", "north")
    assert proxies.owners(10.0, "north").proxies == ["p0", "p2"]
    assert proxies.owners(10.0, "south").proxies == ["p1"]
    assert proxies.owners(10.0, "west").proxies == []
    later = 10.0 + LEASE_SECONDS + 1.0
    assert proxies.owners(later, "north").proxies == []
    leases.grant(later, "p2", later)
    later += REFRESH_INTERVAL_SECONDS
    assert proxies.owners(later, "north").proxies == ["p2"]


def test_a_proxy_that_drains_or_moves_is_left_out_at_once():
    """Guards against statements that are sent to a proxy which is about to stop."""
    proxies, _ = make_zones("north", "north", "north")
    before = proxies.owners(10.0, "north").version
    assert proxies.remove("p1")
    assert not proxies.remove("p1")
    proxies.add("p2", "south")
    owners = proxies.owners(10.0, "north")
    assert owners.proxies == ["p0"] and owners.version != before
    assert proxies.zone_count == 2 and proxies.zone("p1") == ""


def test_a_list_is_computed_once_for_all_proxies_that_ask_together():
    """Guards against sorting a zone again for each of its proxies.

    After a loss of power a new leader answered 191 proxies within 0.3 s, and each
    answer sorted all proxies.
    """
    proxies, _ = make_zones("north", "north")
    first = proxies.owners(10.0, "north")
    proxies.add("p0", "north")
    assert proxies.owners(10.0 + REFRESH_INTERVAL_SECONDS / 2, "north") is first
