"""Bounds a replica's staleness by observed log positions of its primary."""

from collections import OrderedDict, deque

from bronzemoor_core.positions import ZERO, Position

# Samples closer together than this do not tighten the bound.
SAMPLE_SPACING_SECONDS = 0.050
MAX_SAMPLES = 128
# Recent grants that a report of the proxy may refer to.
MAX_GRANTS_PER_PROXY = 8
# Covers the network delay of a statement to the replica and the rounding of times.
STALENESS_MARGIN_SECONDS = 0.150


class PositionSamples:
    """Log positions of one group's primary in one term, by statement send time.

    The position in an answer covers every commit that was acknowledged before the
    statement was sent. A replica at that position is therefore at most as stale as the
    time since the statement was sent.
    """

    def __init__(self) -> None:
        self._term = 0
        self._samples: deque[tuple[float, Position]] = deque(maxlen=MAX_SAMPLES)

    @property
    def term(self) -> int:
        return self._term

    @property
    def newest(self) -> tuple[float, Position]:
        """The newest sample, with position ZERO if there is none."""
        return self._samples[-1] if self._samples else (float("-inf"), ZERO)

    def start_term(self, term: int) -> None:
        """Drops the samples of an earlier primary, whose log tail may be discarded."""
        if term != self._term:
            self._term = term
            self._samples.clear()

    def record(self, sent_at: float, position: Position) -> None:
        """Adds the position in the answer to a statement sent at ``sent_at``."""
        if position.term != self._term:
            return
        if self._samples and sent_at < self._samples[-1][0] + SAMPLE_SPACING_SECONDS:
            return
        self._samples.append((sent_at, position))

    def required(self, now: float, max_staleness: float) -> Position | None:
        """Returns the position that a replica needs for a read, None if unknown.

        Uses the oldest sample that is recent enough, since more replicas have reached
        it.
        """
        oldest = now - max(0.0, max_staleness - STALENESS_MARGIN_SECONDS)
        while len(self._samples) > 1 and self._samples[0][0] < oldest:
            self._samples.popleft()
        if not self._samples or self._samples[0][0] < oldest:
            return None
        return self._samples[0][1]


class SampleExchange:
    """The newest position samples of all proxies, held by the control leader.

    All times are on the leader's clock, and clocks are not compared: a statement sent
    some time after a grant arrived was sent at least that long after the grant.
    """

    def __init__(self) -> None:
        self._newest: dict[str, tuple[float, Position]] = {}
        # Send times of the last grants, by proxy and grant number.
        self._grants: dict[str, OrderedDict[int, float]] = {}

    def granted(self, now: float, proxy: str, number: int) -> None:
        """Records that a grant was sent at ``now``."""
        grants = self._grants.setdefault(proxy, OrderedDict())
        grants[number] = now
        if len(grants) > MAX_GRANTS_PER_PROXY:
            grants.popitem(last=False)

    def granted_at(self, proxy: str, number: int) -> float:
        """Returns when a recent grant was sent; its receiver acts after that."""
        grants = self._grants.get(proxy)
        return grants.get(number, float("-inf")) if grants else float("-inf")

    def add_sample(
        self, proxy: str, last_grant: int, group: str, after: float, position: Position
    ) -> None:
        """Adds a proxy's sample, taken ``after`` seconds after grant ``last_grant``."""
        grants = self._grants.get(proxy)
        sent_at = grants.get(last_grant) if grants else None
        if sent_at is None or after < 0:
            return
        self.record(group, sent_at + after, position)

    def record(self, group: str, sampled_at: float, position: Position) -> None:
        """Adds the position of a group's primary, asked for at ``sampled_at``."""
        time, newest = self.newest_sample(group)
        if position.term > newest.term or (
            position.term == newest.term and sampled_at > time
        ):
            self._newest[group] = (sampled_at, position)

    def newest_sample(self, group: str) -> tuple[float, Position]:
        """Returns time and position of a group's newest sample, ZERO if none."""
        return self._newest.get(group, (float("-inf"), ZERO))

    def newest(self, now: float, group: str) -> tuple[float, Position] | None:
        """Returns the age in seconds and the position of a group's newest sample."""
        if group not in self._newest:
            return None
        time, position = self._newest[group]
        return max(0.0, now - time), position
