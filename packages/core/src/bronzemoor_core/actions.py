"""Actions that the core asks its driver to perform, in order."""

from typing import Any

from msgspec import Struct, field

from bronzemoor_core.outcomes import Outcome
from bronzemoor_core.positions import ZERO, Position


class Action(Struct):
    """Base of all actions."""


class Call(Struct):
    """One call on an endpoint connection; ``kind`` is the method's name.

    ``timeout`` is in seconds; ``ticket`` identifies the request, or is 0 for a probe.
    """

    kind: str
    correlation_id: int
    ticket: int = 0
    timeout: float = 1.0
    request_id: str = ""
    digest: str = ""
    statements: tuple[Any, ...] = ()
    read_only: bool = False
    recorded: bool = False
    reservation: str = ""
    transaction_id: str = ""
    min_position: Position = ZERO
    wait_ms: int = 0


class Answer(Struct):
    """An endpoint's reply; the fields follow ``Reply`` in idl/endpoint.thrift."""

    correlation_id: int
    status: str  # ok, refused or failed
    request_id: str = ""
    code: str = ""
    message: str = ""
    term: int = 0
    offset: int = 0
    majority_offset: int = 0
    confirmed_ago_ms: int = -1
    payload: bytes = b""
    length: int = 0
    checksum: int = 0
    member: str = ""
    role: str = ""
    repeated: bool = False
    transaction_id: str = ""
    history: dict[int, int] = field(default_factory=dict)
    leaving: bool = False


class Order(Struct):
    """An order to an endpoint: ``kind`` is fence, promote, follow or ping."""

    kind: str
    correlation_id: int
    database: str
    member: str
    address: str
    term: int
    primary: str = ""
    start_offset: int = 0
    members: dict[str, str] = field(default_factory=dict)


class OpenConnection(Action):
    """Opens a connection and calls ``hello``; answered by ``ConnectionOpened``."""

    connection: int
    database: str
    member: str
    address: str
    timeout: float


class CloseConnection(Action):
    connection: int
    reason: str


class SendCall(Action):
    """Sends ``call``; answered by exactly one of ``AnswerReceived``,
    ``AnswerTimedOut`` or ``ConnectionClosed``."""

    connection: int
    call: Call


class SendOrder(Action):
    """Sends an order on a fresh connection; answered by ``OrderAnswered`` or
    ``OrderFailed``. ``timeout`` is in seconds."""

    order: Order
    timeout: float


class SendPeerMessage(Action):
    """Sends a message to another daemon, at most once and without an answer."""

    recipient: str
    message: Any


class PersistLog(Action):
    """Writes hard state and entries, then syncs; answered by ``StorageSynced``.

    ``truncate_from`` removes entries from that index on before the append.
    """

    sequence: int
    hard_state: Any = None
    entries: list[Any] = field(default_factory=list)
    truncate_from: int | None = None


class PersistSnapshot(Action):
    """Writes and syncs a snapshot, then drops the log up to its index."""

    sequence: int
    snapshot: Any


class Reply(Action):
    """The only reply to a ``RequestReceived``."""

    ticket: int
    outcome: Outcome
    session: str = ""
    served_by: str = ""


class AdminReply(Action):
    """The only reply to an ``AdminCommand``; ``code`` is ``ok`` or an error code."""

    ticket: int
    code: str
    body: dict[str, Any]


class EmitLog(Action):
    """One log line of key=value pairs."""

    level: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)


class EmitMetric(Action):
    """``kind`` is counter, gauge or timer; timers are in milliseconds."""

    kind: str
    name: str
    value: float = 1.0


class StopListening(Action):
    """Closes the listener for callers; requests in progress continue."""


class Exit(Action):
    """Ends the process with the given exit status."""

    status: int
    reason: str
