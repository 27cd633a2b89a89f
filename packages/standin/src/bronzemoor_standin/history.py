"""Checkers of the guarantees over a recorded history and the endpoints' tables.

The tables are read from the primaries after the run, when all faults are healed.
Without the tables of a database, only what callers saw of it is checked.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from bronzemoor_standin.evidence import Evidence, expected_rows, gather, row_counts
from bronzemoor_standin.records import (
    DONE,
    LOST,
    UNKNOWN,
    History,
    Request,
    Tables,
    Work,
)

# A leaving member gets no new work after this time, in seconds (design, P7).
LEAVING_LIMIT = 2.0
# An accepted configuration is in effect everywhere after this time, in seconds (P9).
CONFIGURATION_LIMIT = 3.0
# A promotion is noted at most this much after it took place, in seconds.
OBSERVATION_DELAY = 1.0


@dataclass(slots=True, frozen=True)
class Violation:
    """A guarantee that a history breaks; ``subject`` is a request, member or daemon."""

    guarantee: str
    subject: str
    message: str


Findings = Iterator[tuple[str, str]]
Checker = Callable[[Evidence], Findings]
CHECKERS: dict[str, Checker] = {}


def checker(guarantee: str) -> Callable[[Checker], Checker]:
    """Registers a checker; it yields a subject and a message for each violation."""

    def register(function: Checker) -> Checker:
        CHECKERS[guarantee] = function
        return function

    return register


def check(history: History, tables: Tables, only: str | None = None) -> list[Violation]:
    """All violations in a history, or those of one guarantee."""
    evidence = gather(history, tables)
    return [
        Violation(guarantee, subject, message)
        for guarantee, function in CHECKERS.items()
        if only in (None, guarantee)
        for subject, message in function(evidence)
    ]


# Kinds of events without which a checker has nothing to judge.
NEEDED_EVENTS = {
    "P7 leaving_gets_no_work": "leaving",
    "P8 graceful_stop": "stopping",
    "P9 configuration_never_reverts": "version_seen",
}


def judged(history: History, tables: Tables) -> dict[str, bool]:
    """Whether a history holds what each checker needs to find a violation."""
    kinds = {event.kind for event in history.events}
    return {
        name: NEEDED_EVENTS[name] in kinds
        if name in NEEDED_EVENTS
        else bool(history.requests) and (bool(tables) or name not in _NEED_TABLES)
        for name in CHECKERS
    }


_NEED_TABLES = frozenset(
    ("P2 no_deposed_ack", "P3 transaction_isolation", "P5 not_run_is_true")
    + ("P6 at_most_once", "exactly_as_written")
)


# --- P1


@checker("P1 read_your_writes")
def read_your_writes(evidence: Evidence) -> Findings:
    """A read sees the session's last acknowledged write of a key, or a later one."""
    writes: dict[tuple[str, str], list[Request]] = {}
    for write in _effective_writes(evidence):
        for key in write.wrote:
            writes.setdefault((write.database, key), []).append(write)
    for read in evidence.history.requests:
        if read.outcome != DONE or read.transaction:
            continue
        for key, seen in read.read.items():
            known = writes.get((read.database, key), [])
            own = [
                w
                for w in known
                if w.session == read.session
                and w.outcome == DONE
                and w.answered_at <= read.sent_at
            ]
            if not own:
                continue
            last = max(own, key=lambda w: w.sent_at)
            allowed = [w.wrote[key] for w in known if _may_follow(w, last, read)]
            if seen not in allowed:
                yield read.request_id, f"{key} is {seen!r}, wrote {last.wrote[key]!r}"


def _effective_writes(evidence: Evidence) -> Iterator[Request]:
    """Writes that may have had an effect; those of a transaction at its commit."""
    commits = {
        (r.database, r.transaction): r
        for r in evidence.history.requests
        if r.kind == "commit" and r.outcome in (DONE, UNKNOWN, LOST)
    }
    for request in evidence.history.requests:
        if not request.wrote or request.outcome not in (DONE, UNKNOWN, LOST):
            continue
        if not request.transaction:
            yield request
            continue
        commit = commits.get((request.database, request.transaction))
        if commit is not None:
            yield Request(
                request.session,
                request.database,
                commit.request_id,
                sent_at=commit.sent_at,
                answered_at=commit.answered_at,
                outcome=commit.outcome,
                wrote=request.wrote,
            )


def _may_follow(write: Request, last: Request, read: Request) -> bool:
    """Whether ``write`` can be the newest one that a read after ``last`` sees."""
    if write is last:
        return True
    ended = write.answered_at if write.outcome == DONE else float("inf")
    return ended > last.sent_at and write.sent_at < read.answered_at


# --- P2


@checker("P2 no_deposed_ack")
def no_deposed_ack(evidence: Evidence) -> Findings:
    """Acknowledged writes survive, and no replaced primary acknowledges one."""
    for work in evidence.works:
        if not work.acknowledged:
            continue
        for table, expected, stored in row_counts(evidence, work):
            if stored < expected:
                yield work.name, f"acknowledged, but {stored} of {expected} in {table}"
    promotions = evidence.events("promoted")
    for request in evidence.history.requests:
        if request.outcome != DONE or not request.served_by or request.repeated:
            continue
        acknowledges = request.kind == "commit" or (
            request.write and not request.transaction
        )
        relevant = [p for p in promotions if p.database == request.database]
        if not acknowledges or not relevant or request.sent_at < relevant[0].at:
            continue
        before = [p.name for p in relevant if p.at <= request.sent_at][-1:]
        until = request.answered_at + OBSERVATION_DELAY
        during = [p.name for p in relevant if request.sent_at < p.at <= until]
        if request.served_by not in before + during:
            yield request.request_id, f"acknowledged by {request.served_by}"


# --- P3


@checker("P3 transaction_isolation")
def transaction_isolation(evidence: Evidence) -> Findings:
    """Transactions take effect as a whole and are not seen before their commit."""
    for work in evidence.works:
        if work.is_transaction:
            yield from _not_atomic(evidence, work)
    yield from _dirty_reads(evidence)
    yield from _wrong_balances(evidence)


def _not_atomic(evidence: Evidence, work: Work) -> Findings:
    counts = list(row_counts(evidence, work))
    present = [stored for _, _, stored in counts if stored]
    if not work.attempts and present:
        yield work.name, "was not committed, but rows are stored"
    elif present and any(stored < expected for _, expected, stored in counts):
        yield work.name, "only a part of the transaction is stored"


def _dirty_reads(evidence: Evidence) -> Findings:
    committed_at: dict[tuple[str, str], float] = {}
    for request in evidence.history.requests:
        if request.kind == "commit":
            key = (request.database, request.transaction)
            sent = committed_at.get(key, float("inf"))
            committed_at[key] = min(sent, request.sent_at)
    pending: dict[tuple[str, str, str], tuple[str, float]] = {}
    for request in evidence.history.requests:
        if request.transaction:
            transaction = (request.database, request.transaction)
            committed = committed_at.get(transaction, float("inf"))
            for name, value in request.wrote.items():
                place = (request.database, name, repr(value))
                pending[place] = (request.transaction, committed)
    for read in evidence.history.requests:
        for name, seen in read.read.items():
            found = pending.get((read.database, name, repr(seen)))
            if found is None or found[0] == read.transaction:
                continue
            if read.outcome == DONE and read.answered_at < found[1]:
                yield read.request_id, f"saw {name} of uncommitted {found[0]}"


def _wrong_balances(evidence: Evidence) -> Findings:
    for balance in evidence.history.balances:
        for database, tables in evidence.tables.items():
            if balance.table not in tables or balance.source not in tables:
                continue
            sums: Counter[tuple[Any, ...]] = Counter()
            for row in tables[balance.source]:
                sums[tuple(row[k] for k in balance.keys)] += row[balance.change]
            for row in tables[balance.table]:
                keys = tuple(row[k] for k in balance.keys)
                if row[balance.value] != sums[keys]:
                    message = f"{balance.value} {row[balance.value]}, sum {sums[keys]}"
                    yield f"{database}.{balance.table} {keys}", message


# --- P4


@checker("P4 whole_answer")
def whole_answer(evidence: Evidence) -> Findings:
    """Each answer is complete and belongs to its request."""
    for request in evidence.history.requests:
        if request.outcome != DONE or request.kind != "statements":
            continue
        result = request.result
        if not isinstance(result, list) or len(result) != request.statements:
            yield request.request_id, f"expected {request.statements} results"
            continue
        for part in result:
            rows, width = part.get("rows", []), len(part.get("columns", []))
            if width and part.get("row_count") != len(rows):
                yield request.request_id, "row count and rows differ"
            if any(len(row) != width for row in rows):
                yield request.request_id, "a row is incomplete"
            if request.echo and any(row and row[0] != request.echo for row in rows):
                yield request.request_id, f"answer to another request: {rows[0][0]}"


# --- P5, P6 and values


@checker("P5 not_run_is_true")
def not_run_is_true(evidence: Evidence) -> Findings:
    """What was always answered by "not run", or failed, has left no row."""
    for work in evidence.works:
        if work.attempts and work.never_ran:
            for table, _, stored in row_counts(evidence, work):
                if stored:
                    yield work.name, f"reported as not run, but stored in {table}"


@checker("P6 at_most_once")
def at_most_once(evidence: Evidence) -> Findings:
    """No request is executed twice, whatever was lost on the way."""
    for work in evidence.works:
        for table, expected, stored in row_counts(evidence, work):
            if stored > expected:
                yield work.name, f"{stored} instead of {expected} rows in {table}"


@checker("exactly_as_written")
def exactly_as_written(evidence: Evidence) -> Findings:
    """Stored rows have the values that were sent."""
    for work in evidence.works:
        for table, request_id, rows in expected_rows(evidence, work):
            left = list(evidence.stored(work, table, request_id))
            for row in rows:
                same = [r for r in left if row.values.items() <= r.items()]
                if same:
                    left.remove(same[0])
                elif left:
                    yield work.name, f"{table} holds {left[0]!r}"


# --- P7 to P9


@checker("P7 leaving_gets_no_work")
def leaving_gets_no_work(evidence: Evidence) -> Findings:
    """A leaving member gets no new request after the limit."""
    returned = evidence.events("returned")
    for event in evidence.events("leaving"):
        back = [r.at for r in returned if r.name == event.name and r.at > event.at]
        until = min(back, default=float("inf"))
        for request in evidence.history.requests:
            is_new = not request.transaction or request.kind == "begin"
            if (
                is_new
                and request.database == event.database
                and request.served_by == event.name
                and event.at + LEAVING_LIMIT < request.sent_at < until
            ):
                late = request.sent_at - event.at
                yield request.request_id, f"served by {event.name} {late:.2f} s later"


@checker("P8 graceful_stop")
def graceful_stop(evidence: Evidence) -> Findings:
    """A daemon that stops gracefully answers every request it has received."""
    for event in evidence.events("stopping"):
        until = event.until if event.until is not None else float("inf")
        for request in evidence.history.requests:
            if (
                request.daemon == event.name
                and request.outcome == LOST
                and request.sent_at <= until
                and request.answered_at >= event.at
            ):
                yield request.request_id, f"interrupted by the stop of {event.name}"


@checker("P9 configuration_never_reverts")
def configuration_never_reverts(evidence: Evidence) -> Findings:
    """Versions in effect never decrease and reach every daemon within the limit."""
    accepted = evidence.events("version_accepted")
    highest: dict[tuple[str, str], int] = {}
    for event in evidence.events("version_seen"):
        key = (event.name, event.organisation)
        if event.version < highest.get(key, 0):
            yield event.name, f"reverted from {highest[key]} to {event.version}"
        highest[key] = max(highest.get(key, 0), event.version)
        due = [
            a.version
            for a in accepted
            if a.organisation == event.organisation
            and a.at + CONFIGURATION_LIMIT < event.at
        ]
        if not event.stale and event.version < max(due, default=0):
            yield event.name, f"still at {event.version}, accepted {max(due)}"
