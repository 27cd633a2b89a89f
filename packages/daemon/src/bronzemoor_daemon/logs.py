"""Log of one line of key=value pairs per event, written by a background thread."""

import json
import logging
import sys
from collections import deque
from collections.abc import Callable
from datetime import datetime
from threading import Condition, Lock, Thread
from time import monotonic, time
from typing import Any, TextIO

FORMAT = "{extra[at]} level={level} {message}"
# Limit for the distinct lines of one event.
EVENT_LINES_PER_SECOND = 100
QUEUE_LIMIT = 10_000


def configure_logs(level: str, stream: TextIO | None = None) -> None:
    """Directs the log of the process to ``stream``, by default standard error."""
    from loguru import logger

    logger.remove()
    logger.configure(patcher=_add_time)
    logger.add(stream or sys.stderr, format=FORMAT, level=level)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)


class LibraryHandler(logging.Handler):
    """Writes the log records of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        from loguru import logger

        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
        level = "ERROR" if record.levelno >= logging.ERROR else "WARNING"
        logger.log(level, format_line("", "library", fields))


def format_line(vm: str, event: str, fields: dict[str, Any]) -> str:
    """Formats an event as one line; line breaks in values are escaped."""
    parts = [f"event={event}", f"vm={json.dumps(vm)}"]
    parts += [
        f"{key}={json.dumps(value, default=str)}" for key, value in fields.items()
    ]
    return " ".join(parts)


def format_time(at: float) -> str:
    """Formats a time of day in seconds since the epoch, with its UTC offset."""
    return datetime.fromtimestamp(at).astimezone().isoformat(timespec="milliseconds")


def _add_time(record: Any) -> None:
    if "at" not in record["extra"]:
        record["extra"]["at"] = format_time(time())


class RateLimit:
    """Limits the events per key and second and counts the suppressed ones."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # Start of the window, admitted and suppressed events, by key.
        self._windows: dict[str, list[float]] = {}

    def admit(self, now: float, key: str) -> bool:
        """Returns whether an event of ``key`` is admitted at ``now`` (seconds)."""
        window = self._windows.setdefault(key, [now, 0, 0])
        is_admitted = window[1] < self._limit
        window[1 if is_admitted else 2] += 1
        return is_admitted

    def expire_windows(self, now: float) -> dict[str, int]:
        """Removes windows that are a second old; returns their suppressed events."""
        ended = [key for key, window in self._windows.items() if now - window[0] >= 1]
        counts = {key: int(self._windows.pop(key)[2]) for key in ended}
        return {key: count for key, count in counts.items() if count}


class LogWriter:
    """Queues events without blocking and writes them in order.

    Per second, a line is written once and an event ``EVENT_LINES_PER_SECOND`` times; a
    further line reports the number of suppressed ones. With ``configure``, which the
    thread calls first, nothing is written before ``start``; a process that starts need
    not wait for the log library to be imported.
    """

    def __init__(self, vm: str, configure: Callable[[], None] | None = None) -> None:
        self._vm = vm
        self._configure = configure
        self._limits = (RateLimit(1), RateLimit(EVENT_LINES_PER_SECOND))
        # Time of day in seconds, level and line.
        self._queue: deque[tuple[float, str, str]] = deque(maxlen=QUEUE_LIMIT)
        self._condition = Condition(Lock())
        self._stopped = False
        self._thread = Thread(target=self._run, name="logs", daemon=True)
        if configure is None:
            self._thread.start()

    def start(self) -> None:
        """Starts to write, with the lines that were queued before."""
        if self._thread.ident is None:
            self._thread.start()

    def write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Enqueues one event; the oldest is dropped when the queue is full."""
        now, line = monotonic(), format_line(self._vm, event, fields)
        line_limit, event_limit = self._limits
        with self._condition:
            if line_limit.admit(now, line) and event_limit.admit(now, event):
                self._queue.append((time(), level.upper(), line))
                self._condition.notify()

    def stop(self) -> None:
        """Writes queued events and suppression counts and stops the thread."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        self.start()
        self._thread.join(1.0)

    def _run(self) -> None:
        if self._configure is not None:
            self._configure()
        from loguru import logger

        stopped = False
        while not stopped:
            with self._condition:
                if not self._queue and not self._stopped:
                    self._condition.wait(1.0)
                batch = list(self._queue)
                self._queue.clear()
                stopped = self._stopped
                now = float("inf") if stopped else monotonic()
                for limit in self._limits:
                    for key, count in limit.expire_windows(now).items():
                        batch.append((time(), "WARNING", f"{key} suppressed={count}"))
            for at, level, line in batch:
                logger.bind(at=format_time(at)).log(level, line)
