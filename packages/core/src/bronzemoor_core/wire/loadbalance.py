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
# So many statements of other data centres make nobody wait and are not counted. Counted
# in full, differences by chance between busy members made all proxies move: at 80% of
# the capacity, the model's members refused 4.6% of the arrivals instead of 3.5%.
UNCOUNTED_OTHERS = 2.0
# A BUSY answer counts as a full queue for this long, decreasingly.
BUSY_HORIZON_SECONDS = 0.5
# Counts above this are taken for errors; a member has fewer connections.
MAX_COUNT = 1_000
# Members whose expected delay exceeds the least by up to this count as equal; also the
# share of a statement's usual duration for which they do. In the design note's figures,
# less brings back a favourite, and more sends reads to far members without need.
EQUAL_SECONDS = 0.002
EQUAL_SHARE = 0.25
# Share of a statement's usual duration that a statement in a free slot is believed to
# delay the next one, so that equally near members are used in turn.
FREE_SLOT_COST = 0.25
# The usual latency falls faster than it rises, and stays below the mean: waiting in a
# queue, which the load figures tell, counts little in it.
FALL_WEIGHT = 0.3
RISE_WEIGHT = 0.1
# A slow member gets statements again after about this, and with them new figures.
LATENCY_HORIZON_SECONDS = 6.0
# Latency assumed if no member has answered yet, and for the way to another data centre.
INITIAL_LATENCY_SECONDS = 0.004
REMOTE_SECONDS = 0.010
# Mean duration of a statement over the usual latency, as for durations that vary much.
DURATION_FACTOR = 1.5
# Bounds of that duration, so that no figure is off by far.
MIN_DURATION_SECONDS = 0.002
MAX_DURATION_SECONDS = 0.5
# Only so many candidates are compared, some local ones first, since a decision may take
# 20 microseconds.
MAX_COMPARED = 5
MIN_HEADROOM = 0.1
# The share of writes is that of about the last 50 statements.
WRITE_SHARE_DECAY = 0.98


class LoadFigures:
    """What a proxy has been told about the load of one member, with the times."""

    __slots__ = (
        "_measured_at",
        "_others",
        "_others_at",
        "_owner_extra",
        "_owners_at",
        "usual_latency",
    )

    def __init__(self) -> None:
        # Latency in seconds without a queue, 0 without a measurement.
        self.usual_latency = 0.0
        self._measured_at = float("-inf")
        # Statements in the owner's count that were not this proxy's own.
        self._owner_extra = 0
        self._owners_at = float("-inf")
        self._others = 0.0
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

    def record_others(self, now: float, told_at: float, load: float) -> None:
        """Records the sum of the other data centres, told no later than ``now``."""
        self._others = max(0.0, min(load, MAX_COUNT) - UNCOUNTED_OTHERS)
        self._others_at = min(now, told_at)

    def record_latency(self, now: float, elapsed: float) -> None:
        """Records how long a statement took that was answered at ``now``."""
        usual = self.usual_latency
        self._measured_at = now
        if not usual:
            self.usual_latency = elapsed
        elif elapsed < usual:
            self.usual_latency = usual + (elapsed - usual) * FALL_WEIGHT
        else:
            self.usual_latency = usual + min(elapsed - usual, usual) * RISE_WEIGHT

    def latency(self, now: float, is_local: bool, best: float) -> float:
        """Returns the usual latency without a queue in seconds.

        While the member is not asked, this falls to that of the ``best`` member, with
        the way to another data centre added.
        """
        least = best if is_local else best + REMOTE_SECONDS
        excess = self.usual_latency - least
        if not self.usual_latency or excess <= 0.0:
            return self.usual_latency or least
        part = 1.0 - (now - self._measured_at) / LATENCY_HORIZON_SECONDS
        return least + excess * part if part > 0.0 else least

    def load(self, now: float, own: int) -> float:
        """Returns the statements believed in progress; old figures count less."""
        # No time is later than a ``now`` that was given before.
        load = float(own)
        left = 1.0 - (now - self._owners_at) / OWNER_HORIZON_SECONDS
        if left > 0.0:
            load += self._owner_extra * left
        left = 1.0 - (now - self._others_at) / OTHERS_HORIZON_SECONDS
        if left > 0.0:
            load += self._others * left
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
    left = 1.0 - (now - candidate.refused_at) / BUSY_HORIZON_SECONDS
    return load + 2 * SLOTS * left if left > 0.0 else load


def choose_by_load(
    now: float, candidates: list[C], random: Random, write_share: float
) -> C:
    """Chooses one of at least one candidates.

    ``write_share`` is the part of the group's statements that only the primary can
    serve; the primary's believed load is raised by that part of its slots.
    """
    if len(candidates) == 1:
        return candidates[0]
    if len(candidates) > MAX_COMPARED:
        candidates = _limit(candidates, random)
    staying = [item for item in candidates if not item.leaving] or candidates
    usable = [item for item in staying if not item.failures.is_cut]
    if len(usable) < len(staying):
        cut = [item for item in staying if item.failures.is_cut]
        for item in cut:
            if item.failures.claim_probe(now):
                return item
        usable = _add_least_failing(now, usable, cut)
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


def _limit(candidates: list[C], random: Random) -> list[C]:
    """Returns local members and others from a random place of the list on."""
    local = [item for item in candidates if item.is_local][: MAX_COMPARED // 2]
    start = int(random.random() * len(candidates))
    limited = local[:]
    for item in candidates[start:] + candidates[:start]:
        if len(limited) == MAX_COMPARED:
            break
        if item not in local:
            limited.append(item)
    return limited


def _choose_usable(
    now: float, usable: list[C], random: Random, write_share: float
) -> C:
    figures = [item.figures for item in usable]
    known = [item.usual_latency for item in figures if item.usual_latency]
    best = min(known) if known else INITIAL_LATENCY_SECONDS
    latencies = [item.figures.latency(now, item.is_local, best) for item in usable]
    usual = DURATION_FACTOR * min(latencies)
    duration = min(max(usual, MIN_DURATION_SECONDS), MAX_DURATION_SECONDS)
    delays, headrooms = [], []
    for index, item in enumerate(usable):
        load = believed_load(now, item)
        if item.is_primary:
            load += write_share * SLOTS
        slots = SLOTS * item.failures.warmth(now)
        used = load / slots
        wait = FREE_SLOT_COST * used if used < 1.0 else FREE_SLOT_COST
        if load + 1.0 > slots:
            wait += (load + 1.0 - slots) / slots
        delays.append(latencies[index] + duration * wait)
        free = slots - load
        headrooms.append(free if free > MIN_HEADROOM else MIN_HEADROOM)
    bound = min(delays) + max(EQUAL_SECONDS, EQUAL_SHARE * duration)
    equal = [index for index, delay in enumerate(delays) if delay <= bound]
    if len(equal) == 1:
        return usable[equal[0]]
    total = sum([headrooms[index] for index in equal])
    first = _draw(equal, headrooms, random.random() * total)
    second = _draw(equal, headrooms, random.random() * total)
    return usable[first if delays[first] <= delays[second] else second]


def _draw(indices: list[int], weights: list[float], point: float) -> int:
    """Returns the index in whose weight ``point`` falls."""
    for index in indices:
        point -= weights[index]
        if point < 0.0:
            return index
    return indices[-1]
