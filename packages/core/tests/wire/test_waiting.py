"""Tests of the queue of statements that wait for a connection."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as hs

from bronzemoor_core.wire.waiting import (
    MAX_MEASUREMENT_AGE_SECONDS,
    MIN_MEASUREMENTS,
    ServiceRate,
    Waiter,
    WaitingQueue,
    is_admitted,
    make_rank,
)

RANK = make_rank(False, 1, 1)
CALLERS = "abcd"


def add(queue, caller, rank=RANK, now=0.0, deadline=1.0):
    waiter = Waiter(rank, caller, now, deadline, caller)
    return waiter, queue.add(waiter)


def serve(queue, now=0.0):
    """Serves the first waiter and returns it, None without one."""
    first = queue.first(now)
    if first is not None:
        queue.serve(first)
    return first


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(hs.lists(hs.sampled_from([*CALLERS, *CALLERS, "serve"]), max_size=120))
def test_no_organisation_starves(steps):
    """Guards against an organisation that is passed again and again while it waits."""
    queue, passed = WaitingQueue(), Counter()
    for step in steps:
        if step != "serve":
            add(queue, step)
            continue
        first = serve(queue)
        for other in CALLERS if first is not None else "":
            if other != first.caller and queue.waiting(other):
                passed[other, first.caller] += 1
                # Twice only by one that was served last before the other began to wait.
                assert passed[other, first.caller] <= 2
        if first is not None:
            passed = Counter(
                {key: n for key, n in passed.items() if key[0] != first.caller}
            )


@settings(max_examples=100, derandomize=True, deadline=None, database=None)
@given(
    hs.lists(hs.tuples(hs.sampled_from(CALLERS), hs.integers(0, 1)), max_size=40),
    hs.integers(0, 10), hs.sampled_from(CALLERS),
)  # fmt: skip
def test_the_number_ahead_is_that_of_the_statements_served_before(
    arrivals, served, caller
):
    """Guards against an expected wait that is too long, which refuses in vain."""
    queue = WaitingQueue()
    for name, priority in arrivals:
        add(queue, name, make_rank(False, 1, priority))
    for _ in range(served):
        serve(queue)
    ahead = queue.ahead(RANK, caller)
    waiter, _ = add(queue, caller)
    before = 0
    while serve(queue) is not waiter:
        before += 1
    # Virtual times that are equal are served in the order of arrival.
    assert before <= ahead <= before + len(CALLERS)


def test_an_idle_organisation_saves_up_nothing():
    """Guards against one that fills all connections after a pause."""
    queue = WaitingQueue()
    add(queue, "idle")
    for _ in range(60):
        add(queue, "steady")
    for _ in range(40):
        serve(queue)
    for _ in range(20):
        add(queue, "idle")
    served = Counter(serve(queue).caller for _ in range(20))
    assert served == {"idle": 10, "steady": 10}


def test_ranks_are_strict_and_time_is_kept():
    """Guards against a late or abandoned statement that gets a connection."""
    queue = WaitingQueue(has_ended=lambda handle: handle == "gone")
    add(queue, "low", make_rank(False, 2, 0))
    add(queue, "middle", make_rank(False, 1, 2))
    add(queue, "high", make_rank(False, 1, 1))
    add(queue, "started", make_rank(True, 3, 3))
    add(queue, "late", make_rank(True, 0, 0), deadline=0.5)
    add(queue, "gone", make_rank(True, 0, 0))
    order = [serve(queue, now=0.5).caller for _ in range(4)]
    assert order == ["started", "high", "middle", "low"]
    assert len(queue) == 0


def test_a_full_queue_refuses_the_organisation_that_has_most():
    """Guards against a queue that one organisation keeps closed to the others."""
    queue = WaitingQueue(max_length=3)
    waiters = [add(queue, "hot")[0] for _ in range(3)]
    assert add(queue, "quiet")[1] is waiters[-1]
    hot, refused = add(queue, "hot")
    assert refused is hot
    assert queue.waiting("quiet") == 1


def test_only_what_cannot_be_served_is_refused():
    """Guards against refusals without fresh measurements."""
    rate = ServiceRate()
    for number in range(MIN_MEASUREMENTS):
        assert rate.expected_wait(number * 0.1, 100) is None
        rate.record_hold(number * 0.1, 0.1)
        rate.record_served(number * 0.1, "a")
    now = MIN_MEASUREMENTS * 0.1
    assert 0.9 < rate.expected_wait(now, 10) < 1.1
    assert rate.expected_wait(now, 10, "b") is None
    assert is_admitted(rate.expected_wait(now, 10), 1.4)
    assert not is_admitted(rate.expected_wait(now, 10), 1.0)
    hints = {rate.retry_after(now, 10, Random(seed)) for seed in range(50)}
    assert 0.5 < min(hints) < 0.7 and 1.3 < max(hints) < 1.6
    assert rate.expected_wait(now + MAX_MEASUREMENT_AGE_SECONDS, 100) is None
