"""Graceful stop of a daemon in stages."""

from collections.abc import Iterable
from random import Random
from typing import Any

from bronzemoor_core.actions import EmitLog, Exit, StopListening
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import StopRequested, Tick
from bronzemoor_core.internal_events import TransactionExpired

SERVING = "serving"
# Not ready, but still serving, so that load balancers have time to notice.
LEAVING = "leaving"
# No new connections; requests and open transactions may finish.
FINISHING = "finishing"
# Open transactions are rolled back; the remaining requests wait for their answers.
CLEANING = "cleaning"
STOPPED = "stopped"

EXIT_CLEAN = 0
EXIT_INCOMPLETE = 1


@section("drain")
class Drain:
    """Stage of the stop, its deadline in seconds, and counts of aborted work."""

    __slots__ = ("aborted_requests", "rolled_back_transactions", "deadline", "stage")

    def __init__(self) -> None:
        self.stage = SERVING
        self.deadline = 0.0
        self.aborted_requests = 0
        self.rolled_back_transactions = 0


@controller("drain")
class DrainController(Controller):
    """Owns the drain section."""

    _section: Drain

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._stage_handlers = {
            LEAVING: self._leave,
            FINISHING: self._finish,
            CLEANING: self._clean,
        }

    @handles(StopRequested)
    def on_stop(self, now: float, event: StopRequested) -> list[object]:
        """Starts the stop; a repeated request changes nothing."""
        if self._section.stage != SERVING:
            return []
        return [self._enter_stage(now, LEAVING, self._settings.drain.delay)]

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[object]:
        handle_stage = self._stage_handlers.get(self._section.stage)
        return handle_stage(now) if handle_stage is not None else []

    def _leave(self, now: float) -> list[object]:
        if now < self._section.deadline:
            return []
        drain = self._settings.drain
        return [StopListening(), self._enter_stage(now, FINISHING, drain.grace)]

    def _finish(self, now: float) -> list[object]:
        transactions = self._blackboard.transactions.open
        busy = self._blackboard.requests.active or transactions
        if busy and now < self._section.deadline:
            return []
        items = list(self._roll_back_transactions(transactions.values()))
        return [*items, self._enter_stage(now, CLEANING, self._settings.drain.cleanup)]

    def _clean(self, now: float) -> list[object]:
        active = self._blackboard.requests.active
        if active and now < self._section.deadline:
            return []
        items: list[object] = []
        for work in active.values():
            self._section.aborted_requests += 1
            request = work.request
            fields = {
                "organisation": request.organisation,
                "database": request.database,
                "request_id": request.request_id,
                "step": work.step.value,
                "peer": work.member,
            }
            items.append(EmitLog("warning", "drain_request_cut", fields))
        aborted = (
            self._section.aborted_requests + self._section.rolled_back_transactions
        )
        self._section.stage = STOPPED
        reason = f"{aborted} cut short" if aborted else "all work finished"
        return [*items, Exit(EXIT_INCOMPLETE if aborted else EXIT_CLEAN, reason)]

    def _roll_back_transactions(self, transactions: Iterable[Any]) -> Iterable[object]:
        for transaction in transactions:
            if transaction.committing:
                # The endpoint decides its outcome; the request still waits for it.
                continue
            self._section.rolled_back_transactions += 1
            fields = {
                "transaction": transaction.name,
                "organisation": transaction.organisation,
                "database": transaction.database,
                "peer": transaction.member,
            }
            yield EmitLog("warning", "drain_transaction_rolled_back", fields)
            yield TransactionExpired(transaction.name)

    def _enter_stage(self, now: float, stage: str, duration: float) -> EmitLog:
        """Enters ``stage``, whose deadline is ``duration`` seconds away."""
        self._section.stage = stage
        self._section.deadline = now + duration
        fields = {
            "stage": stage,
            "seconds": duration,
            "requests": len(self._blackboard.requests.active),
            "transactions": len(self._blackboard.transactions.open),
        }
        return EmitLog("info", "drain_stage", fields)
