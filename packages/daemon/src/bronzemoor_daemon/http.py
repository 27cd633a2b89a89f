"""Serves statements, transactions, announcements and health checks over HTTP."""

from collections.abc import Callable
from typing import Any

from bronzemoor_core.actions import Reply
from bronzemoor_core.events import AnnouncementReceived
from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_core.outcomes import NotRun
from bronzemoor_daemon.answers import (
    STATUS_OK,
    STATUS_UNAVAILABLE,
    encode_error,
    encode_reply,
)
from bronzemoor_daemon.driver import Driver
from bronzemoor_daemon.parsing import parse_announcement, parse_request
from bronzemoor_daemon.server import Response
from bronzemoor_daemon.tracing import Tracing, trace_id_of

TRANSACTIONS_PREFIX = b"/v1/transactions/"
TRANSACTION_ENDS = {b"commit": "commit", b"rollback": "rollback"}
STOPPING_OUTCOME = NotRun("draining", "this daemon is stopping", "http")


class HotPathHandler:
    """Handles hot-path requests in the server's worker threads."""

    def __init__(
        self,
        driver: Driver,
        data_centre: str,
        max_body_bytes: int,
        is_ready: Callable[[], bool],
        accepts_transactions: Callable[[], bool],
        tracing: Tracing,
    ) -> None:
        self._driver = driver
        self._data_centre = data_centre
        self._max_body_bytes = max_body_bytes
        self._is_ready = is_ready
        self._accepts_transactions = accepts_transactions
        self._tracing = tracing
        self._routes: dict[bytes, Callable[[Any], Response]] = {
            b"/v1/statements": self._run_statements,
            b"/v1/transactions": self._begin_transaction,
            b"/v1/announcements": self._handle_announcement,
        }
        self._health_routes: dict[bytes, Callable[[], Response]] = {
            b"/ready": self._check_readiness,
            b"/live": lambda: (STATUS_OK, b'{"live":true}'),
        }

    def __call__(self, req: Any) -> Response | None:
        """Returns the response, or None if the path belongs to the WSGI application."""
        try:
            route = self._routes.get(req.path)
            if route is not None:
                return self._require_post(req, route)
            health = self._health_routes.get(req.path)
            if health is not None:
                return health()
            if req.path.startswith(TRANSACTIONS_PREFIX):
                return self._require_post(req, self._end_transaction)
        except InvalidRequest as error:
            return encode_error(error)
        return None

    def _require_post(self, req: Any, route: Callable[[Any], Response]) -> Response:
        if req.method != b"POST":
            raise InvalidRequest(
                "only POST is allowed", step="http", code="method_not_allowed"
            )
        return route(req)

    def _run_statements(self, req: Any) -> Response:
        return self._serve_request(req, "statements")

    def _begin_transaction(self, req: Any) -> Response:
        return self._serve_request(req, "begin")

    def _end_transaction(self, req: Any) -> Response:
        transaction, _, end = req.path[len(TRANSACTIONS_PREFIX) :].partition(b"/")
        kind = TRANSACTION_ENDS.get(end)
        if kind is None:
            raise InvalidRequest("unknown path", step="http", code="not_found")
        return self._serve_request(req, kind, transaction.decode("latin-1"))

    def _serve_request(self, req: Any, kind: str, transaction: str = "") -> Response:
        traceparent = req.inheaders.get(b"Traceparent", b"").decode("latin-1")
        trace = self._tracing.start(f"http:{kind}", traceparent)
        trace_id = trace.trace_id if trace is not None else trace_id_of(traceparent)
        try:
            body = self._read_body(req)
            now = self._driver.clock()
            request = parse_request(
                body, kind, now, self._data_centre, transaction, trace_id
            )
            if kind == "begin" and not self._accepts_transactions():
                return encode_reply(Reply(0, STOPPING_OUTCOME), trace_id)
            reply = self._driver.serve(request, req.conn.is_disconnected, trace)
        except InvalidRequest as error:
            if trace is not None:
                trace.end({"outcome": NotRun.tag, "code": error.code})
            return encode_error(error, trace_id)
        if trace is not None:
            outcome = reply.outcome
            trace.end({"outcome": outcome.tag, "code": outcome.code})
        return encode_reply(reply, trace_id)

    def _handle_announcement(self, req: Any) -> Response:
        announcement = parse_announcement(self._read_body(req))
        self._driver.handle(AnnouncementReceived(announcement))
        return STATUS_OK, b'{"outcome":"done"}'

    def _check_readiness(self) -> Response:
        if self._is_ready():
            return STATUS_OK, b'{"ready":true}'
        return STATUS_UNAVAILABLE, b'{"ready":false}'

    def _read_body(self, req: Any) -> bytes:
        """Reads the body; closes the connection if it is too large or incomplete."""
        if req.chunked_read:
            body: bytes = req.rfile.read(self._max_body_bytes + 1)
            if len(body) <= self._max_body_bytes:
                return body
        else:
            remaining = req.rfile.remaining
            if remaining <= self._max_body_bytes:
                body = req.conn.rfile.read(remaining) if remaining > 0 else b""
                req.rfile.remaining = 0
                if len(body) == remaining:
                    return body
                req.close_connection = True
                raise InvalidRequest("the body is incomplete", step="http")
        req.close_connection = True
        raise InvalidRequest(
            f"body exceeds {self._max_body_bytes} bytes",
            step="http",
            code="body_too_large",
        )
