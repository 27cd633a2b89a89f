"""Applies the log of a member to its committed data."""

import threading
import time
from collections import deque
from collections.abc import Callable

from bronzemoor_standin.database import Database, Step
from bronzemoor_standin.replication import GroupLog

APPLY_BATCH_ENTRIES = 200


class Applier:
    """Applies log entries to ``database`` after the simulated replication lag.

    ``lock`` protects the log. Lock order: ``apply_lock``, ``database.lock``, ``lock``.
    """

    def __init__(
        self,
        log: GroupLog,
        lock: threading.RLock,
        database: Database,
        lag_ms: Callable[[], float],
    ) -> None:
        self.database = database
        self.apply_lock = threading.Lock()
        self.rebuilding = False
        self._log = log
        self._lock = lock
        self._changed = threading.Condition(lock)
        self._lag_ms = lag_ms
        self._arrivals: deque[tuple[int, float]] = deque()

    # --- with ``lock`` held

    def record_arrival(self, offset: int) -> None:
        """Records the arrival time of the entries up to ``offset``."""
        self._arrivals.append((offset, time.monotonic()))
        self._changed.notify_all()

    def rebuild_if_truncated(self) -> None:
        """Starts a rebuild if applied entries were discarded from the log."""
        if not self._log.holds(*self.database.applied):
            self.rebuilding = True
            self._changed.notify_all()

    # --- without locks

    def run_once(self, timeout: float) -> None:
        """Applies one batch, or waits up to ``timeout`` seconds for due entries."""
        with self.apply_lock:
            applied_any = self.apply_some()
        if applied_any:
            return
        with self._lock:
            if not self.rebuilding and not self._due_count(self._lag_ms()):
                self._changed.wait(self._seconds_until_due(timeout))

    def apply_some(self, ignore_lag: bool = False) -> bool:
        """Applies a batch with ``apply_lock`` held; returns whether any were due."""
        with self.database.lock, self._lock:
            self._reset_if_discarded()
            lag = 0.0 if ignore_lag or self.rebuilding else self._lag_ms()
            start = self.database.applied[1]
            count = min(self._due_count(lag), APPLY_BATCH_ENTRIES)
            entries = self._log.entries[start : start + count]
            if not entries:
                self._finish_rebuild()
                return False
        steps = [Step.from_entry(entry) for entry in entries]
        with self.database.lock, self._lock:
            last = entries[-1]
            if self._log.holds(last.term, last.offset):
                self.database.apply(steps)
        return True

    def _reset_if_discarded(self) -> None:
        if self.rebuilding and not self._log.holds(*self.database.applied):
            self.database.reset()

    def _finish_rebuild(self) -> None:
        if self.rebuilding:
            self.rebuilding = False
            self.database.applied_changed.notify_all()

    def _due_count(self, lag_ms: float) -> int:
        """Number of stored entries that are due to be applied."""
        applied, last = self.database.applied[1], self._log.last[1]
        if lag_ms <= 0:
            self._arrivals.clear()
            return last - applied
        due = applied
        cutoff = time.monotonic() - lag_ms / 1000
        while self._arrivals and self._arrivals[0][1] <= cutoff:
            due = max(due, self._arrivals.popleft()[0])
        return min(due, last) - applied

    def _seconds_until_due(self, timeout: float) -> float:
        if not self._arrivals:
            return timeout
        due = self._arrivals[0][1] + self._lag_ms() / 1000
        return max(0.001, min(timeout, due - time.monotonic()))
