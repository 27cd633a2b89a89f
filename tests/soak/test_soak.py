"""Short soak runs with fixed seeds, including every seed that has failed."""

import pytest
from soak import run_seed

DURATION_SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 5])
def test_a_short_run_keeps_every_guarantee(seed):
    """Guards the guarantees listed in soak.py, with real processes under faults."""
    assert run_seed(seed, DURATION_SECONDS) == []
