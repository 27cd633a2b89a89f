"""Prints the shares of tests and of the core's decision modules in the code."""

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# Module name prefixes of routing, limits, retries, membership, state and recovery.
DECISION_PREFIXES = (
    "admission",
    "consensus",
    "datafolder",
    "detectors",
    "distribution",
    "drain",
    "election",
    "failover",
    "heartbeat",
    "limits",
    "membership",
    "pools",
    "promotion",
    "proposals",
    "relays",
    "replication",
    "requests",
    "retries",
    "routing",
    "segments",
    "shares",
    "snapshots",
    "state",
    "storage",
    "transactions",
)
MAX_TEST_SHARE = 1 / 3
MIN_DECISION_SHARE = 1 / 4


def count_lines(paths: list[Path]) -> int:
    return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths)


def main() -> int:
    """Returns the exit status: 1 if a share is out of bounds."""
    files = [
        path
        for path in sorted((ROOT / "packages").rglob("*"))
        if path.suffix in {".py", ".feature"} and "gen" not in path.parts
    ]
    tests = [path for path in files if "tests" in path.parts]
    sources = [path for path in files if "tests" not in path.parts]
    decisions = [path for path in sources if path.stem.startswith(DECISION_PREFIXES)]
    source, test, decision = map(count_lines, (sources, tests, decisions))
    test_share = test / (source + test)
    decision_share = decision / source
    print(f"source lines: {source}")
    print(f"test lines: {test} ({test_share:.0%} of all, at most 33%)")
    print(f"decision lines: {decision} ({decision_share:.0%} of source, at least 25%)")
    return int(test_share > MAX_TEST_SHARE or decision_share < MIN_DECISION_SHARE)


if __name__ == "__main__":
    raise SystemExit(main())
