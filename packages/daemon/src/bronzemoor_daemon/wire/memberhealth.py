"""Health of a member as a proxy observes it: latency, failures, overload and lag."""

import asyncio
from random import Random

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.loadbalance import LoadFigures
from bronzemoor_core.wire.loadexchange import LoadAverage
from bronzemoor_core.wire.memberfailures import FailureRecord
from bronzemoor_core.wire.replicalag import LagRecord
from bronzemoor_core.wire.statements import FAILED, LAGGING
from bronzemoor_daemon.wire.clock import boottime

# Backoff for a replica that lacked a required position; it doubles with each refusal.
MIN_LAG_BACKOFF_SECONDS = 0.150
MAX_LAG_BACKOFF_SECONDS = 1.5
# The estimated replication delay rises to this multiple of the age of a commit that the
# replica lacked, and is multiplied by the decay for each commit that it had.
REPLICATION_DELAY_MARGIN = 1.5
REPLICATION_DELAY_DECAY = 0.9
# Backoff after BUSY answers: it doubles with each one and decays with other answers.
BUSY_BACKOFF_DECAY = 0.9
MIN_BUSY_BACKOFF_SECONDS = 0.040
MAX_BUSY_BACKOFF_SECONDS = 0.400
# Statements with a priority number above this are delayed while a member is overloaded.
URGENT_PRIORITY = 1
# An attempt times out after this multiple of the member's average latency, at least
# after the minimum. A member whose queue is full answers within 0.2 s; a shorter
# timeout would send it the same work again.
ATTEMPT_TIMEOUT_FACTOR = 6.0
MIN_ATTEMPT_TIMEOUT_SECONDS = 0.35
# A connection attempt that takes longer than this counts as failing.
SLOW_CONNECT_SECONDS = 0.2
# Weight of a new measurement in the moving average of the latency.
DELAY_WEIGHT = 0.2


class MemberHealth:
    """Health statistics of one member; times are in seconds."""

    def __init__(self, member: str, address: str, is_local: bool) -> None:
        self._random = Random()
        self._busy_backoff = 0.0
        self._busy_until = 0.0
        self._lag_backoff = 0.0
        # Start times of the connection attempts in progress.
        self._connect_attempts: set[float] = set()
        self.member = member
        self.address = address
        self.is_local = is_local
        self.leaving = False
        self.leaving_since = 0.0
        # Whether the member is the primary, which alone can serve writes.
        self.is_primary = False
        # End of the backoff of a lagging replica.
        self.lagging_until = 0.0
        # Estimated time until a replica has a commit.
        self.replication_delay = 0.0
        # Time of the last BUSY answer.
        self.refused_at = float("-inf")
        # Times of the last failure and the last success of a connection or statement.
        self.failed_at = float("-inf")
        self.succeeded_at = float("-inf")
        # Start of the current run of failed connection attempts, None without one.
        self.failing_since: float | None = None
        # Moving average of the statement latency.
        self.delay = 0.001 if is_local else 0.025
        # Used where connections are shared.
        self.figures = LoadFigures()
        self.failures = FailureRecord(self._random, boottime())
        self.lag = LagRecord()
        self.average_load = LoadAverage()
        self._noted_failure_at = float("-inf")

    def note_failures(self) -> None:
        """Passes on a failure recorded as ``failed_at`` since the last call."""
        if self.failed_at > self._noted_failure_at:
            self._noted_failure_at = self.failed_at
            self.failures.record_failure(self.failed_at)

    def failing_for(self, now: float) -> float:
        """Returns how long new connections have failed or hung, -1 if they succeed."""
        since = [self.failing_since] if self.failing_since is not None else []
        since += [
            start
            for start in self._connect_attempts
            if now - start > SLOW_CONNECT_SECONDS
        ]
        return now - min(since) if since else -1.0

    def record_busy(self, now: float) -> float:
        """Records a BUSY answer and returns the delay before a retry in seconds.

        The delay is partly random so that proxies do not retry at the same time.
        """
        self.refused_at = now
        if now >= self._busy_until:
            # Refusals during the backoff do not double it again.
            doubled = max(MIN_BUSY_BACKOFF_SECONDS, 2 * self._busy_backoff)
            self._busy_backoff = min(MAX_BUSY_BACKOFF_SECONDS, doubled)
        pause = self._busy_backoff * (0.5 + self._random.random())
        self._busy_until = max(self._busy_until, now + pause)
        return pause

    def record_lag(self, now: float, required: Position = ZERO) -> None:
        """Records that the replica lacked the position required by a read."""
        self.lag.record_lacked(now, required)
        if now >= self.lagging_until:
            doubled = max(MIN_LAG_BACKOFF_SECONDS, 2 * self._lag_backoff)
            self._lag_backoff = min(MAX_LAG_BACKOFF_SECONDS, doubled)
            self.lagging_until = now + self._lag_backoff

    def record_caught_up(self, required: Position = ZERO) -> None:
        """Records that the replica served a read that required a position."""
        self.lag.record_reached(required)
        self._lag_backoff = 0.0

    def record_missing_commit(self, age: float) -> None:
        """Records that the replica lacked a commit acknowledged ``age`` seconds ago.

        The estimate is bounded, since a replica that lags for longer is in backoff.
        """
        raised = max(self.replication_delay, age * REPLICATION_DELAY_MARGIN)
        self.replication_delay = min(raised, MAX_LAG_BACKOFF_SECONDS)

    def record_present_commit(self, age: float) -> None:
        """Records that the replica had a commit acknowledged ``age`` seconds ago."""
        if age < self.replication_delay / REPLICATION_DELAY_DECAY:
            self.replication_delay *= REPLICATION_DELAY_DECAY

    async def delay_low_priority(self, priority: int) -> None:
        """Delays a statement that is not urgent while the member is overloaded."""
        pause = self._busy_until - boottime()
        if pause > 0 and priority > URGENT_PRIORITY:
            await asyncio.sleep(pause)

    def record_success(self, now: float, elapsed: float, error: str = "") -> None:
        """Records an answer that took ``elapsed`` seconds, with its error code."""
        if error == FAILED:
            self.failures.record_failure(now)
        elif error != LAGGING:
            # The owner of the connections may have answered for a lagging replica.
            self.failures.record_success(now, now - elapsed)
        if not error:
            self.figures.record_latency(now, elapsed)
        self._busy_backoff *= BUSY_BACKOFF_DECAY
        self.succeeded_at = now
        self.failing_since = None
        self.delay += (elapsed - self.delay) * DELAY_WEIGHT

    def record_late_answer(self, elapsed: float) -> None:
        """Records the latency of an answer that arrived after the timeout."""
        self.delay += (elapsed - self.delay) * DELAY_WEIGHT

    @property
    def attempt_timeout(self) -> float:
        """Time in seconds to wait for an answer before trying another member."""
        return max(MIN_ATTEMPT_TIMEOUT_SECONDS, ATTEMPT_TIMEOUT_FACTOR * self.delay)
