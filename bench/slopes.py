"""Measures how costs grow with size: ``python -m bench.slopes [NAME ...]``.

Prints a table and writes build/slopes.json; docs/CAPACITY.md computes from it.
"""

import json
import sys
from dataclasses import asdict
from importlib import import_module
from pathlib import Path
from time import monotonic

from bench.fit import DEFINITIONS, Slope, fit, reference

OUTPUT = Path("build/slopes.json")
MODULES = (
    "control_slopes",
    "daemon_slopes",
    "log_slopes",
    "message_slopes",
    "path_slopes",
)
HEADER = ("value", "per", "sizes", "coefficient", "intercept", "R2", "worst")


def row(item: Slope) -> tuple[str, ...]:
    """One line of the table; ``worst`` is the largest residual in percent."""
    return (
        f"{item.name} ({item.unit})",
        item.per,
        ", ".join(map(str, item.sizes)),
        f"{item.coefficient:.4g}",
        f"{item.intercept:.4g}",
        f"{item.r2:.4f}",
        f"{item.worst * 100:.1f}%",
    )


def main(names: list[str]) -> int:
    """Returns the exit status."""
    for module in MODULES:
        import_module(f"bench.{module}")
    known = {item.name for item in DEFINITIONS}
    if unknown := set(names) - known:
        print(f"unknown: {sorted(unknown)}; known: {sorted(known)}")
        return 2
    print("| " + " | ".join(HEADER) + " |")
    print("|---" * len(HEADER) + "|")
    start, found, speed = monotonic(), [], []
    for definition in DEFINITIONS:
        if not names or definition.name in names:
            speed.append(reference())
            found.append(fit(definition))
            print("| " + " | ".join(row(found[-1])) + " |", flush=True)
    print(f"measured in {monotonic() - start:.0f} s", end=", ")
    print(f"reference loop {min(speed):.0f} to {max(speed):.0f} ms")
    if not names:
        OUTPUT.parent.mkdir(exist_ok=True)
        OUTPUT.write_text(json.dumps([asdict(item) for item in found], indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
