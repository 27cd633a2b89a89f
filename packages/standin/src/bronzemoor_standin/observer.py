"""Observes endpoints and daemons during a load run, for the history checkers."""

import http.client
import json
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from thrift.Thrift import TException

from bronzemoor_standin.framing import EndpointClient
from bronzemoor_standin.gen.endpoint import ttypes
from bronzemoor_standin.records import Event

POLL_INTERVAL_SECONDS = 0.1
TIMEOUT_SECONDS = 1.0
STATUS_PATH = "/v1/admin/status"
PRIMARY = "primary"


class Observer:
    """Polls each member and daemon on a thread of its own and records changes.

    Members report the primary of a term and whether they are leaving, daemons the
    versions in effect. ``record_event`` receives the events; unreachable targets give
    none.
    """

    def __init__(
        self,
        endpoints: dict[str, list[str]],
        daemons: list[str],
        record_event: Callable[[Event], None],
    ) -> None:
        self._record_event = record_event
        self._stopping = threading.Event()
        self._highest_terms: dict[str, int] = {}
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._watch_member, args=pair, daemon=True)
            for pair in _member_addresses(endpoints)
        ] + [
            threading.Thread(target=self._watch_daemon, args=(daemon,), daemon=True)
            for daemon in daemons
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(2 * TIMEOUT_SECONDS)

    def _watch_member(self, database: str, address: str) -> None:
        client: EndpointClient | None = None
        leaving = False
        while not self._stopping.wait(POLL_INTERVAL_SECONDS):
            try:
                client = client or EndpointClient(address, TIMEOUT_SECONDS * 1000)
                reply = client.ping(ttypes.Query(correlation_id=0))
            except (OSError, EOFError, TException):
                client = None
                continue
            if reply.role == PRIMARY:
                self._record_primary(database, reply)
            if reply.leaving != leaving:
                leaving = reply.leaving
                kind = "leaving" if leaving else "returned"
                self._record_event(Event(kind, time.time(), reply.member, database))
        if client is not None:
            client.close()

    def _record_primary(self, database: str, reply: ttypes.Reply) -> None:
        """Records a primary of a newer term; older ones may not know of it yet."""
        with self._lock:
            if reply.term <= self._highest_terms.get(database, 0):
                return
            self._highest_terms[database] = reply.term
        event = Event("promoted", time.time(), reply.member, database, reply.term)
        self._record_event(event)

    def _watch_daemon(self, daemon: str) -> None:
        while not self._stopping.wait(POLL_INTERVAL_SECONDS):
            asked_at = time.time()
            configuration = _read_configuration(daemon)
            stale = bool(configuration.get("stale"))
            for name, version in configuration.get("versions", {}).items():
                if not name.startswith("@"):
                    event = Event("version_seen", asked_at, daemon)
                    event.organisation, event.version = name, version
                    event.stale = stale
                    self._record_event(event)


def _member_addresses(endpoints: dict[str, list[str]]) -> Iterator[tuple[str, str]]:
    for database, addresses in endpoints.items():
        for address in addresses:
            yield database, address


def _read_configuration(daemon: str) -> dict[str, Any]:
    """Returns the configuration section of a daemon's status, empty on failure."""
    host, port = daemon.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", STATUS_PATH)
        status = json.loads(connection.getresponse().read())
        section: dict[str, Any] = status.get("configuration") or {}
        return section
    except (OSError, http.client.HTTPException, ValueError, AttributeError):
        return {}
    finally:
        connection.close()
