"""Enforces the limits of what clients make a process hold."""

from collections import Counter, OrderedDict
from collections.abc import Callable
from heapq import nlargest, nsmallest
from itertools import islice
from operator import itemgetter
from typing import TYPE_CHECKING, cast

from bronzemoor_core.wire.clientbudget import ClientBudget, ClientLimits
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.metrics import WireMetrics

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.clientstream import ClientConnection

# From the connection to the end of its first message, and from the first byte of a
# message to its end. 1 MiB in this time is less than 1 Mbit/s.
FIRST_MESSAGE_TIMEOUT_SECONDS = 10.0
STARTED_MESSAGE_TIMEOUT_SECONDS = 10.0
# How long a client may read nothing of an answer. Equal to the TCP user timeout of
# clients, after which the kernel ends a connection whose window stays closed.
UNREAD_ANSWER_TIMEOUT_SECONDS = 10.0
# An answer that is unsent for less may still be in flight; it is not closed for others.
MIN_UNREAD_SECONDS = 1.0
# A session that was just answered is likely to have a statement on its way.
MIN_IDLE_SECONDS = 0.5
SWEEP_INTERVAL_SECONDS = 0.5
LOG_INTERVAL_SECONDS = 1.0
LOGGED_HOLDERS = 3
# Idle sessions that are found by one search through all sessions.
LISTED_IDLE_SESSIONS = 64
# Messages in use that are passed over in the search for one to interrupt.
MAX_PASSED_OVER = 256

# Reasons for refusals and closes.
DESCRIPTORS = "descriptors"
FIRST_MESSAGE = "first_message"
STARTED_MESSAGE = "started_message"
UNREAD_ANSWER = "unread_answer"
UNREAD_FOR_OTHERS = "unread_for_others"
NO_ROOM_FOR_ANSWER = "no_room_for_answer"
TOO_LARGE = "too_large"
TOO_MANY_STATEMENTS = "too_many_statements"
STATE_TOO_LARGE = "state_too_large"


class ClientGuard:
    """Admits client connections and closes those that exceed a limit."""

    def __init__(
        self,
        limits: ClientLimits,
        report: Callable[..., None],
        metrics: WireMetrics,
    ) -> None:
        self._limits = limits
        self._report = report
        self._metrics = metrics
        self._closed: Counter[str] = Counter()
        self._logged_at = self._swept_at = self._listed_at = float("-inf")
        self.budget = ClientBudget(self._limits.budget_bytes)
        metrics.client_bytes.sources.append(self.budget.by_kind)
        self.sessions: set[ClientConnection] = set()
        # Idle sessions that make room next, with the time of their last data.
        self._longest_idle: list[tuple[float, ClientConnection]] = []
        self._list_was_full = False
        # Connections without a complete message, and those with an incomplete message,
        # by their time of opening and of the message's first byte.
        self.unstarted: OrderedDict[ClientConnection, float] = OrderedDict()
        self.incomplete: OrderedDict[ClientConnection, float] = OrderedDict()
        # Connections with unsent answers, and since when and with which progress.
        self.unread: OrderedDict[ClientConnection, Unread] = OrderedDict()

    @property
    def backlog(self) -> int:
        """Connections that may be accepted at once before others make room."""
        return self._limits.reserved_descriptors // 2

    # --- connections

    def admit(self, stream: "ClientConnection") -> bool:
        """Adds a connection; another one makes room where the bound is reached."""
        if len(self.sessions) >= self._limits.max_sessions:
            victim = self._find_idle(boottime())
            if victim is None:
                self.count(DESCRIPTORS)
                return False
            victim.drop(DESCRIPTORS)
        self.sessions.add(stream)
        self.unstarted[stream] = boottime()
        return True

    def discard(self, stream: "ClientConnection") -> None:
        self.sessions.discard(stream)
        self.unstarted.pop(stream, None)
        self.incomplete.pop(stream, None)
        self.unread.pop(stream, None)

    def _find_idle(self, now: float) -> "ClientConnection | None":
        """Returns the connection whose end interrupts least.

        A connection that never sent a message comes first, then the longest idle
        session, then the message that was begun first.
        """
        for stream in self.unstarted:
            return stream
        if (idle := self._next_idle(now)) is not None:
            return idle
        for stream in islice(self.incomplete, MAX_PASSED_OVER):
            if not stream.is_in_use:
                return stream
        return None

    def _next_idle(self, now: float) -> "ClientConnection | None":
        """Returns the longest idle session, from a list that is made for many."""
        for _ in range(2):
            while self._longest_idle:
                since, stream = self._longest_idle.pop()
                unused = since == stream.last_received_at and stream.is_idle
                if stream in self.sessions and unused:
                    return stream
            if now - self._listed_at < MIN_IDLE_SECONDS and not self._list_was_full:
                return None
            self._listed_at = now
            idle = (
                (stream.last_received_at, stream)
                for stream in self.sessions
                if now - stream.last_received_at >= MIN_IDLE_SECONDS and stream.is_idle
            )
            found = nsmallest(LISTED_IDLE_SESSIONS, idle, key=itemgetter(0))
            self._longest_idle = found[::-1]
            self._list_was_full = len(found) == LISTED_IDLE_SESSIONS
        return None

    # --- bytes

    def make_room_for_answer(self, stream: "ClientConnection", amount: int) -> bool:
        """Acquires bytes for an answer; the slowest readers make room for it."""
        now = boottime()
        while not stream.holding.set_unsent(amount):
            for other, unread in self.unread.items():
                if other is not stream and now - unread.since > MIN_UNREAD_SECONDS:
                    other.drop(UNREAD_FOR_OTHERS)
                    break
            else:
                return False
        return True

    def resume_waiting(self) -> None:
        """Resumes reading for clients that have waited for the budget."""
        while (holding := self.budget.next_granted()) is not None:
            cast("ClientConnection", holding.owner).resume_reading()

    # --- time limits

    def sweep(self) -> None:
        """Closes connections whose time is up; called regularly."""
        now = boottime()
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS:
            return
        self._swept_at = now
        for waiting, limit, reason in (
            (self.unstarted, FIRST_MESSAGE_TIMEOUT_SECONDS, FIRST_MESSAGE),
            (self.incomplete, STARTED_MESSAGE_TIMEOUT_SECONDS, STARTED_MESSAGE),
        ):
            while waiting:
                stream, since = next(iter(waiting.items()))
                if now - since <= limit:
                    break
                if stream.is_held_back:
                    waiting[stream] = now
                    waiting.move_to_end(stream)
                    continue
                stream.refuse(reason)
                waiting.pop(stream, None)
        for stream, unread in list(self.unread.items()):
            size = stream.settle_unsent()
            if not size:
                # A small rest is sent without a pause of writing.
                self.unread.pop(stream, None)
            elif unread.record(now, size) and stream in self.unread:
                stream.drop(UNREAD_ANSWER)
        self._log(now)

    # --- log

    def count(self, reason: str) -> None:
        """Counts a refusal or a close."""
        self._metrics.limited_clients.add(reason)
        self._closed[reason] += 1

    def _log(self, now: float) -> None:
        """Logs limits that were reached, at most once in ``LOG_INTERVAL_SECONDS``."""
        waiting = self.budget.waiting_count
        if (
            not (self._closed or waiting)
            or now - self._logged_at < LOG_INTERVAL_SECONDS
        ):
            return
        self._logged_at = now
        largest = nlargest(
            LOGGED_HOLDERS, self.sessions, key=lambda stream: stream.holding.total
        )
        self._report(
            "warning",
            "clients_limited",
            closed=",".join(f"{k}:{n}" for k, n in sorted(self._closed.items())),
            waiting=waiting,
            held=self.budget.used,
            limit=self.budget.limit,
            sessions=len(self.sessions),
            max_sessions=self._limits.max_sessions,
            largest=",".join(f"{s.peer}={s.holding.total}" for s in largest),
        )
        self._closed.clear()


class Unread:
    """Progress of a client in reading its answers."""

    __slots__ = ("_changed_at", "_size", "since")

    def __init__(self, now: float, size: int) -> None:
        self._changed_at = self.since = now
        self._size = size

    def record(self, now: float, size: int) -> bool:
        """Records the unsent bytes; returns whether the client is too slow."""
        if size != self._size:
            self._size, self._changed_at = size, now
        return now - self._changed_at > UNREAD_ANSWER_TIMEOUT_SECONDS
