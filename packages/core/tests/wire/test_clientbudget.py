"""Tests of the budget of bytes that clients make a process hold."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as hs

from bronzemoor_core.wire.clientbudget import (
    ALLOWANCE_BYTES,
    ANSWER_SHARE,
    GRANT_BYTES,
    MAX_MESSAGE_BYTES,
    MEBIBYTE,
    SESSION_BYTES,
    ClientBudget,
    Holding,
    derive_limits,
)

SMALL_LIMIT = 3 * MEBIBYTE
CLIENTS = 4
STEP = hs.tuples(
    hs.integers(0, CLIENTS - 1),
    hs.sampled_from(("read", "process", "unsent", "state", "close")),
    hs.integers(0, 2 * MEBIBYTE),
)


def step(budget: ClientBudget, holding: Holding, action: str, amount: int) -> None:
    if action == "read":
        if holding.prepare_read():
            holding.receive(min(amount, holding.read_limit))
        else:
            budget.wait(holding)
    elif action == "process":
        holding.release_received(amount)
        while budget.next_granted() is not None:
            pass
    elif action == "unsent":
        holding.set_unsent(amount)
    elif action == "state":
        holding.add_state(amount - MEBIBYTE if amount > MEBIBYTE else 0)
    else:
        holding.release_all()


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(hs.lists(STEP, max_size=60))
def test_the_budget_is_never_exceeded_and_released_exactly_once(steps):
    """Guards against bytes that are held without, or released twice to, the budget."""
    budget = ClientBudget(SMALL_LIMIT)
    holdings = [Holding(budget) for _ in range(CLIENTS)]
    for index, action, amount in steps:
        step(budget, holdings[index], action, amount)
        assert 0 <= budget.used <= budget.max_used <= budget.limit
        beyond = sum(h.total for h in holdings) - 3 * CLIENTS * ALLOWANCE_BYTES
        assert budget.used >= beyond
        assert sum(budget.by_kind.values()) == sum(h.total for h in holdings)
    for holding in holdings * 2:
        holding.release_all()
    assert budget.used == budget.waiting_count == sum(budget.by_kind.values()) == 0


def fill(budget: ClientBudget, holding: Holding) -> None:
    while holding.prepare_read():
        holding.receive(holding.readable)


def test_paused_clients_get_grants_in_their_order():
    """Guards against a client that waits while later ones are served again."""
    budget = ClientBudget(SMALL_LIMIT)
    holdings = [Holding(budget, owner=number) for number in range(5)]
    for holding in holdings:
        fill(budget, holding)
    waiting = holdings[3:]
    for holding in waiting:
        assert not holding.prepare_read()
        budget.wait(holding)
    order = []
    for _ in range(4):
        holdings[0].release_received(GRANT_BYTES)
        granted = budget.next_granted()
        order.append(granted.owner)
        granted.receive(granted.readable)
        budget.wait(granted)
    assert order == [3, 4, 3, 4]


def test_small_messages_need_no_budget():
    """Guards against small statements that wait behind large ones."""
    budget = ClientBudget(SMALL_LIMIT)
    for _ in range(5):
        fill(budget, Holding(budget))
    assert budget.free_to_read == 0
    late = Holding(budget)
    assert late.prepare_read()
    assert late.readable == ALLOWANCE_BYTES
    assert late.set_unsent(ALLOWANCE_BYTES)


def test_one_client_cannot_take_the_whole_budget():
    """Guards against a client that sends ahead and leaves nothing to others."""
    budget = ClientBudget(64 * MEBIBYTE)
    holding = Holding(budget)
    fill(budget, holding)
    assert holding.is_at_limit
    assert MAX_MESSAGE_BYTES < holding.received < budget.limit / 2


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(152, 1_605), (200, 4_300), (0, 0), (64, 256)]
)
def test_limits_of_a_vm_admit_the_largest_legal_loads(memory_mb, descriptors):
    """Guards against defaults that an ordinary caller reaches."""
    limits = derive_limits(memory_mb * MEBIBYTE, descriptors)
    assert limits.budget_bytes >= 8 * MAX_MESSAGE_BYTES
    assert limits.max_sessions >= min(2_000, descriptors * 0.7 or 2_000)
    assert ClientBudget(limits.budget_bytes).client_limit > MAX_MESSAGE_BYTES
    if memory_mb > 64:
        sessions = limits.max_sessions * SESSION_BYTES
        assert 3 * limits.budget_bytes + sessions < memory_mb * MEBIBYTE


def test_received_bytes_leave_a_part_for_answers():
    """Guards against clients that are closed because others complete no message."""
    budget = ClientBudget(SMALL_LIMIT)
    for _ in range(5):
        fill(budget, Holding(budget))
    assert Holding(budget).set_unsent(int(SMALL_LIMIT * ANSWER_SHARE) // 2)


def test_a_message_as_large_as_the_allowance_is_released():
    """Guards against a grant that stays acquired after its connection is gone."""
    budget = ClientBudget(SMALL_LIMIT)
    holding = Holding(budget)
    assert holding.prepare_read()
    holding.receive(ALLOWANCE_BYTES)
    assert holding.prepare_read()
    holding.release_received(ALLOWANCE_BYTES)
    holding.release_all()
    assert budget.used == 0
