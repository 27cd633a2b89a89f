"""Slopes: costs measured at several sizes and fitted by a line."""

import gc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import process_time

import numpy

# With fewer sizes the residuals say too little about the error of the line.
MIN_SIZES = 4
# Shortest timing for which the resolution of process_time is sufficient.
MIN_TIMING_SECONDS = 0.02


@dataclass(slots=True)
class Slope:
    """A fitted line, ``value = intercept + coefficient * size``.


    ``r2`` is 1 for a perfect fit; ``worst`` is the largest residual as a share of the
    largest value.
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


@dataclass(slots=True)
class Definition:
    """Describes how to measure a value in ``unit`` at several ``sizes`` of ``per``."""

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
    """Registers a function that returns the value for a size."""
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"{name}: {len(sizes)} sizes, at least {MIN_SIZES} needed")

    def register(function: Measure) -> Measure:
        DEFINITIONS.append(Definition(name, unit, per, sizes, function))
        return function

    return register


def fit(definition: Definition) -> Slope:
    """Measures the value at every size and fits a line by least squares."""
    sizes = [float(size) for size in definition.sizes]
    values = [definition.measure(size) for size in definition.sizes]
    coefficient, intercept = numpy.polyfit(sizes, values, 1)
    residuals = numpy.array(values) - (intercept + coefficient * numpy.array(sizes))
    total_squares = float(((numpy.array(values) - numpy.mean(values)) ** 2).sum())
    r2 = 1 - float((residuals**2).sum()) / total_squares if total_squares else 1.0
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


def reference_loop_ms() -> float:
    """Times a fixed loop, which shows the present speed of this machine."""
    before = process_time()
    for _ in range(1_000_000):
        pass
    return (process_time() - before) * 1e3


def cpu_microseconds(
    function: Callable[[], object], calls: int = 1, runs: int = 5
) -> float:
    """Returns the processor time of one call in the fastest of ``runs``.

    ``function`` makes ``calls`` calls. The fastest run is the one least disturbed by
    other load on this machine.
    """
    gc.collect()
    times = []
    for _ in range(runs):
        done, before = 0, process_time()
        while not done or process_time() - before < MIN_TIMING_SECONDS:
            function()
            done += calls
        times.append((process_time() - before) / done)
    return min(times) * 1e6
