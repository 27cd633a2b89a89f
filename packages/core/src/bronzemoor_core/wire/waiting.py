"""Orders and admits the statements that wait for a connection to one member.

The load it addresses: one organisation sends several times its usual rate within its
quota while the others go on as usual. In the order of arrival, everyone's statements
would wait behind the backlog of the one.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Generic, TypeVar

T = TypeVar("T")

# Maximum number of waiting statements. It only bounds memory: no member serves that
# many within a statement timeout.
MAX_WAITING = 4_096
# A statement is refused if its expected wait exceeds this part of its remaining time,
# since it must also run in that time.
ADMISSION_MARGIN = 0.8
# Without as many measurements in the present backlog, and without one that is as
# recent, nothing is refused.
MIN_MEASUREMENTS = 8
MAX_MEASUREMENT_AGE_SECONDS = 0.5
# Number of statements over which the rate of service is measured.
MAX_MEASUREMENTS = 64
# Weight of a new measurement in the mean time for which a connection is held.
HOLD_WEIGHT = 0.1
# Bounds of the time after which a refused client is told to try again. The default
# applies while the rate at which the backlog drains is unknown.
MIN_RETRY_SECONDS = 0.05
DEFAULT_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0

# Reasons for which a statement is refused.
REFUSED_TIME = "time"
REFUSED_SHARE = "share"


# Statements are served in this order: not of a started transaction, route priority and
# organisation priority.
Rank = tuple[bool, int, int]


def make_rank(started: bool, route_priority: int, caller_priority: int) -> Rank:
    """Returns the rank of a statement; lower ranks are served first."""
    return not started, route_priority, caller_priority


class Waiter(Generic[T]):
    """A waiting statement; ``handle`` is what its owner wakes it up with."""

    __slots__ = ("caller", "deadline", "handle", "number", "open_at", "rank")

    def __init__(
        self, rank: Rank, caller: str, now: float, deadline: float, handle: T
    ) -> None:
        self.rank = rank
        self.caller = caller
        self.deadline = deadline
        self.handle = handle
        # From when on a connection may be opened for it.
        self.open_at = now
        # Order of arrival, set by the queue.
        self.number = 0


class _FairQueue(Generic[T]):
    """Statements of one rank, by organisation, served by start-time fair queueing.

    The virtual time of an organisation advances by one with each statement served. An
    organisation that begins to wait starts at the queue's virtual time, so that it
    saves up nothing while it is idle.
    """

    __slots__ = ("times", "virtual_time", "waiters")

    def __init__(self) -> None:
        self.virtual_time = 0
        self.times: dict[str, int] = {}
        self.waiters: dict[str, OrderedDict[int, Waiter[T]]] = {}

    def add(self, waiter: Waiter[T]) -> None:
        if waiter.caller not in self.waiters:
            self.waiters[waiter.caller] = OrderedDict()
            known = self.times.get(waiter.caller, 0)
            self.times[waiter.caller] = max(known, self.virtual_time)
        self.waiters[waiter.caller][waiter.number] = waiter

    def discard(self, waiter: Waiter[T]) -> bool:
        queue = self.waiters.get(waiter.caller)
        if queue is None or queue.pop(waiter.number, None) is None:
            return False
        if not queue:
            del self.waiters[waiter.caller]
        return True

    def charge(self, caller: str) -> None:
        """Counts a statement of an organisation that is served."""
        self.virtual_time = max(self.virtual_time, self.times[caller])
        self.times[caller] += 1

    def heads(self) -> list[Waiter[T]]:
        """Returns the first waiter of each organisation in the order of service."""
        heads = [next(iter(queue.values())) for queue in self.waiters.values()]
        return sorted(heads, key=lambda head: (self.times[head.caller], head.number))

    def ahead(self, caller: str) -> int:
        """Returns how many waiters are served before a new one of ``caller``."""
        own = len(self.waiters.get(caller, ()))
        last = self.times.get(caller, 0) + own
        if not own:
            last = max(last, self.virtual_time)
        others = (
            min(len(queue), max(0, last - self.times[other] + 1))
            for other, queue in self.waiters.items()
            if other != caller
        )
        return own + sum(others)


class WaitingQueue(Generic[T]):
    """The bounded queue of one member's connections.

    Order: started transactions, route priority, organisation priority, fair among the
    organisations, arrival.
    """

    __slots__ = (
        "_by_caller",
        "_has_ended",
        "_length",
        "_max_length",
        "_number",
        "_ranks",
    )

    def __init__(
        self,
        max_length: int = MAX_WAITING,
        has_ended: Callable[[T], bool] = lambda handle: False,
    ) -> None:
        self._max_length = max_length
        # Whether the owner of a handle no longer waits.
        self._has_ended = has_ended
        self._ranks: dict[Rank, _FairQueue[T]] = {}
        self._by_caller: dict[str, int] = {}
        self._length = 0
        self._number = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self, caller: str) -> int:
        """Returns the number of waiters of an organisation."""
        return self._by_caller.get(caller, 0)

    def add(self, waiter: Waiter[T]) -> Waiter[T] | None:
        """Adds a waiter; returns the one that has no place in the queue, or None.

        In a full queue it is the last of the organisation that has the most.
        """
        self._number += 1
        waiter.number = self._number
        self._ranks.setdefault(waiter.rank, _FairQueue()).add(waiter)
        self._by_caller[waiter.caller] = self.waiting(waiter.caller) + 1
        self._length += 1
        if self._length <= self._max_length:
            return None
        longest = max(self._by_caller.values())
        caller = waiter.caller
        if self._by_caller[caller] < longest:
            caller = next(c for c, n in self._by_caller.items() if n == longest)
        rank = max(r for r, queue in self._ranks.items() if caller in queue.waiters)
        last = next(reversed(self._ranks[rank].waiters[caller].values()))
        self.discard(last)
        return last

    def discard(self, waiter: Waiter[T]) -> bool:
        """Removes a waiter that is not served; returns whether it was waiting."""
        queue = self._ranks.get(waiter.rank)
        if queue is None or not queue.discard(waiter):
            return False
        self._length -= 1
        self._by_caller[waiter.caller] -= 1
        if not self._by_caller[waiter.caller]:
            del self._by_caller[waiter.caller]
        if not queue.waiters:
            # Nobody waits, so no organisation owes the others anything.
            del self._ranks[waiter.rank]
        return True

    def serve(self, waiter: Waiter[T]) -> None:
        """Removes a waiter that gets a connection."""
        self._ranks[waiter.rank].charge(waiter.caller)
        self.discard(waiter)

    def heads(self, now: float) -> Iterator[Waiter[T]]:
        """Yields the first waiter of each organisation and rank in order.

        Waiters whose time is over or whose owner has given up are removed.
        """
        for rank in sorted(self._ranks):
            queue = self._ranks[rank]
            for head in queue.heads():
                while head.deadline <= now or self._has_ended(head.handle):
                    self.discard(head)
                    left = queue.waiters.get(head.caller)
                    if not left:
                        break
                    head = next(iter(left.values()))
                else:
                    yield head

    def first(self, now: float, caller: str | None = None) -> Waiter[T] | None:
        """Returns the first waiter, of ``caller`` if one is given."""
        matching = (h for h in self.heads(now) if caller is None or h.caller == caller)
        return next(matching, None)

    def all(self) -> list[Waiter[T]]:
        """Returns all waiters."""
        return [
            waiter
            for queue in self._ranks.values()
            for waiters in queue.waiters.values()
            for waiter in waiters.values()
        ]

    def lead(self, waiter: Waiter[T], other: Waiter[T]) -> float:
        """Returns by how many statements ``waiter`` is ahead of its fair turn.

        It is infinite if ``other`` has precedence by rank.
        """
        if waiter.rank != other.rank:
            return float("inf") if other.rank < waiter.rank else float("-inf")
        times = self._ranks[waiter.rank].times
        return times[waiter.caller] - times[other.caller]

    def ahead(self, rank: Rank, caller: str) -> int:
        """Returns how many waiters are served before a new one."""
        before = sum(
            len(waiters)
            for other, queue in self._ranks.items()
            if other < rank
            for waiters in queue.waiters.values()
        )
        queue = self._ranks.get(rank)
        return before + (queue.ahead(caller) if queue is not None else 0)


class ServiceRate:
    """Measures how fast waiting statements get connections."""

    __slots__ = ("_held_at", "_holds", "_mean_hold", "_served")

    def __init__(self) -> None:
        self._mean_hold = 0.0
        self._holds = 0
        self._held_at = float("-inf")
        # Times at which statements that had waited in the present backlog were served,
        # and their organisations.
        self._served: deque[tuple[float, str]] = deque(maxlen=MAX_MEASUREMENTS)

    @property
    def mean_hold(self) -> float:
        """Mean time in seconds for which a statement holds a connection."""
        return self._mean_hold

    def record_hold(self, now: float, seconds: float) -> None:
        """Records for how long a released connection was in use."""
        self._holds += 1
        weight = max(HOLD_WEIGHT, 1 / self._holds)
        self._mean_hold += (seconds - self._mean_hold) * weight
        self._held_at = now

    def record_served(self, now: float, caller: str) -> None:
        """Records that a statement that had waited got a connection."""
        self._served.append((now, caller))

    def record_empty(self) -> None:
        """Records that no statement waits any more."""
        self._served.clear()

    def age(self, now: float) -> float:
        """Returns the age of the older of the two measurements in seconds."""
        served_at = self._served[-1][0] if self._served else float("-inf")
        return now - min(served_at, self._held_at)

    def per_second(self, now: float, caller: str | None = None) -> float | None:
        """Returns the rate at which the backlog drains, None if it is unknown.

        With ``caller`` it is the rate for that organisation.
        """
        if self.age(now) > MAX_MEASUREMENT_AGE_SECONDS:
            return None
        times = [at for at, name in self._served if caller is None or name == caller]
        span = now - self._served[0][0]
        if len(times) < MIN_MEASUREMENTS or span <= 0:
            return None
        return len(times) / span

    def expected_wait(
        self, now: float, ahead: int, caller: str | None = None
    ) -> float | None:
        """Returns the expected wait behind ``ahead`` statements in seconds.

        With ``caller``, they are those of that organisation and so is the rate. As
        others that arrive later may be served before, that is the better estimate for
        the one that sends most. Returns None without fresh measurements.
        """
        rate = self.per_second(now, caller)
        return None if rate is None else ahead / rate

    def retry_after(self, now: float, ahead: int, random: Random) -> float:
        """Returns after which time a refused client should try again.

        It is spread by half around the time in which the backlog drains, since clients
        that are refused together would return together.
        """
        rate = self.per_second(now)
        drained = DEFAULT_RETRY_SECONDS if rate is None else ahead / rate
        bounded = max(MIN_RETRY_SECONDS, min(MAX_RETRY_SECONDS, drained))
        return bounded * (0.5 + random.random())


def is_admitted(expected_wait: float | None, remaining: float) -> bool:
    """Returns whether a statement may still be served in its remaining time."""
    return expected_wait is None or expected_wait <= ADMISSION_MARGIN * remaining
