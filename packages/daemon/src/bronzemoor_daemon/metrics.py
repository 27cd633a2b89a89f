"""Counters, gauges and timers: kept in the process and sent to statsd every second."""

from collections import deque
from threading import Event, Thread
from typing import Any

from statsd import StatsClient

from bronzemoor_daemon.framing import split_address

FLUSH_INTERVAL = 1.0
# Timer samples kept per name between two flushes, and for the quantiles of the status.
TIMER_SAMPLES = 200


class Metrics:
    """Takes values without blocking; a thread sends sums, not single events."""

    def __init__(self, statsd: str = "", prefix: str = "bronzemoor") -> None:
        self._counters: dict[str, float] = {}
        self._gauges: dict[str, float] = {}
        self._timers: dict[str, deque[float]] = {}
        self._sent: dict[str, float] = {}
        self._unsent: dict[str, deque[float]] = {}
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

        Called with the driver's lock held, so it takes none of its own: several values
        per request make a second lock noticeable.
        """
        if kind == "counter":
            self._counters[name] = self._counters.get(name, 0) + value
        elif kind == "gauge":
            self._gauges[name] = value
        else:
            samples = self._timers.get(name)
            if samples is None:
                samples = self._timers[name] = deque(maxlen=TIMER_SAMPLES)
            samples.append(value)
            if self._client is not None:
                # The flush empties it; what exceeds the bound in between is left out.
                unsent = self._unsent.get(name)
                if unsent is None:
                    unsent = self._unsent[name] = deque(maxlen=TIMER_SAMPLES)
                unsent.append(value)

    def snapshot(self) -> dict[str, Any]:
        """Returns all values; timers as median and 99th percentile of the last ones."""
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
            "replica_read_share": _share(
                counters.get("reads.replica", 0), counters.get("reads.primary", 0)
            ),
        }

    def stop(self) -> None:
        """Sends what is left and ends the thread."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join(1.0)

    def _run(self) -> None:
        while not self._stopped.wait(FLUSH_INTERVAL):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        counters, gauges = dict(self._counters), dict(self._gauges)
        timers, self._unsent = self._unsent, {}
        with self._client.pipeline() as batch:
            for name, value in counters.items():
                if value != self._sent.get(name, 0):
                    batch.incr(name, value - self._sent.get(name, 0))
            for name, value in gauges.items():
                batch.gauge(name, value)
            for name, values in timers.items():
                for value in values.copy():
                    batch.timing(name, value)
        self._sent = counters


def _share(part: float, rest: float) -> float | None:
    return part / (part + rest) if part + rest else None
