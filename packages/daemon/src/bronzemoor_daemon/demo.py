"""Demo: runs a complete system in one process and kills its primary under load."""

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
BEFORE_FAILURE_SECONDS = 1.5
AFTER_FAILURE_SECONDS = 2.5
# Upper bound on the failover gap, from the users' requirements.
MAX_GAP_SECONDS = 5.0


@dataclass(slots=True)
class WriterLog:
    """Outcomes that one writer and its reads observed."""

    acknowledged: list[float] = field(default_factory=list)
    claims: dict[str, str] = field(default_factory=dict)
    payouts: dict[str, str] = field(default_factory=dict)
    wrong_reads: list[str] = field(default_factory=list)
    reads: dict[str, int] = field(default_factory=dict)

    def count_read(self, answer: dict[str, Any]) -> None:
        if answer["outcome"] == "done":
            role = answer.get("role", "")
            self.reads[role] = self.reads.get(role, 0) + 1


def file_claims(client: Client, writer: int, log: WriterLog, stopped: Event) -> None:
    """Files claims and payouts; reads each claim back through the other daemon."""
    number = 0
    while not stopped.is_set():
        number += 1
        claim, daemon = f"claim-{writer}-{number}", number % 2
        key = f"request-{claim}"
        answer = client.write(
            daemon, "file-claim", FILE_CLAIM, [claim, "Ana", key], key
        )
        log.claims[claim] = answer["outcome"]
        if answer["outcome"] == "done":
            log.acknowledged.append(monotonic())
            read_back(client, 1 - daemon, claim, key, log)
        if number % 3 == 0:
            key = f"payout-{claim}"
            answer = client.write(daemon, "payout", PAY_OUT, [claim, key], key)
            log.payouts[key] = answer["outcome"]
        status = client.run(1 - daemon, "claim-status", COUNT_CLAIMS)
        log.count_read(status)


def read_back(
    client: Client, daemon: int, claim: str, key: str, log: WriterLog
) -> None:
    """Checks that a read in the same session returns the claim as written."""
    answer = client.run(daemon, "agent-read", READ_CLAIM, [claim])
    log.count_read(answer)
    if answer["outcome"] == "done":
        rows = answer["result"][0]["rows"]
        if rows != [[claim, "Ana", key]]:
            log.wrong_reads.append(f"{claim}: {rows}")


def largest_gap(times: list[float]) -> float:
    """Returns the longest time in seconds between successive acknowledgements."""
    ordered = sorted(times)
    return max(
        (later - earlier for earlier, later in zip(ordered, ordered[1:], strict=False)),
        default=float("inf"),
    )


def count_rows(member: Member, sql: str) -> dict[str, int]:
    """Counts rows by key, read directly from a member's tables."""
    rows = member.ledger.committed.run([Sql(sql, [])])[0]["rows"]
    return {str(key): int(count) for key, count in rows}


def find_all_faults(
    system: EmbeddedSystem, claims: dict[str, str], payouts: dict[str, str]
) -> list[str]:
    """Checks the tables of every running member once all have applied the same log."""
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


def find_faults(
    outcomes: dict[str, str], rows: dict[str, int], label: str
) -> list[str]:
    """Compares the outcomes reported to clients with the rows in the tables."""
    faults = []
    for key, outcome in outcomes.items():
        count = rows.get(key, 0)
        if count > 1:
            faults.append(f"{label} {key} is stored {count} times")
        if outcome == "done" and count == 0:
            faults.append(f"{label} {key} was acknowledged but is lost")
        if outcome == "not_run" and count:
            faults.append(f"{label} {key} was reported as not run but ran")
    faults += [f"{label} {key} was never sent" for key in rows.keys() - outcomes.keys()]
    return faults


def run_demo() -> int:
    """Runs the demo; returns 0 if every check passed, otherwise 1."""
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
    """Kills the primary while clients write; returns the exit status of the demo."""
    logs = [WriterLog() for _ in range(WRITERS)]
    stopped = Event()
    threads = [
        Thread(
            target=file_claims,
            args=(system.client(ORGANISATION), writer, log, stopped),
        )
        for writer, log in enumerate(logs)
    ]
    for thread in threads:
        thread.start()
    sleep(BEFORE_FAILURE_SECONDS)
    old_primary = system.primary
    system.members[old_primary].kill()
    killed = monotonic()
    print(f"killed the primary {old_primary}")
    sleep(AFTER_FAILURE_SECONDS)
    stopped.set()
    for thread in threads:
        thread.join()
    return report(system, logs, killed, old_primary)


def report(
    system: EmbeddedSystem, logs: list[WriterLog], killed: float, old_primary: str
) -> int:
    """Prints the measurements and checks the tables; returns the exit status."""
    acknowledged = [time for log in logs for time in log.acknowledged]
    claims = {key: outcome for log in logs for key, outcome in log.claims.items()}
    payouts = {key: outcome for log in logs for key, outcome in log.payouts.items()}
    reads = {
        role: sum(log.reads.get(role, 0) for log in logs)
        for role in ("replica", "primary")
    }
    gap = largest_gap([time for time in acknowledged if time > killed - 0.5])
    system.wait_for(lambda: system.primary not in ("", old_primary))
    faults = find_all_faults(system, claims, payouts)
    faults += [read for log in logs for read in log.wrong_reads]
    share = reads["replica"] / max(1, sum(reads.values()))
    done = sum(outcome == "done" for outcome in claims.values())
    paid = sum(outcome == "done" for outcome in payouts.values())
    print(f"new primary: {system.primary}")
    print(f"failover gap: {gap * 1000:.0f} ms")
    print(f"reads served by replicas: {share:.1%} of {sum(reads.values())}")
    print(
        f"claims: {done} of {len(claims)} done, payouts: {paid} of {len(payouts)} done"
    )
    if gap > MAX_GAP_SECONDS:
        faults.append(f"the failover gap exceeds {MAX_GAP_SECONDS} s")
    if not done or not paid or not reads["replica"]:
        faults.append(
            "no claim or payout was written, or no read was served by a replica"
        )
    for fault in faults:
        print(f"FAULT: {fault}")
    print("every claim and payout is stored once" if not faults else "checks failed")
    return int(bool(faults))


def main() -> None:
    """Runs the demo with the log limited to errors."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    raise SystemExit(run_demo())


if __name__ == "__main__":
    main()
