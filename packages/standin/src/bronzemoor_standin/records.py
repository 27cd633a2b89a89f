"""Records of what callers asked and were answered, for the history checkers."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

# Outcomes of a daemon, and those that a caller finds itself: the statements failed,
# the connection was lost after the request was sent, or nothing could be sent.
DONE, NOT_RUN, UNKNOWN = "done", "not_run", "unknown"
FAILED, LOST, NOT_SENT = "failed", "lost", "not_sent"
NEVER_RAN = frozenset((NOT_RUN, NOT_SENT, FAILED))

# Rows of every table by database and table name.
Tables = dict[str, dict[str, list[dict[str, Any]]]]


@dataclass(slots=True)
class Row:
    """A row that a write inserts; ``values`` includes its ``request_id``."""

    table: str
    values: dict[str, Any]


@dataclass(slots=True)
class Request:
    """One attempt of a request; a resend has the same ``request_id``.

    Times are in seconds on one clock for the whole history. ``transaction`` is the
    caller's own label of the transaction that the request belongs to.
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
    # Number of statements, the results, and what the first column of each row is.
    statements: int = 0
    result: list[dict[str, Any]] | None = None
    echo: str = ""
    # Rows inserted, and keys with the values written and seen (None: not there).
    rows: list[Row] = field(default_factory=list)
    wrote: dict[str, Any] = field(default_factory=dict)
    read: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Event:
    """Something that happened to a daemon, a member or a configuration.

    kinds: ``leaving`` and ``returned`` (member ``name``), ``promoted`` (member ``name``
    leads ``term``), ``stopping`` (daemon ``name`` stops gracefully, gone at ``until``),
    ``version_accepted`` and ``version_seen`` (``version`` of ``organisation``, seen in
    effect at daemon ``name``, which may admit to be ``stale``).
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
    """``table.value`` must be the sum of ``source.change`` over the same ``keys``."""

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
    """What was asked as a unit: a request with its resends, or a transaction."""

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
        """Whether every attempt was answered by "not run" or never sent."""
        return all(attempt.outcome in NEVER_RAN for attempt in self.attempts)


def works(history: History) -> Iterator[Work]:
    """The units of writing in a history; a transaction's attempts are its commits."""
    plain: dict[tuple[str, str], list[Request]] = {}
    transactions: dict[tuple[str, str], list[Request]] = {}
    for request in history.requests:
        if request.transaction:
            key = (request.database, request.transaction)
            transactions.setdefault(key, []).append(request)
        elif request.write:
            key = (request.database, request.request_id)
            plain.setdefault(key, []).append(request)
    for (database, name), attempts in plain.items():
        yield Work(name, database, attempts, attempts[0].rows)
    for (database, name), parts in transactions.items():
        commits = [part for part in parts if part.kind == "commit"]
        done = [part for part in parts if part.outcome == DONE]
        rows = [row for part in done for row in part.rows]
        yield Work(name, database, commits, rows, is_transaction=True)


def encode(history: History) -> Iterator[str]:
    """One JSON line for each record."""
    for name in ("requests", "events", "balances"):
        for record in getattr(history, name):
            yield json.dumps({"record": name, **asdict(record)})


def decode(lines: Iterable[str]) -> History:
    """The history of JSON lines; raises ``ValueError`` or ``TypeError``."""
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
