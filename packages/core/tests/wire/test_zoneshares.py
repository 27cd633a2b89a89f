"""Tests of the division of a member's connections among data centres."""

from collections import OrderedDict
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzemoor_core.wire.zoneshares import (
    DIVIDE_INTERVAL_SECONDS,
    MAX_ZONE_SHARE,
    MIN_ZONE_SHARE,
    MemberShares,
    ZoneShares,
    divide_connections,
)

ZONES = ["a", "b", "c", "d", "e", "f"]
LIMIT = 55
demands = st.dictionaries(
    st.sampled_from(ZONES), st.floats(-10, 1e6), min_size=1, max_size=6
)


@given(st.integers(0, 200), demands)
def test_shares_stay_within_the_limit(limit, demand):
    """Guards against more connections than a member accepts."""
    shares = divide_connections(limit, demand)
    assert set(shares) == set(demand)
    assert sum(shares.values()) <= limit
    assert all(0 <= share <= MAX_ZONE_SHARE for share in shares.values())
    if limit >= MIN_ZONE_SHARE * len(demand):
        assert min(shares.values()) >= MIN_ZONE_SHARE


@given(st.lists(st.tuples(st.sampled_from(ZONES), st.integers(-5, 500)), max_size=60))
def test_a_raise_waits_for_the_lowered_shares(uses):
    """Guards against two data centres that hold the same connections at once.

    Proxies apply a change at different times, so that the sum of the highest shares
    among the newest two announcements must fit.
    """
    member, now = MemberShares(0.0), 0.0
    previous = divide_connections(LIMIT, dict.fromkeys(ZONES, 1.0))
    for zone, number in uses:
        now += DIVIDE_INTERVAL_SECONDS / 2
        member.record_use(now, zone, number)
        if member.is_changing:
            member.confirmed()
        else:
            member.divide(now, LIMIT, ZONES)
        current = member.shares or previous
        assert sum(max(previous[z], current[z]) for z in ZONES) <= LIMIT
        previous = current


def count_openings(share: int, organisations: list[int]) -> int:
    """Counts the openings of a pool that keeps the most recently used connections."""
    kept: OrderedDict[int, None] = OrderedDict()
    openings = 0
    for organisation in organisations:
        openings += organisation not in kept
        kept[organisation] = None
        kept.move_to_end(organisation)
        if len(kept) > share:
            kept.popitem(last=False)
    return openings


def test_demand_decides_where_organisations_find_their_connections():
    """Guards against openings for each use while far data centres hold idle ones.

    Two data centres send most of the statements of 84 organisations.
    """
    random = Random(1)
    weights = [rank**-1.2 for rank in range(1, 85)]
    uses = {
        zone: random.choices(range(84), weights, k=1_200 if zone in "ab" else 60)
        for zone in ZONES
    }
    shares = ZoneShares()
    for zone, organisations in uses.items():
        shares.record_use(1.0, "m", zone, len(organisations))
    assert shares.divide(10.0, {"m": LIMIT}, ZONES)
    shares.confirmed()
    divided = shares.shares("m")
    by_demand = sum(count_openings(divided[z], uses[z]) for z in ZONES)
    equal = sum(count_openings(LIMIT // len(ZONES), uses[z]) for z in ZONES)
    assert by_demand < 0.7 * equal


def test_small_changes_of_demand_are_not_announced():
    """Guards against an announcement to every proxy for each change of demand."""
    shares = ZoneShares()
    for zone in ZONES:
        shares.record_use(1.0, "m", zone, 100 if zone == "a" else 95)
    assert not shares.divide(10.0, {"m": LIMIT}, ZONES)
    assert shares.shares("m") == {}


def test_a_member_that_has_left_is_forgotten():
    """Guards against shares of an earlier process that had the member's name."""
    shares = ZoneShares()
    shares.record_use(1.0, "m", "a", 500)
    assert shares.divide(10.0, {"m": LIMIT}, ZONES)
    assert not shares.divide(20.0, {}, ZONES)
    assert shares.shares("m") == {}
    assert not shares.is_changing


@pytest.mark.parametrize(
    ("limit", "zones"), [(30, ZONES), (LIMIT, ZONES[1:]), (LIMIT, [*ZONES, "g"])]
)
def test_a_lower_limit_and_other_data_centres_take_effect(limit, zones):
    """Guards against shares of a limit or of data centres that are gone.

    Meanwhile nothing is raised before every proxy has the lowered shares.
    """
    member = MemberShares(0.0)
    for zone in ZONES:
        member.record_use(1.0, zone, 500 if zone == "a" else 100)
    assert member.divide(10.0, LIMIT, ZONES)
    member.confirmed()
    before = member.shares
    for zone in zones:
        member.record_use(11.0, zone, 300)
    assert member.divide(20.0, limit, zones)
    lowered = member.shares
    assert all(lowered[z] <= before.get(z, MIN_ZONE_SHARE) for z in zones)
    member.confirmed()
    assert set(member.shares) == set(zones)
    assert sum(member.shares.values()) <= limit
