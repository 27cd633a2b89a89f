"""Routing and recovery of the core at the sizes for which targets exist."""

from collections.abc import Iterator
from tempfile import TemporaryDirectory
from time import perf_counter

from bench.daemon_slopes import routing_decision
from bench.log_slopes import restart, template_change
from bench.registry import Result, at_most, benchmark
from bench.scale import NodeHarness
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_daemon.datafolder import DataFolder

# Databases at the two-year scale, 4,300, rounded to organisations of three databases.
DATABASES = 4_302
# Changes before the restart; the worst case is just before the second snapshot.
CHANGES = 9_990


@benchmark
def routing() -> Iterator[Result]:
    """Routing decision for a read, with all databases of the two-year scale known."""
    yield at_most(
        "routing.decision.4300_databases", routing_decision(DATABASES), "us", 20
    )


def make_member(folder: str) -> NodeHarness:
    """Returns the member of a control group of one, which serves no organisation."""
    harness = NodeHarness(
        control=True, control_members=("control-1",), organisations=("none",)
    )
    harness.storage = DataFolder(folder)  # type: ignore[assignment]
    return harness


@benchmark
def recovery() -> Iterator[Result]:
    """Restart from disk to the current state after 10,000 changes."""
    with TemporaryDirectory() as folder:
        harness = make_member(folder)
        restart(harness)
        for number in range(CHANGES):
            harness.handle(CommandProposed(template_change(number), ("bench", 0)))
        harness.storage.close()
        started = perf_counter()
        harness = make_member(folder)
        restart(harness)
        elapsed = (perf_counter() - started) * 1_000
        harness.storage.close()
    yield at_most("restart.10000_changes", elapsed, "ms", 1_000)
