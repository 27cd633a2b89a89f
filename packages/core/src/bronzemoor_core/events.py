"""Events that enter the core from its driver."""

from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.actions import Answer, Call, Order

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
    """The endpoint closed the connection or it broke; a call may have been sent."""

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
    """``call`` timed out; its answer may still arrive on the connection."""

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
    """An endpoint's report of its state; ``members`` are all members of its group."""

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
    """The data folder's contents at start; sent once, before any other event."""

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
