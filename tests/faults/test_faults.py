"""A short run of the fault bench with a fixed seed."""

from faultbench import run_seed

DURATION_SECONDS = 8.0
SIZES = (5, 3, 2)


def test_a_short_run_of_faults_breaks_no_rule():
    """Guards against orders and commits that act beyond their leader or primary."""
    broken, text = run_seed(1, DURATION_SECONDS, SIZES)
    assert broken == {}, text
