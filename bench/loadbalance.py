"""Placement of a read among members whose connections are shared."""

from collections.abc import Iterator
from random import Random
from statistics import median
from time import perf_counter

from bench.loadmodel import SERVICE, SLOTS, Model, swing
from bench.registry import Result, at_most, benchmark
from bronzemoor_core.wire.loadbalance import choose_by_load
from bronzemoor_daemon.wire.memberhealth import MemberHealth

MEMBERS = 30
DECISIONS = 5_000
NOW = 1_000.0
FIGURES = {"rejected": "%", "spread": "", "p99": "ms", "far": "%"}


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


@benchmark
def load_balancing_model() -> Iterator[Result]:
    """Rejected arrivals and p99 of each choice in the model of the design note."""
    choices = (
        ("delay",),
        ("two",),
        ("load",),
        ("load", "owner"),
        ("load", "owner", "leader"),
    )
    for load, slowness in ((0.35, 1.0), (0.65, 1.0), (0.8, 1.0), (0.5, 4.0)):
        for choice in choices:
            figures = [run_choice(seed, choice, load, slowness) for seed in range(1, 5)]
            name = f"load_model.{'+'.join(choice)}.{load:.0%}.slowed_{slowness:g}x"
            for key, unit in FIGURES.items():
                value = sum(item[key] for item in figures) / len(figures)
                yield Result(f"{name}.{key}", value, unit)


def run_choice(
    seed: int, choice: tuple[str, ...], load: float, slowness: float
) -> dict[str, float]:
    """Runs 40 s, of which one member is slow for 8 s; ``load`` is a share of slots."""
    model = Model(seed, *choice)
    slow = model.members["c"]
    model.at(8.0, setattr, slow, "slowness", slowness)
    model.at(16.0, setattr, slow, "slowness", 1.0)
    return model.run(40.0, swing(load * len(model.members) * SLOTS / SERVICE)).figures()
