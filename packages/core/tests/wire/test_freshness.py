"""Tests of the staleness bounds that decide whether a replica may serve a read."""

from hypothesis import given
from hypothesis import strategies as st

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.deployment import (
    BOUNDED_STALENESS,
    READ_YOUR_WRITES,
    Route,
)
from bronzemoor_core.wire.freshness import (
    STALENESS_MARGIN_SECONDS,
    PositionSamples,
    SampleExchange,
)
from bronzemoor_core.wire.placement import required_position


def make_route(policy: str) -> Route:
    return Route("r", "db", "g", policy, 1.0, 0.4, 1, max_staleness=2.0)


def test_without_a_recent_sample_no_position_is_returned():
    """Guards against reads on replicas whose staleness is unknown."""
    samples = PositionSamples()
    samples.start_term(1)
    assert samples.required(10.0, 2.0) is None
    samples.record(5.0, Position(1, 7))
    assert samples.required(10.0, 2.0) is None


def test_samples_of_another_term_are_not_used():
    """Guards against positions in a tail that a promotion discarded."""
    samples = PositionSamples()
    samples.start_term(1)
    samples.record(1.0, Position(1, 9))
    samples.start_term(2)
    samples.record(1.2, Position(1, 10))
    assert samples.required(1.3, 2.0) is None


@given(
    st.lists(st.floats(0.0, 10.0), min_size=1, max_size=40),
    st.floats(0.0, 12.0),
    st.floats(0.2, 5.0),
)
def test_the_required_position_covers_every_commit_older_than_the_bound(
    times, now, bound
):
    """Guards against a read that misses a commit acknowledged before its bound.

    Commit n is acknowledged at the n-th time; a statement sent then sees it.
    """
    samples = PositionSamples()
    samples.start_term(1)
    times = sorted(time for time in times if time <= now)
    for number, time in enumerate(times, start=1):
        samples.record(time, Position(1, number))
    required = samples.required(now, bound)
    if required is None:
        return
    committed = sum(time <= now - bound for time in times)
    assert required.offset >= committed


def test_a_session_reads_its_own_commit():
    """Guards against a replica that has not received the session's last commit."""
    samples = PositionSamples()
    samples.start_term(2)
    samples.record(1.0, Position(2, 5))
    own = Position(2, 9)
    route = make_route(READ_YOUR_WRITES)
    assert required_position(1.1, route, samples, own) == own
    assert required_position(1.1, route, samples, Position(1, 50)) == Position(2, 5)
    assert required_position(1.1, route, samples, Position(3, 1)) is None
    bounded = make_route(BOUNDED_STALENESS)
    assert required_position(1.1, bounded, samples, own) == Position(2, 5)
    assert required_position(1.1, bounded, samples, ZERO) == Position(2, 5)


def test_the_staleness_margin_is_subtracted():
    """Guards against a sample that expires before the replica executes the read."""
    samples = PositionSamples()
    samples.start_term(1)
    samples.record(1.0, Position(1, 1))
    assert samples.required(3.0 - STALENESS_MARGIN_SECONDS, 2.0) is not None
    assert samples.required(3.0 - STALENESS_MARGIN_SECONDS / 2, 2.0) is None


@given(
    st.floats(0.0, 5.0),
    st.floats(0.0, 0.5),
    st.floats(0.0, 2.0),
    st.floats(0.0, 0.5),
    st.floats(0.0, 0.5),
)
def test_an_exchanged_sample_never_appears_newer_than_it_is(
    granted, way, after, back, rest
):
    """Guards against a stale read at a proxy that uses another proxy's sample.

    All times are on one clock. The order is: a grant is sent and arrives, a statement
    is sent, its position is reported and forwarded.
    """
    exchange = SampleExchange()
    exchange.granted(granted, "p", 1)
    sent_at = granted + way + after
    exchange.add_sample("p", 1, "g", after, Position(1, 7))
    asked_at = sent_at + back
    now = asked_at + rest
    age, position = exchange.newest(now, "g")
    assert position == Position(1, 7)
    assert asked_at - age <= sent_at + 1e-9


def test_a_sample_after_an_unknown_grant_is_ignored():
    """Guards against sample ages that no grant bounds."""
    exchange = SampleExchange()
    exchange.add_sample("p", 1, "g", 0.1, Position(1, 7))
    exchange.granted(1.0, "p", 2)
    exchange.add_sample("p", 2, "g", -0.1, Position(1, 7))
    assert exchange.newest(2.0, "g") is None
