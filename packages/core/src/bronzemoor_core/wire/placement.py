"""Chooses the member that serves a statement."""

from typing import Protocol, TypeVar

from msgspec import Struct

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.deployment import READ_YOUR_WRITES, Route
from bronzemoor_core.wire.freshness import PositionSamples

# A member whose connections failed is ranked last for this long.
FAILURE_PENALTY_SECONDS = 1.0
# Reads prefer a replica whose expected delay is up to this many times the primary's,
# since only the primary can execute writes.
PRIMARY_DELAY_FACTOR = 2.0
# Expected wait for opening a new connection.
OPENING_COST_SECONDS = 0.015
# Expected wait for each further statement of this proxy in progress at a member.
QUEUE_COST_SECONDS = 0.004


class Candidate(Protocol):
    """Properties of a member that its ranking depends on; delays are in seconds."""

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


class Target(Struct, frozen=True):
    """A member and the log position that it must have reached; ZERO for a primary."""

    member: str
    position: Position = ZERO


def required_position(
    now: float, route: Route, samples: PositionSamples, last_commit: Position
) -> Position | None:
    """Returns the position that a replica needs for a read, None if unknown."""
    required = samples.required(now, route.max_staleness)
    if required is None:
        return None
    if route.read_policy == READ_YOUR_WRITES and last_commit.term == required.term:
        return max(required, last_commit)
    if route.read_policy == READ_YOUR_WRITES and last_commit.term > required.term:
        return None
    return required


def sort_by_expected_delay(now: float, candidates: list[C]) -> list[C]:
    """Sorts members by expected delay; leaving and then failing ones come last."""

    def cost(item: C) -> tuple[bool, bool, float]:
        failing = now - item.failed_at < FAILURE_PENALTY_SECONDS
        wait = 0.0 if item.has_idle else OPENING_COST_SECONDS
        delay = item.delay * (PRIMARY_DELAY_FACTOR if item.is_primary else 1.0)
        return failing, item.leaving, delay + item.load * QUEUE_COST_SECONDS + wait

    return sorted(candidates, key=cost)
