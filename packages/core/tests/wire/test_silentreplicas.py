"""Tests of the decision which replicas are taken off the records."""

from bronzemoor_core.wire.silentreplicas import (
    KEPT_AFTER_RETURN_SECONDS,
    SILENCE_SECONDS,
    SilentReplicas,
)


def test_a_replica_is_lost_after_an_unbroken_silence_only():
    """Guards against a machine that stood still and is given up."""
    silent = SilentReplicas()
    silent.record(0.0, {"a": False, "b": True})
    silent.record(SILENCE_SECONDS - 0.1, {"a": False, "b": True})
    assert silent.lost(SILENCE_SECONDS - 0.1) == []
    assert silent.lost(SILENCE_SECONDS) == ["a"]
    silent.record(SILENCE_SECONDS, {"a": True, "b": False})
    assert silent.lost(SILENCE_SECONDS + 1.0) == []
    # A replica that left the records in between starts anew.
    silent.record(20.0, {})
    silent.record(30.0, {"b": False})
    assert silent.lost(30.0) == []


def test_a_replica_that_comes_back_silent_is_kept():
    """Guards against a replica that is removed and announces itself by turns."""
    silent, removed_at = SilentReplicas(), SILENCE_SECONDS
    silent.record(0.0, {"a": False})
    silent.removed(removed_at, "a")
    silent.record(removed_at + 1.0, {"a": False})
    back_until = removed_at + KEPT_AFTER_RETURN_SECONDS
    assert silent.lost(back_until - 0.1) == []
    assert silent.lost(back_until) == ["a"]
