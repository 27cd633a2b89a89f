"""Chooses a member for a read from load figures of different age.

Load pattern: the proxies of all data centres choose at the same time from figures that
are late, while the demand of the data centres swings. If each took the member that
looks best, all would move to it together and the others would be idle.

The expected delay of a member is the latency that this proxy measured without a queue,
plus the wait that follows from the statements believed to be in progress there. Members
whose expected delays differ by less than the figures are precise count as equal: two of
them are drawn with their free capacity as weight, and the better one is taken. A nearer
member thus keeps its reads until the wait there exceeds the longer way to another one.
"""

from random import Random
from typing import Protocol, TypeVar

from bronzemoor_core.wire.memberfailures import FailureRecord

# Statements that a member executes at once; members of the target deployments have 5 or
# 6 slots, and a proxy is not told which.
SLOTS = 5
# An owner's count is up to a round trip old when it arrives, and counts for this long.
OWNER_HORIZON_SECONDS = 1.0
# Loads of other data centres come every 0.5 s; a silent leader's stop counting after
# this.
OTHERS_HORIZON_SECONDS = 3.0
# A BUSY answer counts as a full queue for this long, decreasingly.
BUSY_HORIZON_SECONDS = 0.5
# Counts above this are taken for errors; a member has fewer connections.
MAX_COUNT = 1_000
# Members whose expected delay exceeds the least by up to this count as equal; also the
# share of a statement's usual duration for which they do. In the design note's figures,
# less brings back a favourite, and more sends reads to far members without need.
EQUAL_SECONDS = 0.002
EQUAL_SHARE = 0.3
# Share of a statement's usual duration that a statement in a free slot is believed to
# delay the next one, so that equally near members are used in turn.
FREE_SLOT_COST = 0.25
# The usual latency follows the lower quartile of the measured ones: a quarter of the
# measurements pulls it down by DOWN, the others push it up by UP.
QUARTILE_DOWN = 0.15
QUARTILE_UP = 0.05
# Latency assumed for a member that has not answered yet.
LOCAL_LATENCY_SECONDS = 0.004
REMOTE_LATENCY_SECONDS = 0.012
# Bounds of the usual duration of a statement, so that no figure is off by far.
MIN_DURATION_SECONDS = 0.002
MAX_DURATION_SECONDS = 0.5
# Only so many candidates are compared, the local ones first, since a decision may take
# 20 microseconds.
MAX_COMPARED = 8
MIN_HEADROOM = 0.1
# The share of writes is that of about the last 50 statements.
WRITE_SHARE_DECAY = 0.98


class LoadFigures:
    """What a proxy has been told about the load of one member, with the times."""

    __slots__ = (
        "_latency",
        "_others",
        "_others_at",
        "_owner_extra",
        "_owners_at",
    )

    def __init__(self) -> None:
        self._latency = 0.0
        # Statements in the owner's count that were not this proxy's own.
        self._owner_extra = 0
        self._owners_at = float("-inf")
        self._others = 0
        self._others_at = float("-inf")

    @property
    def told_at(self) -> float:
        """When the newest figure was told, minus infinity without one."""
        return max(self._owners_at, self._others_at)

    def record_owner(self, now: float, count: int, own: int) -> None:
        """Records the owner's count, -1 without one; ``own`` of it are this proxy's."""
        if count >= 0:
            self._owner_extra = max(0, min(count, MAX_COUNT) - own)
            self._owners_at = now

    def record_others(self, now: float, told_at: float, count: int) -> None:
        """Records the sum of the other data centres, told no later than ``now``."""
        self._others = max(0, min(count, MAX_COUNT))
        self._others_at = min(now, told_at)

    def record_latency(self, elapsed: float) -> None:
        """Records how long a statement took."""
        usual = self._latency
        if not usual:
            self._latency = elapsed
        elif elapsed < usual:
            self._latency = usual - usual * QUARTILE_DOWN
        else:
            self._latency = usual + usual * QUARTILE_UP

    def latency(self, is_local: bool) -> float:
        """Returns the usual latency without a queue in seconds."""
        if self._latency:
            return self._latency
        return LOCAL_LATENCY_SECONDS if is_local else REMOTE_LATENCY_SECONDS

    def load(self, now: float, own: int) -> float:
        """Returns the statements believed in progress; old figures count less."""
        load = float(own)
        age = now - self._owners_at
        if age < OWNER_HORIZON_SECONDS:
            load += self._owner_extra * (1.0 - max(0.0, age) / OWNER_HORIZON_SECONDS)
        age = now - self._others_at
        if age < OTHERS_HORIZON_SECONDS:
            load += self._others * (1.0 - max(0.0, age) / OTHERS_HORIZON_SECONDS)
        return load


class WriteShare:
    """The part of a group's recent statements that only its primary can serve."""

    __slots__ = ("_reads", "_writes")

    def __init__(self) -> None:
        self._reads = self._writes = 0.0

    @property
    def value(self) -> float:
        total = self._reads + self._writes
        return self._writes / total if total else 0.0

    def record_read(self) -> None:
        self._reads = self._reads * WRITE_SHARE_DECAY + 1.0
        self._writes *= WRITE_SHARE_DECAY

    def record_write(self) -> None:
        self._writes = self._writes * WRITE_SHARE_DECAY + 1.0
        self._reads *= WRITE_SHARE_DECAY


class LoadCandidate(Protocol):
    """Properties of a member that the choice depends on."""

    member: str
    is_local: bool
    is_primary: bool
    leaving: bool
    refused_at: float
    failures: FailureRecord
    figures: LoadFigures

    @property
    def load(self) -> int: ...


C = TypeVar("C", bound=LoadCandidate)


def believed_load(now: float, candidate: LoadCandidate) -> float:
    """Returns the statements believed in progress, after a BUSY answer a full queue."""
    load = candidate.figures.load(now, candidate.load)
    busy_for = now - candidate.refused_at
    if busy_for < BUSY_HORIZON_SECONDS:
        load += 2 * SLOTS * (1.0 - max(0.0, busy_for) / BUSY_HORIZON_SECONDS)
    return load


def choose_by_load(
    now: float, candidates: list[C], random: Random, write_share: float
) -> C:
    """Chooses one of at least one candidates.

    ``write_share`` is the part of the group's statements that only the primary can
    serve; the primary's believed load is raised by that part of its slots.
    """
    if len(candidates) == 1:
        return candidates[0]
    staying = [item for item in candidates if not item.leaving] or candidates
    usable = [item for item in staying if not item.failures.is_cut]
    if len(usable) < len(staying):
        cut = [item for item in staying if item.failures.is_cut]
        for item in cut:
            if item.failures.claim_probe(now):
                return item
        usable = _add_least_failing(now, usable, cut)
    if len(usable) > MAX_COMPARED:
        usable = _limit(usable, random)
    return _choose_usable(now, usable, random, write_share)


def _add_least_failing(now: float, usable: list[C], cut: list[C]) -> list[C]:
    """Readmits failing members if too few others remain, or those are overrun."""
    least = (len(usable) + len(cut) + 1) // 2
    if all(believed_load(now, item) >= 2 * SLOTS for item in usable):
        least = max(least, len(usable) + 1)
    missing = least - len(usable)
    if missing <= 0:
        return usable
    return usable + sorted(cut, key=lambda item: item.failures.pause)[:missing]


def _limit(usable: list[C], random: Random) -> list[C]:
    local = [item for item in usable if item.is_local][: MAX_COMPARED // 2]
    others = [item for item in usable if item not in local]
    return local + random.sample(others, MAX_COMPARED - len(local))


def _choose_usable(
    now: float, usable: list[C], random: Random, write_share: float
) -> C:
    latencies = [item.figures.latency(item.is_local) for item in usable]
    least = min(latencies)
    duration = min(max(least, MIN_DURATION_SECONDS), MAX_DURATION_SECONDS)
    delays, headrooms = [], []
    for item, latency in zip(usable, latencies, strict=True):
        load = believed_load(now, item)
        if item.is_primary:
            load += write_share * SLOTS
        slots = SLOTS * item.failures.warmth(now)
        waiting = load + 1.0 - slots
        wait = FREE_SLOT_COST * min(1.0, load / slots)
        if waiting > 0.0:
            wait += waiting / slots
        delays.append(latency + duration * wait)
        headrooms.append(max(MIN_HEADROOM, slots - load))
    bound = min(delays) + max(EQUAL_SECONDS, EQUAL_SHARE * duration)
    equal = [index for index, delay in enumerate(delays) if delay <= bound]
    if len(equal) == 1:
        return usable[equal[0]]
    first, second = random.choices(equal, [headrooms[i] for i in equal], k=2)
    return usable[first if delays[first] <= delays[second] else second]
