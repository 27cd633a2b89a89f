"""State of one request in progress."""

from enum import StrEnum

from bronzemoor_core.actions import Answer, Call
from bronzemoor_core.events import Request
from bronzemoor_core.positions import ZERO
from bronzemoor_core.routing import NO_ROUTE, Route
from bronzemoor_core.sessions import SessionToken
from bronzemoor_core.templates import RequestClass
from bronzemoor_core.transactions import Transaction


class Step(StrEnum):
    """Processing step of a request; its value is the ``step`` of the outcome."""

    QUEUED = "queue"
    BACKOFF = "backoff"
    RESERVE = "reserve"
    CONFIRM_RESERVATION = "confirm_reservation"
    EXECUTE = "execute"
    CONFIRM = "confirm"
    LOOKUP = "lookup"
    CONFIRM_LOOKUP = "confirm_lookup"
    BEGIN = "begin"
    STATEMENT = "statement"  # within a transaction
    COMMIT = "commit"
    ROLLBACK = "rollback"


WAITING_STEPS = (Step.QUEUED, Step.BACKOFF)


class Work:
    """One request in progress.

    ``next_step`` is the step to take once a connection is granted. ``maybe_ran`` is set
    as soon as the statements may have run, which rules out the outcome *not run*.
    """

    __slots__ = (
        "answer",
        "attempts",
        "call",
        "code",
        "confirmations",
        "connection",
        "deadline",
        "excluded",
        "next_step",
        "caller_gone",
        "is_read",
        "connection_ticket",
        "lookups_left",
        "lost_step",
        "maybe_ran",
        "member",
        "position",
        "request",
        "request_class",
        "reservation",
        "reserved_term",
        "resume_at",
        "route",
        "routed_at",
        "started_at",
        "step",
        "ticket",
        "token",
        "transaction",
    )

    def __init__(
        self,
        now: float,
        ticket: int,
        request: Request,
        request_class: RequestClass,
        token: SessionToken,
        transaction: Transaction | None = None,
    ) -> None:
        self.ticket = ticket
        self.request = request
        self.request_class = request_class
        self.token = token
        self.transaction = transaction
        self.is_read = request_class.kind == "read" and request.kind == "statements"
        self.started_at = now
        self.deadline = request.deadline or now + request_class.deadline
        self.step = Step.QUEUED
        self.next_step = first_step(request, request_class)
        self.route: Route = NO_ROUTE
        self.routed_at = 0.0
        self.excluded: tuple[str, ...] = ()
        # The ticket under which pools granted the connection.
        self.connection_ticket = ticket
        self.connection = 0
        self.member = ""
        self.call: Call | None = None
        # The answer whose position awaits confirmation, and that position.
        self.answer: Answer | None = None
        self.position = ZERO
        self.attempts = 0
        self.confirmations = 0
        self.lookups_left = 0
        self.resume_at = 0.0
        self.maybe_ran = False
        self.caller_gone = False
        self.reservation = ""
        self.reserved_term = 0
        # Why and at which step the last attempt ended without a result.
        self.code = ""
        self.lost_step: Step | None = None

    @property
    def repeatable(self) -> bool:
        return self.request_class.repeatable


def first_step(request: Request, request_class: RequestClass) -> Step:
    """Returns the first step that needs a connection."""
    if request.kind != "statements":
        return Step(request.kind)
    if request.transaction:
        return Step.STATEMENT
    if request_class.kind == "write" and not request_class.repeatable:
        return Step.RESERVE
    return Step.EXECUTE
