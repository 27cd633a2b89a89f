"""Builds the endpoint call for each step of a request."""

from typing import Any

from bronzemoor_core.actions import Call
from bronzemoor_core.events import Request
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.work import Step, Work

CALL_KINDS = {
    Step.RESERVE: "reserve",
    Step.CONFIRM_RESERVATION: "confirm",
    Step.EXECUTE: "execute",
    Step.CONFIRM: "confirm",
    Step.LOOKUP: "lookup",
    Step.CONFIRM_LOOKUP: "confirm",
    Step.BEGIN: "begin",
    Step.STATEMENT: "execute",
    Step.COMMIT: "commit",
    Step.ROLLBACK: "rollback",
}
# How long past the request's deadline a call waits for its answer before its connection
# is closed. Opening another one costs more, and requests that get a connection just
# before their deadline would close many.
ANSWER_GRACE_SECONDS = 0.050
# Share of the timeout of a confirmation or lookup that the endpoint may wait; the rest
# covers the network round trip.
CONFIRM_WAIT_RATIO = 0.8


def make_call(
    now: float, work: Work, step: Step, correlation: int, settings: Any
) -> Call:
    """Returns the call of ``step``; it times out shortly after the deadline."""
    kind = CALL_KINDS[step]
    path = settings.data_path
    limit = path.confirm_timeout if kind == "confirm" else path.call_timeout
    timeout = min(limit, max(0.0, work.deadline - now) + ANSWER_GRACE_SECONDS)
    request = work.request
    call = Call(
        kind,
        correlation,
        work.ticket,
        timeout,
        scoped_request_id(request),
        request.digest,
        min_position=_min_position(work, kind),
    )
    if kind in ("confirm", "lookup"):
        call.wait_ms = max(1, int(timeout * CONFIRM_WAIT_RATIO * 1_000))
    elif kind in ("execute", "begin"):
        call.wait_ms = work.route.wait_ms
    if kind == "execute":
        call.statements = request.statements
        call.read_only = work.is_read
        call.recorded = not work.is_read and step is Step.EXECUTE
    if kind in ("execute", "reserve"):
        call.reservation = work.reservation
    if kind == "commit":
        call.recorded = True
    if work.transaction is not None:
        call.transaction_id = work.transaction.endpoint_transaction_id
    return call


def scoped_request_id(request: Request) -> str:
    """Returns the request id sent to the endpoint, prefixed with the organisation.

    Organisations may share a database, and none may get the result recorded for another
    one that uses the same id.
    """
    if not request.request_id:
        return ""
    return f"{request.organisation}/{request.request_id}"


def _min_position(work: Work, kind: str) -> Position:
    if kind == "confirm":
        return work.position
    if kind == "begin" or (kind == "execute" and work.is_read):
        return work.route.min_position
    return ZERO
