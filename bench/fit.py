"""Slopes: a cost measured at several sizes and fitted by a line."""

import gc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import process_time

import numpy

# A line through fewer sizes shows nothing about its error.
MIN_SIZES = 4
# Shortest span of one timing, seconds; process_time is exact enough for it.
SPAN = 0.02


@dataclass(slots=True)
class Slope:
    """``value = intercept + coefficient * size``; ``r2`` is 1 for a perfect line.

    ``worst`` is the largest residual as a share of the largest value.
    """

    name: str
    unit: str
    per: str
    sizes: list[int]
    values: list[float]
    coefficient: float
    intercept: float
    r2: float
    worst: float

    def at(self, size: float) -> float:
        """The value computed for ``size``."""
        return self.intercept + self.coefficient * size


@dataclass(slots=True)
class Definition:
    """A measurement of one value (in ``unit``) at each of ``sizes`` (of ``per``)."""

    name: str
    unit: str
    per: str
    sizes: Sequence[int]
    measure: Callable[[int], float]


DEFINITIONS: list[Definition] = []

Measure = Callable[[int], float]


def slope(
    name: str, unit: str, per: str, sizes: Sequence[int]
) -> Callable[[Measure], Measure]:
    """Registers a function from a size to a value."""
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"{name}: {len(sizes)} sizes, at least {MIN_SIZES} needed")

    def register(function: Measure) -> Measure:
        DEFINITIONS.append(Definition(name, unit, per, sizes, function))
        return function

    return register


def fit(definition: Definition) -> Slope:
    """Measures every size and fits a line by least squares."""
    sizes = [float(size) for size in definition.sizes]
    values = [definition.measure(size) for size in definition.sizes]
    coefficient, intercept = numpy.polyfit(sizes, values, 1)
    residuals = numpy.array(values) - (intercept + coefficient * numpy.array(sizes))
    spread = float(((numpy.array(values) - numpy.mean(values)) ** 2).sum())
    r2 = 1 - float((residuals**2).sum()) / spread if spread else 1.0
    worst = float(abs(residuals).max()) / max(map(abs, values))
    return Slope(
        definition.name,
        definition.unit,
        definition.per,
        list(definition.sizes),
        values,
        float(coefficient),
        float(intercept),
        r2,
        worst,
    )


def reference() -> float:
    """Milliseconds of a fixed loop: how fast this machine is at the moment."""
    before = process_time()
    for _ in range(1_000_000):
        pass
    return (process_time() - before) * 1e3


def microseconds(
    function: Callable[[], object], calls: int = 1, runs: int = 5
) -> float:
    """Processor time of one call in the fastest of ``runs``.

    ``function`` makes ``calls`` of them. The fastest run is the one that other work on
    this machine disturbed least.
    """
    gc.collect()
    times = []
    for _ in range(runs):
        done, before = 0, process_time()
        while not done or process_time() - before < SPAN:
            function()
            done += calls
        times.append((process_time() - before) / done)
    return min(times) * 1e6
