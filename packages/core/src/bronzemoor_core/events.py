"""Events that enter the core from its driver."""

from typing import Any

from msgspec import Struct, field

from bronzemoor_core.actions import Answer, Call, Order

# --- from callers


class Statement(Struct):
    """One SQL statement; ``params`` is an encoded JSON array."""

    sql: str
    params: bytes = b"[]"


class Request(Struct):
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


class RequestReceived(Struct):
    """A request arrived; the core answers it with one ``Reply`` for ``ticket``."""

    ticket: int
    request: Request


class CallerGone(Struct):
    """The caller of ``ticket`` closed its connection."""

    ticket: int


# --- from endpoint connections


class ConnectionOpened(Struct):
    """``answer`` is the endpoint's reply to ``hello``."""

    connection: int
    answer: Answer


class ConnectionFailed(Struct):
    """Opening a connection failed."""

    connection: int
    error: str


class ConnectionClosed(Struct):
    """The endpoint closed the connection or it broke; a call may have been sent."""

    connection: int
    error: str
    sent: bool = True


class AnswerReceived(Struct):
    """The unchecked answer to ``call``, which was sent at ``sent_at``."""

    connection: int
    call: Call
    answer: Answer
    sent_at: float


class AnswerTimedOut(Struct):
    """``call`` timed out; its answer may still arrive on the connection."""

    connection: int
    call: Call
    sent_at: float


class OrderAnswered(Struct):
    """The endpoint answered an order sent by ``SendOrder``."""

    order: Order
    answer: Answer


class OrderFailed(Struct):
    """An order got no answer; it may or may not have been carried out."""

    order: Order
    error: str


# --- from endpoints' announcements and other daemons


class Announcement(Struct):
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


class AnnouncementReceived(Struct):
    announcement: Announcement


class PeerMessageReceived(Struct):
    """A message from another daemon."""

    sender: str
    message: Any


# --- from storage, operators and the clock


class StorageRecovered(Struct):
    """The data folder's contents at start; sent once, before any other event."""

    hard_state: Any
    entries: list[Any]
    snapshot: Any = None


class StorageSynced(Struct):
    """All appends up to ``sequence`` are synced."""

    sequence: int


class StorageFailed(Struct):
    error: str


class AdminCommand(Struct):
    """An operator's command; answered by one ``AdminReply`` for ``ticket``."""

    ticket: int
    name: str
    arguments: dict[str, Any]
    operator: str = ""
    # Wall-clock time in seconds since the epoch, recorded with a change.
    at: float = 0.0


class StopRequested(Struct):
    """The process was asked to stop."""


class Tick(Struct):
    """Sent about every 10 ms."""
