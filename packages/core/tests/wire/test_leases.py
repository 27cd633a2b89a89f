"""Tests of the leases that keep proxies from using a replaced primary."""

from hypothesis import given
from hypothesis import strategies as st

from bronzemoor_core.wire.leases import (
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
    HeldLease,
    LeaseTable,
)


def test_a_new_leader_waits_for_the_leases_of_its_predecessor():
    """Guards against a promotion while an unknown proxy still uses the primary."""
    table = LeaseTable(10.0)
    assert table.waiting_for(10.0 + LEASE_SECONDS, 1)
    assert table.waiting_for(10.0 + LEASE_SECONDS + 2 * LEASE_MARGIN_SECONDS, 1) == []


def test_a_lease_counts_from_the_last_quorum():
    """Guards against a deposed leader whose leases outlive the next election."""
    table = LeaseTable(0.0)
    assert table.grant(20.0, "p", 19.5) == LEASE_SECONDS - 0.5
    assert table.grant(20.0, "p", 20.0 - LEASE_SECONDS - 1) == 0.0


def test_a_confirmed_topology_ends_the_wait_for_that_proxy():
    """Guards against waiting for whole leases in every failover."""
    table = LeaseTable(0.0)
    table.grant(20.0, "p", 20.0)
    table.grant(20.0, "q", 20.0)
    table.confirm("p", 7)
    assert table.waiting_for(20.1, 7) == ["q"]
    assert not table.all_confirmed(7)
    table.confirm("q", 8)
    assert table.waiting_for(20.1, 7) == [] and table.all_confirmed(7)


@given(st.floats(0, 5), st.floats(0, 0.5), st.floats(0, 1))
def test_no_proxy_holds_a_lease_that_the_leader_considers_expired(asked, way, back):
    """Guards against a holder whose lease outlasts the leader's record of it."""
    table, held = LeaseTable(-10.0), HeldLease()
    granted = asked + way
    length = table.grant(granted, "p", granted)
    held.renew(asked, length)
    end = granted + LEASE_SECONDS + LEASE_MARGIN_SECONDS
    assert table.waiting_for(end - 0.01, 1) == ["p"]
    assert not held.valid(end)


def test_a_lost_proxy_is_removed_after_its_lease_expires():
    """Guards against a group that waits forever for a proxy that was replaced."""
    table = LeaseTable(0.0)
    table.grant(20.0, "p", 20.0)
    table.grant(30.0, "q", 30.0)
    table.confirm("q", 7)
    assert not table.all_confirmed(7)
    table.forget_lost(30.0)
    assert table.all_confirmed(7)
    assert table.lost_until == 20.0 + LEASE_SECONDS + LEASE_MARGIN_SECONDS


def test_proxies_of_an_earlier_leader_may_be_lost_already():
    """Guards against a new leader that misses commits of a proxy it never heard of."""
    table = LeaseTable(10.0)
    assert table.lost_until == 10.0 + LEASE_SECONDS + LEASE_MARGIN_SECONDS
