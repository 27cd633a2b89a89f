"""Guards the retry budget and the backoff."""

from random import Random

from bronzemoor_core.retries import FLOOR_PER_SECOND, MAX_SAVED, RetryBudget, backoff


def test_retries_are_a_ratio_of_first_attempts():
    """Guards against retries that grow with the failures they cause."""
    budget = RetryBudget(0.0)
    while budget.spend(0.0):
        pass
    allowed = 0
    for _ in range(1_000):
        budget.earn(0.1)
        allowed += budget.spend(0.0)
    assert 99 <= allowed <= 100


def test_a_quiet_organisation_has_a_floor():
    """Guards against no retry at all where there is little traffic."""
    budget = RetryBudget(0.0)
    while budget.spend(0.0):
        pass
    assert budget.spend(1.0 / FLOOR_PER_SECOND)
    assert not budget.spend(1.0 / FLOOR_PER_SECOND)


def test_savings_are_bounded():
    """Guards against a storm of retries paid for by a quiet night."""
    budget = RetryBudget(0.0)
    budget.earn(1_000_000)
    assert budget.saved == MAX_SAVED
    assert sum(budget.spend(1e6) for _ in range(1_000)) == MAX_SAVED


def test_backoff_grows_is_jittered_and_bounded():
    """Guards against synchronised retries and against waits beyond the maximum."""
    random = Random(1)
    for attempt in range(1, 40):
        waits = {backoff(attempt, 0.005, 0.2, random) for _ in range(50)}
        ceiling = min(0.2, 0.005 * 2**attempt)
        assert len(waits) == 50
        assert all(ceiling / 2 <= wait <= ceiling for wait in waits)
