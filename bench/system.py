"""Failover, handover, replica reads and changes in a whole system in one process.

Messages take 3.5 ms one way between endpoints and daemons, and between endpoints, as
between data centres; connections take 12 ms to open.
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

ONE_WAY_DELAY_MS = 3.5
OPEN_DELAY_MS = 12.0
RUNS = 6
# Reported if no write was acknowledged after the action.
DEFAULT_GAP_SECONDS = 8.0
READS = 300
COUNT_CLAIMS = "SELECT count(*) FROM claims"


@contextmanager
def running_system(**options: Any) -> Iterator[EmbeddedSystem]:
    """Runs a system with the first template in effect."""
    system = EmbeddedSystem(
        daemons=3,
        control=3,
        one_way_ms=ONE_WAY_DELAY_MS,
        peer_one_way_ms=ONE_WAY_DELAY_MS,
        open_ms=OPEN_DELAY_MS,
        **options,
    )
    try:
        system.start()
        system.apply_template(ORGANISATION, TEMPLATE)
        yield system
    finally:
        system.stop()


class Writer(Thread):
    """Writes claims in sequence and records when each was acknowledged."""

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


def longest_write_gap_ms(system: EmbeddedSystem, name: str, action: Any) -> float:
    """Returns the longest time around ``action`` without an acknowledged write."""
    writers = [Writer(system, f"{name}-{index}") for index in range(4)]
    for writer in writers:
        writer.start()
    sleep(0.7)
    acted_at = monotonic()
    action()
    sleep(2.0)
    for writer in writers:
        writer.stop()
    times = sorted(at for writer in writers for at in writer.acknowledged)
    before = max((at for at in times if at <= acted_at), default=acted_at)
    later = [before, *(at for at in times if at > acted_at)]
    pauses = [b - a for a, b in zip(later, later[1:], strict=False)]
    return max(pauses, default=DEFAULT_GAP_SECONDS) * 1_000


def failover_gaps(name: str) -> list[float]:
    gaps = []
    for run in range(RUNS):
        with running_system() as system:
            primary = system.members[system.primary]

            def fail(primary: Any = primary) -> None:
                if name == "killed":
                    primary.kill()
                else:
                    primary.faults.cut_peers = True

            gaps.append(longest_write_gap_ms(system, f"{name}-{run}", fail))
    return gaps


@benchmark
def failover() -> Iterator[Result]:
    """Time without writes when the primary is killed, and when it is cut off."""
    for name in ("killed", "cut_off"):
        gaps = failover_gaps(name)
        yield at_most(f"failover.{name}.median", median(gaps), "ms", 500)
        yield at_most(f"failover.{name}.worst", max(gaps), "ms", 1_000)


@benchmark
def handover() -> Iterator[Result]:
    """Longest time between two acknowledged writes around a planned handover."""
    gaps = []
    with running_system() as system:
        for run in range(RUNS):

            def hand_over(run: int = run) -> None:
                answer = system.admin(
                    0, "failover.run", database="claims-1", change_id=f"move-{run}"
                )
                assert answer["code"] == "ok", answer

            gaps.append(longest_write_gap_ms(system, f"move-{run}", hand_over))
    yield at_most("handover.worst", max(gaps), "ms", 100)


@benchmark
def replica_reads() -> Iterator[Result]:
    """Shares of reads that replicas serve while they lag by 20 ms."""
    with running_system(lag_ms=20.0) as system:
        client = system.client(ORGANISATION)
        own_reads: Counter[str] = Counter()
        aged_reads: Counter[str] = Counter()
        for number in range(READS):
            daemon, key = number % 3, f"claim-{number}"
            client.write(daemon, "file-claim", FILE_CLAIM, [key, "Ana", key], key)
            aged_reads[client.run(daemon, "claim-status", COUNT_CLAIMS)["role"]] += 1
            sleep(0.03)
            answer = client.run((daemon + 1) % 3, "agent-read", READ_CLAIM, [key])
            own_reads[answer["role"]] += 1
        yield at_least(
            "reads.aged.replicas", 100 * aged_reads["replica"] / READS, "%", 95
        )
        yield at_least(
            "reads.own.replicas", 100 * own_reads["replica"] / READS, "%", 80
        )


@benchmark
def changes() -> Iterator[Result]:
    """Time until a change is in effect at every daemon, and time of a full status."""
    change_times, status_times = [], []
    with running_system() as system:
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
            blackboards = [d.driver.node.blackboard for d in system.daemons.values()]
            system.wait_for(
                lambda blackboards=blackboards, version=version: all(
                    blackboard.configuration.templates[ORGANISATION].version > version
                    for blackboard in blackboards
                )
            )
            change_times.append((monotonic() - started) * 1_000)
            started = monotonic()
            system.admin(0, "status")
            status_times.append((monotonic() - started) * 1_000)
    yield at_most("change.in_effect.worst", max(change_times), "ms", 1_000)
    yield at_most("status.worst", max(status_times), "ms", 300)
