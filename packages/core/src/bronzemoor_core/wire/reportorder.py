"""Recognises reports that are older than one that has been taken.

Reports of one proxy arrive over several connections, so a late one may follow a later
one, also of a later process.
"""

from collections import deque
from enum import Enum

# Earlier processes of a proxy whose late reports are recognised.
MAX_EARLIER_PROCESSES = 8


class ReportAge(Enum):
    NEWEST = "newest"
    LATE = "late"
    # The first report of a process that follows another one.
    NEW_PROCESS = "new_process"


class _Proxy:
    """The process of a proxy that reported last."""

    __slots__ = ("earlier", "incarnation", "sequence")

    def __init__(self, incarnation: int, sequence: int) -> None:
        self.incarnation = incarnation
        self.sequence = sequence
        self.earlier: deque[int] = deque(maxlen=MAX_EARLIER_PROCESSES)


class ReportOrder:
    """The newest report of each proxy, by process and sequence number."""

    __slots__ = ("_proxies",)

    def __init__(self) -> None:
        self._proxies: dict[str, _Proxy] = {}

    def classify(self, proxy: str, incarnation: int, sequence: int) -> ReportAge:
        """Records a report; earlier builds, with incarnation 0, are always newest."""
        known = self._proxies.setdefault(proxy, _Proxy(incarnation, sequence - 1))
        if incarnation == known.incarnation:
            if incarnation and sequence <= known.sequence:
                return ReportAge.LATE
            known.sequence = sequence
            return ReportAge.NEWEST
        if incarnation in known.earlier:
            return ReportAge.LATE
        known.earlier.append(known.incarnation)
        known.incarnation, known.sequence = incarnation, sequence
        return ReportAge.NEW_PROCESS
