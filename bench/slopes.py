"""Measures how costs grow with size: ``python -m bench.slopes [NAME ...]``.

Prints a table and writes build/slopes.json, from which docs/CAPACITY.md is computed.
"""

import json
import sys
from dataclasses import asdict
from importlib import import_module
from pathlib import Path
from time import monotonic

from bench.fit import DEFINITIONS, Slope, fit, reference_loop_ms

OUTPUT = Path("build/slopes.json")
MODULES = (
    "control_slopes",
    "daemon_slopes",
    "log_slopes",
    "message_slopes",
    "path_slopes",
)
HEADER = ("value", "per", "sizes", "coefficient", "intercept", "R2", "worst")


def table_row(item: Slope) -> tuple[str, ...]:
    """Returns a row of the table, with the largest residual in percent last."""
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
    start, slopes, reference_times = monotonic(), [], []
    for definition in DEFINITIONS:
        if not names or definition.name in names:
            reference_times.append(reference_loop_ms())
            slopes.append(fit(definition))
            print("| " + " | ".join(table_row(slopes[-1])) + " |", flush=True)
    print(f"measured in {monotonic() - start:.0f} s", end=", ")
    print(f"reference loop {min(reference_times):.0f} to {max(reference_times):.0f} ms")
    if not names:
        OUTPUT.parent.mkdir(exist_ok=True)
        OUTPUT.write_text(json.dumps([asdict(item) for item in slopes], indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
