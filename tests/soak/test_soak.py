"""A short seeded run of the soak, and every seed that ever failed."""

import pytest
from soak import run_seed

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1])
def test_a_short_run_keeps_every_promise(seed):
    """Guards the promises with real processes under faults; see soak.py."""
    assert run_seed(seed, SECONDS) == []
