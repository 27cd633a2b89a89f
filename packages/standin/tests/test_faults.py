"""Tests of the fault switches."""

import pytest

from bronzemoor_standin.faults import Faults, InvalidFault


def test_all_problems_are_reported_and_nothing_is_set():
    """Guards against a partially applied set of faults."""
    faults = Faults()
    with pytest.raises(InvalidFault, match="unknown switch nope.*frozen must be bool"):
        faults.set({"lag_ms": 5, "nope": 1, "frozen": "yes"})
    assert faults.lag_ms == 0
    faults.lag_ms = 5
    assert faults.lag_ms == 5


def test_answer_faults_respect_calls_and_count():
    """Guards against a fault that affects other calls than configured."""
    faults = Faults(drop_rate=1.0, answers_left=2, only_calls=["execute"])
    drawn = [
        faults.draw_answer_fault(c) for c in ("ping", "execute", "execute", "execute")
    ]
    assert drawn == ["", "drop", "drop", ""]
    faults.clear()
    assert faults.values() == Faults().values()
