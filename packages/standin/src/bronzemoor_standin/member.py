"""One member of a database group: settings, ledger, server and threads."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from thrift.Thrift import TException

from bronzemoor_standin.announcements import Announcer
from bronzemoor_standin.control import ControlServer
from bronzemoor_standin.database import Retention
from bronzemoor_standin.execution import RequestsInProgress
from bronzemoor_standin.faults import Faults
from bronzemoor_standin.framing import EndpointClient
from bronzemoor_standin.gen.endpoint import ttypes
from bronzemoor_standin.journal import Journal
from bronzemoor_standin.ledger import Ledger, Refused
from bronzemoor_standin.peers import Replicator
from bronzemoor_standin.replication import PRIMARY, REPLICA
from bronzemoor_standin.schemas import load_schema
from bronzemoor_standin.server import Connection, Server
from bronzemoor_standin.service import Session
from bronzemoor_standin.settings import MemberSettings

BOOTSTRAP_TERM = 1
BOOTSTRAP_RETRY_INTERVAL_SECONDS = 0.05
APPLY_TIMEOUT_SECONDS = 0.5


class ConnectionLimiter:
    """Limits the number of connections from daemons."""

    def __init__(self, limit: int) -> None:
        self._available = limit
        self._lock = threading.Lock()

    def acquire(self) -> bool:
        """Reserves one connection; returns False when the limit is reached."""
        with self._lock:
            if self._available <= 0:
                return False
            self._available -= 1
            return True

    def release(self) -> None:
        with self._lock:
            self._available += 1


class Member:
    """A database endpoint that can be embedded in a process.

    The port is bound at construction, so that ``address`` is known before ``start``.
    ``stop`` and ``kill`` keep log and data in memory, in place of a disk; a later
    ``start`` resumes with them as a replica.
    """

    def __init__(self, settings: MemberSettings) -> None:
        self.settings = settings
        self.faults = Faults(
            statement_ms=settings.statement_ms,
            lag_ms=settings.lag_ms,
            one_way_ms=settings.one_way_ms,
            peer_one_way_ms=settings.peer_one_way_ms,
        )
        names = tuple(settings.members) or (settings.member,)
        retention = Retention(settings.request_age_s, settings.request_count)
        journal = Journal(settings.file) if settings.file else None
        self.ledger = Ledger(settings.member, names, self.faults, retention, journal)
        self.ledger.schema = load_schema(settings.schema)
        self.ledger.state.catching_up = settings.rejoin
        self.incarnation = 0
        self.addresses = dict(settings.members)
        self._server = Server(
            settings.host,
            settings.port,
            self.faults,
            self._make_session,
            settings.max_message_bytes,
        )
        self.addresses[settings.member] = self.address
        self.control: ControlServer | None = None
        self.in_progress = RequestsInProgress()
        self.connection_limiter = ConnectionLimiter(settings.connections)
        self._slots = threading.Semaphore(settings.slots)
        self._active_calls = 0
        self._lock = threading.Lock()
        self._leaving_at: float | None = None
        self._stopping = threading.Event()
        self._stopping.set()
        self._announcer: Announcer | None = None
        self._replicators: dict[str, Replicator] = {}

    @property
    def address(self) -> str:
        """host:port of the Thrift interface."""
        return self._server.address

    @property
    def role(self) -> str:
        return self.ledger.state.role

    @property
    def running(self) -> bool:
        return not self._stopping.is_set()

    @property
    def leaving(self) -> bool:
        return self._leaving_at is not None

    @property
    def refuses_new_work(self) -> bool:
        """Whether the member has been leaving for ``leave_after_ms`` or longer."""
        if self._leaving_at is None:
            return False
        waited = time.monotonic() - self._leaving_at
        return waited >= self.settings.leave_after_ms / 1000

    @property
    def calls_in_progress(self) -> int:
        return self._active_calls

    # --- life cycle

    def start(self) -> None:
        """Starts serving; returns at once."""
        self.faults.frozen = False
        self._leaving_at = None
        self._stopping = threading.Event()
        self.incarnation = max(int(time.time() * 1000), self.incarnation + 1)
        self.connection_limiter = ConnectionLimiter(self.settings.connections)
        self._replicators = {}
        self._announcer = Announcer(self, self._stopping)
        self._server.start()
        self._start_thread(self._apply)
        self._start_replicators()
        self._announcer.start()
        if self.settings.control_port >= 0 and self.control is None:
            self.control = ControlServer(self, self.settings.control_port)
            self.control.start()
        if self.settings.bootstrap_primary == self.settings.member:
            self._start_thread(self._bootstrap)
        self.announce_now()

    def stop(self) -> None:
        """Closes the listener, lets calls in progress finish and stops."""
        self._server.stop_accepting()
        deadline = time.monotonic() + self.settings.stop_ms / 1000
        while (
            self._active_calls
            and not self.faults.frozen
            and time.monotonic() < deadline
        ):
            time.sleep(0.002)
        self.kill()

    def kill(self) -> None:
        """Simulates a crash: nothing is announced and calls are interrupted."""
        self._stopping.set()
        self.ledger.step_down()
        self._server.stop_accepting()
        self._server.close_connections()
        self.announce_now()
        if self.control is not None:
            self.control.stop()
            self.control = None

    def leave(self) -> None:
        """Announces the departure; new work is refused ``leave_after_ms`` later."""
        if self._leaving_at is None:
            self._leaving_at = time.monotonic()
        self.announce_now()

    def _start_thread(self, target: Any) -> None:
        threading.Thread(
            target=target, args=(self._stopping,), name=target.__name__, daemon=True
        ).start()

    def _apply(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            self.faults.wait_while_frozen()
            self.ledger.applier.run_once(APPLY_TIMEOUT_SECONDS)

    def _bootstrap(self, stopping: threading.Event) -> None:
        """Becomes primary of the first term once a majority reports no term.

        A restarted member that lost its log must not start the first term again.
        """
        others = [a for n, a in self.addresses.items() if n != self.settings.member]
        while not stopping.is_set() and self.ledger.state.accepted_term == 0:
            answers = [_knows_any_term(address) for address in others]
            if True in answers:
                return
            if answers.count(False) >= len(self.addresses) // 2:
                self.ledger.promote(BOOTSTRAP_TERM, 0, tuple(self.addresses))
                self.announce_now()
                return
            stopping.wait(BOOTSTRAP_RETRY_INTERVAL_SECONDS)

    def _start_replicators(self) -> None:
        with self._lock:
            for name in self.addresses:
                if name != self.settings.member and name not in self._replicators:
                    self._replicators[name] = Replicator(self, name, self._stopping)
                    self._replicators[name].start()

    # --- used by sessions

    def _make_session(self, connection: Connection) -> Session:
        return Session(self, connection)

    def add_members(self, addresses: dict[str, str] | None) -> tuple[str, ...]:
        """Adds the members named in an order and returns their names."""
        if addresses:
            self.addresses.update(addresses)
            if self.running:
                self._start_replicators()
        return tuple(addresses or ())

    @contextmanager
    def track_call(self) -> Iterator[None]:
        """Counts a call in progress, for which a graceful stop waits."""
        with self._lock:
            self._active_calls += 1
        try:
            yield
        finally:
            with self._lock:
                self._active_calls -= 1

    @contextmanager
    def slot(self, deadline: float) -> Iterator[None]:
        """Occupies a statement slot; raises ``Refused`` if none is free in time."""
        if not self._slots.acquire(timeout=max(deadline - time.monotonic(), 0)):
            raise Refused("deadline", "no free slot before the deadline")
        try:
            if self.faults.statement_ms > 0:
                time.sleep(self.faults.statement_ms / 1000)
            yield
        finally:
            self._slots.release()

    # --- announcements

    def announce_now(self) -> None:
        if self._announcer is not None:
            self._announcer.announce_now()

    def announcement(self) -> dict[str, Any]:
        """The member's state as announced to daemons, in types that JSON can encode."""
        with self.ledger.lock:
            state = self.ledger.state
            term, offset = self.ledger.committed.applied
            return {
                "database": self.settings.database,
                "member": self.settings.member,
                "address": self.address,
                "data_centre": self.settings.data_centre,
                "role": state.role,
                "term": term,
                "offset": offset,
                "incarnation": self.incarnation,
                "members": sorted(self.addresses),
                "leaving": self.leaving,
                "slots": self.settings.slots,
                "connections": self.settings.connections,
                "history": dict(state.log.history),
                "unreachable": sorted(self.unreachable()),
            }

    def unreachable(self) -> set[str]:
        """Members without contact for longer than the peer timeout."""
        state = self.ledger.state
        if state.role == PRIMARY:
            return {name for name, r in self._replicators.items() if r.unreachable}
        since_contact = time.monotonic() - self.ledger.last_contact_at
        if (
            state.role == REPLICA
            and state.primary
            and since_contact > self.settings.peer_timeout_ms / 1000
        ):
            return {state.primary}
        return set()


def _knows_any_term(address: str) -> bool | None:
    """Whether the member at ``address`` knows any term; None if it does not answer."""
    try:
        client = EndpointClient(address, 200)
        reply = client.ping(ttypes.Query(correlation_id=0))
        client.close()
    except (TException, OSError, EOFError):
        return None
    return bool(reply.history or reply.term)
