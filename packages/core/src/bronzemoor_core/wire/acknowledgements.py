"""Who may have acknowledged a group's commits, and what proves that a member has them.

A proxy acknowledges a commit to its client once the primary has answered, which it does
when one replica has received the commit. So an acknowledged commit is known to its
primary, to that replica and to that proxy, each of which may be lost. Times are in
seconds, on a clock that also advances while the VM is suspended.
"""

from collections.abc import Collection

from msgspec import Struct

from bronzemoor_core.messages import GroupReport
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.statements import MemberStatus

# A replica that was taken off the records, or has said that it leaves, may run on and
# acknowledge commits for this long. One that lives announces itself again before.
LINGERING_SECONDS = 8.0


class Evidence(Struct):
    """The newest report of one proxy about one group; ``received`` in seconds."""

    received: float
    report: GroupReport


class Acknowledgements(Struct, frozen=True):
    """What is known of the commits that proxies may have acknowledged to clients.

    Each of the first three positions covers all of them, and is None while unknown:
    ``final`` is the primary's, read after no proxy could use it any more, ``confirmed``
    the newest that proxies know of, once each has confirmed that it uses the primary no
    more, and ``received`` the newest of the replicas, if all that may have acknowledged
    a commit answered. ``reported`` is the newest that a proxy acknowledged for certain.
    """

    final: Position | None = None
    confirmed: Position | None = None
    received: Position | None = None
    reported: Position = ZERO

    @property
    def required(self) -> Position | None:
        """The position that proves that a member has every commit; None if unknown."""
        bounds = [
            position
            for position in (self.final, self.confirmed, self.received)
            if position is not None
        ]
        return max(min(bounds), self.reported) if bounds else None


def received_position(
    held: dict[str, Position], expected: set[str], others_may_acknowledge: bool
) -> Position | None:
    """Returns the newest position of the replicas, None if it is no bound.

    ``held`` are the positions of paused replicas and ``expected`` all on record. It is
    no bound while one of these has not answered, nor while others, which departed or
    were removed, may have acknowledged more.
    """
    if others_may_acknowledge or not held or not expected <= set(held):
        return None
    return max(held.values())


def acknowledged_position(
    evidence: dict[str, Evidence],
    sample: tuple[float, Position],
    term: int,
    lost_until: float,
    covered: Position = ZERO,
) -> Position | None:
    """Returns a position that covers every acknowledged commit, or None if unknown.

    ``evidence`` holds the reports of all proxies that may still know of commits. What
    others acknowledged, until ``lost_until`` at the latest, is covered only by a
    ``sample`` (time and position) of the primary of ``term`` that is as new. Where none
    is lost it does not count: it may have a commit that no replica has received. What
    those acknowledged that are not recorded any more is ``covered``.
    """
    newest = max(covered, reported_position(evidence))
    if lost_until > 0:
        sampled_at, position = sample
        if position.term != term or sampled_at < lost_until:
            return None
        newest = max(newest, position)
    return newest if newest != ZERO else None


def reported_position(evidence: dict[str, Evidence]) -> Position:
    """Returns the newest commit that a proxy has reported as acknowledged."""
    reported = (
        Position(item.report.acknowledged_term, item.report.acknowledged_offset)
        for item in evidence.values()
    )
    return max(reported, default=ZERO)


def covers_primary(
    primary: MemberStatus, replicas: Collection[MemberStatus], term: int
) -> bool:
    """Returns whether one of the ``replicas`` has all that the primary of ``term`` had.

    Then no commit that was acknowledged before the primary was asked depends on a
    replica that departed. It says nothing of later commits.
    """
    return (
        primary.primary
        and primary.term == term
        and any(
            not status.primary
            and status.term == term
            and status.position >= primary.position
            for status in replicas
        )
    )


class LingeringReplicas:
    """Replicas of one group that are not on record and may still acknowledge commits.

    They are known by the number of the newest departure. A new control leader does not
    know when that was, and counts from its election.
    """

    __slots__ = ("_number", "_since")

    def __init__(self, now: float, number: int) -> None:
        self._number = number
        self._since = now

    def update(self, now: float, number: int) -> None:
        """Applies the number in the replicated records, 0 if there is none."""
        if number != self._number:
            self._number, self._since = number, now

    def may_acknowledge(self, now: float) -> bool:
        """Returns whether one may acknowledge a commit, or may have until now."""
        return self._number > 0 and now - self._since < LINGERING_SECONDS

    def ended(self, now: float) -> int:
        """Returns the number that no replica stands behind any more, or 0."""
        return 0 if self.may_acknowledge(now) else self._number
