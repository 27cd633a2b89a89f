"""Handlers of the validated answer to each step of a request."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from bronzemoor_core.actions import Answer
from bronzemoor_core.events import AnswerReceived
from bronzemoor_core.internal_events import (
    SlotReleased,
    TransactionEnded,
    TransactionOpened,
)
from bronzemoor_core.outcomes import Done, NotRun, Unknown
from bronzemoor_core.positions import Position
from bronzemoor_core.preconditions import make_unique_id
from bronzemoor_core.work import Step, Work

if TYPE_CHECKING:
    from bronzemoor_core.flow import RequestFlow

Items = list[object]
Handler = Callable[["RequestFlow", float, Work, AnswerReceived], Items]
ANSWER_HANDLERS: dict[Step, Handler] = {}

# Refusals after which another member, or the same one later, may accept the call.
RETRYABLE_REFUSALS = frozenset(
    (
        "not_primary",
        "stale_term",
        "behind",
        "fenced",
        "busy",
        "leaving",
        "deadline",
        "rebuilding",
        "catching_up",
        "in_progress",
    )
)
# Refusals that show that the member is not the primary of the newest term, or that a
# promotion discarded the write.
DEPOSED_REFUSALS = frozenset(
    ("not_primary", "stale_term", "fenced", "position_discarded")
)
# Refusals after which a transaction cannot continue.
TRANSACTION_ENDING_REFUSALS = DEPOSED_REFUSALS | {"unknown_transaction"}
PUBLIC_CODES = {
    "write_in_read": "write_in_read_class",
    "read_only": "write_in_read_class",
}
# Lookups after an attempt's answer was lost; it may still run at the endpoint.
LOOKUPS_AFTER_LOSS = 4
# Limits the confirm calls of a write in case an endpoint answers without waiting.
MAX_CONFIRMATIONS = 8


def handles_answer(*steps: Step) -> Callable[[Handler], Handler]:
    """Registers the function that handles the answers to ``steps``."""

    def register(function: Handler) -> Handler:
        for step in steps:
            ANSWER_HANDLERS[step] = function
        return function

    return register


@handles_answer(Step.EXECUTE)
def on_execute(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    answer = event.answer
    if answer.status == "refused":
        return _handle_execute_refusal(flow, now, work, answer)
    if work.is_read:
        return _finish_read(flow, now, work, event)
    return _finish_write(flow, now, work, answer, Step.CONFIRM)


@handles_answer(Step.CONFIRM, Step.CONFIRM_LOOKUP)
def on_confirm(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    if _is_confirmed(flow, work, event.answer):
        return _acknowledge(flow, now, work)
    if _is_primary_replaced(flow, work, event.answer):
        return _resolve_by_lookup(flow, now, work, "deposed_primary", 1)
    return _confirm_again(flow, now, work)


@handles_answer(Step.RESERVE)
def on_reserve(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    answer = event.answer
    if answer.status != "ok":
        if answer.code == "reserved":
            return _resolve_by_lookup(flow, now, work, "reserved_elsewhere", 1)
        return _handle_refusal(flow, now, work, answer)
    if answer.repeated:
        return _finish_write(flow, now, work, answer, Step.CONFIRM_LOOKUP)
    if flow.is_deposed(work, answer):
        work.code = "deposed_primary"
        return flow.retry(now, work, Step.RESERVE, free=True)
    work.position = Position(answer.term, answer.offset)
    if _is_already_confirmed(flow, work, answer):
        return _execute_reserved(flow, now, work)
    return [
        SlotReleased(work.connection),
        *flow.send(now, work, Step.CONFIRM_RESERVATION),
    ]


@handles_answer(Step.CONFIRM_RESERVATION)
def on_confirm_reservation(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    if _is_confirmed(flow, work, event.answer):
        return _execute_reserved(flow, now, work)
    if _is_primary_replaced(flow, work, event.answer):
        work.code = "deposed_primary"
        return flow.retry(now, work, Step.RESERVE, free=True)
    return _confirm_again(flow, now, work)


@handles_answer(Step.LOOKUP)
def on_lookup(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    answer = event.answer
    if answer.status == "refused" and answer.code in RETRYABLE_REFUSALS:
        return flow.retry(now, work, Step.LOOKUP, free=True)
    if answer.status == "refused" and answer.code == "request_id_reused":
        return flow.fail(now, work, answer.code, answer.message)
    if flow.is_deposed(work, answer):
        return flow.retry(now, work, Step.LOOKUP, free=True)
    if answer.repeated:
        return _finish_write(flow, now, work, answer, Step.CONFIRM_LOOKUP)
    work.lookups_left -= 1
    if work.lookups_left > 0:
        return flow.retry(now, work, Step.LOOKUP, free=True)
    message = "no result is recorded for the request id"
    return flow.finish(
        now, work, Unknown(work.code, message, Step.LOOKUP.value, work.member)
    )


@handles_answer(Step.BEGIN)
def on_begin(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    answer = event.answer
    if answer.status != "ok":
        return _handle_refusal(flow, now, work, answer)
    if flow.is_deposed(work, answer):
        work.code = "deposed_primary"
        return flow.retry(now, work, Step.BEGIN, free=True, clean=False)
    if work.caller_gone:
        # No caller will use the transaction; closing its connection rolls it back.
        return flow.finish(now, work, _done_outcome(work, answer), clean=False)
    name = make_unique_id(flow.settings, flow.random)
    request = work.request
    opened = TransactionOpened(
        name,
        work.connection,
        work.member,
        request.organisation,
        request.database,
        Position(answer.term, answer.offset),
        work.token.session,
        work.ticket,
        answer.transaction_id,
    )
    flow.keep_connection(work)
    return [
        opened,
        *flow.finish(now, work, _done_outcome(work, answer, transaction=name)),
    ]


@handles_answer(Step.STATEMENT)
def on_statement(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    answer = event.answer
    if answer.status == "refused":
        refused = _not_run_outcome(work, answer)
        if answer.code in TRANSACTION_ENDING_REFUSALS:
            ended = TransactionEnded(work.request.transaction, False)
            return [ended, *flow.finish(now, work, refused, clean=False)]
        flow.keep_connection(work)
        return flow.finish(now, work, refused)
    flow.keep_connection(work)
    return flow.finish(now, work, _done_outcome(work, answer))


@handles_answer(Step.COMMIT)
def on_commit(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    answer = event.answer
    ended = TransactionEnded(work.request.transaction, answer.status == "ok")
    if answer.status == "ok":
        return [ended, *_finish_write(flow, now, work, answer, Step.CONFIRM)]
    if answer.status == "failed":
        return [
            ended,
            *flow.finish(now, work, _done_outcome(work, answer), clean=False),
        ]
    return [ended, *flow.finish(now, work, _not_run_outcome(work, answer), clean=False)]


@handles_answer(Step.ROLLBACK)
def on_rollback(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    clean = event.answer.status == "ok"
    ended = TransactionEnded(work.request.transaction, clean)
    return [ended, *flow.finish(now, work, rollback_outcome(work), clean=clean)]


def rollback_outcome(work: Work) -> Done:
    """Returns the outcome of a rollback; closing the connection has the same effect."""
    return Done(b"[]", Step.ROLLBACK.value, work.member)


def _handle_execute_refusal(
    flow: "RequestFlow", now: float, work: Work, answer: Answer
) -> Items:
    if answer.code == "reserved":
        return _resolve_by_lookup(flow, now, work, "reserved_elsewhere", 1)
    if not work.is_read and not work.repeatable:
        # The reservation is consumed: the statements must not be sent a second time.
        return flow.finish(now, work, _not_run_outcome(work, answer))
    if work.is_read:
        work.excluded = (*work.excluded, work.member)
    return _handle_refusal(flow, now, work, answer)


def _handle_refusal(
    flow: "RequestFlow", now: float, work: Work, answer: Answer
) -> Items:
    """Retries a refused request if it may succeed later, else ends it as not run."""
    work.code = answer.code
    if answer.code not in RETRYABLE_REFUSALS:
        return flow.finish(now, work, _not_run_outcome(work, answer))
    return flow.retry(now, work, work.step, free=True, reason=answer.code)


def _finish_read(
    flow: "RequestFlow", now: float, work: Work, event: AnswerReceived
) -> Items:
    answer = event.answer
    max_age = work.request_class.max_age
    if max_age is not None and not work.route.proved:
        # No sample proved the age at routing, so the answer of the primary has to.
        age = now - event.sent_at + answer.confirmed_ago_ms / 1_000
        if answer.confirmed_ago_ms < 0 or age > max_age:
            work.maybe_ran = True
            work.code = "age_not_proved"
            return flow.retry(now, work, Step.EXECUTE, free=True)
    if answer.role == "primary":
        position = Position(answer.term, answer.offset)
        work.token.advance(work.request.database, position)
    return flow.finish(now, work, _done_outcome(work, answer))


def _finish_write(
    flow: "RequestFlow", now: float, work: Work, answer: Answer, confirm: Step
) -> Items:
    """Acknowledges an executed write once a majority holds it."""
    work.maybe_ran = True
    if flow.is_deposed(work, answer):
        return _resolve_by_lookup(flow, now, work, "deposed_primary", 1)
    if answer.status == "failed":
        return flow.finish(now, work, _done_outcome(work, answer))
    if answer.term < flow.database(work).term and not answer.repeated:
        # Only a recorded result may have a term older than its primary's.
        return _resolve_by_lookup(flow, now, work, "deposed_primary", 1)
    work.answer = answer
    work.position = Position(answer.term, answer.offset)
    if _is_already_confirmed(flow, work, answer):
        return _acknowledge(flow, now, work)
    return [SlotReleased(work.connection), *flow.send(now, work, confirm)]


def _acknowledge(flow: "RequestFlow", now: float, work: Work) -> Items:
    assert work.answer is not None
    work.token.advance(work.request.database, work.position)
    return flow.finish(now, work, _done_outcome(work, work.answer))


def _execute_reserved(flow: "RequestFlow", now: float, work: Work) -> Items:
    if flow.database(work).primary != work.member:
        work.code = "deposed_primary"
        return flow.retry(now, work, Step.RESERVE, free=True)
    return flow.send(now, work, Step.EXECUTE)


def _resolve_by_lookup(
    flow: "RequestFlow", now: float, work: Work, code: str, lookups: int
) -> Items:
    """Looks up the result of the request id at the current primary."""
    work.maybe_ran = True
    work.code = code
    work.lookups_left = lookups
    return flow.look_up(now, work)


def _is_already_confirmed(flow: "RequestFlow", work: Work, answer: Answer) -> bool:
    """Returns whether the answer itself shows that a majority holds its position.

    Its ``majority_offset`` counts entries of the primary's term, so the position of an
    older term has to be confirmed by a call.
    """
    current = answer.term >= flow.database(work).term
    return current and answer.majority_offset >= answer.offset


def _is_confirmed(flow: "RequestFlow", work: Work, answer: Answer) -> bool:
    return (
        answer.status == "ok"
        and answer.term == work.position.term
        and answer.majority_offset >= work.position.offset
        and not flow.is_deposed(work, answer)
    )


def _is_primary_replaced(flow: "RequestFlow", work: Work, answer: Answer) -> bool:
    refused = answer.status == "refused" and answer.code in DEPOSED_REFUSALS
    return refused or answer.term != work.position.term or flow.is_deposed(work, answer)


def _confirm_again(flow: "RequestFlow", now: float, work: Work) -> Items:
    work.confirmations += 1
    if work.confirmations < MAX_CONFIRMATIONS and now < work.deadline:
        return flow.send(now, work, work.step)
    return flow.fail(now, work, "not_confirmed", "no majority confirmed the write")


def _done_outcome(work: Work, answer: Answer, transaction: str = "") -> Done:
    return Done(
        answer.payload,
        work.step.value,
        work.member,
        "statement_failed" if answer.status == "failed" else "ok",
        answer.message,
        answer.role,
        answer.repeated,
        transaction,
    )


def _not_run_outcome(work: Work, answer: Answer) -> NotRun:
    code = PUBLIC_CODES.get(answer.code, answer.code)
    return NotRun(code, answer.message, work.step.value, work.member)
