"""Life cycle of one request from admission to outcome."""

from collections import Counter
from itertools import count
from random import Random
from typing import Any

from bronzemoor_core.actions import Answer, EmitMetric, Reply, SendCall
from bronzemoor_core.answers import check_answer
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.calls import make_call
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import (
    AnswerReceived,
    AnswerTimedOut,
    CallerGone,
    ConnectionClosed,
    ConnectionGranted,
    ConnectionRefused,
    ConnectionReleased,
    ConnectionWanted,
    ConnectionWithdrawn,
    MemberLost,
    PrimaryChanged,
    RequestFinished,
    RequestReceived,
    RetryDecided,
    RetryWanted,
    Tick,
    TransactionEnded,
    TransactionExpired,
    TransactionUsed,
)
from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_core.losses import on_lost
from bronzemoor_core.membership import Database
from bronzemoor_core.outcomes import Done, NotRun, Outcome, Unknown
from bronzemoor_core.preconditions import make_work
from bronzemoor_core.probes import observed_position
from bronzemoor_core.routing import NOWHERE, Route, Router
from bronzemoor_core.steps import ANSWERED
from bronzemoor_core.work import WAITING, Step, Work

# How often waiting requests are routed again, seconds.
REROUTE_INTERVAL = 0.050


@section("requests")
class Requests:
    """Requests in progress by ticket, the ticket served on each connection, waiting
    requests by database, and reads that a primary serves in place of replicas."""

    __slots__ = ("active", "by_connection", "fallbacks", "waiting")

    def __init__(self) -> None:
        self.active: dict[int, Work] = {}
        self.by_connection: dict[int, int] = {}
        self.fallbacks: Counter[str] = Counter()
        self.waiting: dict[str, dict[int, Work]] = {}


@controller("requests")
class RequestController(Controller):
    """Owns the requests section."""

    _own: Requests

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._router = Router(settings, random)
        self._correlations = count(2, 2)
        self._reservations = count(1)
        self._reroute_at = 0.0

    @property
    def settings(self) -> Any:
        return self._settings

    @property
    def random(self) -> Random:
        return self._random

    # --- events

    @handles(RequestReceived)
    def on_request(self, now: float, event: RequestReceived) -> list[object]:
        ticket, request = event.ticket, event.request
        try:
            work = make_work(now, ticket, request, self._blackboard, self._random)
        except InvalidRequest as error:
            refused = NotRun(error.code, error.message, error.step)
            return [
                EmitMetric("counter", f"outcomes.{refused.tag}"),
                EmitMetric("counter", f"refusals.{error.code}"),
                Reply(ticket, refused, request.session),
                RequestFinished(ticket, refused),
            ]
        self._own.active[ticket] = work
        if work.goal is Step.RESERVE:
            number = next(self._reservations)
            settings = self._settings
            work.reservation = f"{settings.name}.{settings.incarnation}.{number}"
        if work.transaction is None:
            return self.route(now, work)
        commits = work.goal is Step.COMMIT
        used = TransactionUsed(request.transaction, ticket, commits)
        transaction = work.transaction
        work.lease = transaction.lease
        self._take(work, transaction.connection, transaction.member)
        return [used, *self.send(now, work, work.goal)]

    @handles(ConnectionGranted)
    def on_granted(self, now: float, event: ConnectionGranted) -> list[object]:
        work = self._own.active.get(event.ticket)
        release = ConnectionReleased(event.ticket, event.connection, True)
        if work is None or work.step is not Step.QUEUED or work.connection:
            return [release]
        if now >= work.deadline:
            return [release, *self.fail(now, work, "deadline", "no connection in time")]
        if now != work.routed_at:
            self._set_route(now, work, self._select(now, work))
        if event.member not in work.route.members:
            return [release, *self._want(work)]
        work.lease = event.ticket
        self._take(work, event.connection, event.member)
        return self.send(now, work, work.goal)

    @handles(ConnectionRefused)
    def on_refused(self, now: float, event: ConnectionRefused) -> list[object]:
        work = self._own.active.get(event.ticket)
        if work is None or work.step is not Step.QUEUED:
            return []
        return self.fail(now, work, event.code, event.message)

    @handles(AnswerReceived)
    def on_answer(self, now: float, event: AnswerReceived) -> list[object]:
        ticket = self._own.by_connection.get(event.connection)
        if ticket is None:
            if not event.call.ticket:
                return []
            return [EmitMetric("counter", "answers.discarded.late")]
        work = self._own.active[ticket]
        assert work.call is not None
        reason = check_answer(work.call, event.answer)
        if reason:
            metric = EmitMetric("counter", f"answers.discarded.{reason}")
            return [metric, *self.lose(now, work, f"answer_{reason}")]
        answer = event.answer
        items: list[object] = []
        # Other answers may carry a position that is asked about or recorded.
        current = work.call.kind == "execute" and not work.call.transaction_id
        if current and answer.status == "ok" and not answer.repeated:
            connection = self._blackboard.pools.connections[event.connection]
            items.append(observed_position(connection, event))
        return [*items, *ANSWERED[work.step](self, now, work, event)]

    @handles(AnswerTimedOut)
    def on_timeout(self, now: float, event: AnswerTimedOut) -> list[object]:
        ticket = self._own.by_connection.get(event.connection)
        if ticket is None:
            return []
        return self.lose(now, self._own.active[ticket], "answer_timed_out")

    @handles(ConnectionClosed)
    def on_closed(self, now: float, event: ConnectionClosed) -> list[object]:
        ticket = self._own.by_connection.get(event.connection)
        if ticket is None:
            return []
        work = self._own.active[ticket]
        return self.lose(now, work, "connection_closed", event.sent)

    @handles(CallerGone)
    def on_caller_gone(self, now: float, event: CallerGone) -> list[object]:
        work = self._own.active.get(event.ticket)
        if work is None:
            return []
        work.gone = True
        gone = Unknown("caller_gone", "the caller left", work.step.value, work.member)
        if work.step in WAITING and not work.maybe_ran:
            return self.finish(now, work, gone)
        if work.step is Step.STATEMENT:
            ended = TransactionEnded(work.request.transaction, False)
            return [ended, *self.finish(now, work, gone, clean=False)]
        return []

    @handles(TransactionExpired)
    def on_transaction_expired(
        self, now: float, event: TransactionExpired
    ) -> list[object]:
        transaction = self._blackboard.transactions.open.get(event.transaction)
        if transaction is None:
            return []
        ended = TransactionEnded(event.transaction, False)
        work = self._own.active.get(transaction.ticket)
        if work is not None:
            expired = Unknown(
                "transaction_expired",
                "the transaction exceeded its time limit",
                work.step.value,
                work.member,
            )
            return [ended, *self.finish(now, work, expired, clean=False)]
        released = ConnectionReleased(
            transaction.lease, transaction.connection, False, "transaction_expired"
        )
        return [ended, released]

    @handles(RetryDecided)
    def on_retry_decided(self, now: float, event: RetryDecided) -> list[object]:
        work = self._own.active.get(event.ticket)
        if work is None or work.step is not Step.BACKOFF:
            return []
        if not event.allowed:
            return self.fail(now, work, work.code, "the retry budget is used up")
        if event.resume_at >= work.deadline:
            return self.fail(now, work, work.code, "no time is left for a retry")
        work.resume_at = event.resume_at
        return []

    @handles(PrimaryChanged, MemberLost)
    def on_member_changed(
        self, now: float, event: PrimaryChanged | MemberLost
    ) -> list[object]:
        return self._reroute(now, event.database, resume=True)

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[object]:
        items: list[object] = []
        all_due = now >= self._reroute_at
        if all_due:
            self._reroute_at = now + REROUTE_INTERVAL
        for database, waiting in self._own.waiting.items():
            if waiting and all_due:
                items += self._reroute(now, database)
            for work in list(waiting.values()):
                if work.step is Step.BACKOFF and work.resume_at <= now:
                    items += self.route(now, work)
        return items

    # --- for the steps

    def database(self, work: Work) -> Database:
        name = work.request.database
        database: Database | None = self._blackboard.topology.databases.get(name)
        return database or Database(name)

    def is_deposed(self, work: Work, answer: Answer) -> bool:
        """Tells whether ``answer`` comes from a term that was replaced."""
        return answer.term < self.database(work).term

    def route(self, now: float, work: Work) -> list[object]:
        """Queues the request for a connection that suits its next step."""
        if now >= work.deadline:
            return self.fail(now, work, "deadline", "the deadline has passed")
        work.step = Step.QUEUED
        self._own.waiting.setdefault(work.request.database, {})[work.ticket] = work
        self._set_route(now, work, self._select(now, work))
        return self._want(work)

    def send(self, now: float, work: Work, step: Step) -> list[object]:
        """Sends the call of ``step`` on the connection that the request holds."""
        work.step = step
        correlation = next(self._correlations)
        work.call = make_call(now, work, step, correlation, self._settings)
        return [SendCall(work.connection, work.call)]

    def retry(
        self,
        now: float,
        work: Work,
        goal: Step,
        free: bool = False,
        clean: bool = True,
        reason: str = "",
    ) -> list[object]:
        """Gives the connection back and takes ``goal`` later, if retries allow it."""
        items = self._release(work, clean, reason)
        work.lost_at = work.step
        work.goal = goal
        work.attempts += 1
        if reason == "behind" and work.attempts <= len(self.database(work).members):
            return [*items, *self.route(now, work)]
        work.step = Step.BACKOFF
        work.resume_at = work.deadline
        self._own.waiting.setdefault(work.request.database, {})[work.ticket] = work
        organisation = work.request.organisation
        items.append(RetryWanted(work.ticket, organisation, work.attempts, free))
        return items

    def look_up(self, now: float, work: Work, clean: bool = True) -> list[object]:
        """Asks the current primary for the recorded result of the request id."""
        items = self._release(work, clean, work.code)
        work.lost_at = work.step
        work.goal = Step.LOOKUP
        return [*items, *self.route(now, work)]

    def lose(
        self, now: float, work: Work, reason: str, sent: bool = True
    ) -> list[object]:
        """Handles the loss of an answer; its connection is not used again."""
        metric = EmitMetric("counter", "answers.lost")
        return [metric, *on_lost(self, now, work, reason, sent)]

    def keep_connection(self, work: Work) -> None:
        """Leaves the connection to the transaction when the request ends."""
        self._own.by_connection.pop(work.connection, None)
        work.connection = 0

    def fail(
        self, now: float, work: Work, code: str, message: str, clean: bool = True
    ) -> list[object]:
        """Ends a request without a result: not run if that is certain."""
        step = work.lost_at if work.step in WAITING and work.lost_at else work.step
        outcome = NotRun(code, message, step.value, work.member)
        return self.finish(now, work, outcome, clean)

    def finish(
        self, now: float, work: Work, outcome: Outcome, clean: bool = True
    ) -> list[object]:
        """Ends the request, replies once and gives the connection back."""
        if isinstance(outcome, NotRun) and work.maybe_ran:
            outcome = Unknown(outcome.code, outcome.message, outcome.step, outcome.peer)
        ticket = work.ticket
        items: list[object] = []
        if work.step is Step.QUEUED and not work.connection:
            items.append(ConnectionWithdrawn(ticket))
        items += self._release(work, clean, "" if clean else outcome.step)
        if work.transaction is not None:
            items.append(TransactionUsed(work.request.transaction, 0))
        self._set_route(now, work, NOWHERE)
        self._own.waiting.get(work.request.database, {}).pop(ticket, None)
        del self._own.active[ticket]
        items += self._metrics(now, work, outcome)
        if not work.gone:
            token = self._blackboard.sessions.ring.sign(work.token)
            items.append(Reply(ticket, outcome, token, work.member))
        items.append(RequestFinished(ticket, outcome))
        return items

    # --- helpers

    def _metrics(self, now: float, work: Work, outcome: Outcome) -> list[object]:
        milliseconds = (now - work.started_at) * 1_000
        items: list[object] = [
            EmitMetric("counter", f"outcomes.{outcome.tag}"),
            EmitMetric("timer", "requests.time", milliseconds),
        ]
        if isinstance(outcome, Done) and work.is_read:
            role = "primary" if outcome.role == "primary" else "replica"
            items.append(EmitMetric("counter", f"reads.{role}"))
        return items

    def _select(self, now: float, work: Work) -> Route:
        request = work.request
        database = self._blackboard.topology.databases.get(request.database)
        if database is None:
            return NOWHERE
        if not work.is_read:
            position = work.token.position(request.database)
            return self._router.primary_route(now, database, position)
        route = self._router.read_route(
            now,
            database,
            self._blackboard.pools.databases.get(request.database),
            work.token.position(request.database),
            work.request_class.max_age,
            request.data_centre,
            work.excluded,
        )
        if route.fallback and not work.route.fallback:
            running = self._own.fallbacks[request.database]
            if running >= self._settings.data_path.fallback_reads:
                return NOWHERE
        return route

    def _set_route(self, now: float, work: Work, route: Route) -> None:
        database = work.request.database
        self._own.fallbacks[database] += route.fallback - work.route.fallback
        work.route = route
        work.routed_at = now

    def _want(self, work: Work) -> list[object]:
        request_class = work.request_class
        return [
            ConnectionWanted(
                work.ticket,
                work.request.database,
                work.route.members,
                request_class.priority,
                work.deadline,
                work.request.organisation,
                request_class.name,
                request_class.queue_limit,
            )
        ]

    def _reroute(self, now: float, database: str, resume: bool = False) -> list[object]:
        """Routes waiting requests again after a change of members or positions."""
        items: list[object] = []
        for work in list(self._own.waiting.get(database, {}).values()):
            if work.step is Step.BACKOFF:
                if resume:
                    items += self.route(now, work)
                continue
            members = work.route.members
            # Members that were behind may have caught up meanwhile.
            work.excluded = ()
            self._set_route(now, work, self._select(now, work))
            if work.route.members != members:
                items += self._want(work)
        return items

    def _take(self, work: Work, connection: int, member: str) -> None:
        work.connection = connection
        work.member = member
        self._own.by_connection[connection] = work.ticket
        self._own.waiting.get(work.request.database, {}).pop(work.ticket, None)

    def _release(self, work: Work, clean: bool, reason: str) -> list[object]:
        connection = work.connection
        if not connection:
            return []
        self._own.by_connection.pop(connection, None)
        work.connection = 0
        work.call = None
        return [ConnectionReleased(work.lease, connection, clean, reason)]
