"""Placement of a read among members whose connections are shared."""

from collections.abc import Iterator
from random import Random
from statistics import median
from time import perf_counter

from bench.registry import Result, at_most, benchmark
from bronzemoor_core.wire.loadbalance import choose_by_load
from bronzemoor_daemon.wire.memberhealth import MemberHealth

MEMBERS = 30
DECISIONS = 5_000
NOW = 1_000.0


class Member(MemberHealth):
    load = 1


@benchmark
def load_balancing() -> Iterator[Result]:
    """Median time to choose among 30 members, all of which have recent figures."""
    random = Random(1)
    members = [Member(f"m{n}", "h:1", n % 6 == 0) for n in range(MEMBERS)]
    for member in members:
        member.figures.record_owner(NOW, random.randrange(6), 1)
        member.figures.record_others(NOW, NOW, random.randrange(6))
        member.figures.record_latency(NOW, 0.005 + random.random() / 50)
    members[0].failures.record_failure(NOW)
    times = []
    for _ in range(DECISIONS):
        started = perf_counter()
        choose_by_load(NOW + 0.1, members, random, 0.3)
        times.append(perf_counter() - started)
    yield at_most("load_balancing.decision.30_members", median(times) * 1e6, "us", 20)
