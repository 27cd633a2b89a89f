"""Runs all benchmarks, or the named ones, and writes build/bench.json.

Exits with status 1 if a bound is missed.
"""

import json
import sys
from dataclasses import asdict
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules

import bench
from bench.registry import BENCHMARKS

OUTPUT = Path("build/bench.json")
# Modules that benchmarks use or start; they define none and must not be imported here.
HELPER_MODULES = {"__main__", "registry", "load", "processes"}


def main(names: list[str]) -> int:
    """Returns the exit status."""
    for module in iter_modules(bench.__path__):
        if module.name not in HELPER_MODULES:
            import_module(f"bench.{module.name}")
    if unknown := set(names) - set(BENCHMARKS):
        print(f"unknown: {sorted(unknown)}; known: {sorted(BENCHMARKS)}")
        return 2
    results = []
    for name in names or list(BENCHMARKS):
        for result in BENCHMARKS[name]():
            results.append(asdict(result))
            status = "ok" if result.ok else "MISSED"
            print(
                f"{result.name}: {result.value:.4g} {result.unit} "
                f"{result.target} {status if result.target else ''}",
                flush=True,
            )
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(results, indent=1))
    return 0 if all(result["ok"] for result in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
