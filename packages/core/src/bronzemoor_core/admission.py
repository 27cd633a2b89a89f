"""Bounded priority queues of requests that wait for a connection."""

from bisect import bisect_left, insort
from dataclasses import dataclass, field

from bronzemoor_core.actions import EmitMetric
from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import Tick
from bronzemoor_core.internal_events import (
    ConnectionGranted,
    ConnectionRefused,
    ConnectionReleased,
    ConnectionWanted,
    ConnectionWithdrawn,
    QueueChanged,
    TransactionOpened,
)

# Weight of the newest sample in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
GAUGE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True, order=True)
class QueueEntry:
    """A waiting request; ordered by priority, then deadline, then arrival."""

    priority: int
    deadline: float
    sequence: int
    enqueued_at: float = field(compare=False)
    wanted: ConnectionWanted = field(compare=False)


@dataclass(slots=True)
class Queue:
    """Waiting requests of one database in order of service.

    ``groups`` holds the same requests by the members that may serve them, so that
    requests without a usable member do not block the others. ``service_time`` is the
    average time in seconds that a request holds a connection.
    """

    entries: list[QueueEntry] = field(default_factory=list)
    groups: dict[tuple[str, ...], list[QueueEntry]] = field(default_factory=dict)
    by_ticket: dict[int, QueueEntry] = field(default_factory=dict)
    class_counts: dict[tuple[str, str], int] = field(default_factory=dict)
    service_time: float = 0.0

    def add(self, entry: QueueEntry) -> None:
        insort(self.entries, entry)
        wanted = entry.wanted
        insort(self.groups.setdefault(wanted.members, []), entry)
        self.by_ticket[wanted.ticket] = entry
        self._count(wanted, 1)

    def remove(self, ticket: int) -> QueueEntry | None:
        entry = self.by_ticket.pop(ticket, None)
        if entry is not None:
            del self.entries[bisect_left(self.entries, entry)]
            group = self.groups[entry.wanted.members]
            del group[bisect_left(group, entry)]
            if not group:
                del self.groups[entry.wanted.members]
            self._count(entry.wanted, -1)
        return entry

    def waiting_in_class(self, wanted: ConnectionWanted) -> int:
        """Returns the number of waiting requests of the same organisation and class."""
        return self.class_counts.get((wanted.organisation, wanted.request_class), 0)

    def record_service_time(self, duration: float) -> None:
        weight = SERVICE_TIME_WEIGHT if self.service_time else 1.0
        self.service_time += weight * (duration - self.service_time)

    def _count(self, wanted: ConnectionWanted, change: int) -> None:
        key = (wanted.organisation, wanted.request_class)
        self.class_counts[key] = self.class_counts.get(key, 0) + change
        if not self.class_counts[key]:
            del self.class_counts[key]


@section("queues")
class Queues:
    """Queues by database; ``granted_at`` is when each ticket got its connection."""

    __slots__ = ("databases", "granted_at", "database_by_ticket")

    def __init__(self) -> None:
        self.databases: dict[str, Queue] = {}
        self.granted_at: dict[int, float] = {}
        self.database_by_ticket: dict[int, str] = {}

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests by database."""
        return {name: len(queue.entries) for name, queue in self.databases.items()}

    def depth(self, database: str) -> int:
        """Returns the number of requests that wait for a connection to ``database``."""
        queue = self.databases.get(database)
        return len(queue.entries) if queue else 0


@controller("queues")
class AdmissionController(Controller):
    """Owns the queues section: admits, refuses and displaces waiting requests."""

    _section: Queues
    _sequence = 0
    _next_gauge_at = 0.0

    @handles(ConnectionWanted)
    def on_wanted(self, now: float, event: ConnectionWanted) -> list[object]:
        if event.ticket in self._blackboard.pools.by_ticket:
            # Already granted, or not released yet: the request asks again after that.
            return []
        queue = self._section.databases.setdefault(event.database, Queue())
        queued = self._remove(event.ticket)
        if queued is not None:
            # A request that is rerouted to other members keeps its place in the queue.
            queued.wanted = event
            queue.add(queued)
            self._section.database_by_ticket[event.ticket] = event.database
            return [QueueChanged(event.database)]
        self._sequence += 1
        entry = QueueEntry(event.priority, event.deadline, self._sequence, now, event)
        refused = self._refusal(now, queue, entry)
        if refused is not None:
            return [EmitMetric("counter", f"queue.refused.{refused.code}"), refused]
        items: list[object] = self._displace(queue, entry)
        queue.add(entry)
        self._section.database_by_ticket[event.ticket] = event.database
        items.append(QueueChanged(event.database))
        return items

    @handles(ConnectionGranted)
    def on_granted(self, now: float, event: ConnectionGranted) -> list[object]:
        entry = self._remove(event.ticket)
        if entry is None:
            return []
        self._section.granted_at[event.ticket] = now
        return [EmitMetric("timer", "queue.wait", (now - entry.enqueued_at) * 1_000)]

    @handles(ConnectionReleased)
    def on_released(self, now: float, event: ConnectionReleased) -> None:
        granted_at = self._section.granted_at.pop(event.ticket, None)
        database = self._blackboard.pools.database_of(event.connection)
        queue = self._section.databases.get(database)
        # After a lost answer the elapsed time is the timeout, not the service time.
        if granted_at is not None and queue is not None and event.clean:
            queue.record_service_time(now - granted_at)

    @handles(TransactionOpened)
    def on_transaction(self, now: float, event: TransactionOpened) -> None:
        # The time between a caller's statements does not count as service time.
        self._section.granted_at.pop(event.ticket, None)

    @handles(ConnectionWithdrawn)
    def on_withdrawn(self, now: float, event: ConnectionWithdrawn) -> None:
        self._remove(event.ticket)

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[object]:
        expired = [
            entry.wanted.ticket
            for queue in self._section.databases.values()
            for entry in queue.entries
            if entry.deadline <= now
        ]
        items: list[object] = []
        if now >= self._next_gauge_at:
            self._next_gauge_at = now + GAUGE_INTERVAL_SECONDS
            depth = sum(
                len(queue.entries) for queue in self._section.databases.values()
            )
            items.append(EmitMetric("gauge", "queue.depth", float(depth)))
        for ticket in expired:
            self._remove(ticket)
            items.append(ConnectionRefused(ticket, "deadline", "no connection in time"))
        return items

    def _refusal(
        self, now: float, queue: Queue, entry: QueueEntry
    ) -> ConnectionRefused | None:
        wanted = entry.wanted
        if queue.waiting_in_class(wanted) >= wanted.queue_limit:
            return _queue_full(wanted.ticket, "the queue of the request class is full")
        full = len(queue.entries) >= self._settings.data_path.queue_limit
        if full and queue.entries[-1].priority <= entry.priority:
            return _queue_full(wanted.ticket, "the queue of the database is full")
        expected = self._expected_wait(queue, entry)
        if now + expected >= entry.deadline:
            return ConnectionRefused(
                wanted.ticket,
                "deadline_unreachable",
                f"the expected wait of {expected * 1_000:.0f} ms exceeds the deadline",
            )
        return None

    def _displace(self, queue: Queue, entry: QueueEntry) -> list[object]:
        if len(queue.entries) < self._settings.data_path.queue_limit:
            return []
        last = queue.entries[-1].wanted.ticket
        self._remove(last)
        return [
            EmitMetric("counter", "queue.displaced"),
            _queue_full(last, "displaced by a request of higher priority"),
        ]

    def _expected_wait(self, queue: Queue, entry: QueueEntry) -> float:
        """Returns the estimated seconds until ``entry`` gets a connection."""
        ahead = bisect_left(queue.entries, entry)
        usable, idle = self._blackboard.pools.capacity(
            entry.wanted.database, entry.wanted.members
        )
        if ahead < idle or not usable:
            return 0.0
        return (ahead - idle + 1) * queue.service_time / usable

    def _remove(self, ticket: int) -> QueueEntry | None:
        database = self._section.database_by_ticket.pop(ticket, None)
        return self._section.databases[database].remove(ticket) if database else None


def _queue_full(ticket: int, message: str) -> ConnectionRefused:
    return ConnectionRefused(ticket, "queue_full", message)
