"""The choice of the member that serves a statement."""

from dataclasses import dataclass
from typing import Protocol, TypeVar

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.deployment import READ_YOUR_WRITES, Route
from bronzemoor_core.wire.freshness import PositionSamples

# A member whose connections failed is tried last for this long.
FAILURE_PENALTY = 1.0  # seconds
# Reads leave a primary for a replica that takes up to so many times as long, since only
# the primary can take the writes.
PRIMARY_WEIGHT = 2.0
# Expected wait for a connection that is not open yet, seconds.
OPENING_COST = 0.015
# Expected wait behind one more statement of this proxy at a member, seconds.
QUEUE_COST = 0.004


class Candidate(Protocol):
    """What placement needs to know of a member."""

    member: str
    is_local: bool
    leaving: bool
    is_primary: bool
    failed_at: float
    delay: float

    @property
    def load(self) -> int: ...

    @property
    def has_idle(self) -> bool: ...


C = TypeVar("C", bound=Candidate)


@dataclass(slots=True, frozen=True)
class Target:
    """A member and the log position that it must hold; ZERO for a primary."""

    member: str
    position: Position = ZERO


def required_position(
    now: float, route: Route, samples: PositionSamples, last_commit: Position
) -> Position | None:
    """The position that a replica needs for a read on ``route``, None if unknown."""
    required = samples.required(now, route.max_staleness)
    if required is None:
        return None
    if route.read_policy == READ_YOUR_WRITES and last_commit.term == required.term:
        return max(required, last_commit)
    if route.read_policy == READ_YOUR_WRITES and last_commit.term > required.term:
        return None
    return required


def rank(now: float, candidates: list[C]) -> list[C]:
    """Orders members by expected delay; failing and leaving ones come last."""

    def cost(item: C) -> tuple[bool, bool, float]:
        failing = now - item.failed_at < FAILURE_PENALTY
        wait = 0.0 if item.has_idle else OPENING_COST
        delay = item.delay * (PRIMARY_WEIGHT if item.is_primary else 1.0)
        return failing, item.leaving, delay + item.load * QUEUE_COST + wait

    return sorted(candidates, key=cost)
