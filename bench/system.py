"""Failover, handover, replica reads and changes on a whole system in one process.

Endpoints answer daemons 3.5 ms and each other 3.5 ms later each way, as between data
centres; connections take 12 ms to open.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from statistics import median
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any

from bench.registry import Result, at_least, at_most, benchmark
from bronzemoor_daemon.demo import FILE_CLAIM, ORGANISATION, READ_CLAIM, TEMPLATE
from bronzemoor_daemon.embedded import EmbeddedSystem

DISTANCE_MS = 3.5
OPEN_MS = 12.0
RUNS = 6
WRITE_LIMIT_S = 8.0
READS = 300
COUNT_CLAIMS = "SELECT count(*) FROM claims"


@contextmanager
def running(**options: Any) -> Iterator[EmbeddedSystem]:
    """A system with the first template in effect."""
    system = EmbeddedSystem(
        daemons=3,
        control=3,
        one_way_ms=DISTANCE_MS,
        peer_one_way_ms=DISTANCE_MS,
        open_ms=OPEN_MS,
        **options,
    )
    try:
        system.start()
        system.apply_template(ORGANISATION, TEMPLATE)
        yield system
    finally:
        system.stop()


class Writer(Thread):
    """Files claims one after the other and notes when each was acknowledged."""

    def __init__(self, system: EmbeddedSystem, name: str) -> None:
        super().__init__(name=name, daemon=True)
        self._client = system.client(ORGANISATION)
        self._stopped = Event()
        self.acknowledged: list[float] = []

    def run(self) -> None:
        number = 0
        while not self._stopped.is_set():
            number += 1
            key = f"{self.name}-{number}"
            values = [key, "Ana", key]
            answer = self._client.write(
                number % 3, "file-claim", FILE_CLAIM, values, key
            )
            if answer["outcome"] == "done":
                self.acknowledged.append(monotonic())

    def stop(self) -> None:
        self._stopped.set()
        self.join()


def gap_after(system: EmbeddedSystem, name: str, act: Any) -> float:
    """Milliseconds between acknowledgements around ``act`` of the fastest writer."""
    writers = [Writer(system, f"{name}-{index}") for index in range(4)]
    for writer in writers:
        writer.start()
    sleep(0.7)
    started = monotonic()
    act()
    sleep(2.0)
    for writer in writers:
        writer.stop()
    times = sorted(at for writer in writers for at in writer.acknowledged)
    before = max((at for at in times if at <= started), default=started)
    later = [before, *(at for at in times if at > started)]
    pauses = [b - a for a, b in zip(later, later[1:], strict=False)]
    return max(pauses, default=WRITE_LIMIT_S) * 1_000


def failover_gaps(name: str) -> list[float]:
    gaps = []
    for run in range(RUNS):
        with running() as system:
            primary = system.members[system.primary]

            def fail(primary: Any = primary) -> None:
                if name == "killed":
                    primary.kill()
                else:
                    primary.faults.cut_peers = True

            gaps.append(gap_after(system, f"{name}-{run}", fail))
    return gaps


@benchmark
def failover() -> Iterator[Result]:
    """Gap of writes when the primary is killed, and when it is cut off."""
    for name in ("killed", "cut_off"):
        gaps = failover_gaps(name)
        yield at_most(f"failover.{name}.median", median(gaps), "ms", 500)
        yield at_most(f"failover.{name}.worst", max(gaps), "ms", 1_000)


@benchmark
def handover() -> Iterator[Result]:
    """Longest pause between two acknowledged writes around a planned handover."""
    gaps = []
    with running() as system:
        for run in range(RUNS):

            def move(run: int = run) -> None:
                answer = system.admin(
                    0, "failover.run", database="claims-1", change_id=f"move-{run}"
                )
                assert answer["code"] == "ok", answer

            gaps.append(gap_after(system, f"move-{run}", move))
    yield at_most("handover.worst", max(gaps), "ms", 100)


@benchmark
def replica_reads() -> Iterator[Result]:
    """Shares of reads served by replicas that lag by 20 ms."""
    with running(lag_ms=20.0) as system:
        client = system.client(ORGANISATION)
        own: Counter[str] = Counter()
        aged: Counter[str] = Counter()
        for number in range(READS):
            daemon, key = number % 3, f"claim-{number}"
            client.write(daemon, "file-claim", FILE_CLAIM, [key, "Ana", key], key)
            aged[client.run(daemon, "claim-status", COUNT_CLAIMS)["role"]] += 1
            sleep(0.03)
            answer = client.run((daemon + 1) % 3, "agent-read", READ_CLAIM, [key])
            own[answer["role"]] += 1
        yield at_least("reads.aged.replicas", 100 * aged["replica"] / READS, "%", 95)
        yield at_least("reads.own.replicas", 100 * own["replica"] / READS, "%", 80)


@benchmark
def changes() -> Iterator[Result]:
    """Time until a change is in effect at every daemon, and of a full status."""
    times, statuses = [], []
    with running() as system:
        for version in range(1, 21):
            started = monotonic()
            answer = system.admin(
                version % 3,
                "template.apply",
                organisation=ORGANISATION,
                body={**TEMPLATE, "connections": 10 + version},
                expect_version=version,
                change_id=f"change-{version}",
            )
            assert answer["code"] == "ok", answer
            boards = [d.driver.node.blackboard for d in system.daemons.values()]
            system.wait_for(
                lambda boards=boards, version=version: all(
                    board.configuration.templates[ORGANISATION].version > version
                    for board in boards
                )
            )
            times.append((monotonic() - started) * 1_000)
            started = monotonic()
            system.admin(0, "status")
            statuses.append((monotonic() - started) * 1_000)
    yield at_most("change.in_effect.worst", max(times), "ms", 1_000)
    yield at_most("status.worst", max(statuses), "ms", 300)
