"""Divides one member's connections among organisations.

The load it addresses: 79 organisations, whose sizes follow a Zipf law, share 12
connections of a data centre to a member. A new connection takes a slot of the member
for 12 ms, so a connection is kept for an organisation that is likely to use it again.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from math import exp
from typing import Protocol, TypeVar

from bronzemoor_core.wire.waiting import Waiter, WaitingQueue

# Uses are forgotten with this time constant. In the target load an organisation that
# deserves a connection uses it every 1 to 15 s.
USE_MEMORY_SECONDS = 20.0
# Share of the limit up to which idle connections are kept. After a loss of power,
# members still count the old ones while as many new ones are opened.
KEPT_SHARE = 0.5
# Beyond that share, a connection is in demand if its next use is expected within this
# time, and after as long without a use it is not.
DEMAND_SECONDS = 12.0
# No connection is kept for longer without a use.
MAX_IDLE_SECONDS = 30.0
# How many statements an organisation may be ahead of its fair turn before a connection
# that it releases is closed to make room for another one.
MAX_LEAD = 2
# While others wait, an organisation may use the limit divided by this. Each connection
# in use is a statement ahead of theirs at the member. In the target load the data
# centres have 12 connections each to a member, which has 5 slots for 6 of them.
CONTENDED_DIVISOR = 4
# Expected time to open a connection until one was measured, and the longest wait for a
# connection in use before another is opened.
OPENING_SECONDS = 0.015
MAX_OPENING_DELAY_SECONDS = 0.060
# Weight of a new measurement of the time to open a connection.
OPENING_WEIGHT = 0.2


class Idle(Protocol):
    """An idle connection of an organisation."""

    @property
    def caller(self) -> str: ...

    @property
    def idle_since(self) -> float: ...


C = TypeVar("C", bound=Idle)
T = TypeVar("T")


class _Uses:
    """Decayed number of uses that needed a number of connections at the same time."""

    __slots__ = ("at", "number")

    def __init__(self) -> None:
        self.number = 0.0
        self.at = float("-inf")

    def decayed(self, now: float) -> float:
        return self.number * exp((self.at - now) / USE_MEMORY_SECONDS)


class ConnectionShares:
    """Records who needed how many connections and decides which idle ones to keep.

    The share of an organisation is what it needs at the same time, each connection
    weighted by how often it was needed of late.
    """

    __slots__ = ("_opening_seconds", "_uses")

    def __init__(self) -> None:
        # By organisation, for its first connection, its second and so on.
        self._uses: dict[str, list[_Uses]] = {}
        self._opening_seconds = OPENING_SECONDS

    def record_use(self, now: float, caller: str, needed: int) -> None:
        """Records a statement with which ``caller`` needs ``needed`` connections."""
        levels = self._uses.setdefault(caller, [])
        while len(levels) < needed:
            levels.append(_Uses())
        if needed > 0:
            uses = levels[needed - 1]
            uses.number, uses.at = uses.decayed(now) + 1, now

    def record_opening(self, seconds: float) -> None:
        """Records how long it took to open a connection."""
        self._opening_seconds += (seconds - self._opening_seconds) * OPENING_WEIGHT

    def value(self, now: float, caller: str, held: int) -> float:
        """Returns the expected uses per second of the last of ``held`` connections.

        No rate higher than one use in the time since the last use is assumed.
        """
        levels = self._uses.get(caller, [])[max(0, held - 1) :]
        if not levels:
            return 0.0
        rate = sum(uses.decayed(now) for uses in levels) / USE_MEMORY_SECONDS
        unused = now - max(uses.at for uses in levels)
        return min(rate, 1 / unused) if unused > 0 else rate

    def choose_evicted(
        self, now: float, idle: Iterable[C], held: Mapping[str, int], caller: str
    ) -> C | None:
        """Returns the idle connection to close for ``caller``, None without one.

        It belongs to the organisation that needs its last connection least, and is the
        one that it used least recently.
        """
        others = [item for item in idle if item.caller != caller]
        return self._least_needed(now, others, held)[0] if others else None

    def choose_surplus(
        self,
        now: float,
        idle: Iterable[C],
        held: Mapping[str, int],
        limit: int,
        min_idle_seconds: float,
    ) -> list[C]:
        """Returns the idle connections to close although nobody waits for their place.

        Those idle for less than ``min_idle_seconds`` are kept.
        """
        left, surplus = Counter(held), []
        candidates = [i for i in idle if now - i.idle_since > min_idle_seconds]
        while candidates:
            item, value = self._least_needed(now, candidates, left)
            unused = now - item.idle_since
            is_wanted = value * DEMAND_SECONDS >= 1 and unused <= DEMAND_SECONDS
            is_beyond = left.total() > int(limit * KEPT_SHARE) and not is_wanted
            candidates.remove(item)
            if is_beyond or unused > MAX_IDLE_SECONDS:
                surplus.append(item)
                left[item.caller] -= 1
        return surplus

    def _least_needed(
        self, now: float, idle: list[C], held: Mapping[str, int]
    ) -> tuple[C, float]:
        """Returns the connection of the least value, and the value."""
        _, _, number = min(
            (self.value(now, item.caller, held[item.caller]), item.idle_since, number)
            for number, item in enumerate(idle)
        )
        chosen = idle[number]
        return chosen, self.value(now, chosen.caller, held[chosen.caller])

    def opening_delay(self, held: int, waiting: int, mean_hold: float) -> float:
        """Returns how long to wait for a connection in use before opening another.

        ``held`` and ``waiting`` are the connections and the waiters of the
        organisation. Without a connection, or if those in use are not expected to
        become free in the time that opening one takes, there is no delay.
        """
        delay = min(self._opening_seconds, MAX_OPENING_DELAY_SECONDS)
        if not held or waiting * mean_hold / held > MAX_OPENING_DELAY_SECONDS:
            return 0.0
        return delay

    def forget(self, now: float) -> None:
        """Forgets organisations without a recent use."""
        for caller, levels in list(self._uses.items()):
            if all(uses.decayed(now) < 0.01 for uses in levels):
                del self._uses[caller]


def is_within_share(limit: int, in_use: int) -> bool:
    """Returns whether an organisation may use one more while others wait."""
    return in_use < max(1, limit // CONTENDED_DIVISOR)


def choose_next(
    now: float,
    queue: WaitingQueue[T],
    caller: str,
    needs_connection: Callable[[Waiter[T]], bool],
) -> Waiter[T] | None:
    """Decides whether a connection that ``caller`` releases makes room for another.

    Returns the waiter of another organisation for which it is to be closed, or None.
    ``needs_connection`` tells whether a connection must be opened for a waiter.
    """
    other: Waiter[T] | None = None
    for head in queue.heads(now):
        if head.caller == caller:
            if other is None or queue.lead(head, other) < MAX_LEAD:
                return None
            break
        if other is None and needs_connection(head):
            other = head
    return other
