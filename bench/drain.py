"""Requests refused while a daemon stops behind a load balancer that polls readiness."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from itertools import count
from threading import Event, Lock, Thread
from time import monotonic, sleep

from bench.processes import ChildProcess, running_child
from bench.registry import Result, at_most, benchmark

CLIENTS = 4
# Pause of a client between two requests.
PAUSE_SECONDS = 0.020
# Poll interval of the load balancer and drain delay, both in seconds.
CASES = ((1.0, 0.0), (1.0, 2.0), (5.0, 0.0), (5.0, 2.0), (5.0, 6.0))
# Time after the longer of poll interval and delay in which refusals are counted.
TAIL_SECONDS = 2.0


@dataclass(slots=True)
class RequestCounts:
    sent: int = 0
    refused: int = 0
    lock: Lock = field(default_factory=Lock)

    def record(self, refused: bool) -> None:
        with self.lock:
            self.sent += 1
            self.refused += refused


class LoadBalancer:
    """Chooses in turn among the daemons that were ready at the last poll."""

    def __init__(self, daemons: list[ChildProcess], interval: float) -> None:
        self._daemons = daemons
        self._interval = interval
        self._ready = list(daemons)
        self._next_index = count()
        self._stopped = Event()
        self.polled = Event()
        Thread(target=self._poll, daemon=True).start()

    def choose(self) -> ChildProcess:
        ready = self._ready or self._daemons
        return ready[next(self._next_index) % len(ready)]

    def stop(self) -> None:
        self._stopped.set()

    def _poll(self) -> None:
        while True:
            self._ready = [daemon for daemon in self._daemons if is_ready(daemon)]
            self.polled.set()
            if self._stopped.wait(self._interval):
                return


def is_ready(daemon: ChildProcess) -> bool:
    """Returns whether the daemon is ready, polled on a new connection."""
    connection = HTTPConnection(*daemon.host_port, timeout=2)
    try:
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


def run_client(balancer: LoadBalancer, counts: RequestCounts, stopped: Event) -> None:
    """Sends requests as one client; asks the balancer for each new connection."""
    connection = None
    while not stopped.wait(PAUSE_SECONDS):
        try:
            if connection is None:
                daemon = balancer.choose()
                connection = HTTPConnection(*daemon.host_port, timeout=5)
            connection.request("POST", "/v1/statements", b"{}")
            response = connection.getresponse()
            response.read()
            counts.record(False)
            # Half of the answers close the connection, so that new ones are opened.
            if response.will_close or counts.sent % 2:
                connection.close()
                connection = None
        except (OSError, HTTPException):
            counts.record(True)
            connection = None


def run_case(interval: float, delay: float) -> RequestCounts:
    """Stops one of two daemons right after a poll, which is the worst case."""
    counts, finished = RequestCounts(), Event()
    with ExitStack() as stack:
        drain = {"delay": delay, "grace": 2.0, "cleanup": 1.0}
        daemons = [
            stack.enter_context(running_child("daemon", graceful=True, drain=drain))
            for _ in range(2)
        ]
        deadline = monotonic() + 5
        while not all(is_ready(daemon) for daemon in daemons):
            if monotonic() > deadline:
                raise TimeoutError("a daemon is not ready")
            sleep(0.05)
        balancer = LoadBalancer(daemons, interval)
        clients = [
            Thread(target=run_client, args=(balancer, counts, finished), daemon=True)
            for _ in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        sleep(0.2)
        balancer.polled.clear()
        balancer.polled.wait(interval + 1)
        stopping = Thread(target=daemons[0].stop)
        stopping.start()
        sleep(max(interval, delay) + TAIL_SECONDS)
        finished.set()
        for client in clients:
            client.join()
        balancer.stop()
        stopping.join()
    return counts


@benchmark
def drain_refusals() -> Iterator[Result]:
    """A drain delay longer than the poll interval prevents refusals."""
    with ThreadPoolExecutor(len(CASES)) as pool:
        results = list(pool.map(lambda case: run_case(*case), CASES))
    for (interval, delay), counts in zip(CASES, results, strict=True):
        name = f"drain.poll_{interval:g}s.delay_{delay:g}s"
        yield Result(f"{name}.sent", counts.sent, "requests")
        if delay > interval:
            yield at_most(f"{name}.refused", counts.refused, "requests", 0)
        else:
            yield Result(f"{name}.refused", counts.refused, "requests")
