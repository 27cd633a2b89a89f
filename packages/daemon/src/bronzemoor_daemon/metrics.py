"""Counters, gauges and timers, kept in memory and sent to statsd every second."""

from collections import deque
from threading import Event, Thread
from typing import Any

from statsd import StatsClient

from bronzemoor_daemon.framing import split_address

FLUSH_INTERVAL_SECONDS = 1.0
# Samples kept per timer between two flushes, and for the quantiles in the status.
MAX_TIMER_SAMPLES = 200


class Metrics:
    """Records values without blocking; a thread sends sums, not single events."""

    def __init__(self, statsd: str = "", prefix: str = "bronzemoor") -> None:
        self._counters: dict[str, float] = {}
        self._gauges: dict[str, float] = {}
        self._timers: dict[str, deque[float]] = {}
        self._sent_counters: dict[str, float] = {}
        self._unsent_samples: dict[str, deque[float]] = {}
        self._stopped = Event()
        self._client: Any = None
        self._thread: Thread | None = None
        if statsd:
            host, port = split_address(statsd)
            self._client = StatsClient(host, port, prefix=prefix)
            self._thread = Thread(target=self._run, name="metrics", daemon=True)
            self._thread.start()

    def emit(self, kind: str, name: str, value: float) -> None:
        """Records one value; a timer's is in milliseconds.

        Called with the driver's lock held, so it needs none of its own. With several
        values per request, the cost of a second lock is noticeable.
        """
        if kind == "counter":
            self._counters[name] = self._counters.get(name, 0) + value
        elif kind == "gauge":
            self._gauges[name] = value
        else:
            samples = self._timers.get(name)
            if samples is None:
                samples = self._timers[name] = deque(maxlen=MAX_TIMER_SAMPLES)
            samples.append(value)
            if self._client is not None:
                # Emptied by each flush; beyond the limit the oldest samples are lost.
                unsent = self._unsent_samples.get(name)
                if unsent is None:
                    unsent = self._unsent_samples[name] = deque(
                        maxlen=MAX_TIMER_SAMPLES
                    )
                unsent.append(value)

    def snapshot(self) -> dict[str, Any]:
        """Returns all values; timers as median and 99th percentile of recent ones."""
        counters, gauges = dict(self._counters), dict(self._gauges)
        timers = {name: sorted(v.copy()) for name, v in dict(self._timers).items()}
        return {
            "counters": counters,
            "gauges": gauges,
            "timers": {
                name: {
                    "median_ms": values[len(values) // 2],
                    "p99_ms": values[int(len(values) * 0.99)],
                }
                for name, values in timers.items()
            },
            "replica_read_share": _fraction(
                counters.get("reads.replica", 0), counters.get("reads.primary", 0)
            ),
        }

    def stop(self) -> None:
        """Sends the remaining values and stops the thread."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join(1.0)

    def _run(self) -> None:
        while not self._stopped.wait(FLUSH_INTERVAL_SECONDS):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        counters, gauges = dict(self._counters), dict(self._gauges)
        timers, self._unsent_samples = self._unsent_samples, {}
        with self._client.pipeline() as batch:
            for name, value in counters.items():
                if value != self._sent_counters.get(name, 0):
                    batch.incr(name, value - self._sent_counters.get(name, 0))
            for name, value in gauges.items():
                batch.gauge(name, value)
            for name, values in timers.items():
                for value in values.copy():
                    batch.timing(name, value)
        self._sent_counters = counters


def _fraction(part: float, rest: float) -> float | None:
    return part / (part + rest) if part + rest else None
