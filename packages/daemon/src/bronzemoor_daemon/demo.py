"""Demo: a whole system in one process survives the loss of its primary."""

import sys
from dataclasses import dataclass, field
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any

from loguru import logger

from bronzemoor_daemon.embedded import Client, EmbeddedSystem
from bronzemoor_standin.member import Member
from bronzemoor_standin.statements import Sql

ORGANISATION = "reclamar-voo"
TEMPLATE: dict[str, Any] = {
    "databases": ["claims-1"],
    "connections": 20,
    "classes": {
        "file-claim": {"kind": "write", "priority": 1, "deadline": "5s"},
        "payout": {
            "kind": "write",
            "repeatable": False,
            "priority": 0,
            "deadline": "5s",
        },
        "agent-read": {"kind": "read", "priority": 2, "deadline": "2s"},
        "claim-status": {"kind": "read", "max_age": "5s", "deadline": "1s"},
    },
}
FILE_CLAIM = (
    "INSERT INTO claims (claim_id, passenger, flight, boarding_pass, status,"
    " amount_cents, request_id) VALUES (?, ?, 'TP1234', 'pass', 'filed', 25000, ?)"
)
PAY_OUT = (
    "INSERT INTO payouts (claim_id, amount_cents, request_id) VALUES (?, 25000, ?)"
)
READ_CLAIM = "SELECT claim_id, passenger, request_id FROM claims WHERE claim_id = ?"
COUNT_CLAIMS = "SELECT count(*) FROM claims"
WRITERS = 4
BEFORE_FAILURE_S = 1.5
AFTER_FAILURE_S = 2.5
# Outer bound on the failover gap, from the users' requirements.
MAX_GAP_S = 5.0


@dataclass(slots=True)
class Tally:
    """What the writers and readers saw; each writer fills its own."""

    acknowledged: list[float] = field(default_factory=list)
    claims: dict[str, str] = field(default_factory=dict)
    payouts: dict[str, str] = field(default_factory=dict)
    wrong_reads: list[str] = field(default_factory=list)
    reads: dict[str, int] = field(default_factory=dict)

    def count_read(self, answer: dict[str, Any]) -> None:
        if answer["outcome"] == "done":
            role = answer.get("role", "")
            self.reads[role] = self.reads.get(role, 0) + 1


def file_claims(client: Client, writer: int, tally: Tally, stopped: Event) -> None:
    """Files claims and payouts and reads each back through the other daemon."""
    number = 0
    while not stopped.is_set():
        number += 1
        claim, here = f"claim-{writer}-{number}", number % 2
        key = f"request-{claim}"
        answer = client.write(here, "file-claim", FILE_CLAIM, [claim, "Ana", key], key)
        tally.claims[claim] = answer["outcome"]
        if answer["outcome"] == "done":
            tally.acknowledged.append(monotonic())
            read_back(client, 1 - here, claim, key, tally)
        if number % 3 == 0:
            key = f"payout-{claim}"
            answer = client.write(here, "payout", PAY_OUT, [claim, key], key)
            tally.payouts[key] = answer["outcome"]
        status = client.run(1 - here, "claim-status", COUNT_CLAIMS)
        tally.count_read(status)


def read_back(client: Client, daemon: int, claim: str, key: str, tally: Tally) -> None:
    """Reads a claim with the session's token; it must be there as it was written."""
    answer = client.run(daemon, "agent-read", READ_CLAIM, [claim])
    tally.count_read(answer)
    if answer["outcome"] == "done":
        rows = answer["result"][0]["rows"]
        if rows != [[claim, "Ana", key]]:
            tally.wrong_reads.append(f"{claim}: {rows}")


def largest_gap(times: list[float]) -> float:
    """Longest time in seconds between two successive acknowledgements."""
    ordered = sorted(times)
    return max(
        (later - earlier for earlier, later in zip(ordered, ordered[1:], strict=False)),
        default=float("inf"),
    )


def count_rows(member: Member, sql: str) -> dict[str, int]:
    """Counts rows by key in a member's tables, past all caches."""
    rows = member.ledger.committed.run([Sql(sql, [])])[0]["rows"]
    return {str(key): int(count) for key, count in rows}


def find_all_faults(
    system: EmbeddedSystem, claims: dict[str, str], payouts: dict[str, str]
) -> list[str]:
    """Checks the tables of every running member once all hold the same."""
    members = [member for member in system.members.values() if member.running]
    system.wait_for(lambda: len({m.ledger.committed.applied for m in members}) == 1)
    count = "SELECT {0}, count(*) FROM {1} GROUP BY {0}"
    faults = []
    for member in members:
        name = member.settings.member
        rows = count_rows(member, count.format("claim_id", "claims"))
        faults += find_faults(claims, rows, f"{name}: claim")
        rows = count_rows(member, count.format("request_id", "payouts"))
        faults += find_faults(payouts, rows, f"{name}: payout")
    return faults


def find_faults(outcomes: dict[str, str], rows: dict[str, int], what: str) -> list[str]:
    """Compares the outcomes that clients saw with the rows in the tables."""
    faults = []
    for key, outcome in outcomes.items():
        count = rows.get(key, 0)
        if count > 1:
            faults.append(f"{what} {key} counts {count} times")
        if outcome == "done" and count == 0:
            faults.append(f"{what} {key} was acknowledged and is lost")
        if outcome == "not_run" and count:
            faults.append(f"{what} {key} was reported as not run and ran")
    faults += [f"{what} {key} was never sent" for key in rows.keys() - outcomes.keys()]
    return faults


def run_demo() -> int:
    """Runs the demo; returns 0 only if every check passed."""
    started = monotonic()
    system = EmbeddedSystem()
    try:
        system.start()
        system.apply_template(ORGANISATION, TEMPLATE)
        print(f"ready after {monotonic() - started:.2f} s: 2 daemons, 3 members")
        status = fail_over_under_load(system)
    finally:
        system.stop()
    print(f"finished after {monotonic() - started:.2f} s")
    return status


def fail_over_under_load(system: EmbeddedSystem) -> int:
    """Kills the primary while clients write; returns the exit status."""
    tallies = [Tally() for _ in range(WRITERS)]
    stopped = Event()
    threads = [
        Thread(
            target=file_claims,
            args=(system.client(ORGANISATION), writer, tally, stopped),
        )
        for writer, tally in enumerate(tallies)
    ]
    for thread in threads:
        thread.start()
    sleep(BEFORE_FAILURE_S)
    old_primary = system.primary
    system.members[old_primary].kill()
    killed = monotonic()
    print(f"killed the primary {old_primary}")
    sleep(AFTER_FAILURE_S)
    stopped.set()
    for thread in threads:
        thread.join()
    return report(system, tallies, killed, old_primary)


def report(
    system: EmbeddedSystem, tallies: list[Tally], killed: float, old_primary: str
) -> int:
    """Prints the measures and checks the tables; returns the exit status."""
    acknowledged = [moment for tally in tallies for moment in tally.acknowledged]
    claims = {key: out for tally in tallies for key, out in tally.claims.items()}
    payouts = {key: out for tally in tallies for key, out in tally.payouts.items()}
    reads = {
        role: sum(tally.reads.get(role, 0) for tally in tallies)
        for role in ("replica", "primary")
    }
    gap = largest_gap([time for time in acknowledged if time > killed - 0.5])
    system.wait_for(lambda: system.primary not in ("", old_primary))
    faults = find_all_faults(system, claims, payouts)
    faults += [read for tally in tallies for read in tally.wrong_reads]
    share = reads["replica"] / max(1, sum(reads.values()))
    done = sum(outcome == "done" for outcome in claims.values())
    paid = sum(outcome == "done" for outcome in payouts.values())
    print(f"new primary: {system.primary}")
    print(f"failover gap: {gap * 1000:.0f} ms")
    print(f"reads served by replicas: {share:.1%} of {sum(reads.values())}")
    print(
        f"claims: {done} of {len(claims)} done, payouts: {paid} of {len(payouts)} done"
    )
    if gap > MAX_GAP_S:
        faults.append(f"the failover gap exceeds {MAX_GAP_S} s")
    if not done or not paid or not reads["replica"]:
        faults.append("nothing was written or nothing was read from a replica")
    for fault in faults:
        print(f"FAULT: {fault}")
    print("every claim and payout counts once" if not faults else "checks failed")
    return int(bool(faults))


def main() -> None:
    """Runs the demo with warnings only in the log."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    raise SystemExit(run_demo())


if __name__ == "__main__":
    main()
