"""Routes, sends, retries and finishes requests."""

from collections import Counter
from itertools import count
from random import Random
from typing import Any

from bronzemoor_core.actions import Answer, EmitMetric, Reply, SendCall
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.calls import make_call
from bronzemoor_core.controllers import Controller
from bronzemoor_core.internal_events import (
    ConnectionReleased,
    ConnectionWanted,
    ConnectionWithdrawn,
    RequestFinished,
    RetryWanted,
    TransactionUsed,
)
from bronzemoor_core.membership import Database
from bronzemoor_core.outcomes import Done, NotRun, Outcome, Unknown
from bronzemoor_core.routing import NO_ROUTE, Route, Router
from bronzemoor_core.work import WAITING_STEPS, Step, Work

# Retries fail once this multiple of the queue limit waits for the database.
WAITING_LIMIT_FACTOR = 2


@section("requests")
class Requests:
    """Requests in progress by ticket, the ticket served on each connection, waiting
    requests by database, and counts of reads that a primary serves as a fallback."""

    __slots__ = ("active", "by_connection", "fallbacks", "waiting")

    def __init__(self) -> None:
        self.active: dict[int, Work] = {}
        self.by_connection: dict[int, int] = {}
        self.fallbacks: Counter[str] = Counter()
        self.waiting: dict[str, dict[int, Work]] = {}


class RequestFlow(Controller):
    """Operations shared by the handlers of request steps and of events."""

    _section: Requests

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._router = Router(settings, random)
        self._correlations = count(2, 2)

    @property
    def settings(self) -> Any:
        return self._settings

    @property
    def random(self) -> Random:
        return self._random

    def database(self, work: Work) -> Database:
        name = work.request.database
        database: Database | None = self._blackboard.topology.databases.get(name)
        return database or Database(name)

    def is_deposed(self, work: Work, answer: Answer) -> bool:
        """Returns whether ``answer`` comes from a primary that was replaced."""
        database = self.database(work)
        return answer.term < database.term and work.member != database.primary

    def route(self, now: float, work: Work) -> list[object]:
        """Queues the request for a connection that suits its next step."""
        if now >= work.deadline:
            return self.fail(now, work, "deadline", "the deadline has passed")
        work.step = Step.QUEUED
        self._section.waiting.setdefault(work.request.database, {})[work.ticket] = work
        self._set_route(now, work, self._select_route(now, work))
        return self._request_connection(work)

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
        next_step: Step,
        free: bool = False,
        clean: bool = True,
        reason: str = "",
    ) -> list[object]:
        """Releases the connection and schedules ``next_step``, if a retry is allowed.

        A ``free`` retry is not charged to the retry budget.
        """
        items = self._release_connection(work, clean, reason)
        work.lost_step = work.step
        work.next_step = next_step
        work.attempts += 1
        waiting = self._section.waiting.setdefault(work.request.database, {})
        if len(waiting) >= WAITING_LIMIT_FACTOR * self._settings.data_path.queue_limit:
            return [
                *items,
                *self.fail(
                    now, work, "queue_full", "too many requests wait for a retry"
                ),
            ]
        if reason == "behind" and work.attempts <= len(self.database(work).members):
            return [*items, *self.route(now, work)]
        work.step = Step.BACKOFF
        work.resume_at = work.deadline
        waiting[work.ticket] = work
        organisation = work.request.organisation
        items.append(RetryWanted(work.ticket, organisation, work.attempts, free))
        return items

    def look_up(self, now: float, work: Work, clean: bool = True) -> list[object]:
        """Asks the current primary for the recorded result of the request id."""
        items = self._release_connection(work, clean, work.code)
        work.lost_step = work.step
        work.next_step = Step.LOOKUP
        return [*items, *self.route(now, work)]

    def keep_connection(self, work: Work) -> None:
        """Leaves the connection to the transaction when the request ends."""
        self._section.by_connection.pop(work.connection, None)
        work.connection = 0

    def fail(
        self, now: float, work: Work, code: str, message: str, clean: bool = True
    ) -> list[object]:
        """Ends a request without a result: *not run* if certain, else *unknown*."""
        step = (
            work.lost_step
            if work.step in WAITING_STEPS and work.lost_step
            else work.step
        )
        outcome = NotRun(code, message, step.value, work.member)
        return self.finish(now, work, outcome, clean)

    def finish(
        self, now: float, work: Work, outcome: Outcome, clean: bool = True
    ) -> list[object]:
        """Ends the request, sends its only reply and releases the connection."""
        if isinstance(outcome, NotRun) and work.maybe_ran:
            outcome = Unknown(outcome.code, outcome.message, outcome.step, outcome.peer)
        ticket = work.ticket
        items: list[object] = []
        if work.step is Step.QUEUED and not work.connection:
            items.append(ConnectionWithdrawn(ticket))
        items += self._release_connection(work, clean, "" if clean else outcome.step)
        if work.transaction is not None:
            items.append(TransactionUsed(work.request.transaction, 0))
        fallback = work.route.fallback
        self._set_route(now, work, NO_ROUTE)
        self._section.waiting.get(work.request.database, {}).pop(ticket, None)
        del self._section.active[ticket]
        if fallback:
            items += self._admit_next_fallback(now, work.request.database)
        items += self._outcome_metrics(now, work, outcome)
        if not work.caller_gone:
            token = self._blackboard.sessions.key_ring.sign(work.token)
            items.append(Reply(ticket, outcome, token, work.member))
        items.append(RequestFinished(ticket, outcome))
        return items

    def _outcome_metrics(
        self, now: float, work: Work, outcome: Outcome
    ) -> list[object]:
        milliseconds = (now - work.started_at) * 1_000
        items: list[object] = [
            EmitMetric("counter", f"outcomes.{outcome.tag}"),
            EmitMetric("timer", "requests.time", milliseconds),
        ]
        if isinstance(outcome, Done) and work.is_read:
            role = "primary" if outcome.role == "primary" else "replica"
            items.append(EmitMetric("counter", f"reads.{role}"))
        return items

    def _select_route(self, now: float, work: Work) -> Route:
        request = work.request
        database = self._blackboard.topology.databases.get(request.database)
        if database is None:
            return NO_ROUTE
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
            running = self._section.fallbacks[request.database]
            if running >= self._settings.data_path.fallback_reads:
                return NO_ROUTE
        return route

    def _set_route(self, now: float, work: Work, route: Route) -> None:
        database = work.request.database
        self._section.fallbacks[database] += route.fallback - work.route.fallback
        work.route = route
        work.routed_at = now

    def _request_connection(self, work: Work) -> list[object]:
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

    def _admit_next_fallback(self, now: float, database: str) -> list[object]:
        """Gives a freed fallback slot at the primary to the next waiting read."""
        for work in self._section.waiting.get(database, {}).values():
            if work.is_read and work.step is Step.QUEUED and not work.route.members:
                self._set_route(now, work, self._select_route(now, work))
                return self._request_connection(work) if work.route.members else []
        return []

    def _reroute_waiting(
        self, now: float, database: str, resume: bool = False
    ) -> list[object]:
        """Routes waiting requests again after a change of members or positions."""
        items: list[object] = []
        known = self._blackboard.topology.databases.get(database)
        primary = self._router.primary_route(now, known).members if known else ()
        for work in list(self._section.waiting.get(database, {}).values()):
            if work.step is Step.BACKOFF:
                if resume:
                    items += self.route(now, work)
                continue
            members = work.route.members
            if not work.is_read and members == primary:
                continue
            # Replicas that lagged may have caught up since.
            work.excluded = ()
            self._set_route(now, work, self._select_route(now, work))
            if work.route.members != members:
                items += self._request_connection(work)
        return items

    def _assign_connection(self, work: Work, connection: int, member: str) -> None:
        work.connection = connection
        work.member = member
        self._section.by_connection[connection] = work.ticket
        self._section.waiting.get(work.request.database, {}).pop(work.ticket, None)

    def _release_connection(self, work: Work, clean: bool, reason: str) -> list[object]:
        connection = work.connection
        if not connection:
            return []
        self._section.by_connection.pop(connection, None)
        work.connection = 0
        work.call = None
        return [ConnectionReleased(work.connection_ticket, connection, clean, reason)]
