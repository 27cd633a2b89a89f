"""Records of client requests and their answers, for the history checkers."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

# Outcomes that a daemon reports.
DONE = "done"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
# Outcomes that a client determines itself: a statement failed, the connection was lost
# after the request was sent, or nothing could be sent.
FAILED = "failed"
LOST = "lost"
NOT_SENT = "not_sent"
NEVER_RAN_OUTCOMES = frozenset((NOT_RUN, NOT_SENT, FAILED))

# Rows by database and table name.
Tables = dict[str, dict[str, list[dict[str, Any]]]]


@dataclass(slots=True)
class Row:
    """A row that a write inserts; ``values`` includes its ``request_id``."""

    table: str
    values: dict[str, Any]


@dataclass(slots=True)
class Request:
    """One attempt of a request; a retry has the same ``request_id``.

    Times are in seconds on one clock for the whole history. ``transaction`` is the
    client's own label of the transaction that the request belongs to.
    """

    session: str
    database: str
    request_id: str
    kind: str = "statements"  # statements, begin, commit or rollback
    operation: str = ""
    daemon: str = ""
    write: bool = False
    repeatable: bool = True
    transaction: str = ""
    intended_at: float = 0.0
    sent_at: float = 0.0
    answered_at: float = 0.0
    outcome: str = DONE
    code: str = ""
    served_by: str = ""
    role: str = ""
    repeated: bool = False
    # Number of statements, their results, and the value of every row's first column.
    statements: int = 0
    result: list[dict[str, Any]] | None = None
    echo: str = ""
    # Rows inserted, and keys with the values written and read (None: no such row).
    rows: list[Row] = field(default_factory=list)
    wrote: dict[str, Any] = field(default_factory=dict)
    read: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Event:
    """A change of a daemon, a member or a configuration.

    Kinds: ``leaving`` and ``returned`` (member ``name``), ``promoted`` (member ``name``
    leads ``term``), ``stopping`` (daemon ``name`` shuts down gracefully, gone
    at ``until``), ``version_accepted`` and ``version_seen`` (``version`` of
    ``organisation``, observed at daemon ``name``, which may report it as ``stale``).
    """

    kind: str
    at: float
    name: str = ""
    database: str = ""
    term: int = 0
    organisation: str = ""
    version: int = 0
    stale: bool = False
    until: float | None = None


@dataclass(slots=True)
class Balance:
    """Requires ``table.value`` to be the sum of ``source.change`` by ``keys``."""

    table: str
    keys: tuple[str, ...]
    value: str
    source: str
    change: str


@dataclass(slots=True)
class History:
    """All requests and events of a run, in any order."""

    requests: list[Request] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    balances: list[Balance] = field(default_factory=list)


@dataclass(slots=True)
class Work:
    """A unit of work: a request with its retries, or a transaction."""

    name: str
    database: str
    attempts: list[Request]
    rows: list[Row]
    is_transaction: bool = False

    @property
    def acknowledged(self) -> bool:
        return any(attempt.outcome == DONE for attempt in self.attempts)

    @property
    def never_ran(self) -> bool:
        """Whether every attempt was reported as not run, failed or was never sent."""
        return all(attempt.outcome in NEVER_RAN_OUTCOMES for attempt in self.attempts)


def units_of_work(history: History) -> Iterator[Work]:
    """Yields the units that write; a transaction's attempts are its commits."""
    single: dict[tuple[str, str], list[Request]] = {}
    transactions: dict[tuple[str, str], list[Request]] = {}
    for request in history.requests:
        if request.transaction:
            key = (request.database, request.transaction)
            transactions.setdefault(key, []).append(request)
        elif request.write:
            key = (request.database, request.request_id)
            single.setdefault(key, []).append(request)
    for (database, name), attempts in single.items():
        yield Work(name, database, attempts, attempts[0].rows)
    for (database, name), parts in transactions.items():
        commits = [part for part in parts if part.kind == "commit"]
        done = [part for part in parts if part.outcome == DONE]
        rows = [row for part in done for row in part.rows]
        yield Work(name, database, commits, rows, is_transaction=True)


def encode(history: History) -> Iterator[str]:
    """Yields one line of JSON for each record."""
    for name in ("requests", "events", "balances"):
        for record in getattr(history, name):
            yield json.dumps({"record": name, **asdict(record)})


def decode(lines: Iterable[str]) -> History:
    """Decodes lines of JSON; raises ``ValueError`` or ``TypeError``."""
    history = History()
    for line in lines:
        fields = json.loads(line)
        name = fields.pop("record")
        if name == "requests":
            fields["rows"] = [Row(**row) for row in fields["rows"]]
            history.requests.append(Request(**fields))
        elif name == "events":
            history.events.append(Event(**fields))
        else:
            fields["keys"] = tuple(fields["keys"])
            history.balances.append(Balance(**fields))
    return history
