"""Recovery of a request when the answer to one of its steps is lost."""

from typing import TYPE_CHECKING

from bronzemoor_core.internal_events import TransactionEnded
from bronzemoor_core.steps import LOOKUPS_AFTER_LOSS, rollback_outcome
from bronzemoor_core.work import Step, Work

if TYPE_CHECKING:
    from bronzemoor_core.flow import RequestFlow

Items = list[object]

# Steps that may be repeated without affecting the data of other requests.
SAFE_TO_REPEAT_STEPS = (Step.RESERVE, Step.CONFIRM_RESERVATION, Step.BEGIN)


def handle_lost_answer(
    flow: "RequestFlow", now: float, work: Work, reason: str, sent: bool
) -> Items:
    """Starts a retry or a lookup, or ends the request.

    ``sent`` is set if the call may have reached the endpoint.
    """
    step = work.step
    work.code = reason
    if work.transaction is not None and step in (
        Step.STATEMENT,
        Step.COMMIT,
        Step.ROLLBACK,
    ):
        return _handle_loss_in_transaction(flow, now, work, sent)
    if step in (Step.LOOKUP, Step.CONFIRM_LOOKUP):
        return flow.retry(now, work, Step.LOOKUP, free=True, clean=False)
    if step in SAFE_TO_REPEAT_STEPS:
        next_step = Step.BEGIN if step is Step.BEGIN else Step.RESERVE
        return flow.retry(now, work, next_step, free=not sent, clean=False)
    if work.is_read:
        work.excluded = (*work.excluded, work.member)
    if sent or step is Step.CONFIRM:
        work.maybe_ran = True
    if work.is_read or (work.repeatable and work.request.kind == "statements"):
        # A failover is a single event and must not exhaust the retry budget.
        free = not sent or reason == "member_given_up"
        return flow.retry(now, work, Step.EXECUTE, free=free, clean=False)
    if step is Step.EXECUTE and not sent:
        # The call was never sent, so the reservation is still unused.
        return flow.retry(now, work, Step.RESERVE, free=True, clean=False)
    work.lookups_left = LOOKUPS_AFTER_LOSS
    return flow.look_up(now, work, clean=False)


def _handle_loss_in_transaction(
    flow: "RequestFlow", now: float, work: Work, sent: bool
) -> Items:
    ended = TransactionEnded(work.request.transaction, False)
    if work.step is Step.ROLLBACK:
        return [ended, *flow.finish(now, work, rollback_outcome(work), clean=False)]
    work.maybe_ran = sent
    if work.step is Step.COMMIT and sent:
        work.lookups_left = LOOKUPS_AFTER_LOSS
        return [ended, *flow.look_up(now, work, clean=False)]
    message = "the transaction was rolled back with its connection"
    return [ended, *flow.fail(now, work, "transaction_lost", message, clean=False)]
