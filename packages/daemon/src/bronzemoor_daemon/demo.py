"""Demonstration in one process: two daemons, three members, a failover under load.

Run by ``make demo``; exits with 0 only if every check passes.
"""

import json
import socket
import sys
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from threading import Event, Lock, Thread
from typing import Any

from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.settings_schema import ListenSettings
from bronzemoor_daemon.application import Application, make_application
from bronzemoor_daemon.logs import configure_logs
from bronzemoor_daemon.settings import DaemonSettings

ORGANISATION = "reclamar-voo"
DATABASE = "claims-1"
TEMPLATE = {
    "databases": [DATABASE],
    "connections": 40,
    "retry_ratio": 0.5,
    "classes": {
        "file-claim": {"kind": "write", "priority": 1, "deadline": "3s"},
        "payout": {"kind": "write", "repeatable": False, "priority": 0},
        "agent-read": {"kind": "read", "priority": 2},
        "claim-status": {"kind": "read", "max_age": "5s", "priority": 6},
    },
}
FILE_CLAIM = "INSERT INTO claims VALUES (?, 'passenger', 'BZ 1', 'pass', 'filed', ?, ?)"
PAY = "INSERT INTO payouts (claim_id, amount_cents, request_id) VALUES (?, ?, ?)"
READ = "SELECT amount_cents FROM claims WHERE claim_id = ?"
AMOUNT_CENTS = 25_000
WRITERS = 4
# Seconds of load before and after the primary is killed.
BEFORE_KILL = 1.0
AFTER_KILL = 2.0
START_TIMEOUT = 5.0
# A request is sent again under its id until its outcome is known or this has passed.
RESEND_LIMIT = 3.0
PAUSE = 0.010
MAX_GAP = 5.0
MIN_REPLICA_SHARE = 0.8


class DemoClient:
    """Posts statements to one daemon over a kept-alive connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._http: HTTPConnection | None = None

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Returns the answer; a lost one counts as unknown."""
        try:
            if self._http is None:
                self._http = HTTPConnection(*self._address, timeout=10)
            self._http.request("POST", path, json.dumps(body))
            answer = json.loads(self._http.getresponse().read())
        except (OSError, HTTPException, ValueError) as error:
            self._http = None
            return {"outcome": "unknown", "code": type(error).__name__}
        return answer

    def run(
        self, request_class: str, sql: str, params: list[Any], **more: str
    ) -> dict[str, Any]:
        """Sends one statement; a refusal before execution is sent again."""
        body = {
            "organisation": ORGANISATION,
            "database": DATABASE,
            "request_class": request_class,
            "statements": [{"sql": sql, "params": params}],
            **more,
        }
        until = time.monotonic() + RESEND_LIMIT
        while True:
            answer = self.post("/v1/statements", body)
            if answer["outcome"] == "done" or time.monotonic() > until:
                return answer
            time.sleep(max(PAUSE, answer.get("retry_after_ms", 0) / 1000))


@dataclass(slots=True)
class Record:
    """What the writers saw. Times are monotonic seconds of acknowledged writes."""

    claims: set[str] = field(default_factory=set)
    payouts: set[str] = field(default_factory=set)
    uncertain: set[str] = field(default_factory=set)
    acknowledged: list[float] = field(default_factory=list)
    stale_reads: list[str] = field(default_factory=list)
    read_roles: list[str] = field(default_factory=list)
    lock: Lock = field(default_factory=Lock)


class Writer(Thread):
    """Files claims and pays them through one daemon, and reads back through another."""

    def __init__(
        self, number: int, own: DemoClient, other: DemoClient, record: Record
    ) -> None:
        super().__init__(name=f"writer-{number}", daemon=True)
        self._number = number
        self._own, self._other = own, other
        self._record = record
        self.finished = Event()

    def run(self) -> None:
        count = 0
        while not self.finished.is_set():
            count += 1
            self._one(f"claim-{self._number}-{count}")
            time.sleep(PAUSE)

    def _one(self, claim: str) -> None:
        record = self._record
        request_id = f"file-{claim}"
        filed = self._own.run(
            "file-claim",
            FILE_CLAIM,
            [claim, AMOUNT_CENTS, request_id],
            request_id=request_id,
        )
        self._note(filed, claim, record.claims)
        if filed["outcome"] != "done":
            return
        token = filed["session"]
        for request_class in ("agent-read", "claim-status"):
            read = self._other.run(request_class, READ, [claim], session=token)
            with record.lock:
                record.read_roles.append(read.get("role", ""))
                if _rows(read) != [[AMOUNT_CENTS]]:
                    record.stale_reads.append(f"{claim}: {read}")
        request_id = f"pay-{claim}"
        paid = self._own.run(
            "payout",
            PAY,
            [claim, AMOUNT_CENTS, request_id],
            request_id=request_id,
            session=token,
        )
        self._note(paid, request_id, record.payouts)

    def _note(self, answer: dict[str, Any], name: str, known: set[str]) -> None:
        record = self._record
        with record.lock:
            if answer["outcome"] == "done" and answer["code"] == "ok":
                known.add(name)
                record.acknowledged.append(time.monotonic())
            else:
                record.uncertain.add(name)


def _rows(answer: dict[str, Any]) -> Any:
    result = answer.get("result")
    return result[0]["rows"] if result else None


def free_port() -> int:
    """A loopback port that is free at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


def start_daemons() -> list[Application]:
    """Starts ``vm-1``, which forms the control group, and ``vm-2``."""
    peers = {name: f"127.0.0.1:{free_port()}" for name in ("vm-1", "vm-2")}
    daemons = []
    for name, address in peers.items():
        node = NodeSettings(
            name,
            "lisbon",
            control=name == "vm-1",
            peers=peers,
            control_members=("vm-1",),
            token_keys={"demo": b"a key that only the demo uses...."},
        )
        listen = ListenSettings("127.0.0.1:0", address)
        daemons.append(make_application(DaemonSettings(node, listen)))
    for daemon in daemons:
        daemon.start()
    return daemons


def wait_until(condition: Any, what: str) -> None:
    """Raises ``TimeoutError`` unless ``condition`` holds in time."""
    until = time.monotonic() + START_TIMEOUT
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(what)
        time.sleep(PAUSE)


def failover_gap(acknowledged: list[float], killed_at: float) -> float:
    """Longest time between two acknowledged writes around and after the kill."""
    times = sorted(acknowledged)
    before = [moment for moment in times if moment <= killed_at][-1:]
    window = before + [moment for moment in times if moment > killed_at]
    if len(window) < 2:
        return float("inf")
    return max(b - a for a, b in zip(window, window[1:], strict=False))


def count_rows(member: Any) -> tuple[dict[str, int], dict[str, int]]:
    """Claims and payouts in a member's tables by id."""
    from bronzemoor_standin.statements import Sql

    queries = (
        "SELECT claim_id, COUNT(*) FROM claims GROUP BY claim_id",
        "SELECT request_id, COUNT(*) FROM payouts GROUP BY request_id",
    )
    claims, payouts = (
        dict(member.ledger.committed.run([Sql(query, [])])[0]["rows"])
        for query in queries
    )
    return claims, payouts


def verify(record: Record, group: Any) -> list[str]:
    """Returns what is wrong in the members' tables and in the reads."""
    problems = [f"read does not see its write: {item}" for item in record.stale_reads]
    members = [member for member in group.members.values() if member.running]
    for member in members:
        claims, payouts = count_rows(member)
        for kind, seen, acknowledged in (
            ("claim", claims, record.claims),
            ("payout", payouts, record.payouts),
        ):
            name = member.settings.member
            lost = acknowledged - seen.keys()
            doubled = {key for key, number in seen.items() if number != 1}
            unasked = seen.keys() - acknowledged - record.uncertain
            problems += [f"{name}: {kind} lost: {key}" for key in sorted(lost)]
            problems += [f"{name}: {kind} twice: {key}" for key in sorted(doubled)]
            problems += [f"{name}: {kind} unasked: {key}" for key in sorted(unasked)]
    return problems


def run_load(
    daemons: list[Application], group: Any, record: Record
) -> tuple[str, float]:
    """Writes, kills the primary and writes on; returns its name and the gap."""
    writers = []
    for number in range(WRITERS):
        own, other = daemons[number % 2], daemons[(number + 1) % 2]
        clients = DemoClient(own.http_address), DemoClient(other.http_address)
        writers.append(Writer(number, *clients, record))
    for writer in writers:
        writer.start()
    time.sleep(BEFORE_KILL)
    primary = group.primary
    killed_at = time.monotonic()
    primary.kill()
    time.sleep(AFTER_KILL)
    for writer in writers:
        writer.finished.set()
    for writer in writers:
        writer.join(RESEND_LIMIT * 2)
    gap = failover_gap(record.acknowledged, killed_at)
    return primary.settings.member, gap


def demonstrate(daemons: list[Application], group: Any) -> list[str]:
    """Runs the scenario and prints its figures; returns the problems found."""
    admin = DemoClient(daemons[0].http_address)
    change = {"organisation": ORGANISATION, "body": TEMPLATE, "expect_version": 0}
    applied = admin.post("/v1/admin/template.apply", {**change, "change_id": "demo-1"})
    print(f"template applied: {applied.get('code')}, version {applied.get('version')}")
    for daemon in daemons:
        wait_until(lambda d=daemon: _serves(d), "a daemon serves no reads")
    record = Record()
    killed, gap = run_load(daemons, group, record)
    replicas = record.read_roles.count("replica")
    share = replicas / max(1, len(record.read_roles))
    running = [member for member in group.members.values() if member.running]
    wait_until(
        lambda: len({m.ledger.committed.applied for m in running}) == 1,
        "the members did not catch up",
    )
    problems = verify(record, group)
    print(f"claims filed: {len(record.claims)}, paid out: {len(record.payouts)}")
    print(f"outcome unknown to the client: {len(record.uncertain)}")
    print(f"primary killed: {killed}, new primary: {group.primary.settings.member}")
    print(f"failover gap: {gap * 1000:.0f} ms")
    print(f"reads served by replicas: {share:.1%} of {len(record.read_roles)}")
    if not record.claims or not record.payouts:
        problems.append("nothing was written")
    if gap > MAX_GAP:
        problems.append(f"the failover gap exceeds {MAX_GAP} s")
    if share < MIN_REPLICA_SHARE:
        problems.append(
            f"replicas serve less than {MIN_REPLICA_SHARE:.0%} of the reads"
        )
    return problems


def _serves(daemon: Application) -> bool:
    client = DemoClient(daemon.http_address)
    body = {
        "organisation": ORGANISATION,
        "database": DATABASE,
        "request_class": "agent-read",
        "statements": [{"sql": "SELECT COUNT(*) FROM claims"}],
    }
    return daemon.is_ready and client.post("/v1/statements", body)["outcome"] == "done"


def main() -> int:
    """Returns 0 if every check passed."""
    from bronzemoor_standin.group import Group

    configure_logs("ERROR")
    started = time.monotonic()
    daemons = start_daemons()
    addresses = [f"{host}:{port}" for host, port in (d.http_address for d in daemons)]
    group = Group(DATABASE, daemons=addresses, schema="claims")
    group.start()
    try:
        problems = demonstrate(daemons, group)
    finally:
        group.stop()
        for daemon in daemons:
            daemon.kill()
    for problem in problems[:20]:
        print(f"FAILED: {problem}")
    print(f"{'FAILED' if problems else 'passed'} in {time.monotonic() - started:.1f} s")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
