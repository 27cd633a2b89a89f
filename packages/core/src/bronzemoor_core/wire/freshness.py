"""Proof of a replica's freshness from positions that the primary was seen at."""

from collections import OrderedDict, deque

from bronzemoor_core.positions import ZERO, Position

# Samples closer together than this add nothing to a proof.
SAMPLE_SPACING = 0.050  # seconds
MAX_SAMPLES = 128
# Grants to a proxy that its next report may name.
GRANTS_KEPT = 8
# Covers the way of a statement to the replica and the rounding of times.
STALENESS_MARGIN = 0.150  # seconds


class PositionSamples:
    """Positions of one group's primary in one term, by the sending of a statement.

    A commit that was acknowledged before a statement was sent to the primary is part of
    the position in the answer. So a replica at that position is no staler than the
    sending of that statement.
    """

    def __init__(self) -> None:
        self._term = 0
        self._samples: deque[tuple[float, Position]] = deque(maxlen=MAX_SAMPLES)

    @property
    def term(self) -> int:
        return self._term

    @property
    def newest(self) -> tuple[float, Position]:
        """The newest sample; without one its position is ZERO."""
        return self._samples[-1] if self._samples else (float("-inf"), ZERO)

    def start_term(self, term: int) -> None:
        """Forgets the samples of an earlier primary, whose tail may be discarded."""
        if term != self._term:
            self._term = term
            self._samples.clear()

    def record(self, sent_at: float, position: Position) -> None:
        """Takes the position in an answer to a statement sent at ``sent_at``."""
        if position.term != self._term:
            return
        if self._samples and sent_at < self._samples[-1][0] + SAMPLE_SPACING:
            return
        self._samples.append((sent_at, position))

    def required(self, now: float, max_staleness: float) -> Position | None:
        """The position that a replica needs for a read at ``now``, None if unknown.

        Of the samples that are new enough the oldest is used, since more replicas have
        reached it.
        """
        oldest = now - max(0.0, max_staleness - STALENESS_MARGIN)
        while len(self._samples) > 1 and self._samples[0][0] < oldest:
            self._samples.popleft()
        if not self._samples or self._samples[0][0] < oldest:
            return None
        return self._samples[0][1]


class SampleExchange:
    """The newest samples of all proxies, at the control leader.

    Times are the leader's. Clocks are not compared: a statement that a proxy sent some
    time after a grant had arrived was sent that long after the grant at least.
    """

    def __init__(self) -> None:
        self._newest: dict[str, tuple[float, Position]] = {}
        # When each of the last grants was sent, by proxy and number.
        self._grants: dict[str, OrderedDict[int, float]] = {}

    def granted(self, now: float, proxy: str, number: int) -> None:
        """Notes the sending of a grant."""
        grants = self._grants.setdefault(proxy, OrderedDict())
        grants[number] = now
        if len(grants) > GRANTS_KEPT:
            grants.popitem(last=False)

    def take(
        self, proxy: str, last_grant: int, group: str, after: float, position: Position
    ) -> None:
        """Takes a proxy's sample, ``after`` seconds after it got that grant."""
        grants = self._grants.get(proxy)
        sent_at = grants.get(last_grant) if grants else None
        if sent_at is None or after < 0:
            return
        time, newest = self._newest.get(group, (float("-inf"), ZERO))
        if position.term > newest.term or (
            position.term == newest.term and sent_at + after > time
        ):
            self._newest[group] = (sent_at + after, position)

    def newest(self, now: float, group: str) -> tuple[float, Position] | None:
        """Age in seconds and position of the newest sample of a group."""
        if group not in self._newest:
            return None
        time, position = self._newest[group]
        return max(0.0, now - time), position
