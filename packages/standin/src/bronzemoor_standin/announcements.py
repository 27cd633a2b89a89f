"""Announcements of the member to the daemons over HTTP."""

import contextlib
import http.client
import json
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzemoor_standin.member import Member

PATH = "/v1/announcements"
TIMEOUT_S = 0.2
# A daemon that does not answer is skipped this long, so that it cannot delay others.
RETRY_S = 0.5


class Announcer:
    """Posts the member's state to every daemon, periodically and on a change."""

    def __init__(self, member: "Member", stopping: threading.Event) -> None:
        self._member = member
        self._stopping = stopping
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self._retry_at: dict[str, float] = {}
        self._changed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="announce", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def announce_now(self) -> None:
        self._changed.set()

    def _run(self) -> None:
        member = self._member
        while not self._stopping.is_set():
            self._changed.wait(member.settings.announce_ms / 1000)
            self._changed.clear()
            member.faults.wait_while_frozen()
            if not self._stopping.is_set() and not member.faults.cut_daemons:
                self._announce()
        for connection in self._connections.values():
            connection.close()

    def _announce(self) -> None:
        body = json.dumps(self._member.announcement()).encode()
        for daemon in list(self._member.settings.daemons):
            if self._retry_at.get(daemon, 0) > time.monotonic():
                continue
            try:
                self._post(daemon, body)
            except (OSError, http.client.HTTPException):
                self._retry_at[daemon] = time.monotonic() + RETRY_S
                connection = self._connections.pop(daemon, None)
                if connection is not None:
                    with contextlib.suppress(OSError):
                        connection.close()

    def _post(self, daemon: str, body: bytes) -> None:
        connection = self._connections.get(daemon)
        if connection is None:
            host, port = daemon.rsplit(":", 1)
            connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
            self._connections[daemon] = connection
        headers = {"Content-Type": "application/json"}
        connection.request("POST", PATH, body, headers)
        connection.getresponse().read()
