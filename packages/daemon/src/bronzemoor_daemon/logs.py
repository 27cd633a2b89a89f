"""One log line of key=value pairs per event, written by a thread of its own."""

import json
import logging
import sys
from collections import deque
from threading import Condition, Lock, Thread
from time import monotonic
from typing import Any, TextIO

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
# Different lines of one event that are written within a second.
LINES_PER_SECOND = 100
QUEUE_LIMIT = 10_000


def configure_logs(level: str, stream: TextIO | None = None) -> None:
    """Sends the log of the whole process to ``stream``, by default standard error."""
    logger.remove()
    logger.add(stream or sys.stderr, format=FORMAT, level=level)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)


class LibraryHandler(logging.Handler):
    """Passes the log of libraries on as events."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
        level = "ERROR" if record.levelno >= logging.ERROR else "WARNING"
        logger.log(level, format_line("", "library", fields))


def format_line(vm: str, event: str, fields: dict[str, Any]) -> str:
    """Formats an event; text values are quoted, so that a line stays one line."""
    parts = [f"event={event}", f"vm={json.dumps(vm)}"]
    parts += [
        f"{key}={json.dumps(value, default=str)}" for key, value in fields.items()
    ]
    return " ".join(parts)


class RateLimit:
    """Bounds how often a key passes within a second and counts the rest."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # Start of the second, passes in it and suppressions, by key.
        self._windows: dict[str, list[float]] = {}

    def admit(self, now: float, key: str) -> bool:
        """Tells whether ``key`` may pass at ``now`` (seconds)."""
        window = self._windows.setdefault(key, [now, 0, 0])
        passes = window[1] < self._limit
        window[1 if passes else 2] += 1
        return passes

    def close_windows(self, now: float) -> dict[str, int]:
        """Ends the windows that are a second old; returns what they suppressed."""
        ended = [key for key, window in self._windows.items() if now - window[0] >= 1]
        counts = {key: int(self._windows.pop(key)[2]) for key in ended}
        return {key: count for key, count in counts.items() if count}


class LogWriter:
    """Takes events without blocking and writes them in order.

    An equal line is written once a second and an event ``LINES_PER_SECOND`` times; the
    number of the others follows.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._limits = (RateLimit(1), RateLimit(LINES_PER_SECOND))
        self._queue: deque[tuple[str, str]] = deque(maxlen=QUEUE_LIMIT)
        self._ready = Condition(Lock())
        self._stopped = False
        self._thread = Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Enqueues one event; the oldest is dropped when the queue is full."""
        now, line = monotonic(), format_line(self._vm, event, fields)
        lines, events = self._limits
        with self._ready:
            if lines.admit(now, line) and events.admit(now, event):
                self._queue.append((level.upper(), line))
                self._ready.notify()

    def stop(self) -> None:
        """Writes what is queued or suppressed and ends the thread."""
        with self._ready:
            self._stopped = True
            self._ready.notify()
        self._thread.join(1.0)

    def _run(self) -> None:
        stopped = False
        while not stopped:
            with self._ready:
                if not self._queue and not self._stopped:
                    self._ready.wait(1.0)
                batch = list(self._queue)
                self._queue.clear()
                stopped = self._stopped
                now = float("inf") if stopped else monotonic()
                for limit in self._limits:
                    for key, count in limit.close_windows(now).items():
                        batch.append(("WARNING", f"{key} suppressed={count}"))
            for level, line in batch:
                logger.log(level, line)
