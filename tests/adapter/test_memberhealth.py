"""Tests of the backoff for overloaded and lagging members."""

import pytest

from bronzemoor_daemon.wire.memberhealth import (
    MAX_BUSY_BACKOFF_SECONDS,
    MAX_LAG_BACKOFF_SECONDS,
    MIN_LAG_BACKOFF_SECONDS,
    MemberHealth,
)


def make_health() -> MemberHealth:
    return MemberHealth("m", "127.0.0.1:1", True)


def test_backoff_grows_while_a_member_is_overloaded():
    """Guards against retries that keep a member overloaded after the load dropped."""
    health, now, longest = make_health(), 0.0, 0.0
    for _ in range(20):
        now += 0.5
        longest = max(longest, health.record_busy(now))
        health.record_busy(now)
        health.record_success(now, 0.02)
    assert longest > MAX_BUSY_BACKOFF_SECONDS / 2
    for _ in range(60):
        health.record_success(now, 0.02)
    assert health.record_busy(now + 10) < MAX_BUSY_BACKOFF_SECONDS / 2


def test_backoff_grows_while_a_replica_lags():
    """Guards against a refused attempt before every read while replicas lag."""
    health, now = make_health(), 10.0
    health.record_lag(now)
    assert health.lagging_until - now == pytest.approx(MIN_LAG_BACKOFF_SECONDS)
    for _ in range(8):
        now = health.lagging_until
        health.record_lag(now)
    assert health.lagging_until - now == pytest.approx(MAX_LAG_BACKOFF_SECONDS)
    health.record_caught_up()
    now = health.lagging_until
    health.record_lag(now)
    assert health.lagging_until - now == pytest.approx(MIN_LAG_BACKOFF_SECONDS)


def test_a_replica_is_used_once_it_usually_has_the_commit():
    """Guards against reads after a write that a replica always refuses."""
    health = make_health()
    health.record_missing_commit(0.05)
    assert health.replication_delay == pytest.approx(0.075)
    health.record_missing_commit(0.01)
    assert health.replication_delay == pytest.approx(0.075)
    health.record_present_commit(1.0)
    assert health.replication_delay == pytest.approx(0.075)
    health.record_present_commit(0.08)
    assert health.replication_delay < 0.075
    assert health.lagging_until == 0.0
