"""Fixtures shared by the tests of the stand-in."""

import json
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest

from bronzemoor_standin.caller import Caller
from bronzemoor_standin.gen.endpoint import ttypes
from bronzemoor_standin.group import Group


@pytest.fixture
def group() -> Iterator[Group]:
    with Group(heartbeat_ms=10) as running:
        yield running


@pytest.fixture
def single() -> Iterator[Group]:
    """A group of one member; its writes need no other member."""
    with Group(data_centres=["dc1"], max_message_bytes=100_000) as running:
        yield running


@pytest.fixture
def call() -> Iterator[Callable[..., Caller]]:
    """Opens connections to members and closes them after the test."""
    opened = []

    def connect(member: Any, timeout_ms: float = 5000) -> Caller:
        opened.append(Caller(member.address, member.settings.database, timeout_ms))
        return opened[-1]

    yield connect
    for caller in opened:
        caller.close()


@pytest.fixture
def eventually() -> Callable[..., Any]:
    """Waits for a condition to hold, up to a generous timeout."""

    def wait(condition: Callable[[], Any], timeout: float = 10.0) -> Any:
        deadline = time.monotonic() + timeout
        while not (value := condition()):
            assert time.monotonic() < deadline, "the condition never held"
            time.sleep(0.005)
        return value

    return wait


READ_CLASSES = ("claim-status", "agent-read", "catalogue", "order-desk-read")


class FakeDaemon(BaseHTTPRequestHandler):
    """A daemon for one group: writes are confirmed, reads are served by a replica.

    Attributes of the server: ``lose_every`` drops every n-th response by closing the
    connection, ``lose_class`` drops the first response to each request of a class, and
    ``records`` enables the recording of request ids.
    """

    protocol_version = "HTTP/1.1"
    transactions: dict[str, Caller] = {}

    def setup(self) -> None:
        super().setup()
        self.callers: dict[str, Caller] = {}

    def finish(self) -> None:
        super().finish()
        for caller in self.callers.values():
            caller.close()

    def caller(self, name: str) -> Caller:
        if name not in self.callers:
            member = self.server.group.members[name]
            self.callers[name] = Caller(member.address, member.settings.database)
        return self.callers[name]

    def do_POST(self) -> None:  # noqa: N802
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        response = self.answer(body)
        self.server.count += 1
        if self.drops_response(body):
            self.close_connection = True
            return
        data = json.dumps(response).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def drops_response(self, body: dict[str, Any]) -> bool:
        server = self.server
        if server.lose_every:
            return server.count % server.lose_every == 0
        first = body["request_id"] not in server.seen
        server.seen.add(body["request_id"])
        return first and body["request_class"] == server.lose_class

    def answer(self, body: dict[str, Any]) -> dict[str, Any]:
        parts = self.path.split("/")
        token = json.loads(body["session"] or "[0, 0]")
        if parts[-1] in ("commit", "rollback"):
            caller = self.transactions.pop(parts[-2])
            reply = caller.transaction(
                parts[-1], parts[-2], request_id=body["request_id"], recorded=True
            )
            reply = self.confirm_write(caller, reply)
            caller.close()
        elif parts[-1] == "transactions":
            caller = Caller(self.server.group.primary.address, body["database"])
            reply = caller.transaction("begin", "")
            self.transactions[reply.transaction_id] = caller
        else:
            reply = self.run(body, token)
        done = reply.status == ttypes.Status.OK
        return {
            "outcome": "done" if done else "not_run",
            "result": json.loads(reply.payload or "[]"),
            "code": reply.code,
            "session": json.dumps([reply.term, reply.offset]) if done else "",
            "served_by": reply.member,
            "role": reply.role,
            "transaction": reply.transaction_id,
            "repeated": reply.repeated,
        }

    def run(self, body: dict[str, Any], token: list[int]) -> Any:
        call = ttypes.Execute(
            correlation_id=1,
            request_id=body["request_id"],
            digest="d",
            statements=[
                ttypes.Statement(s["sql"], json.dumps(s["params"]).encode())
                for s in body["statements"]
            ],
            read_only=False,
            recorded=self.server.records,
            min_position=ttypes.Position(*token),
            wait_ms=2000,
            deadline_ms=5000,
        )
        transaction = body.get("transaction")
        if transaction:
            call.transaction_id, call.recorded = transaction, False
            return self.transactions[transaction].client.execute(call)
        if body["request_class"] in READ_CLASSES:
            call.read_only, call.recorded = True, False
            return self.caller("m2").client.execute(call)
        primary = self.caller("m1")
        if body["request_class"] in ("payout", "consignment-booking"):
            reservation = str(self.server.count)
            reserved = primary.reserve(body["request_id"], reservation)
            if reserved.repeated or reserved.status != ttypes.Status.OK:
                return reserved
            call.reservation = reservation
        return self.confirm_write(primary, primary.client.execute(call))

    def confirm_write(self, caller: Caller, reply: Any) -> Any:
        if reply.status == ttypes.Status.OK:
            assert caller.confirm(reply).status == ttypes.Status.OK
        return reply

    def log_message(self, *args: Any) -> None:
        pass


@pytest.fixture
def daemons() -> Iterator[Callable[..., list[str]]]:
    """Starts fake daemons for a group and returns their addresses."""
    servers = []

    def start(group: Group, count: int, **attributes: Any) -> list[str]:
        for _ in range(count):
            server = ThreadingHTTPServer(("127.0.0.1", 0), FakeDaemon)
            server.daemon_threads = True
            vars(server).update(
                {"group": group, "count": 0, "seen": set(), "records": True}
                | {"lose_every": 0, "lose_class": ""}
            )
            vars(server).update(attributes)
            threading.Thread(target=server.serve_forever, daemon=True).start()
            servers.append(server)
        return [f"127.0.0.1:{s.server_address[1]}" for s in servers]

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()
