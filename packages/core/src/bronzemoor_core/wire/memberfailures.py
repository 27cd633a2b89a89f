"""Decides when a failing member is left out, and when it is tried again.

Load pattern: a member fails the statements of one data centre only, or goes up and
down. Failed statements end early, so the member looks idle and attracts more of them.
The record is each proxy's own: what fails here may work from another data centre.
"""

from random import Random

# A proxy asks one member every few seconds, so that the first failure already counts.
# The pause doubles if the member fails again within FORGET_SECONDS.
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
FORGET_SECONDS = 10.0
# An unanswered probe is followed by another after this.
PROBE_TIMEOUT_SECONDS = 1.0
# A member that is new or was left out is believed to have few slots at first, and all
# after this.
WARM_UP_SECONDS = 2.0
COLD_SHARE = 0.2


class FailureRecord:
    """Failures of one member as seen by this proxy."""

    __slots__ = (
        "_cut_at",
        "_failures",
        "_is_cut",
        "_next_probe",
        "_pause",
        "_probing",
        "_random",
        "_restored_at",
    )

    def __init__(self, random: Random, known_since: float = float("-inf")) -> None:
        self._random = random
        self._is_cut = False
        self._cut_at = float("-inf")
        # A member that has just become known may have just started.
        self._restored_at = known_since
        self._next_probe = float("-inf")
        self._pause = 0.0
        self._probing = False
        self._failures = 0

    @property
    def is_cut(self) -> bool:
        """Whether the member gets single probes only."""
        return self._is_cut

    @property
    def pause(self) -> float:
        """Usual time between two probes in seconds."""
        return self._pause

    @property
    def failures(self) -> int:
        """Number of failures since the member was last restored."""
        return self._failures

    def record_failure(self, now: float) -> None:
        """Records a failed statement or connection."""
        self._failures += 1
        if self._is_cut and not self._probing:
            # Sent before the cut.
            return
        recent = now - self._restored_at < FORGET_SECONDS or self._is_cut
        doubled = 2 * self._pause if recent else 0.0
        self._pause = min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, doubled))
        if not self._is_cut:
            self._is_cut, self._cut_at = True, now
        self._probing = False
        # Jitter keeps the probes of many proxies apart.
        self._next_probe = now + self._pause * (0.5 + self._random.random())

    def record_success(self, now: float, sent_at: float) -> None:
        """Records an answer; one to a statement from before the cut proves nothing."""
        if self._is_cut and sent_at > self._cut_at:
            self._is_cut = self._probing = False
            self._restored_at = now
            self._failures = 0

    def claim_probe(self, now: float) -> bool:
        """Returns whether the caller may probe; no other may until the answer."""
        if not self._is_cut or now < self._next_probe:
            return False
        self._probing = True
        self._next_probe = now + PROBE_TIMEOUT_SECONDS
        return True

    def warmth(self, now: float) -> float:
        """Returns the share of the member's slots that is believed usable."""
        since = now - self._restored_at
        if since >= WARM_UP_SECONDS:
            return 1.0
        return COLD_SHARE + (1.0 - COLD_SHARE) * max(0.0, since) / WARM_UP_SECONDS
