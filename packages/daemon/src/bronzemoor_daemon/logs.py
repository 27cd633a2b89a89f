"""One log line of key=value pairs per event, written by a thread of its own."""

import json
import logging
import sys
from collections import deque
from threading import Condition, Lock, Thread
from time import monotonic
from typing import Any

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
# Lines beyond this number per event and second are counted instead of written.
LINES_PER_SECOND = 10
QUEUE_LIMIT = 10_000


def configure_logs(level: str) -> None:
    """Sends the log of the whole process to standard error."""
    logger.remove()
    logger.add(sys.stderr, format=FORMAT, level=level)
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
    """Bounds the lines of one event and counts those that it suppresses."""

    def __init__(self, limit: int = LINES_PER_SECOND) -> None:
        self._limit = limit
        # Start of the current second, lines in it and suppressed lines, by event.
        self._windows: dict[str, list[float]] = {}

    def admit(self, now: float, event: str) -> int | None:
        """Returns how many lines were suppressed before this one, or None."""
        window = self._windows.setdefault(event, [now, 0, 0])
        suppressed = 0
        if now - window[0] >= 1:
            suppressed = int(window[2])
            window[:] = [now, 0, 0]
        if window[1] >= self._limit:
            window[2] += 1
            return None
        window[1] += 1
        return suppressed


class LogWriter:
    """Takes events without blocking and writes them in order."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._limit = RateLimit()
        self._queue: deque[tuple[str, str, dict[str, Any]]] = deque(maxlen=QUEUE_LIMIT)
        self._ready = Condition(Lock())
        self._stopped = False
        self._thread = Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Enqueues one event; the oldest is dropped when the queue is full."""
        with self._ready:
            suppressed = self._limit.admit(monotonic(), event)
            if suppressed is None:
                return
            if suppressed:
                fields = {**fields, "suppressed": suppressed}
            self._queue.append((level.upper(), event, fields))
            self._ready.notify()

    def stop(self) -> None:
        """Writes what is queued and ends the thread."""
        with self._ready:
            self._stopped = True
            self._ready.notify()
        self._thread.join(1.0)

    def _run(self) -> None:
        while True:
            with self._ready:
                while not self._queue and not self._stopped:
                    self._ready.wait()
                if not self._queue:
                    return
                level, event, fields = self._queue.popleft()
            logger.log(level, format_line(self._vm, event, fields))
