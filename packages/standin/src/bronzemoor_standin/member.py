"""One member of a database group: settings, ledger, server and threads."""

import contextlib
import threading
import time
import uuid
from collections.abc import Iterator
from typing import Any

from thrift.Thrift import TException

from bronzemoor_standin.announcements import Announcer
from bronzemoor_standin.faults import Faults
from bronzemoor_standin.gen.endpoint import ttypes
from bronzemoor_standin.ledger import Ledger, Refused
from bronzemoor_standin.peers import EndpointClient, Replicator
from bronzemoor_standin.replication import PRIMARY, REPLICA
from bronzemoor_standin.server import Connection, Server
from bronzemoor_standin.service import Session
from bronzemoor_standin.settings import MemberSettings

BOOTSTRAP_TERM = 1


class Member:
    """A database endpoint that can be embedded in a process.

    The port is bound at construction, so that ``address`` is known before ``start``.
    ``stop`` and ``kill`` keep log and data; a later ``start`` resumes with them.
    """

    def __init__(self, settings: MemberSettings) -> None:
        self.settings = settings
        self.faults = Faults()
        self.leaving = False
        self.running = False
        self.incarnation = 0
        names = tuple(settings.members) or (settings.member,)
        self.ledger = Ledger(settings.member, names)
        self.ledger.lag_ms = settings.lag_ms
        self.addresses = dict(settings.members)
        self._server = Server(
            settings.host,
            settings.port,
            self.faults,
            self._make_session,
            settings.max_message_bytes,
        )
        self.addresses[settings.member] = self.address
        self._connections = 0
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(settings.slots)
        self._announcer = Announcer(self)
        self._replicators: dict[str, Replicator] = {}

    @property
    def address(self) -> str:
        """host:port of the Thrift interface."""
        return self._server.address

    @property
    def role(self) -> str:
        return self.ledger.state.role

    # --- life cycle

    def start(self) -> None:
        """Starts serving; returns at once."""
        self.running = True
        self.leaving = False
        self.incarnation = int(time.time() * 1000)
        self._connections = 0
        self._replicators = {}
        self._server.start()
        threading.Thread(target=self._apply, name="apply", daemon=True).start()
        self._start_replicators()
        self._announcer = Announcer(self)
        self._announcer.start()
        if self.settings.bootstrap_primary == self.settings.member:
            threading.Thread(
                target=self._bootstrap, name="bootstrap", daemon=True
            ).start()
        self.announce_now()

    def stop(self) -> None:
        """Stops serving and closes every connection."""
        self.running = False
        self._server.stop()
        with self.ledger.lock:
            self.ledger.log_changed.notify_all()

    def kill(self) -> None:
        """Stops as a crash does: nothing is announced and nothing is finished."""
        self.stop()

    def leave(self) -> None:
        """Announces that the member is leaving."""
        self.leaving = True
        self.announce_now()

    def _bootstrap(self) -> None:
        """Becomes primary of the first term unless the group already has a term."""
        for name, address in self.addresses.items():
            if name != self.settings.member and _term_of(address) > 0:
                return
        if self.ledger.state.accepted_term == 0:
            self.ledger.promote(BOOTSTRAP_TERM, 0, tuple(self.addresses))
            self.announce_now()

    def _apply(self) -> None:
        while self.running:
            self.faults.wait_while_frozen()
            self.ledger.apply_pending(0.05)

    def _start_replicators(self) -> None:
        if not self.running:
            return
        for name in self.addresses:
            if name != self.settings.member and name not in self._replicators:
                self._replicators[name] = Replicator(self, name)
                self._replicators[name].start()

    # --- used by sessions

    def _make_session(self, connection: Connection) -> Session:
        return Session(self, connection)

    def admit_connection(self) -> bool:
        """Counts a connection unless the member's own cap is reached."""
        with self._lock:
            if self._connections >= self.settings.connections:
                return False
            self._connections += 1
            return True

    def release_connection(self) -> None:
        with self._lock:
            self._connections -= 1

    def new_transaction_id(self) -> str:
        return uuid.uuid4().hex

    def learn_members(self, addresses: dict[str, str] | None) -> tuple[str, ...]:
        """Takes over the members named by an order; returns their names."""
        if addresses:
            self.addresses.update(addresses)
            self._start_replicators()
        return tuple(addresses or ())

    @contextlib.contextmanager
    def slot(self, deadline: float) -> Iterator[None]:
        """Holds one of the statement slots; raises ``Refused`` past ``deadline``."""
        if not self._slots.acquire(timeout=max(deadline - time.monotonic(), 0)):
            raise Refused("deadline", "no free slot before the deadline")
        try:
            if self.settings.statement_ms > 0:
                time.sleep(self.settings.statement_ms / 1000)
            yield
        finally:
            self._slots.release()

    # --- announcements

    def announce_now(self) -> None:
        self._announcer.announce_now()

    def announcement(self) -> dict[str, Any]:
        """The fields of ``Announcement``, ready to be encoded as JSON."""
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
        """Members from which this one has heard nothing for the peer timeout."""
        state = self.ledger.state
        if state.role == PRIMARY:
            return {name for name, r in self._replicators.items() if r.unreachable}
        silent = time.monotonic() - self.ledger.heard_at
        if (
            state.role == REPLICA
            and state.primary
            and silent > self.settings.peer_timeout_ms / 1000
        ):
            return {state.primary}
        return set()


def _term_of(address: str) -> int:
    """Term of the last entry that the member at ``address`` applied, 0 if unknown."""
    try:
        client = EndpointClient(address, 200)
        reply = client.ping(ttypes.Query(correlation_id=0))
        client.close()
    except (TException, OSError, EOFError):
        return 0
    return int(reply.term)
