"""Client sessions over the daemons' HTTP interface that record every attempt."""

import http.client
import json
import random
import select
import time
from dataclasses import dataclass, replace
from typing import Any

from bronzemoor_standin.mixes import Operation, User
from bronzemoor_standin.records import (
    DONE,
    FAILED,
    LOST,
    NOT_RUN,
    NOT_SENT,
    UNKNOWN,
    Request,
)

STATEMENTS_PATH = "/v1/statements"
TRANSACTIONS_PATH = "/v1/transactions"
# Outcomes after which a request is retried with the same request id.
RETRIED_OUTCOMES = frozenset((UNKNOWN, LOST, NOT_SENT, NOT_RUN))
RETRY_INTERVAL_SECONDS = 0.05


@dataclass(slots=True)
class Answer:
    """A daemon's response, or the failure that the client observed."""

    outcome: str
    body: dict[str, Any]


class Connections:
    """Persistent connections of one thread to all daemons."""

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def post(self, daemon: str, path: str, body: dict[str, Any]) -> Answer:
        """Posts JSON; a failure to connect gives ``not_sent``."""
        connection = self._connections.get(daemon)
        if connection is not None and _is_closed_by_peer(connection):
            self._drop(daemon)
            connection = None
        if connection is None:
            host, port = daemon.rsplit(":", 1)
            connection = http.client.HTTPConnection(
                host, int(port), timeout=self._timeout
            )
            try:
                connection.connect()
            except OSError as error:
                return Answer(NOT_SENT, {"code": type(error).__name__})
            self._connections[daemon] = connection
        try:
            headers = {"Content-Type": "application/json"}
            connection.request("POST", path, json.dumps(body).encode(), headers)
            response = connection.getresponse()
            answer = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._drop(daemon)
            return Answer(LOST, {"code": type(error).__name__})
        if response.will_close:
            self._drop(daemon)
        outcome = answer.get("outcome", UNKNOWN)
        if outcome == DONE and answer.get("code") == "statement_failed":
            outcome = FAILED
        return Answer(outcome, answer)

    def _drop(self, daemon: str) -> None:
        connection = self._connections.pop(daemon, None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        for daemon in list(self._connections):
            self._drop(daemon)


def _is_closed_by_peer(connection: http.client.HTTPConnection) -> bool:
    """Whether an idle connection is readable, which can only mean its end of file."""
    if connection.sock is None:
        return True
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return bool(poller.poll(0))


class Session:
    """One client: keeps its session token, changes daemons and records each attempt."""

    def __init__(
        self,
        user: User,
        organisation: str,
        database: str,
        daemons: list[str],
        roam_probability: float,
        max_retries: int,
        rng: random.Random,
    ) -> None:
        self.user = user
        self.database = database
        self._organisation = organisation
        self._daemons = daemons
        self._daemon = rng.choice(daemons)
        self._roam_probability = roam_probability
        self._max_retries = max_retries
        self._rng = rng
        self._token = ""
        self._last_body: dict[str, Any] = {}

    def run(
        self,
        connections: Connections,
        operation: Operation,
        request_id: str,
        intended_at: float,
    ) -> list[Request]:
        """Carries out an operation and returns a record of every attempt."""
        if self._rng.random() < self._roam_probability:
            self._daemon = self._rng.choice(self._daemons)
        prototype = Request(
            self.user.name,
            self.database,
            request_id,
            operation=operation.name,
            write=operation.write,
            repeatable=operation.repeatable,
            intended_at=intended_at,
            echo=request_id,
        )
        if operation.in_transaction:
            records = self._run_transaction(connections, operation, prototype)
        else:
            records = self._run_statements(connections, operation, prototype)
        last = records[-1]
        final_kind = "commit" if operation.in_transaction else "statements"
        self.user.record_result(
            operation, last.outcome == DONE and last.kind == final_kind
        )
        return records

    # --- requests

    def _run_statements(
        self, connections: Connections, operation: Operation, prototype: Request
    ) -> list[Request]:
        body = self._body(operation, prototype.request_id)
        body["statements"] = [{"sql": s, "params": p} for s, p in operation.statements]
        request = replace(
            prototype, statements=len(operation.statements), rows=operation.rows
        )
        if operation.write and operation.key:
            request.wrote = {operation.key: operation.value}
        records = []
        for attempt in range(self._max_retries + 1):
            records.append(self._send(connections, STATEMENTS_PATH, body, request))
            if records[-1].outcome not in RETRIED_OUTCOMES:
                break
            self._switch_daemon()
            if attempt < self._max_retries:
                time.sleep(RETRY_INTERVAL_SECONDS)
        if not operation.write and operation.key and records[-1].outcome == DONE:
            records[-1].read = {operation.key: _second_column(records[-1].result)}
        return records

    def _run_transaction(
        self, connections: Connections, operation: Operation, prototype: Request
    ) -> list[Request]:
        """Sends begin, each statement and commit to one daemon without retries."""
        label = prototype.request_id
        body = self._body(operation, f"{label}-begin")
        begin = replace(
            prototype, request_id=f"{label}-begin", kind="begin", write=False
        )
        begin.transaction = label
        records = [self._send(connections, TRANSACTIONS_PATH, body, begin)]
        transaction = self._last_body.get("transaction", "")
        if records[-1].outcome != DONE or not transaction:
            self._switch_daemon()
            return records
        for number, (sql, params) in enumerate(operation.statements):
            body = self._body(operation, f"{label}-{number}")
            body["statements"] = [{"sql": sql, "params": params}]
            body["transaction"] = transaction
            part = replace(
                prototype,
                request_id=f"{label}-{number}",
                transaction=label,
                statements=1,
                rows=operation.rows[number : number + 1],
                wrote={},
            )
            if operation.key and number == len(operation.statements) - 1:
                part.wrote = {operation.key: operation.value}
            records.append(self._send(connections, STATEMENTS_PATH, body, part))
            if records[-1].outcome != DONE:
                return [
                    *records,
                    self._end_transaction(
                        connections, operation, prototype, transaction, "rollback"
                    ),
                ]
        records.append(
            self._end_transaction(
                connections, operation, prototype, transaction, "commit"
            )
        )
        return records

    def _end_transaction(
        self,
        connections: Connections,
        operation: Operation,
        prototype: Request,
        transaction: str,
        kind: str,
    ) -> Request:
        label = prototype.request_id
        body = self._body(operation, label)
        record = replace(prototype, kind=kind, transaction=label)
        path = f"{TRANSACTIONS_PATH}/{transaction}/{kind}"
        return self._send(connections, path, body, record)

    def _body(self, operation: Operation, request_id: str) -> dict[str, Any]:
        return {
            "organisation": self._organisation,
            "database": self.database,
            "request_class": operation.request_class,
            "request_id": request_id,
            "session": self._token,
        }

    def _send(
        self,
        connections: Connections,
        path: str,
        body: dict[str, Any],
        prototype: Request,
    ) -> Request:
        body["session"] = self._token
        sent_at = time.time()
        answer = connections.post(self._daemon, path, body)
        self._last_body = answer.body
        self._token = answer.body.get("session") or self._token
        return replace(
            prototype,
            daemon=self._daemon,
            sent_at=sent_at,
            answered_at=time.time(),
            outcome=answer.outcome,
            code=str(answer.body.get("code", "")),
            served_by=str(answer.body.get("served_by", "")),
            role=str(answer.body.get("role", "")),
            repeated=bool(answer.body.get("repeated", False)),
            result=answer.body.get("result"),
        )

    def _switch_daemon(self) -> None:
        others = [daemon for daemon in self._daemons if daemon != self._daemon]
        if others:
            self._daemon = self._rng.choice(others)


def _second_column(result: list[dict[str, Any]] | None) -> Any:
    rows = result[-1].get("rows") if result else None
    return rows[0][1] if rows and len(rows[0]) > 1 else None
