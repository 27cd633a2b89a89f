"""Events that enter the core, and internal events between its controllers."""

from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.actions import Answer, Call, Order
from bronzemoor_core.outcomes import Outcome
from bronzemoor_core.positions import Position

# --- from callers


@dataclass(slots=True)
class Statement:
    """One SQL statement; ``params`` is an encoded JSON array."""

    sql: str
    params: bytes = b"[]"


@dataclass(slots=True)
class Request:
    """A caller's request. ``deadline`` is in seconds on the driver's clock."""

    kind: str  # statements, begin, commit or rollback
    organisation: str
    database: str
    request_class: str
    request_id: str
    statements: tuple[Statement, ...]
    deadline: float
    session: str = ""
    transaction: str = ""
    digest: str = ""
    data_centre: str = ""
    trace_id: str = ""


@dataclass(slots=True)
class RequestReceived:
    """A request arrived; the core answers it with one ``Reply`` for ``ticket``."""

    ticket: int
    request: Request


@dataclass(slots=True)
class CallerGone:
    """The caller of ``ticket`` closed its connection."""

    ticket: int


# --- from endpoint connections


@dataclass(slots=True)
class ConnectionOpened:
    """``answer`` is the endpoint's reply to ``hello``."""

    connection: int
    answer: Answer


@dataclass(slots=True)
class ConnectionFailed:
    """Opening a connection failed."""

    connection: int
    error: str


@dataclass(slots=True)
class ConnectionClosed:
    """A connection was closed by the endpoint or broke; a call may have been sent."""

    connection: int
    error: str
    sent: bool = True


@dataclass(slots=True)
class AnswerReceived:
    """The unchecked answer to ``call``, which was sent at ``sent_at``."""

    connection: int
    call: Call
    answer: Answer
    sent_at: float


@dataclass(slots=True)
class AnswerTimedOut:
    """No answer to ``call`` came in time; the connection still owes it."""

    connection: int
    call: Call
    sent_at: float


@dataclass(slots=True)
class OrderAnswered:
    """The endpoint answered an order sent by ``SendOrder``."""

    order: Order
    answer: Answer


@dataclass(slots=True)
class OrderFailed:
    """An order got no answer; it may or may not have been carried out."""

    order: Order
    error: str


# --- from endpoints' announcements and other daemons


@dataclass(slots=True)
class Announcement:
    """What an endpoint says of itself; ``members`` names all members of its group."""

    database: str
    member: str
    address: str
    data_centre: str
    role: str
    term: int
    offset: int
    incarnation: int
    members: tuple[str, ...]
    leaving: bool = False
    slots: int = 3
    connections: int = 20
    history: dict[int, int] = field(default_factory=dict)
    # Members that this member cannot reach.
    unreachable: tuple[str, ...] = ()


@dataclass(slots=True)
class AnnouncementReceived:
    announcement: Announcement


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another daemon."""

    sender: str
    message: Any


# --- from storage, operators and the clock


@dataclass(slots=True)
class StorageRecovered:
    """What the data folder held at start; sent once before any other event."""

    hard_state: Any
    entries: list[Any]
    snapshot: Any = None


@dataclass(slots=True)
class StorageSynced:
    """All appends up to ``sequence`` are synced."""

    sequence: int


@dataclass(slots=True)
class StorageFailed:
    error: str


@dataclass(slots=True)
class AdminCommand:
    """An operator's command; answered by one ``AdminReply`` for ``ticket``."""

    ticket: int
    name: str
    arguments: dict[str, Any]
    operator: str = ""
    # Wall-clock time in seconds since the epoch, recorded with a change.
    at: float = 0.0


@dataclass(slots=True)
class StopRequested:
    """The process was asked to stop."""


@dataclass(slots=True)
class Tick:
    """Sent about every 10 ms."""


# --- internal: between controllers


@dataclass(slots=True)
class ConnectionWanted:
    """Asks pools for a connection to one of ``members`` (in order of preference).

    Without members the request only waits in the queue, for example for a primary; a
    second event for the same ticket replaces the first and keeps its place.
    Pools answers with ``ConnectionGranted`` at once or later, or ``ConnectionRefused``.
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


@dataclass(slots=True)
class QueueChanged:
    """Requests wait for connections to ``database``."""

    database: str


@dataclass(slots=True)
class ConnectionGranted:
    ticket: int
    connection: int
    member: str


@dataclass(slots=True)
class ConnectionRefused:
    """No connection before the deadline, or the queue is full."""

    ticket: int
    code: str
    message: str


@dataclass(slots=True)
class ConnectionWithdrawn:
    """The request of ``ticket`` no longer waits for a connection."""

    ticket: int


@dataclass(slots=True)
class ConnectionReleased:
    """The request is over; a connection that is not ``clean`` is closed."""

    ticket: int
    connection: int
    clean: bool
    reason: str = ""


@dataclass(slots=True)
class SlotReleased:
    """The statement on ``connection`` is over, but the request keeps the connection."""

    connection: int


@dataclass(slots=True)
class RetryWanted:
    """Asks retries whether the request may be sent again, and when.

    A ``free`` retry follows a refusal before execution and costs no budget.
    """

    ticket: int
    organisation: str
    attempt: int
    free: bool = False


@dataclass(slots=True)
class RetryDecided:
    """Answers ``RetryWanted``; ``resume_at`` is in seconds."""

    ticket: int
    allowed: bool
    resume_at: float


@dataclass(slots=True)
class TokenKeysChanged:
    """Replaces the keys for session tokens; the first (id, key) pair signs."""

    keys: list[tuple[str, bytes]]


@dataclass(slots=True)
class RequestFinished:
    ticket: int
    outcome: Outcome


@dataclass(slots=True)
class TransactionOpened:
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
    endpoint_transaction: str = ""


@dataclass(slots=True)
class TransactionUsed:
    """A request uses an open transaction; ``ticket`` 0 means that it is idle again."""

    transaction: str
    ticket: int
    commits: bool = False


@dataclass(slots=True)
class TransactionEnded:
    transaction: str
    clean: bool


@dataclass(slots=True)
class TransactionExpired:
    """The transaction was idle or open for too long and was rolled back."""

    transaction: str


@dataclass(slots=True)
class PositionObserved:
    """A checked answer of a member; membership updates the topology from it.

    ``proved_at`` (seconds) is set for a primary: when its position was proved current,
    that is, the send time of the call less the age of the majority's confirmation.
    """

    database: str
    member: str
    role: str
    position: Position
    proved_at: float | None = None
    leaving: bool = False


@dataclass(slots=True)
class PrimaryChanged:
    """A new primary is in force for ``database``; empty ``member`` means none."""

    database: str
    term: int
    member: str
    start_offset: int


@dataclass(slots=True)
class MemberSuspected:
    """This daemon has evidence that a member does not answer."""

    database: str
    member: str
    reason: str


@dataclass(slots=True)
class MemberLost:
    """A member's lease ran out or it left; its connections should be closed."""

    database: str
    member: str


@dataclass(slots=True)
class SharesChanged:
    """The connection share of a database at this daemon changed."""

    database: str
    connections: int
    valid_until: float


@dataclass(slots=True)
class TemplateChanged:
    """A template version is now in force at this daemon."""

    organisation: str
    version: int


@dataclass(slots=True)
class CommandProposed:
    """Asks consensus to replicate ``command``, at the leader if that is elsewhere.

    A command with ``"query": True`` is not replicated: the leader confirms itself by a
    quorum and evaluates it. ``origin`` is echoed on completion.
    """

    command: dict[str, Any]
    origin: Any = None


@dataclass(slots=True)
class CommandCompleted:
    """The one answer to a ``CommandProposed``, raised on the daemon that proposed.

    ``code`` is ``ok`` or an error code; ``unknown`` means that it may yet be applied.
    """

    origin: Any
    code: str
    message: str
    result: dict[str, Any]


@dataclass(slots=True)
class QueryReady:
    """A quorum confirmed this leader; ``state`` answers with ``CommandApplied``."""

    command: dict[str, Any]
    origin: Any


@dataclass(slots=True)
class CommandCommitted:
    """An entry of the replicated log is committed; sent in index order, once."""

    index: int
    term: int
    command: dict[str, Any]
    origin: Any = None


@dataclass(slots=True)
class CommandApplied:
    """``state`` applied a committed command; ``result`` is its recorded answer."""

    index: int
    command: dict[str, Any]
    result: dict[str, Any]
    origin: Any = None


@dataclass(slots=True)
class StateChanged:
    """Applied state changed: ``kind`` is template, database, keys or all (restored)."""

    kind: str
    name: str


@dataclass(slots=True)
class SnapshotRequested:
    """Consensus asks ``state`` for a snapshot up to the applied index."""


@dataclass(slots=True)
class SnapshotReady:
    index: int
    data: dict[str, Any]


@dataclass(slots=True)
class SnapshotRestored:
    """Consensus received or recovered a snapshot; ``state`` replaces itself by it."""

    index: int
    data: dict[str, Any]


@dataclass(slots=True)
class LeadershipChanged:
    """This daemon gained or lost leadership of the control group."""

    leader: str
    term: int
    is_leader: bool
