"""Administration interface: commands, status and an HTML status page."""

import hmac
import json
import logging
import time
from base64 import b64decode
from collections.abc import Callable
from html import escape
from typing import Any

import cherrypy

from bronzemoor_core.actions import AdminReply
from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_core.reconfiguration import CHANGES, MEMBERS
from bronzemoor_core.state import ARGUMENTS
from bronzemoor_daemon.driver import Driver
from bronzemoor_daemon.parsing import parse_object

# HTTP status by reply code; a code that is not listed maps to 400.
CODE_STATUS = {
    "ok": 200,
    "unknown_command": 404,
    "not_found": 404,
    "version_not_found": 404,
    "unknown_trace": 404,
    "unauthorized": 401,
    "version_conflict": 409,
    "change_id_reused": 409,
    "no_leader": 503,
    "not_leader": 503,
    "no_quorum": 503,
    "overloaded": 503,
    "unavailable": 503,
    "unknown": 504,
    "internal": 500,
}
# The core sends no reply to a command that is not listed here.
COMMANDS = frozenset(
    (
        *ARGUMENTS,
        *CHANGES,
        MEMBERS,
        "status",
        "database.list",
        "failover.plan",
        "failover.run",
        "endpoint.drain",
    )
)
MAX_BODY_BYTES = 4 * 1024 * 1024

LocalCommand = Callable[[dict[str, Any]], AdminReply]


class AdminTree:
    """CherryPy handler at /v1/admin.

    ``local_commands`` are answered without the core.
    """

    def __init__(
        self,
        driver: Driver,
        operators: dict[str, str],
        local_commands: dict[str, LocalCommand],
        extend_status: Callable[[dict[str, Any]], None],
    ) -> None:
        self._driver = driver
        self._operators = operators
        self._local_commands = local_commands
        self._extend_status = extend_status

    @cherrypy.expose
    def default(self, *path: str, **_: str) -> bytes:
        """Runs the command named in the path with the JSON body as its arguments."""
        operator = self.authenticate()
        request = cherrypy.request
        if len(path) != 1:
            return self._respond("unknown_command", {"message": "unknown path"})
        if request.method == "GET":
            if path[0] != "status":
                return self._respond(
                    "unknown_command", {"message": "only POST is allowed"}
                )
            return self._run_command("status", {}, operator)
        try:
            body = self._read_body()
            arguments = parse_object(body) if body else {}
        except InvalidRequest as error:
            return self._respond(error.code, {"message": error.message})
        return self._run_command(path[0], arguments, operator)

    def _run_command(
        self, name: str, arguments: dict[str, Any], operator: str
    ) -> bytes:
        if name in self._local_commands:
            reply = self._local_commands[name](arguments)
        elif name not in COMMANDS:
            reply = AdminReply(
                0, "unknown_command", {"message": f"unknown command {name}"}
            )
        else:
            now = time.time()
            reply = self._driver.command(name, arguments, operator, now)
        body = dict(reply.body)
        if name == "status":
            self._extend_status(body)
        return self._respond(reply.code, body)

    def _read_body(self) -> bytes:
        body = cherrypy.request.body.fp.read(MAX_BODY_BYTES + 1) or b""
        if len(body) > MAX_BODY_BYTES:
            raise InvalidRequest(
                f"body exceeds {MAX_BODY_BYTES} bytes", code="body_too_large"
            )
        return bytes(body)

    def authenticate(self) -> str:
        """Returns the operator's name; raises 401 if the token is invalid."""
        token = _extract_token(cherrypy.request.headers.get("Authorization", ""))
        found = ""
        for name, expected in self._operators.items():
            # Compares with every token, so that the duration reveals nothing.
            if hmac.compare_digest(token.encode(), expected.encode()):
                found = name
        if self._operators and not found:
            raise _Unauthorized
        return found or "anonymous"

    def _respond(self, code: str, body: dict[str, Any]) -> bytes:
        cherrypy.response.status = CODE_STATUS.get(code, 400)
        cherrypy.response.headers["Content-Type"] = "application/json"
        return json.dumps({"code": code, **body}, default=str).encode()


def _extract_token(header: str) -> str:
    """Returns the bearer token, or the password of basic authentication."""
    scheme, _, value = header.partition(" ")
    if scheme.lower() == "bearer":
        return value
    if scheme.lower() != "basic":
        return ""
    try:
        return b64decode(value, validate=True).decode().partition(":")[2]
    except ValueError:
        return ""


class _Unauthorized(cherrypy.HTTPError):
    """A 401 response with a JSON body."""

    def __init__(self) -> None:
        super().__init__(401, "unauthorized")

    def set_response(self) -> None:
        body = json.dumps(
            {"code": "unauthorized", "message": "a valid token is required"}
        )
        cherrypy.response.status = 401
        cherrypy.response.headers["Content-Type"] = "application/json"
        cherrypy.response.headers["Content-Length"] = str(len(body))
        cherrypy.response.headers["WWW-Authenticate"] = 'Basic realm="bronzemoor"'
        cherrypy.response.body = body.encode()


class StatusPage:
    """HTML page at ``GET /`` with the status of the daemon."""

    def __init__(
        self, name: str, tree: AdminTree, status: Callable[[], dict[str, Any]]
    ) -> None:
        self._name = name
        self._tree = tree
        self._status = status

    @cherrypy.expose
    def index(self) -> bytes:
        self._tree.authenticate()
        cherrypy.response.headers["Content-Type"] = "text/html; charset=utf-8"
        return render_page(self._name, self._status()).encode()


def render_page(name: str, status: dict[str, Any]) -> str:
    """Renders nested values as tables; every text is escaped."""
    title = escape(f"Bronzemoor {name}")
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title>"
        "<style>body{font-family:sans-serif}td,th{text-align:left;padding:2px 8px;"
        "vertical-align:top}</style>"
        f"<h1>{title}</h1>{_render(status)}</html>"
    )


def _render(value: Any) -> str:
    if isinstance(value, dict):
        rows = (
            f"<tr><th>{escape(str(key))}</th><td>{_render(item)}</td></tr>"
            for key, item in value.items()
        )
        return f"<table>{''.join(rows)}</table>"
    if isinstance(value, list | tuple):
        return "".join(f"<div>{_render(item)}</div>" for item in value)
    return escape(str(value))


def make_admin_application(tree: AdminTree, page: StatusPage) -> cherrypy.Application:
    """Mounts both outside CherryPy's global tree, which is shared by all daemons."""
    root = page
    root.v1 = _V1Path(tree)  # type: ignore[attr-defined]
    config = {
        "/": {
            "tools.encode.on": False,
            "tools.log_tracebacks.on": True,
            "request.show_tracebacks": False,
            "request.process_request_body": False,
        }
    }
    application = cherrypy.Application(root, "", config)
    application.log.screen = False
    application.log.access_log.handlers.clear()
    application.log.access_log.propagate = False
    # Errors go to the process's log instead of CherryPy's global one.
    application.log.error_log.parent = logging.getLogger()
    return application


class _V1Path:
    """Handler of the path segment /v1; CherryPy looks up its attributes."""

    def __init__(self, admin: AdminTree) -> None:
        self.admin = admin
