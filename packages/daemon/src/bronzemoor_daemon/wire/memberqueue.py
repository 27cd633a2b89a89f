"""The statements of a proxy that wait for a connection to one member."""

import asyncio
from collections.abc import Callable, Iterator
from random import Random

from bronzemoor_core.wire.connectionshares import choose_next
from bronzemoor_core.wire.waiting import (
    REFUSED_SHARE,
    REFUSED_TIME,
    Rank,
    ServiceRate,
    Waiter,
    WaitingQueue,
    is_admitted,
)
from bronzemoor_daemon.wire.clock import logged_ms
from bronzemoor_daemon.wire.exceptions import NoConnection, Refused
from bronzemoor_daemon.wire.memberconnection import MemberConnection
from bronzemoor_daemon.wire.metrics import WireMetrics

ConnectionWaiter = Waiter[asyncio.Future[MemberConnection]]
# Why a statement waits, for the metrics: the connections of its caller are in use, none
# is open for its caller, or all connections to the member are in use.
OWN_IN_USE, OPENING, ALL_IN_USE = "own_in_use", "opening", "all_in_use"


class MemberQueue:
    """Wakes up waiting statements in order, and refuses what waits in vain."""

    def __init__(
        self,
        member: str,
        report: Callable[..., None],
        metrics: WireMetrics,
        random: Random,
    ) -> None:
        self._member = member
        self._report = report
        self._metrics = metrics
        self._random = random
        self._queue: WaitingQueue[asyncio.Future[MemberConnection]] = WaitingQueue(
            has_ended=lambda future: future.done()
        )
        self._rate = ServiceRate()

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def mean_hold(self) -> float:
        """Mean time in seconds for which a statement holds a connection."""
        return self._rate.mean_hold

    def waiting(self, caller: str) -> int:
        """Returns the number of waiting statements of a caller."""
        return self._queue.waiting(caller)

    def heads(self, now: float) -> Iterator[ConnectionWaiter]:
        """Yields the first waiter of each caller and rank in order."""
        return self._queue.heads(now)

    def first(self, now: float, caller: str) -> ConnectionWaiter | None:
        """Returns the first waiter of a caller."""
        return self._queue.first(now, caller)

    def choose_next(
        self,
        now: float,
        caller: str,
        needs_connection: Callable[[ConnectionWaiter], bool],
    ) -> ConnectionWaiter | None:
        """Returns whom a connection that ``caller`` releases makes room for."""
        return choose_next(now, self._queue, caller, needs_connection)

    def record_hold(self, now: float, seconds: float) -> None:
        """Records for how long a released connection was in use."""
        self._rate.record_hold(now, seconds)

    def check_wait(self, now: float, rank: Rank, caller: str, remaining: float) -> None:
        """Raises ``Refused`` if a new statement cannot be served in time."""
        ahead = self._queue.ahead(rank, caller)
        wait = self._rate.expected_wait(now, ahead)
        turn = self._rate.expected_wait(now, self._queue.waiting(caller), caller)
        expected = wait if turn is None else max(wait or 0.0, turn)
        if not is_admitted(expected, remaining):
            raise self._refuse(now, REFUSED_TIME, caller, ahead, expected, remaining)

    def add(
        self, now: float, rank: Rank, caller: str, timeout: float, reason: str
    ) -> ConnectionWaiter:
        """Adds a waiter; the one that a full queue has no place for is refused."""
        future: asyncio.Future[MemberConnection] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = Waiter(rank, caller, now, now + timeout, future)
        self._metrics.waiting_statements.add(reason)
        dropped = self._queue.add(waiter)
        if dropped is not None and not dropped.handle.done():
            refusal = self._refuse(
                now, REFUSED_SHARE, dropped.caller, len(self._queue), None,
                dropped.deadline - now,
            )  # fmt: skip
            dropped.handle.set_exception(refusal)
        return waiter

    def serve(
        self, now: float, waiter: ConnectionWaiter, connection: MemberConnection
    ) -> None:
        """Gives a connection to a waiter."""
        connection.acquired_at = now
        self._queue.serve(waiter)
        self._rate.record_served(now, waiter.caller)
        waiter.handle.set_result(connection)
        self._end_backlog()

    def discard(self, waiter: ConnectionWaiter) -> None:
        """Removes a statement that no longer waits."""
        self._queue.discard(waiter)
        self._end_backlog()

    def fail(self, error: NoConnection) -> None:
        """Ends the wait of all statements."""
        for waiter in self._queue.all():
            self._queue.discard(waiter)
            if not waiter.handle.done():
                waiter.handle.set_exception(error)
        self._end_backlog()

    def _end_backlog(self) -> None:
        if not len(self._queue):
            self._rate.record_empty()

    def _refuse(
        self,
        now: float,
        reason: str,
        caller: str,
        ahead: int,
        expected: float | None,
        remaining: float,
    ) -> Refused:
        """Logs and counts that a statement is refused; returns the exception."""
        self._metrics.refused_operations.add(reason)
        retry_ms = int(1_000 * self._rate.retry_after(now, ahead, self._random))
        self._report(
            "info",
            "wait_refused",
            member=self._member,
            reason=reason,
            caller=caller,
            ahead=ahead,
            waiting=len(self._queue),
            waiting_of_caller=self._queue.waiting(caller),
            hold_ms=logged_ms(self._rate.mean_hold),
            age_ms=logged_ms(self._rate.age(now)),
            expected_ms=-1 if expected is None else logged_ms(expected),
            remaining_ms=logged_ms(remaining),
            retry_after_ms=retry_ms,
        )
        return Refused(f"retry_after_ms={retry_ms}", step="pool", peer=self._member)
