"""Decides whether a lagging replica is asked again.

Load pattern: most replicas lag for seconds while a burst of reads arrives. Each proxy
sends a group few statements a second, so that by its own evidence alone nearly every
one of them would find out again that the replica lags. A member's owner therefore
answers for the replica from the evidence of its whole data centre.
"""

from bronzemoor_core.positions import ZERO, Position

MIN_PAUSE_SECONDS = 0.050
# While a replica lags, each data centre asks it about once within this time.
MAX_PAUSE_SECONDS = 1.0
# An unanswered probe is followed by another after this.
PROBE_TIMEOUT_SECONDS = 0.4


class LagRecord:
    """The position that a replica lacked, and when to ask for it again."""

    __slots__ = ("_lacked", "_next_probe", "_pause", "_probing")

    def __init__(self) -> None:
        self._lacked = ZERO
        self._pause = 0.0
        self._probing = False
        self._next_probe = float("-inf")

    def record_lacked(self, now: float, position: Position) -> None:
        """Records a LAGGING answer to a statement that required ``position``."""
        if self._lacked == ZERO or self._probing:
            self._probing = False
            doubled = 2 * self._pause
            self._pause = min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, doubled))
            self._next_probe = now + self._pause
        if self._lacked == ZERO or position < self._lacked:
            self._lacked = position

    def record_reached(self, position: Position) -> None:
        """Records that the replica served a statement that required ``position``."""
        if position >= self._lacked:
            self._lacked, self._pause, self._probing = ZERO, 0.0, False

    def may_ask(self, now: float, required: Position) -> bool:
        """Returns whether a statement that requires the position may be sent."""
        return (
            self._lacked == ZERO or required < self._lacked or now >= self._next_probe
        )

    def claim(self, now: float, required: Position) -> None:
        """Records that such a statement is sent; after a pause only one may be."""
        if self._lacked != ZERO and required >= self._lacked:
            self._probing = True
            self._next_probe = now + PROBE_TIMEOUT_SECONDS
