"""Tests of the retry budget and the backoff."""

from random import Random

from bronzemoor_core.retries import (
    MAX_TOKENS,
    MIN_RETRIES_PER_SECOND,
    RetryBudget,
    backoff,
)


def test_retries_are_a_ratio_of_first_attempts():
    """Guards against retries that multiply under overload."""
    budget = RetryBudget(0.0)
    while budget.withdraw(0.0):
        pass
    allowed = 0
    for _ in range(1_000):
        budget.deposit(0.1)
        allowed += budget.withdraw(0.0)
    assert 99 <= allowed <= 100


def test_an_organisation_with_little_traffic_may_retry():
    """Guards against a budget that allows no retry where there is little traffic."""
    budget = RetryBudget(0.0)
    while budget.withdraw(0.0):
        pass
    assert budget.withdraw(1.0 / MIN_RETRIES_PER_SECOND)
    assert not budget.withdraw(1.0 / MIN_RETRIES_PER_SECOND)


def test_the_budget_is_bounded():
    """Guards against a burst of retries after a period of little traffic."""
    budget = RetryBudget(0.0)
    budget.deposit(1_000_000)
    assert budget.tokens == MAX_TOKENS
    assert sum(budget.withdraw(1e6) for _ in range(1_000)) == MAX_TOKENS


def test_backoff_is_exponential_jittered_and_bounded():
    """Guards against synchronised retries and against waits beyond the maximum."""
    random = Random(1)
    for attempt in range(1, 40):
        waits = {backoff(attempt, 0.005, 0.2, random) for _ in range(50)}
        ceiling = min(0.2, 0.005 * 2**attempt)
        assert len(waits) == 50
        assert all(ceiling / 2 <= wait <= ceiling for wait in waits)
