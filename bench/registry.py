"""Registry of benchmarks, which are generators of results."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass


@dataclass(slots=True)
class Result:
    """One measured value; ``target`` is a bound such as ``>= 1000``, or empty."""

    name: str
    value: float
    unit: str
    target: str = ""
    ok: bool = True


Benchmark = Callable[[], Iterator[Result]]

BENCHMARKS: dict[str, Benchmark] = {}


def benchmark(function: Benchmark) -> Benchmark:
    """Registers a benchmark under the name of its function."""
    BENCHMARKS[function.__name__] = function
    return function


def at_least(name: str, value: float, unit: str, bound: float) -> Result:
    """Returns a result that misses its target if it is below ``bound``."""
    return Result(name, value, unit, f">= {bound:g}", value >= bound)


def at_most(name: str, value: float, unit: str, bound: float) -> Result:
    """Returns a result that misses its target if it is above ``bound``."""
    return Result(name, value, unit, f"<= {bound:g}", value <= bound)
