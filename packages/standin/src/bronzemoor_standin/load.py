"""Generates open-loop load: latency is measured from the planned time of arrival."""

import random
import threading
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from typing import Any

from bronzemoor_standin.callers import Connections, Session
from bronzemoor_standin.mixes import MIXES, Mix, User
from bronzemoor_standin.observer import Observer
from bronzemoor_standin.records import Event, History, Request, Tables
from bronzemoor_standin.settings import InvalidSettings
from bronzemoor_standin.tables import read_tables


@dataclass(slots=True)
class LoadSettings:
    """Targets and volume; times in seconds, rates in operations per second."""

    # host:port of the HTTP interface of each daemon.
    daemons: list[str]
    # Databases by mix (claims or stock).
    databases: dict[str, list[str]]
    # host:port of the members of each database, to read its tables after the run.
    endpoints: dict[str, list[str]] = field(default_factory=dict)
    # Organisation by mix, if it differs from the mix's default.
    organisations: dict[str, str] = field(default_factory=dict)
    rate: float = 200.0
    duration_s: float = 10.0
    workers: int = 64
    # Sessions of each database; more are created when all of them are busy.
    sessions: int = 50
    # Probability that a session chooses a random daemon before an operation.
    roam: float = 0.2
    resends: int = 8
    timeout_s: float = 10.0
    # Time for members to catch up before the tables are read.
    settle_s: float = 1.0
    seed: int = 1


def parse_load_settings(data: Any) -> LoadSettings:
    """Checks the names of settings and mixes; raises ``InvalidSettings``."""
    if not isinstance(data, dict):
        raise InvalidSettings("settings must be a mapping")
    known = {f.name for f in fields(LoadSettings)}
    problems = [f"unknown setting {name}" for name in data if name not in known]
    problems += [f"{n} is missing" for n in ("daemons", "databases") if not data.get(n)]
    problems += [
        f"unknown mix {name}" for name in data.get("databases", {}) if name not in MIXES
    ]
    if problems:
        raise InvalidSettings("; ".join(problems))
    return LoadSettings(**data)


class _Target:
    """A database with its traffic mix and idle sessions."""

    def __init__(self, mix: Mix, database: str, settings: LoadSettings) -> None:
        self.mix = mix
        self.database = database
        self._settings = settings
        self._shared_ids: list[str] = []
        self._idle: deque[Session] = deque()
        self._session_count = 0
        for _ in range(settings.sessions):
            self._idle.append(self._create_session())

    def _create_session(self) -> Session:
        settings = self._settings
        self._session_count += 1
        name = f"{self.database}-s{self._session_count}"
        rng = random.Random(f"{settings.seed} {name}")
        mix = self.mix
        organisation = settings.organisations.get(mix.name, mix.organisation)
        return Session(
            User(name, rng, self._shared_ids),
            organisation,
            self.database,
            settings.daemons,
            settings.roam,
            settings.resends,
            rng,
        )

    def acquire_session(self) -> Session:
        """Returns an idle or a new session: busy sessions must not delay arrivals."""
        try:
            return self._idle.popleft()
        except IndexError:
            return self._create_session()

    def release_session(self, session: Session) -> None:
        self._idle.append(session)


class Load:
    """A load run; ``history`` grows while it runs."""

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self.history = History()
        self._targets = [
            _Target(MIXES[name], database, settings)
            for name, databases in settings.databases.items()
            for database in databases
        ]
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._run_id = f"{int(time.time() * 1000):x}"

    def run(self) -> History:
        """Seeds the databases, sends the load and returns the history."""
        observer = Observer(
            self.settings.endpoints, self.settings.daemons, self.record_event
        )
        observer.start()
        self._seed_databases()
        arrivals = self._arrivals(time.time())
        threads = [
            threading.Thread(target=self._run_worker, args=(arrivals,), daemon=True)
            for _ in range(self.settings.workers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        observer.stop()
        for target in self._targets:
            for balance in target.mix.balances:
                if balance not in self.history.balances:
                    self.history.balances.append(balance)
        return self.history

    def record_event(self, event: Event) -> None:
        """Records an event, for example the graceful stop of a daemon by a test."""
        with self._lock:
            self.history.events.append(event)

    def stop(self) -> None:
        """Stops planning arrivals; planned ones are still sent."""
        self._stopping.set()

    def read_tables(self) -> Tables:
        """Reads the tables of databases with known endpoints after ``settle_s``."""
        time.sleep(self.settings.settle_s)
        return {
            target.database: read_tables(target.database, addresses, target.mix.tables)
            for target in self._targets
            if (addresses := self.settings.endpoints.get(target.database))
        }

    def _seed_databases(self) -> None:
        connections = Connections(self.settings.timeout_s)
        for target in self._targets:
            request_id = f"{self._run_id}-seed-{target.database}"
            operation = target.mix.seed(request_id)
            if operation is not None:
                session = target.acquire_session()
                self._record(
                    session.run(connections, operation, request_id, time.time())
                )
                target.release_session(session)
        connections.close()

    def _arrivals(self, start: float) -> Iterator[tuple[float, _Target, str]]:
        rng = random.Random(self.settings.seed)
        at, number = start, 0
        while True:
            at += rng.expovariate(self.settings.rate)
            if at >= start + self.settings.duration_s or self._stopping.is_set():
                return
            number += 1
            yield at, rng.choice(self._targets), f"{self._run_id}-{number}"

    def _run_worker(self, arrivals: Iterator[tuple[float, _Target, str]]) -> None:
        connections = Connections(self.settings.timeout_s)
        while True:
            with self._lock:
                arrival = next(arrivals, None)
            if arrival is None:
                break
            intended_at, target, request_id = arrival
            time.sleep(max(0.0, intended_at - time.time()))
            session = target.acquire_session()
            operation = target.mix.choose_operation(session.user, request_id)
            self._record(session.run(connections, operation, request_id, intended_at))
            target.release_session(session)
        connections.close()

    def _record(self, records: list[Request]) -> None:
        with self._lock:
            self.history.requests += records
