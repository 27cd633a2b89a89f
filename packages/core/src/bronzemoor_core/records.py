"""Records of the replicated state and their representation in snapshots."""

from typing import Any

from msgspec import Struct, field
from msgspec.structs import asdict

from bronzemoor_core.blackboard import section
from bronzemoor_core.wire.records import WireRecords, wire_records


class TemplateEntry(Struct):
    """One version of a template; ``at`` is the proposer's wall-clock time, seconds."""

    version: int
    body: dict[str, Any]
    operator: str
    at: float
    change_id: str


class ChangeRecord(Struct):
    """The recorded result of a change id; ``digest`` covers the command's arguments."""

    digest: str
    result: dict[str, Any]


class FailoverPlan(Struct):
    """A promotion in progress; ``step`` is ``started`` or ``chosen``.

    ``kind`` is ``failover``, ``handover`` or ``appointment``.
    """

    kind: str
    old_term: int
    new_term: int
    change_id: str
    reason: str = ""
    target: str = ""
    step: str = "started"
    chosen: str = ""
    start_offset: int = 0
    at: float = 0.0


class DatabaseRecord(Struct):
    """Committed state of one database group.

    ``group`` determines majorities. ``version`` increases with every change.
    """

    name: str
    term: int = 0
    primary: str = ""
    group: tuple[str, ...] = ()
    history: dict[int, int] = field(default_factory=dict)
    plan: FailoverPlan | None = None
    draining: tuple[str, ...] = ()
    version: int = 0

    @property
    def fenced(self) -> bool:
        """Whether a promotion is in progress, so that no write may start."""
        return self.plan is not None

    @property
    def highest_term(self) -> int:
        """The highest term ever assigned to this database."""
        return max(self.term, self.plan.new_term if self.plan else 0)


class KeyRecord(Struct):
    """A session token key; ``secret`` is hexadecimal, ``serial`` grows per rotation."""

    serial: int
    key_id: str
    secret: str
    at: float


@section("state")
class State:
    """The applied state, identical on every control member at ``applied_index``."""

    __slots__ = ("applied_index", "changes", "databases", "keys", "templates", "wire")

    def __init__(self) -> None:
        self.applied_index = 0
        # Versions by organisation, oldest first.
        self.templates: dict[str, list[TemplateEntry]] = {}
        # Change ids by organisation, oldest first; "" is for commands without one.
        self.changes: dict[str, dict[str, ChangeRecord]] = {}
        self.databases: dict[str, DatabaseRecord] = {}
        # Newest first; the first one signs.
        self.keys: list[KeyRecord] = []
        # State of the statement protocol's control plane.
        self.wire = WireRecords()

    @property
    def versions(self) -> dict[str, int]:
        """The current version of each organisation's template."""
        return {name: entries[-1].version for name, entries in self.templates.items()}


def to_snapshot(state: Any) -> dict[str, Any]:
    """Returns the state as plain JSON values."""
    return {
        "templates": {k: [asdict(e) for e in v] for k, v in state.templates.items()},
        "changes": {
            organisation: [[k, c.digest, c.result] for k, c in changes.items()]
            for organisation, changes in state.changes.items()
        },
        "databases": [_database_to_dict(record) for record in state.databases.values()],
        "keys": [asdict(key) for key in state.keys],
        "wire": state.wire.to_dict(),
    }


def from_snapshot(state: State, index: int, data: dict[str, Any]) -> None:
    """Replaces ``state`` by a snapshot, which may have been decoded from JSON."""
    state.applied_index = index
    state.templates = {
        k: [TemplateEntry(**e) for e in v] for k, v in data["templates"].items()
    }
    state.changes = {
        organisation: {k: ChangeRecord(digest, result) for k, digest, result in rows}
        for organisation, rows in data["changes"].items()
    }
    records = [_database_from_dict(row) for row in data["databases"]]
    state.databases = {record.name: record for record in records}
    state.keys = [KeyRecord(**key) for key in data["keys"]]
    state.wire = wire_records(data.get("wire"))


def _database_to_dict(record: DatabaseRecord) -> dict[str, Any]:
    row = asdict(record)
    row["plan"] = asdict(record.plan) if record.plan else None
    row["history"] = sorted(record.history.items())
    return row


def _database_from_dict(row: dict[str, Any]) -> DatabaseRecord:
    plan = row["plan"]
    return DatabaseRecord(
        **{
            **row,
            "group": tuple(row["group"]),
            "draining": tuple(row["draining"]),
            "history": {int(term): start for term, start in row["history"]},
            "plan": FailoverPlan(**plan) if plan else None,
        }
    )
