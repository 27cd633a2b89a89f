"""Checks the guarantees on a recorded history and the endpoints' tables.

The tables are read from the primaries after the run, when no fault is active any more.
For a database without tables, only the clients' view of it is checked.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from bronzemoor_standin.evidence import (
    IndexedHistory,
    expected_rows,
    index_history,
    row_counts,
)
from bronzemoor_standin.records import (
    DONE,
    LOST,
    UNKNOWN,
    History,
    Request,
    Tables,
    Work,
)

# A leaving member gets no new request after this time (design, P7).
LEAVING_LIMIT_SECONDS = 2.0
# An accepted configuration is in effect on every daemon after this time (P9).
CONFIGURATION_LIMIT_SECONDS = 3.0
# Longest time between a promotion and its record in the history.
OBSERVATION_DELAY_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated guarantee; ``subject`` is a request, member or daemon."""

    guarantee: str
    subject: str
    message: str


Findings = Iterator[tuple[str, str]]
Checker = Callable[[IndexedHistory], Findings]
CHECKERS: dict[str, Checker] = {}


def checker(guarantee: str) -> Callable[[Checker], Checker]:
    """Registers a checker; it yields a subject and a message for each violation."""

    def register(function: Checker) -> Checker:
        CHECKERS[guarantee] = function
        return function

    return register


def check(history: History, tables: Tables, only: str | None = None) -> list[Violation]:
    """Returns all violations in a history, or those of one guarantee."""
    indexed = index_history(history, tables)
    return [
        Violation(guarantee, subject, message)
        for guarantee, function in CHECKERS.items()
        if only in (None, guarantee)
        for subject, message in function(indexed)
    ]


# Kind of event that a history must contain for a checker to apply.
REQUIRED_EVENTS = {
    "P7 leaving_gets_no_work": "leaving",
    "P8 graceful_stop": "stopping",
    "P9 configuration_never_reverts": "version_seen",
}


def checkable_guarantees(history: History, tables: Tables) -> dict[str, bool]:
    """Returns, for each checker, whether the history has the data that it needs."""
    kinds = {event.kind for event in history.events}
    return {
        name: REQUIRED_EVENTS[name] in kinds
        if name in REQUIRED_EVENTS
        else bool(history.requests) and (bool(tables) or name not in _REQUIRE_TABLES)
        for name in CHECKERS
    }


_REQUIRE_TABLES = frozenset(
    ("P2 no_deposed_ack", "P3 transaction_isolation", "P5 not_run_is_true")
    + ("P6 at_most_once", "exactly_as_written")
)


# --- P1


@checker("P1 read_your_writes")
def read_your_writes(indexed: IndexedHistory) -> Findings:
    """A read returns the session's last acknowledged write of a key, or a later one."""
    writes: dict[tuple[str, str], list[Request]] = {}
    for write in _effective_writes(indexed):
        for key in write.wrote:
            writes.setdefault((write.database, key), []).append(write)
    for read in indexed.history.requests:
        if read.outcome != DONE or read.transaction:
            continue
        for key, seen in read.read.items():
            key_writes = writes.get((read.database, key), [])
            own_writes = [
                w
                for w in key_writes
                if w.session == read.session
                and w.outcome == DONE
                and w.answered_at <= read.sent_at
            ]
            if not own_writes:
                continue
            last = max(own_writes, key=lambda w: w.sent_at)
            allowed = [
                w.wrote[key] for w in key_writes if _may_be_visible(w, last, read)
            ]
            if seen not in allowed:
                yield read.request_id, f"{key} is {seen!r}, wrote {last.wrote[key]!r}"


def _effective_writes(indexed: IndexedHistory) -> Iterator[Request]:
    """Writes that may have had an effect; those of a transaction at its commit."""
    commits = {
        (r.database, r.transaction): r
        for r in indexed.history.requests
        if r.kind == "commit" and r.outcome in (DONE, UNKNOWN, LOST)
    }
    for request in indexed.history.requests:
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


def _may_be_visible(write: Request, last: Request, read: Request) -> bool:
    """Whether ``write`` can be the newest one that a read after ``last`` returns."""
    if write is last:
        return True
    finished_at = write.answered_at if write.outcome == DONE else float("inf")
    return finished_at > last.sent_at and write.sent_at < read.answered_at


# --- P2


@checker("P2 no_deposed_ack")
def no_deposed_ack(indexed: IndexedHistory) -> Findings:
    """Acknowledged writes survive, and no replaced primary acknowledges one."""
    for work in indexed.units:
        if not work.acknowledged:
            continue
        for table, expected, stored in row_counts(indexed, work):
            if stored < expected:
                yield work.name, f"acknowledged, but {stored} of {expected} in {table}"
    promotions = indexed.events("promoted")
    for request in indexed.history.requests:
        if request.outcome != DONE or not request.served_by or request.repeated:
            continue
        acknowledges = request.kind == "commit" or (
            request.write and not request.transaction
        )
        relevant = [p for p in promotions if p.database == request.database]
        if not acknowledges or not relevant or request.sent_at < relevant[0].at:
            continue
        primary_at_send = [p.name for p in relevant if p.at <= request.sent_at][-1:]
        until = request.answered_at + OBSERVATION_DELAY_SECONDS
        promoted_meanwhile = [
            p.name for p in relevant if request.sent_at < p.at <= until
        ]
        if request.served_by not in primary_at_send + promoted_meanwhile:
            yield request.request_id, f"acknowledged by {request.served_by}"


# --- P3


@checker("P3 transaction_isolation")
def transaction_isolation(indexed: IndexedHistory) -> Findings:
    """Transactions are atomic and invisible to others before their commit."""
    for work in indexed.units:
        if work.is_transaction:
            yield from _partial_transaction(indexed, work)
    yield from _dirty_reads(indexed)
    yield from _balance_mismatches(indexed)


def _partial_transaction(indexed: IndexedHistory, work: Work) -> Findings:
    counts = list(row_counts(indexed, work))
    stored_counts = [stored for _, _, stored in counts if stored]
    if not work.attempts and stored_counts:
        yield work.name, "was not committed, but rows are stored"
    elif stored_counts and any(stored < expected for _, expected, stored in counts):
        yield work.name, "only a part of the transaction is stored"


def _dirty_reads(indexed: IndexedHistory) -> Findings:
    committed_at: dict[tuple[str, str], float] = {}
    for request in indexed.history.requests:
        if request.kind == "commit":
            key = (request.database, request.transaction)
            sent = committed_at.get(key, float("inf"))
            committed_at[key] = min(sent, request.sent_at)
    pending: dict[tuple[str, str, str], tuple[str, float]] = {}
    for request in indexed.history.requests:
        if request.transaction:
            transaction = (request.database, request.transaction)
            committed = committed_at.get(transaction, float("inf"))
            for name, value in request.wrote.items():
                written = (request.database, name, repr(value))
                pending[written] = (request.transaction, committed)
    for read in indexed.history.requests:
        for name, seen in read.read.items():
            found = pending.get((read.database, name, repr(seen)))
            if found is None or found[0] == read.transaction:
                continue
            if read.outcome == DONE and read.answered_at < found[1]:
                yield read.request_id, f"saw {name} of uncommitted {found[0]}"


def _balance_mismatches(indexed: IndexedHistory) -> Findings:
    for balance in indexed.history.balances:
        for database, tables in indexed.tables.items():
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
def whole_answer(indexed: IndexedHistory) -> Findings:
    """Each answer is complete and belongs to its request."""
    for request in indexed.history.requests:
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
def not_run_is_true(indexed: IndexedHistory) -> Findings:
    """A unit of work that failed or was reported as not run has left no row."""
    for work in indexed.units:
        if work.attempts and work.never_ran:
            for table, _, stored in row_counts(indexed, work):
                if stored:
                    yield work.name, f"reported as not run, but stored in {table}"


@checker("P6 at_most_once")
def at_most_once(indexed: IndexedHistory) -> Findings:
    """No request is executed twice, whichever messages were lost."""
    for work in indexed.units:
        for table, expected, stored in row_counts(indexed, work):
            if stored > expected:
                yield work.name, f"{stored} instead of {expected} rows in {table}"


@checker("exactly_as_written")
def exactly_as_written(indexed: IndexedHistory) -> Findings:
    """Stored rows hold the values that were sent."""
    for work in indexed.units:
        for table, request_id, rows in expected_rows(indexed, work):
            unmatched = list(indexed.stored_rows(work, table, request_id))
            for row in rows:
                matches = [r for r in unmatched if row.values.items() <= r.items()]
                if matches:
                    unmatched.remove(matches[0])
                elif unmatched:
                    yield work.name, f"{table} holds {unmatched[0]!r}"


# --- P7 to P9


@checker("P7 leaving_gets_no_work")
def leaving_gets_no_work(indexed: IndexedHistory) -> Findings:
    """A leaving member gets no new request after the limit."""
    returned = indexed.events("returned")
    for event in indexed.events("leaving"):
        return_times = [
            r.at for r in returned if r.name == event.name and r.at > event.at
        ]
        until = min(return_times, default=float("inf"))
        for request in indexed.history.requests:
            is_new = not request.transaction or request.kind == "begin"
            if (
                is_new
                and request.database == event.database
                and request.served_by == event.name
                and event.at + LEAVING_LIMIT_SECONDS < request.sent_at < until
            ):
                late = request.sent_at - event.at
                yield request.request_id, f"served by {event.name} {late:.2f} s later"


@checker("P8 graceful_stop")
def graceful_stop(indexed: IndexedHistory) -> Findings:
    """A daemon that stops gracefully answers every request it has received."""
    for event in indexed.events("stopping"):
        until = event.until if event.until is not None else float("inf")
        for request in indexed.history.requests:
            if (
                request.daemon == event.name
                and request.outcome == LOST
                and request.sent_at <= until
                and request.answered_at >= event.at
            ):
                yield request.request_id, f"interrupted by the stop of {event.name}"


@checker("P9 configuration_never_reverts")
def configuration_never_reverts(indexed: IndexedHistory) -> Findings:
    """Versions in effect never decrease and reach every daemon within the limit."""
    accepted = indexed.events("version_accepted")
    highest: dict[tuple[str, str], int] = {}
    for event in indexed.events("version_seen"):
        key = (event.name, event.organisation)
        if event.version < highest.get(key, 0):
            yield event.name, f"reverted from {highest[key]} to {event.version}"
        highest[key] = max(highest.get(key, 0), event.version)
        due_versions = [
            a.version
            for a in accepted
            if a.organisation == event.organisation
            and a.at + CONFIGURATION_LIMIT_SECONDS < event.at
        ]
        if not event.stale and event.version < max(due_versions, default=0):
            yield event.name, f"still at {event.version}, accepted {max(due_versions)}"
