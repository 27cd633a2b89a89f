"""Decisions of the core at its stated sizes: routing and recovery."""

from collections.abc import Iterator
from tempfile import TemporaryDirectory
from time import perf_counter

from bench.daemon_slopes import decide
from bench.log_slopes import change, restart
from bench.registry import Result, at_most, benchmark
from bench.scale import Machine
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_daemon.datafolder import DataFolder

# Two years from now; the nearest number that organisations of three databases make.
DATABASES = 4_302
# Changes before the restart, just before the second snapshot is taken: the worst case.
CHANGES = 9_990


@benchmark
def routing() -> Iterator[Result]:
    """One decision for a read with all databases of the two-year scale known."""
    yield at_most("routing.decision.4300_databases", decide(DATABASES), "us", 20)


def make_member(folder: str) -> Machine:
    """A control group of one on disk; it serves no organisation as a daemon."""
    machine = Machine(
        control=True, control_members=("control-1",), organisations=("none",)
    )
    machine.storage = DataFolder(folder)  # type: ignore[assignment]
    return machine


@benchmark
def recovery() -> Iterator[Result]:
    """Restart from disk to the current version after 10,000 changes."""
    with TemporaryDirectory() as folder:
        machine = make_member(folder)
        restart(machine)
        for number in range(CHANGES):
            machine.handle(CommandProposed(change(number), ("bench", 0)))
        machine.storage.close()
        started = perf_counter()
        machine = make_member(folder)
        restart(machine)
        elapsed = (perf_counter() - started) * 1_000
        machine.storage.close()
    yield at_most("restart.10000_changes", elapsed, "ms", 1_000)
