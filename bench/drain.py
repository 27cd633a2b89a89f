"""Requests refused during a stop, behind a load balancer that polls readiness."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from itertools import count
from threading import Event, Lock, Thread
from time import monotonic, sleep

from bench.processes import Child, started
from bench.registry import Result, at_most, benchmark

CLIENTS = 4
# Pause of one client between two requests, seconds.
PAUSE = 0.020
# Poll interval of the load balancer and delay of the stop, seconds.
CASES = ((1.0, 0.0), (1.0, 2.0), (5.0, 0.0), (5.0, 2.0), (5.0, 6.0))
# Time after the end of the delay in which refusals still count.
TAIL = 2.0


@dataclass(slots=True)
class Counts:
    sent: int = 0
    refused: int = 0
    lock: Lock = field(default_factory=Lock)

    def add(self, refused: bool) -> None:
        with self.lock:
            self.sent += 1
            self.refused += refused


class LoadBalancer:
    """Knows which daemons were ready at its last poll and takes them in turn."""

    def __init__(self, daemons: list[Child], interval: float) -> None:
        self._daemons = daemons
        self._interval = interval
        self._ready = list(daemons)
        self._turn = count()
        self._stopped = Event()
        self.polled = Event()
        Thread(target=self._poll, daemon=True).start()

    def choose(self) -> Child:
        ready = self._ready or self._daemons
        return ready[next(self._turn) % len(ready)]

    def stop(self) -> None:
        self._stopped.set()

    def _poll(self) -> None:
        while True:
            self._ready = [daemon for daemon in self._daemons if is_ready(daemon)]
            self.polled.set()
            if self._stopped.wait(self._interval):
                return


def is_ready(daemon: Child) -> bool:
    """One readiness poll on a connection of its own."""
    connection = HTTPConnection(*daemon.host_port, timeout=2)
    try:
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


def send_all(balancer: LoadBalancer, counts: Counts, stopped: Event) -> None:
    """One client: keeps its connection until an answer closes it, then asks anew."""
    connection = None
    while not stopped.wait(PAUSE):
        try:
            if connection is None:
                daemon = balancer.choose()
                connection = HTTPConnection(*daemon.host_port, timeout=5)
            connection.request("POST", "/v1/statements", b"{}")
            response = connection.getresponse()
            response.read()
            counts.add(False)
            # Half of the answers end their connection, so that new ones are opened.
            if response.will_close or counts.sent % 2:
                connection.close()
                connection = None
        except (OSError, HTTPException):
            counts.add(True)
            connection = None


def run_case(interval: float, delay: float) -> Counts:
    """Stops one of two daemons right after a poll, the worst moment."""
    counts, finished = Counts(), Event()
    with ExitStack() as stack:
        drain = {"delay": delay, "grace": 2.0, "cleanup": 1.0}
        daemons = [
            stack.enter_context(started("daemon", graceful=True, drain=drain))
            for _ in range(2)
        ]
        until = monotonic() + 5
        while not all(is_ready(daemon) for daemon in daemons):
            if monotonic() > until:
                raise TimeoutError("a daemon is not ready")
            sleep(0.05)
        balancer = LoadBalancer(daemons, interval)
        clients = [
            Thread(target=send_all, args=(balancer, counts, finished), daemon=True)
            for _ in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        sleep(0.2)
        balancer.polled.clear()
        balancer.polled.wait(interval + 1)
        stopping = Thread(target=daemons[0].stop)
        stopping.start()
        sleep(max(interval, delay) + TAIL)
        finished.set()
        for client in clients:
            client.join()
        balancer.stop()
        stopping.join()
    return counts


@benchmark
def drain_refusals() -> Iterator[Result]:
    """The delay prevents refusals if it is longer than the poll interval."""
    with ThreadPoolExecutor(len(CASES)) as pool:
        results = list(pool.map(lambda case: run_case(*case), CASES))
    for (interval, delay), counts in zip(CASES, results, strict=True):
        name = f"drain.poll_{interval:g}s.delay_{delay:g}s"
        yield Result(f"{name}.sent", counts.sent, "requests")
        if delay > interval:
            yield at_most(f"{name}.refused", counts.refused, "requests", 0)
        else:
            yield Result(f"{name}.refused", counts.refused, "requests")
