"""A client session: its state and open transaction."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_core.wire import statements as st
from bronzemoor_core.wire.callers import find_caller, find_priority
from bronzemoor_core.wire.deployment import Route
from bronzemoor_core.wire.sessionstate import SessionState, find_prepared
from bronzemoor_core.wire.statements import (
    Answer,
    EndRequest,
    QueryRequest,
    StartRequest,
    Statement,
)
from bronzemoor_daemon.wire.clientguard import (
    FIRST_MESSAGE,
    STARTED_MESSAGE,
    STATE_TOO_LARGE,
)
from bronzemoor_daemon.wire.clientstream import ClientStream
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.execution import Attempt, run_read, run_write
from bronzemoor_daemon.wire.quotagate import Permit
from bronzemoor_daemon.wire.tasks import error_location
from bronzemoor_daemon.wire.transaction import Transaction

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.proxy import Proxy

# How long a new session waits for a deployment. Clients time out after 2 s.
DEPLOYMENT_WAIT_SECONDS = 1.7
# Memory of a value or a prepared statement beside its name and its text.
STATE_ENTRY_BYTES = 256
RETRY_HINT = b"retry_after_ms=250"


class ClientSession(ClientStream):
    """Serves one client, whose statements run one at a time in a separate task."""

    __slots__ = (
        "_codec",
        "_current_request",
        "_database",
        "_is_serving",
        "_key_digest",
        "_permit",
        "_proxy",
        "_task",
        "_transaction",
        "state",
    )

    def __init__(self, proxy: "Proxy") -> None:
        super().__init__(proxy.guard)
        self._proxy = proxy
        self._codec = proxy.codec
        self._task: asyncio.Task[None] | None = None
        # Whether the task has begun.
        self._is_serving = False
        self._database = ""
        self._key_digest = ""
        self._transaction: Transaction | None = None
        # For the transaction; spent with its first statement.
        self._permit: Permit | None = None
        # Id of the last statement that was started, for the log.
        self._current_request = b""
        self.state = SessionState()

    @property
    def is_in_use(self) -> bool:
        return self._task is not None or self._transaction is not None

    @property
    def in_transaction(self) -> bool:
        return self._transaction is not None

    # --- transport

    def on_lines(self) -> None:
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def on_closed(self) -> None:
        self._release_permit()
        if self._task is not None:
            self._task.cancel()
        if not self._is_serving:
            # A task that is cancelled before its first step does not end its work.
            self._task = None
            self._abandon_transaction()

    def encode_refusal(self, reason: str) -> bytes:
        if reason in (FIRST_MESSAGE, STARTED_MESSAGE):
            return self._codec.encode_error(st.TIMEOUT, b"message not complete in time")
        return self._codec.encode_error(st.TOO_LARGE, b"message too large")

    def _abandon_transaction(self) -> None:
        if self._transaction is not None:
            self._transaction.roll_back()
            self._transaction = None

    def end_transaction(self) -> None:
        """Rolls back an open transaction; its next statement gets an error."""
        if self._transaction is not None:
            self._transaction.fail("stopping")

    # --- requests

    async def _serve(self) -> None:
        self._is_serving = True
        try:
            while (line := self.next_line()) is not None:
                try:
                    if self.is_writing_paused:
                        await self.drain()
                    await self._on_line(line)
                finally:
                    self.line_done(line)
        except asyncio.CancelledError:
            self._abandon_transaction()
            raise
        except Exception as error:  # an error in one session must not affect others
            self._proxy.report(
                "error",
                "session_failed",
                request=self._current_request.decode(errors="replace"),
                in_transaction=self.in_transaction,
                error=repr(error),
                where=error_location(error),
            )
            self.close()
        finally:
            self._task = None
            self._is_serving = False
            if self.is_closed:
                # A session that closes itself is not interrupted by the cancellation.
                self._abandon_transaction()
        if self._proxy.closing and self.is_idle:
            self.close()

    async def _on_line(self, line: bytes) -> None:
        request = self._codec.decode_request(line)
        if isinstance(request, QueryRequest) and self._database:
            if request.statement is None:
                self._answer_error(st.MALFORMED, b"unknown statement")
                return
            await self._on_statement(request.query_id, request.statement)
        elif isinstance(request, StartRequest) and not self._database:
            await self._start(request)
        else:
            if not isinstance(request, EndRequest):
                self._proxy.report("info", "malformed_request", bytes=len(line))
                self.write(self._codec.encode_error(st.MALFORMED, b"unexpected"))
            self.close()

    async def _start(self, request: StartRequest) -> None:
        if self._proxy.deployment is None:
            # A proxy that has just started receives the deployment shortly after.
            try:
                async with asyncio.timeout(DEPLOYMENT_WAIT_SECONDS):
                    await self._proxy.deployment_received.wait()
            except TimeoutError:
                self._proxy.report("info", "start_refused", reason="no deployment")
        deployment = self._proxy.deployment
        if deployment is None:
            self.write(self._codec.encode_error(st.BUSY, RETRY_HINT))
            self.close()
        elif request.database not in deployment.routes:
            self.write(self._codec.encode_error(st.UNKNOWN_DATABASE, b"no route"))
            self.close()
        else:
            self._key_digest = request.key_digest
            if not self._identify_caller(deployment.routes[request.database]):
                self.write(self._codec.encode_error(*self._refused_key()))
                self.close()
                return
            self._database = request.database
            self._proxy.quotas.expect(self.state.caller)
            self.write(self._codec.encode_ready(st.IDLE))

    async def _on_statement(self, query_id: bytes, statement: Statement) -> None:
        self._current_request = query_id
        match statement.kind:
            case st.SET:
                self._set(statement)
            case st.PREPARE:
                self._prepare(statement)
            case st.DEALLOCATE:
                self._deallocate(statement)
            case st.BEGIN:
                await self._begin(query_id, statement)
            case st.COMMIT | st.ROLLBACK:
                await self._end(query_id, statement)
            case _:
                await self._run(query_id, statement)

    def _set(self, statement: Statement) -> None:
        name, value = statement.name, statement.body
        if self._change_state(name, self.state.values.get(name), value):
            self.state.values[name] = value
            self._answer_local()

    def _prepare(self, statement: Statement) -> None:
        name, shape = statement.name, statement.body
        _, before = self.state.prepared.get(name, (False, None))
        if self._change_state(name, before, shape):
            self.state.prepared[name] = (statement.writes, shape)
            self._answer_local()

    def _deallocate(self, statement: Statement) -> None:
        removed = self.state.prepared.pop(statement.name, None)
        if removed is None:
            self._answer_error(st.UNKNOWN_PREPARED, b"no such prepared statement")
        else:
            self.holding.add_state(-_state_size(statement.name, removed[1]))
            self._answer_local()

    def _change_state(self, name: bytes, before: bytes | None, after: bytes) -> bool:
        """Accounts for an entry; answers with an error if it does not fit."""
        change = _state_size(name, after)
        if before is not None:
            change -= _state_size(name, before)
        if self.holding.add_state(change):
            return True
        self._proxy.guard.count(STATE_TOO_LARGE)
        self._answer_error(st.TOO_LARGE, b"session state too large")
        return False

    async def _begin(self, query_id: bytes, statement: Statement) -> None:
        if self._transaction is not None:
            self._answer_error(st.MALFORMED, b"a transaction is open")
            return
        route = self._route()
        if route is None:
            return
        started, attempt = boottime(), Attempt(query_id, statement)
        permit = await self._acquire_permit(attempt, route)
        if isinstance(permit, Answer):
            self._finish(attempt, route, permit, started)
            return
        self._permit = permit
        self._transaction = Transaction(
            self._proxy, self._proxy.group(route.group), route, self.state, attempt
        )
        self._answer_local()

    async def _end(self, query_id: bytes, statement: Statement) -> None:
        transaction = self._transaction
        if transaction is None:
            self._answer_error(st.MALFORMED, b"no transaction is open")
            return
        started = boottime()
        attempt = Attempt(query_id, statement)
        if statement.kind == st.ROLLBACK:
            transaction.roll_back()
            answer = Answer()
        else:
            await self._spend_permit(attempt, transaction)
            answer = await transaction.commit(started, attempt)
        self._release_permit()
        self._transaction = None
        answer.state = st.IDLE
        self._finish(attempt, transaction.route, answer, started)

    async def _run(self, query_id: bytes, statement: Statement) -> None:
        started = boottime()
        shape = None
        writes = statement.kind == st.WRITE
        if statement.kind == st.EXECUTE:
            try:
                shape = find_prepared(self.state, statement.name)
            except InvalidRequest as error:
                self._answer_error(st.UNKNOWN_PREPARED, error.message.encode())
                return
            writes = shape[0]
        attempt = Attempt(query_id, statement, writes, shape)
        transaction = self._transaction
        if transaction is not None:
            await self._spend_permit(attempt, transaction)
            answer = await transaction.run(started, attempt)
            answer.state = transaction.state
            self._finish(attempt, transaction.route, answer, started)
            return
        route = self._route()
        if route is None:
            return
        permit = await self._acquire_permit(attempt, route)
        if isinstance(permit, Answer):
            self._finish(attempt, route, permit, started)
            return
        attempt.permit = permit
        group = self._proxy.group(route.group)
        run = run_write if writes else run_read
        try:
            answer = await run(self._proxy, group, route, self.state, attempt)
        finally:
            self._proxy.quotas.release(permit)
        answer.state = st.IDLE
        self._finish(attempt, route, answer, started)

    # --- quotas

    async def _acquire_permit(self, attempt: Attempt, route: Route) -> Permit | Answer:
        return await self._proxy.quotas.acquire(
            attempt.query_id, self.state.caller, route.statement_timeout
        )

    async def _spend_permit(self, attempt: Attempt, transaction: Transaction) -> None:
        """Spends the transaction's permit before its first statement is sent.

        One that expired meanwhile is replaced; if there is none, the transaction fails.
        """
        permit = self._permit
        if permit is None or transaction.state != st.IN_TRANSACTION:
            return
        while not self._proxy.quotas.spend(permit):
            renewed = await self._acquire_permit(attempt, transaction.route)
            if isinstance(renewed, Answer):
                transaction.fail("quota")
                break
            permit = renewed
        self._permit = None

    def _release_permit(self) -> None:
        """Returns the permit of a transaction that has sent nothing."""
        if self._permit is not None:
            self._proxy.quotas.release(self._permit)
            self._permit = None

    # --- answers

    def _route(self) -> Route | None:
        """Returns the session's route; answers with an error if there is none."""
        deployment = self._proxy.deployment
        route = deployment.routes.get(self._database) if deployment else None
        if route is None:
            self._answer_error(st.UNKNOWN_DATABASE, b"no route")
        elif not self._identify_caller(route):
            # The key was withdrawn after the session started.
            self._answer_error(*self._refused_key())
            self.close()
            return None
        return route

    def _identify_caller(self, route: Route) -> bool:
        """Sets the session's organisation; returns whether the key may be used."""
        deployment = self._proxy.deployment
        assert deployment is not None
        caller = find_caller(deployment, route, self._key_digest)
        if caller is None:
            self._proxy.record_refused_key(route, self._key_digest)
            return False
        self.state.caller = caller
        self.state.caller_priority = find_priority(deployment, caller)
        return True

    def _refused_key(self) -> tuple[str, bytes]:
        """Returns the error for a key that the deployment does not have.

        Without a lease the deployment may be outdated, so that the key may be valid.
        """
        if self._proxy.has_lease:
            return st.AUTHENTICATION_FAILED, b"unknown key"
        return st.BUSY, RETRY_HINT

    def _finish(
        self, attempt: Attempt, route: Route, answer: Answer, started: float
    ) -> None:
        if answer.error in st.NO_EFFECT_ERRORS and not answer.message:
            answer.message = RETRY_HINT
        self._proxy.record_answer(attempt, route, answer, started)
        self.write(self._codec.encode_answer(answer))

    def _answer_local(self) -> None:
        self.write(self._codec.encode_answer(Answer(state=self._state)))

    def _answer_error(self, error: str, message: bytes) -> None:
        answer = Answer(error=error, message=message, state=self._state)
        self.write(self._codec.encode_answer(answer))

    @property
    def _state(self) -> str:
        return self._transaction.state if self._transaction else st.IDLE


def _state_size(name: bytes, text: bytes) -> int:
    return STATE_ENTRY_BYTES + len(name) + len(text)
