"""The demo as an integration test of all parts."""

import pytest

from bronzemoor_daemon.demo import Record, failover_gap, main, verify


def test_the_demo_passes(capsys):
    """Guards against a lost or doubled write, or a stale read, in a failover."""
    assert main() == 0, capsys.readouterr().out


@pytest.mark.parametrize(
    ("times", "gap"),
    [([1.0, 1.1, 2.0, 2.1], 0.9), ([1.0, 1.1], float("inf")), ([], float("inf"))],
)
def test_the_gap_is_the_longest_pause_after_the_kill(times, gap):
    """Guards against a figure that hides the outage."""
    assert failover_gap(times, 1.15) == pytest.approx(gap)


def test_a_stale_read_is_a_problem():
    """Guards against checks that pass whatever happened."""

    class Group:
        members = {}  # noqa: RUF012

    assert len(verify(Record(stale_reads=["claim-1"]), Group())) == 1
