"""Tests of the demo as an integration of all parts, and of its checks."""

import pytest

from bronzemoor_daemon.demo import find_faults, largest_gap, run_demo


def test_the_demo_passes(capsys):
    """Guards against a lost or duplicated write, or a stale read, in a failover."""
    assert run_demo() == 0, capsys.readouterr().out


@pytest.mark.parametrize(
    ("times", "gap"), [([2.1, 1.0, 1.1, 2.0], 0.9), ([], float("inf"))]
)
def test_the_gap_is_the_longest_pause(times, gap):
    """Guards against a reported failover gap that is too short."""
    assert largest_gap(times) == pytest.approx(gap)


@pytest.mark.parametrize(
    ("outcome", "count", "faults"),
    [
        ("done", 1, 0),
        ("done", 0, 1),
        ("done", 2, 1),
        ("unknown", 0, 0),
        ("unknown", 1, 0),
        ("unknown", 2, 1),
        ("not_run", 0, 0),
        ("not_run", 1, 1),
    ],
)
def test_tables_are_checked_against_outcomes(outcome, count, faults):
    """Guards against checks that miss a lost, duplicated or unexpected row."""
    rows = {"c1": count} if count else {}
    assert len(find_faults({"c1": outcome}, rows, "claim")) == faults
