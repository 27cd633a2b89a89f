"""HTTP interface on loopback for the fault switches of one member."""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any

from bronzemoor_standin.faults import InvalidFault

if TYPE_CHECKING:
    from bronzemoor_standin.member import Member

LOOPBACK = "127.0.0.1"
_MAX_BODY_BYTES = 64 * 1024


class ControlServer:
    """Serves ``GET /status``, ``GET`` and ``POST /faults`` and the actions by POST.

    ``POST /faults`` takes an object of switches; actions are ``/faults/clear``,
    ``/faults/silence`` and ``/leave``. Every response is a JSON object.
    """

    def __init__(self, member: "Member", port: int) -> None:
        class Handler(_Handler):
            routes = _routes(member)

        self._server = ThreadingHTTPServer((LOOPBACK, port), Handler)
        self._server.daemon_threads = True

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self._server.server_address[1]}"

    def start(self) -> None:
        threading.Thread(
            target=self._server.serve_forever, name="control", daemon=True
        ).start()

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()


def _routes(member: "Member") -> dict[tuple[str, str], Any]:
    faults = member.faults

    def action(run: Callable[[dict[str, Any]], None]) -> Any:
        def handle(body: dict[str, Any]) -> dict[str, Any]:
            run(body)
            return faults.values()

        return handle

    return {
        ("GET", "/status"): lambda _: member.announcement(),
        ("GET", "/faults"): lambda _: faults.values(),
        ("POST", "/faults"): action(faults.set),
        ("POST", "/faults/clear"): action(lambda _: faults.clear()),
        ("POST", "/faults/silence"): action(lambda _: faults.silence()),
        ("POST", "/leave"): action(lambda _: member.leave()),
    }


class _Handler(BaseHTTPRequestHandler):
    routes: dict[tuple[str, str], Any] = {}
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802
        self._respond(self._handle({}))

    def do_POST(self) -> None:  # noqa: N802
        size = min(int(self.headers.get("Content-Length") or 0), _MAX_BODY_BYTES)
        try:
            body = json.loads(self.rfile.read(size) or b"{}")
        except ValueError:
            body = None
        if isinstance(body, dict):
            self._respond(self._handle(body))
        else:
            self._respond((400, {"error": "the body must be a JSON object"}))

    def _handle(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        route = self.routes.get((self.command, self.path))
        if route is None:
            return 404, {"error": f"no route {self.command} {self.path}"}
        try:
            return 200, route(body)
        except InvalidFault as error:
            return 400, {"error": str(error)}

    def _respond(self, response: tuple[int, dict[str, Any]]) -> None:
        status, body = response
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, format: str, *args: Any) -> None:
        """Disables the request log."""
