"""Runs a complete system in one process, for the demo and end-to-end tests."""

import socket
from collections.abc import Callable
from contextlib import suppress
from itertools import cycle
from os import getpid
from time import monotonic, sleep
from typing import Any

from requests import RequestException, Session

from bronzemoor_core.exceptions import BronzemoorError
from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.settings_schema import ListenSettings
from bronzemoor_daemon.application import Application, make_application
from bronzemoor_daemon.settings import DaemonSettings
from bronzemoor_standin.member import Member
from bronzemoor_standin.settings import MemberSettings

LOOPBACK = "127.0.0.1"
POLL_INTERVAL_SECONDS = 0.01
HTTP_TIMEOUT_SECONDS = 10.0
FIRST_PORT = 20_000
LAST_PORT = 32_000
# Starts at a port derived from the process id, so that concurrent processes differ.
_ports = cycle(range(FIRST_PORT + getpid() * 97 % (LAST_PORT - FIRST_PORT), LAST_PORT))


class Client:
    """HTTP client of several daemons that carries one session across them."""

    def __init__(self, addresses: list[str], organisation: str, database: str) -> None:
        self._http = Session()
        self._http.trust_env = False
        self._addresses = addresses
        self._organisation = organisation
        self._database = database
        self.session = ""

    def run(
        self,
        daemon: int,
        request_class: str,
        sql: str,
        params: list[Any] | None = None,
        request_id: str = "",
        path: str = "/v1/statements",
        **fields: Any,
    ) -> dict[str, Any]:
        """Sends one statement to the daemon at that index; returns the response.

        A lost response is reported as the outcome ``unknown``.
        """
        body = {
            "organisation": self._organisation,
            "database": self._database,
            "request_class": request_class,
            "request_id": request_id,
            "session": self.session,
            **fields,
        }
        if sql:
            body["statements"] = [{"sql": sql, "params": params or []}]
        url = f"http://{self._addresses[daemon]}{path}"
        try:
            response = self._http.post(url, json=body, timeout=HTTP_TIMEOUT_SECONDS)
        except RequestException as error:
            return {
                "outcome": "unknown",
                "code": "response_lost",
                "message": str(error),
            }
        answer: dict[str, Any] = response.json()
        self.session = answer.get("session") or self.session
        return answer

    def write(
        self, daemon: int, request_class: str, sql: str, params: list[Any], key: str
    ) -> dict[str, Any]:
        """Writes, with up to ten attempts on the daemons in turn, until it is done."""
        answer: dict[str, Any] = {}
        for attempt in range(10):
            index = (daemon + attempt) % len(self._addresses)
            answer = self.run(index, request_class, sql, params, key)
            if answer["outcome"] == "done":
                return answer
            sleep(POLL_INTERVAL_SECONDS)
        return answer


class EmbeddedSystem:
    """Daemons and the members of one database on loopback.

    The first ``control`` daemons form the control group.
    """

    def __init__(
        self,
        daemons: int = 2,
        control: int = 1,
        members: int = 3,
        database: str = "claims-1",
        schema: str = "claims",
        data_folder: Callable[[str], str] = lambda name: "",
        **member_settings: Any,
    ) -> None:
        self.database = database
        names = [f"vm-{number}" for number in range(1, daemons + 1)]
        self._peer_addresses = {name: free_address() for name in names}
        self._http_addresses = {name: free_address() for name in names}
        self._control = tuple(names[:control])
        self._data_folder = data_folder
        self.daemons = {name: self._make_daemon(name) for name in names}
        addresses = {
            f"member-{number}": free_address() for number in range(1, members + 1)
        }
        self.members = {
            name: Member(
                MemberSettings(
                    database=database,
                    member=name,
                    data_centre="lisbon",
                    port=int(address.rsplit(":", 1)[1]),
                    members=addresses,
                    daemons=list(self._http_addresses.values()),
                    schema=schema,
                    **member_settings,
                )
            )
            for name, address in addresses.items()
        }

    @property
    def addresses(self) -> list[str]:
        """host:port of each daemon's HTTP interface."""
        return list(self._http_addresses.values())

    @property
    def primary(self) -> str:
        """Primary of the database according to the first daemon, or an empty string."""
        application = next(iter(self.daemons.values()))
        databases = application.driver.node.blackboard.topology.databases
        return databases[self.database].primary if self.database in databases else ""

    def start(self) -> None:
        """Starts all daemons and members; waits for readiness and a primary."""
        for application in self.daemons.values():
            application.start()
        for member in self.members.values():
            member.start()
        self.wait_for(lambda: all(daemon.is_ready for daemon in self.daemons.values()))
        self.wait_for(lambda: self.primary)

    def stop(self) -> None:
        """Kills all members and daemons."""
        for member in self.members.values():
            member.kill()
        for application in self.daemons.values():
            application.kill()

    def restart_daemon(self, name: str) -> None:
        """Starts a killed daemon again with the same addresses."""
        self.daemons[name] = self._make_daemon(name)
        self.daemons[name].start()

    def admin(self, daemon: int, command: str, **arguments: Any) -> dict[str, Any]:
        """Sends an administration command; returns the response with its ``code``."""
        with Session() as http:
            http.trust_env = False
            url = f"http://{self.addresses[daemon]}/v1/admin/{command}"
            answer = http.post(url, json=arguments, timeout=HTTP_TIMEOUT_SECONDS)
            decoded: dict[str, Any] = answer.json()
            return decoded

    def apply_template(self, organisation: str, body: dict[str, Any]) -> None:
        """Applies the first template; waits until it is in effect on every daemon."""
        answer = self.admin(
            0,
            "template.apply",
            organisation=organisation,
            body=body,
            expect_version=0,
            change_id=f"first-template-of-{organisation}",
        )
        if answer["code"] != "ok":
            raise BronzemoorError(f"template refused: {answer}", step="template")
        self.wait_for(
            lambda: all(
                organisation in daemon.driver.node.blackboard.configuration.templates
                and self.database in daemon.driver.node.blackboard.limits.shares
                for daemon in self.daemons.values()
            )
        )

    def client(self, organisation: str) -> Client:
        """Returns a client with a new session."""
        return Client(self.addresses, organisation, self.database)

    def wait_for(self, condition: Callable[[], Any], timeout: float = 10.0) -> None:
        """Polls until ``condition`` holds; raises after ``timeout`` seconds."""
        deadline = monotonic() + timeout
        while not condition():
            if monotonic() > deadline:
                raise BronzemoorError(
                    "timed out waiting for a condition of the system", step="embedded"
                )
            sleep(POLL_INTERVAL_SECONDS)

    def _make_daemon(self, name: str) -> Application:
        node = NodeSettings(
            name=name,
            data_centre="lisbon",
            control=name in self._control,
            peers=self._peer_addresses,
            control_members=self._control,
            token_keys={"embedded": b"only for systems inside one process"},
        )
        listen = ListenSettings(
            http=self._http_addresses[name],
            peer=self._peer_addresses[name],
            data_folder=self._data_folder(name),
        )
        return make_application(DaemonSettings(node, listen))


def free_address() -> str:
    """Returns a loopback address with a port that is free now.

    The port lies below the ephemeral range: an outgoing connection could otherwise take
    it before the server binds.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"
