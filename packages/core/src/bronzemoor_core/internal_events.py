"""Events that controllers of one daemon raise for each other."""

from typing import Any

from msgspec import Struct

from bronzemoor_core.outcomes import Outcome
from bronzemoor_core.positions import Position


class ConnectionWanted(Struct):
    """Asks pools for a connection to one of ``members`` (in order of preference).

    Without members the request only waits in the queue, for example for a primary; a
    second event for the same ticket replaces the first and keeps its place.
    Pools answers with ``ConnectionGranted``, now or later, or ``ConnectionRefused``.
    """

    ticket: int
    database: str
    members: tuple[str, ...]
    priority: int
    deadline: float
    organisation: str = ""
    # Class of the request and how many of its class may wait.
    request_class: str = ""
    queue_limit: int = 512


class QueueChanged(Struct):
    """Requests wait for connections to ``database``."""

    database: str


class ConnectionGranted(Struct):
    ticket: int
    connection: int
    member: str


class ConnectionRefused(Struct):
    """No connection before the deadline, or the queue is full."""

    ticket: int
    code: str
    message: str


class ConnectionWithdrawn(Struct):
    """The request of ``ticket`` no longer waits for a connection."""

    ticket: int


class ConnectionReleased(Struct):
    """The request no longer needs ``connection``; it is closed unless ``clean``."""

    ticket: int
    connection: int
    clean: bool
    reason: str = ""


class SlotReleased(Struct):
    """The statement on ``connection`` ended, but the request keeps the connection."""

    connection: int


class RetryWanted(Struct):
    """Asks retries whether the request may be sent again, and when.

    A ``free`` retry, as after a refusal before execution, is not charged to the budget.
    """

    ticket: int
    organisation: str
    attempt: int
    free: bool = False


class RetryDecided(Struct):
    """The answer to ``RetryWanted``; ``resume_at`` is in seconds."""

    ticket: int
    allowed: bool
    resume_at: float


class TokenKeysChanged(Struct):
    """Replaces the keys for session tokens; the first (id, key) pair signs.

    ``at_start`` is true for the keys that a daemon learns before it is ready.
    """

    keys: list[tuple[str, bytes]]
    at_start: bool = False


class RequestFinished(Struct):
    ticket: int
    outcome: Outcome


class TransactionOpened(Struct):
    """A transaction began on ``connection``, which stays pinned to it."""

    transaction: str
    connection: int
    member: str
    organisation: str
    database: str
    session_position: Position
    session: str = ""
    ticket: int = 0
    # The endpoint's own id of the transaction.
    endpoint_transaction_id: str = ""


class TransactionUsed(Struct):
    """A request uses an open transaction; ``ticket`` 0 means that it is idle again."""

    transaction: str
    ticket: int
    commits: bool = False


class TransactionEnded(Struct):
    transaction: str
    clean: bool


class TransactionExpired(Struct):
    """The transaction was idle or open for too long and was rolled back."""

    transaction: str


class PositionObserved(Struct):
    """A member's position from a validated answer; membership updates the topology.

    ``proved_at`` (seconds) is set for a primary: when its position was proved current,
    that is, the send time of the call less the age of the majority's confirmation.
    """

    database: str
    member: str
    role: str
    position: Position
    proved_at: float | None = None
    leaving: bool = False


class PrimaryChanged(Struct):
    """A new primary is in force for ``database``; empty ``member`` means none."""

    database: str
    term: int
    member: str
    start_offset: int


class MemberSuspected(Struct):
    """This daemon has evidence that a member is unreachable."""

    database: str
    member: str
    reason: str


class MemberLost(Struct):
    """A member's lease expired or it left; its connections should be closed."""

    database: str
    member: str


class SharesChanged(Struct):
    """The connection share of a database at this daemon changed."""

    database: str
    connections: int
    valid_until: float


class TemplateChanged(Struct):
    """A template version is now in force at this daemon."""

    organisation: str
    version: int


class CommandProposed(Struct):
    """Asks consensus to replicate ``command``, at the leader if that is elsewhere.

    A command with ``"query": True`` is not replicated: the leader confirms itself by a
    quorum and evaluates it. ``origin`` is echoed on completion. A command that is
    ``leader_only`` rests on a decision of this daemon as leader; it is neither sent to
    another leader nor repeated.
    """

    command: dict[str, Any]
    origin: Any = None
    leader_only: bool = False


class CommandCompleted(Struct):
    """The only answer to a ``CommandProposed``, raised on the daemon that proposed.

    ``code`` is ``ok`` or an error code; ``unknown`` means that it may yet be applied.
    """

    origin: Any
    code: str
    message: str
    result: dict[str, Any]


class QueryReady(Struct):
    """A quorum confirmed this leader; ``state`` answers with ``CommandApplied``."""

    command: dict[str, Any]
    origin: Any


class CommandCommitted(Struct):
    """An entry of the replicated log is committed; sent in index order, once."""

    index: int
    term: int
    command: dict[str, Any]
    origin: Any = None


class CommandApplied(Struct):
    """``state`` applied a committed command; ``result`` is its recorded answer."""

    index: int
    command: dict[str, Any]
    result: dict[str, Any]
    origin: Any = None


class StateChanged(Struct):
    """Applied state changed: ``kind`` is template, database, keys or all (restored)."""

    kind: str
    name: str


class SnapshotRequested(Struct):
    """Consensus asks ``state`` for a snapshot up to the applied index."""


class SnapshotReady(Struct):
    index: int
    data: dict[str, Any]


class SnapshotRestored(Struct):
    """Consensus received or recovered a snapshot; ``state`` restores itself from it."""

    index: int
    data: dict[str, Any]


class LeadershipChanged(Struct):
    """This daemon gained or lost leadership of the control group."""

    leader: str
    term: int
    is_leader: bool
