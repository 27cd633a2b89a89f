"""Prints the shares of tests and of decision modules in the code."""

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ROOT / "packages"
CORE = "core/src/bronzemoor_core"
DAEMON = "daemon/src/bronzemoor_daemon"

# Modules whose main job is one of these decisions, without the suffix.
DECISION_MODULES = {
    "routing": (
        f"{CORE}/candidates",
        f"{CORE}/relays",
        f"{CORE}/routing",
        f"{CORE}/topology",
        f"{CORE}/wire/freshness",
        f"{CORE}/wire/placement",
        f"{CORE}/wire/zoneproxies",
        f"{DAEMON}/wire/groups",
    ),
    "limits": (
        f"{CORE}/admission",
        f"{CORE}/allocation",
        f"{CORE}/grants",
        f"{CORE}/limits",
        f"{CORE}/openings",
        f"{CORE}/pools",
        f"{DAEMON}/wire/memberpool",
    ),
    "retries": (
        f"{CORE}/losses",
        f"{CORE}/requests",
        f"{CORE}/retries",
        f"{CORE}/transactions",
        f"{DAEMON}/wire/execution",
        f"{DAEMON}/wire/transaction",
    ),
    "membership": (
        f"{CORE}/heartbeats",
        f"{CORE}/membership",
        f"{CORE}/reconfiguration",
        f"{CORE}/subscriptions",
        f"{CORE}/voters",
        f"{CORE}/wire/controlgroup",
        f"{CORE}/wire/joinsearch",
        f"{DAEMON}/wire/controlmembers",
    ),
    "state": (
        f"{CORE}/commands",
        f"{CORE}/consensus",
        f"{CORE}/distribution",
        f"{CORE}/elections",
        f"{CORE}/proposals",
        f"{CORE}/reads",
        f"{CORE}/replica",
        f"{CORE}/replication",
        f"{CORE}/snapshots",
        f"{CORE}/state",
        f"{CORE}/wire/commands",
        f"{DAEMON}/datafolder",
        f"{DAEMON}/segments",
        f"{DAEMON}/storagethread",
    ),
    "recovery": (
        f"{CORE}/detectors",
        f"{CORE}/drain",
        f"{CORE}/failover",
        f"{CORE}/handover",
        f"{CORE}/probes",
        f"{CORE}/promotion",
        f"{CORE}/suspicion",
        f"{CORE}/wire/leases",
        f"{CORE}/wire/succession",
        f"{DAEMON}/wire/grouporders",
        f"{DAEMON}/wire/memberhealth",
        f"{DAEMON}/wire/supervisor",
    ),
}
MAX_TEST_SHARE = 1 / 3
MIN_DECISION_SHARE = 1 / 4


def count_lines(paths: list[Path]) -> int:
    return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths)


def main() -> int:
    """Returns the exit status: 1 if a share is out of bounds.

    Raises ``FileNotFoundError`` if a decision module was renamed or removed.
    """
    files = [
        path
        for path in sorted(PACKAGES.rglob("*"))
        if path.suffix in {".py", ".feature"} and "gen" not in path.parts
    ]
    tests = [path for path in files if "tests" in path.parts]
    sources = [path for path in files if "tests" not in path.parts]
    source, test = count_lines(sources), count_lines(tests)
    decisions = {
        area: count_lines([PACKAGES / f"{module}.py" for module in modules])
        for area, modules in DECISION_MODULES.items()
    }
    decision = sum(decisions.values())
    test_share = test / (source + test)
    decision_share = decision / source
    print(f"source lines: {source}")
    print(f"test lines: {test} ({test_share:.0%} of all, at most 33%)")
    print(f"decision lines: {decision} ({decision_share:.0%} of source, at least 25%)")
    print(" ".join(f"{area}={lines}" for area, lines in decisions.items()))
    return int(test_share > MAX_TEST_SHARE or decision_share < MIN_DECISION_SHARE)


if __name__ == "__main__":
    raise SystemExit(main())
