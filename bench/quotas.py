"""Time of a decision about a quota, and memory of an idle organisation."""

import tracemalloc
from collections.abc import Iterator
from itertools import count
from random import Random
from statistics import median
from time import perf_counter_ns

from bench.registry import Result, at_most, benchmark
from bronzemoor_core.messages import QuotaGrant
from bronzemoor_core.wire.quotas import TokenPurse
from bronzemoor_core.wire.quotasettings import QuotaSettings

ORGANISATIONS = 79
DECISIONS = 20_000
# Decisions between two grants.
BATCH = 50


def decide(purse: TokenPurse, now: float, name: str) -> None:
    purse.arrived(now, name)
    token = purse.reserve(now, name)
    if token is not None:
        purse.spend(now, name, token)
    else:
        purse.exhausted_for(now, name)


def median_decision(tokens: int) -> float:
    """Returns the median time in microseconds, with a grant before each batch."""
    purse, times, granted = TokenPurse(QuotaSettings()), [], 0
    names = [f"organisation-{number}" for number in range(ORGANISATIONS)]
    random = Random(1)
    for step in range(DECISIONS // BATCH):
        now, name = 100.0 + step * 0.1, random.choice(names)
        granted += tokens
        grant = QuotaGrant(name, granted, tokens, 1_000)
        purse.apply_grant(now, 1, step, now + 3.0, [grant])
        for _ in range(BATCH):
            started = perf_counter_ns()
            decide(purse, now, name)
            times.append(perf_counter_ns() - started)
    return median(times) / 1_000


def idle_bytes() -> float:
    """Returns the memory of an organisation whose operations were some time ago."""
    names, numbers = [f"organisation-{number}" for number in range(1_000)], count(1)
    tracemalloc.start()
    purse = TokenPurse(QuotaSettings())
    now = 100.0
    for step in range(40):
        now = 100.0 + step * 0.5
        if step < 4:
            granted = 4 * next(numbers)
            grants = [QuotaGrant(name, granted, 4) for name in names]
            purse.apply_grant(now, 1, 0, now + 3.0, grants)
            for name in names:
                decide(purse, now, name)
        purse.build_report(now, step)
        purse.apply_grant(now, 1, step, now + 3.0, [])
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(names)


@benchmark
def quotas() -> Iterator[Result]:
    """Decisions for organisations with and without tokens, and an idle one's memory."""
    yield at_most("quotas.decision.held", median_decision(BATCH), "us", 5)
    yield at_most("quotas.decision.exhausted", median_decision(0), "us", 5)
    yield at_most("quotas.idle_organisation", idle_bytes(), "bytes", 1_024)
