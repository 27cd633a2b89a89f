"""Life cycle of one request from admission to outcome."""

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import Any

from bronzemoor_core.actions import EmitLog, EmitMetric, Reply
from bronzemoor_core.answers import check_answer
from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.controllers import controller, handles
from bronzemoor_core.events import (
    AnswerReceived,
    AnswerTimedOut,
    CallerGone,
    ConnectionClosed,
    RequestReceived,
    Tick,
)
from bronzemoor_core.exceptions import InvalidRequest, InvalidToken
from bronzemoor_core.flow import RequestFlow
from bronzemoor_core.internal_events import (
    ConnectionGranted,
    ConnectionRefused,
    ConnectionReleased,
    MemberLost,
    MemberSuspected,
    PositionObserved,
    PrimaryChanged,
    RequestFinished,
    RetryDecided,
    TransactionEnded,
    TransactionExpired,
    TransactionUsed,
)
from bronzemoor_core.losses import handle_lost_answer
from bronzemoor_core.outcomes import NotRun, Unknown
from bronzemoor_core.preconditions import make_unique_id, make_work
from bronzemoor_core.probes import observed_position
from bronzemoor_core.steps import ANSWER_HANDLERS
from bronzemoor_core.work import WAITING_STEPS, Step, Work

REROUTE_INTERVAL_SECONDS = 0.100
# How long a replaced or unreachable member may still answer; a handover takes less.
ABANDON_DELAY_SECONDS = 0.050


@controller("requests")
class RequestController(RequestFlow):
    """Owns the requests section."""

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._reroute_at = 0.0
        # Time to abandon the call, ticket and correlation id.
        self._pending_abandons: deque[tuple[float, int, int]] = deque()

    @handles(RequestReceived)
    def on_request(self, now: float, event: RequestReceived) -> list[object]:
        ticket, request = event.ticket, event.request
        try:
            work = make_work(now, ticket, request, self._blackboard, self._random)
        except InvalidRequest as error:
            refused = NotRun(error.code, error.message, error.step)
            session = "" if isinstance(error, InvalidToken) else request.session
            return [
                EmitMetric("counter", f"outcomes.{refused.tag}"),
                EmitMetric("counter", f"refusals.{error.code}"),
                Reply(ticket, refused, session),
                RequestFinished(ticket, refused),
            ]
        self._section.active[ticket] = work
        if work.next_step is Step.RESERVE:
            work.reservation = make_unique_id(self._settings, self._random)
        if work.transaction is None:
            return self.route(now, work)
        commits = work.next_step is Step.COMMIT
        used = TransactionUsed(request.transaction, ticket, commits)
        transaction = work.transaction
        work.connection_ticket = transaction.connection_ticket
        self._assign_connection(work, transaction.connection, transaction.member)
        return [used, *self.send(now, work, work.next_step)]

    @handles(ConnectionGranted)
    def on_granted(self, now: float, event: ConnectionGranted) -> list[object]:
        work = self._section.active.get(event.ticket)
        release = ConnectionReleased(event.ticket, event.connection, True)
        if work is None or work.step is not Step.QUEUED or work.connection:
            return [release]
        if now >= work.deadline:
            return [release, *self.fail(now, work, "deadline", "no connection in time")]
        if now != work.routed_at:
            self._set_route(now, work, self._select_route(now, work))
        if event.member not in work.route.members:
            return [release, *self._request_connection(work)]
        work.connection_ticket = event.ticket
        self._assign_connection(work, event.connection, event.member)
        return self.send(now, work, work.next_step)

    @handles(ConnectionRefused)
    def on_refused(self, now: float, event: ConnectionRefused) -> list[object]:
        work = self._section.active.get(event.ticket)
        if work is None or work.step is not Step.QUEUED:
            return []
        return self.fail(now, work, event.code, event.message)

    @handles(AnswerReceived)
    def on_answer(self, now: float, event: AnswerReceived) -> list[object]:
        ticket = self._section.by_connection.get(event.connection)
        if ticket is None:
            if not event.call.ticket:
                return []
            return [EmitMetric("counter", "answers.discarded.late")]
        work = self._section.active[ticket]
        assert work.call is not None
        reason = check_answer(work.call, event.answer)
        if reason:
            fields = {"reason": reason, "step": work.step, "peer": work.member}
            metric = EmitMetric("counter", f"answers.discarded.{reason}")
            log = EmitLog("warning", "answer_discarded", fields)
            return [metric, log, *self._handle_loss(now, work, f"answer_{reason}")]
        answer = event.answer
        items: list[object] = []
        # Answers to other calls may hold the position asked about or a recorded one.
        current = work.call.kind == "execute" and not work.call.transaction_id
        if current and answer.status == "ok" and not answer.repeated:
            items.append(self._make_position_event(now, event))
        return [*items, *ANSWER_HANDLERS[work.step](self, now, work, event)]

    @handles(AnswerTimedOut)
    def on_timeout(self, now: float, event: AnswerTimedOut) -> list[object]:
        ticket = self._section.by_connection.get(event.connection)
        if ticket is None:
            return []
        return self._handle_loss(now, self._section.active[ticket], "answer_timed_out")

    @handles(ConnectionClosed)
    def on_closed(self, now: float, event: ConnectionClosed) -> list[object]:
        ticket = self._section.by_connection.get(event.connection)
        if ticket is None:
            return []
        work = self._section.active[ticket]
        return self._handle_loss(now, work, "connection_closed", event.sent)

    @handles(CallerGone)
    def on_caller_gone(self, now: float, event: CallerGone) -> list[object]:
        work = self._section.active.get(event.ticket)
        if work is None:
            return []
        work.caller_gone = True
        outcome = Unknown(
            "caller_gone", "the caller disconnected", work.step.value, work.member
        )
        if work.step in WAITING_STEPS and not work.maybe_ran:
            return self.finish(now, work, outcome)
        if work.step is Step.STATEMENT:
            ended = TransactionEnded(work.request.transaction, False)
            return [ended, *self.finish(now, work, outcome, clean=False)]
        return []

    @handles(TransactionExpired)
    def on_transaction_expired(
        self, now: float, event: TransactionExpired
    ) -> list[object]:
        transaction = self._blackboard.transactions.open.get(event.transaction)
        if transaction is None:
            return []
        ended = TransactionEnded(event.transaction, False)
        work = self._section.active.get(transaction.ticket)
        if work is not None:
            expired = Unknown(
                "transaction_expired",
                "the transaction exceeded its time limit",
                work.step.value,
                work.member,
            )
            return [ended, *self.finish(now, work, expired, clean=False)]
        released = ConnectionReleased(
            transaction.connection_ticket,
            transaction.connection,
            False,
            "transaction_expired",
        )
        return [ended, released]

    @handles(RetryDecided)
    def on_retry_decided(self, now: float, event: RetryDecided) -> list[object]:
        work = self._section.active.get(event.ticket)
        if work is None or work.step is not Step.BACKOFF:
            return []
        if not event.allowed:
            return self.fail(now, work, work.code, "the retry budget is exhausted")
        if event.resume_at >= work.deadline:
            return self.fail(
                now, work, work.code, "the deadline leaves no time for a retry"
            )
        work.resume_at = event.resume_at
        return []

    @handles(PrimaryChanged, MemberLost)
    def on_member_changed(
        self, now: float, event: PrimaryChanged | MemberLost
    ) -> list[object]:
        if isinstance(event, PrimaryChanged):
            for work in self._in_progress(event.database):
                at_primary = not work.is_read or work.route.fallback
                if at_primary and work.member != event.member:
                    self._schedule_abandon(now, work)
        return self._reroute_waiting(now, event.database, resume=True)

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[object]:
        items = self._abandon_due_calls(now)
        all_due = now >= self._reroute_at
        if all_due:
            self._reroute_at = now + REROUTE_INTERVAL_SECONDS
        for database, waiting in self._section.waiting.items():
            if waiting and all_due:
                items += self._reroute_waiting(now, database)
            for work in list(waiting.values()):
                if work.step is Step.BACKOFF and work.resume_at <= now:
                    items += self.route(now, work)
        return items

    def _make_position_event(
        self, now: float, event: AnswerReceived
    ) -> PositionObserved:
        """Returns the position of an answer, as a sample only if one is due: too many
        samples would displace the older ones that lagging replicas need."""
        pools = self._blackboard.pools
        connection = pools.connections[event.connection]
        pool = pools.databases[connection.database]
        observed = observed_position(connection, event)
        if now - pool.sampled_at < pool.sample_interval:
            observed.proved_at = None
        return observed

    @handles(MemberSuspected)
    def on_member_suspected(self, now: float, event: MemberSuspected) -> None:
        for work in self._in_progress(event.database):
            if work.is_read and work.member == event.member:
                self._schedule_abandon(now, work)

    def _in_progress(self, database: str) -> Iterator[Work]:
        """Yields the requests of ``database`` that wait for an answer."""
        for work in self._section.active.values():
            if work.request.database == database and work.connection:
                yield work

    def _schedule_abandon(self, now: float, work: Work) -> None:
        if work.call is not None:
            at = now + ABANDON_DELAY_SECONDS
            self._pending_abandons.append((at, work.ticket, work.call.correlation_id))

    def _abandon_due_calls(self, now: float) -> list[object]:
        """Abandons calls to replaced primaries and unreachable members, whose answers
        may never arrive."""
        items: list[object] = []
        while self._pending_abandons and self._pending_abandons[0][0] <= now:
            _, ticket, correlation = self._pending_abandons.popleft()
            work = self._section.active.get(ticket)
            if work is None or work.call is None:
                continue
            if work.call.correlation_id == correlation:
                items += self._handle_loss(now, work, "member_given_up")
        return items

    def _handle_loss(
        self, now: float, work: Work, reason: str, sent: bool = True
    ) -> list[object]:
        """Handles the loss of an answer; its connection is not reused."""
        metric = EmitMetric("counter", "answers.lost")
        return [metric, *handle_lost_answer(self, now, work, reason, sent)]
