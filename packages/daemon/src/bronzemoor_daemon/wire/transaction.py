"""A client transaction, pinned to a member connection from its first statement."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from bronzemoor_core.positions import ZERO
from bronzemoor_core.wire import statements as st
from bronzemoor_core.wire.deployment import Route
from bronzemoor_core.wire.placement import Target
from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost, NoConnection, Refused
from bronzemoor_daemon.wire.execution import (
    ATTEMPT_SHARE,
    MIN_REMAINING_SECONDS,
    RETRY_DELAY_SECONDS,
    Attempt,
    can_repeat,
    handle_refusal,
    send_statement,
)
from bronzemoor_daemon.wire.groups import Group
from bronzemoor_daemon.wire.memberconnection import discard_answer
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_daemon.wire.memberprobes import AnyConnection

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.proxy import Proxy

# A connection whose rollback takes longer is closed. The limit allows for a late answer
# to an earlier statement on the connection.
ROLLBACK_TIMEOUT_SECONDS = 1.0


class Transaction:
    """A transaction that begins at a member with its first read or write."""

    def __init__(
        self,
        proxy: "Proxy",
        group: Group,
        route: Route,
        session: SessionState,
        begin: Attempt,
    ) -> None:
        self._proxy = proxy
        self._group = group
        self._session = session
        self._begin = begin
        self._pool: MemberPool | None = None
        self._connection: AnyConnection | None = None
        self._term = 0
        self._wrote = False
        self._failure = ""
        # Whether the client has received the failure.
        self._failure_reported = True
        self._timer: asyncio.TimerHandle | None = None
        self._running = False
        self.route = route
        self._start_idle_timer()

    @property
    def state(self) -> str:
        return st.FAILED_TRANSACTION if self._failure else st.IN_TRANSACTION

    # --- statements

    async def run(self, now: float, attempt: Attempt) -> Answer:
        if self._failure:
            return self._failed_answer()
        self._cancel_idle_timer()
        deadline = now + self.route.statement_timeout
        with self._statement_in_progress():
            if self._connection is None:
                answer = await self._run_first(attempt, deadline)
            else:
                answer = await self._run_next(attempt, deadline)
            if answer.ok and answer.state != st.IN_TRANSACTION:
                answer = self._end_lost(attempt)
        self._start_idle_timer()
        if attempt.writes and answer.ok:
            self._wrote = True
        return answer

    async def commit(self, now: float, attempt: Attempt) -> Answer:
        """Commits; without a complete answer the outcome of writes is in doubt."""
        self._cancel_idle_timer()
        if self._failure:
            answer = self._failed_answer()
            answer.error = st.ABORTED
            return answer
        deadline = now + self.route.statement_timeout
        with self._statement_in_progress():
            if self._connection is None:
                answer = await self._run_first(attempt, deadline)
            else:
                answer = await self._commit_pinned(attempt, deadline)
        self.roll_back()
        return answer

    def roll_back(self) -> None:
        """Rolls back in the background and releases the connection."""
        self._cancel_idle_timer()
        pool, connection = self._pool, self._connection
        self._pool = self._connection = None
        if pool is None or connection is None:
            return
        if not connection.is_open:
            pool.release(connection, clean=False)
            return
        self._proxy.spawn(self._roll_back_connection(pool, connection), "roll-back")

    def fail(self, reason: str) -> None:
        """Aborts the transaction unless a statement or its commit is running.

        The next statement of the client gets the reason.
        """
        if not self._running and not self._failure:
            self._proxy.record_ended_transaction(
                self._begin, self._pool.member if self._pool else "", reason
            )
            self._failure = reason
            self._failure_reported = False
            self.roll_back()

    # --- steps

    @contextmanager
    def _statement_in_progress(self) -> Iterator[None]:
        """Keeps the connection for the steps of a statement or of the commit.

        Only they may release it meanwhile: one that waits before it repeats a refused
        statement would use it inside another client's transaction.
        """
        self._running = True
        try:
            yield
        finally:
            self._running = False

    async def _run_first(self, attempt: Attempt, deadline: float) -> Answer:
        """Begins at a member and runs the first statement, retried at other members."""
        tried: set[str] = set()
        refused: set[str] = set()
        # Whether the transaction has begun at a member, which refused or lost it.
        started = False
        last = Answer(error=st.ABORTED)
        while (now := boottime()) < deadline - MIN_REMAINING_SECONDS:
            target = self._choose(now, tried)
            if target is None:
                if tried:
                    tried.clear()
                    await asyncio.sleep(min(RETRY_DELAY_SECONDS, deadline - now))
                else:
                    await self._group.wait_primary_change(min(0.1, deadline - now))
                continue
            pool = self._group.pools[target.member]
            limit = min(deadline - now, self.route.statement_timeout * ATTEMPT_SHARE)
            await pool.delay_low_priority(self.route.priority)
            try:
                connection = await pool.acquire(
                    self._session, self.route.priority, limit, started
                )
            except Refused as error:
                tried.add(pool.member)
                refused.add(pool.member)
                self._proxy.record_refusal(attempt, pool.member, error.message)
                last = Answer(error=st.BUSY, message=error.message.encode())
                if refused >= tried and self._choose(boottime(), tried) is None:
                    break
                continue
            except NoConnection as error:
                tried.add(pool.member)
                self._proxy.record_failed_attempt(attempt, pool.member, str(error))
                continue
            at_primary = target.position == ZERO
            if at_primary and not self._group.is_current_primary(
                boottime(), pool.member, self._group.term
            ):
                pool.release(connection, clean=True)
                continue
            self._pool, self._connection = pool, connection
            started = True
            connection.on_evicted = lambda: self.fail("others wait for its connection")
            # A transaction at a replica does not depend on the primary's term.
            self._term = self._group.term if at_primary else 0
            answer = await self._begin_at(target, attempt, deadline)
            if answer is not None and answer.ok:
                return answer
            self.roll_back()
            if answer is not None:
                last = answer
                if not answer.not_run and answer.error != st.ABORTED:
                    break
                await handle_refusal(
                    pool, answer, deadline, self._session, target.position
                )
            tried.add(pool.member)
        self._failure = last.error
        return last

    def _choose(self, now: float, tried: set[str]) -> Target | None:
        if self._begin.statement.read_only:
            return self._group.choose_member(now, self.route, self._session, tried)
        pool = self._group.primary_pool(now)
        return Target(pool.member) if pool and pool.member not in tried else None

    async def _begin_at(
        self, target: Target, attempt: Attempt, deadline: float
    ) -> Answer | None:
        """Begins at a member and runs the statement there.

        A read waits for the answer to BEGIN: after a refusal it would run outside the
        transaction. A write follows in the same packet, since a member that refuses
        BEGIN because it is a replica refuses the write too. So does a read after a
        read-only BEGIN at the primary, which members refuse only for a position.
        """
        connection = self._connection
        assert connection is not None and self._pool is not None
        begin = self._begin
        attempt.member = connection.member
        connection.apply_session(self._session)
        begin_answer = connection.query(
            begin.query_id, begin.statement.text, target.position,
            leading_term=self._term,
        )  # fmt: skip
        at_primary = target.position == ZERO
        if at_primary and (attempt.writes or begin.statement.read_only):
            discard_answer(begin_answer)
            answer = await self._exchange(attempt, deadline)
            if answer is None or not begin_answer.done() or begin_answer.exception():
                return None
        else:
            attempt.required = target.position
            answer = await self._wait_answer(begin_answer, attempt, deadline)
            if answer is None:
                return None
            if answer.ok:
                return await self._exchange(attempt, deadline)
        refusal = begin_answer.result()
        if refusal.ok:
            return answer
        if at_primary:
            self._proxy.record_refused_begin(begin, connection.member, refusal)
        if answer.ok and attempt.writes:
            return Answer(error=st.IN_DOUBT, message=b"ran outside its transaction")
        return refusal

    async def _run_next(self, attempt: Attempt, deadline: float) -> Answer:
        """Runs a statement on the pinned connection."""
        connection, pool = self._connection, self._pool
        assert connection is not None and pool is not None
        if not connection.is_open:
            return self._abort("connection lost")
        while True:
            connection.apply_session(self._session)
            answer = await self._exchange(attempt, deadline)
            if answer is None:
                return self._abort("no answer")
            if can_repeat(answer, boottime(), deadline):
                await handle_refusal(pool, answer, deadline, self._session)
                continue
            if not answer.ok:
                self._failure = answer.error
                self.roll_back()
            return answer

    async def _commit_pinned(self, attempt: Attempt, deadline: float) -> Answer:
        connection, pool = self._connection, self._pool
        assert connection is not None and pool is not None
        if not connection.is_open:
            return Answer(error=st.ABORTED, message=b"connection lost")
        while True:
            sent_at = boottime()
            problem = self._group.why_not_primary(sent_at, pool.member, self._term)
            if self._wrote and problem:
                return Answer(error=st.ABORTED, message=problem.encode())
            connection.apply_session(self._session)
            answer = await self._exchange(attempt, deadline, is_commit=True)
            if answer is None:
                if not self._wrote:
                    return Answer(error=st.ABORTED, message=b"no answer to the commit")
                self._group.record_unanswered_commit(sent_at)
                return Answer(error=st.IN_DOUBT, message=b"no answer to the commit")
            if can_repeat(answer, boottime(), deadline):
                await handle_refusal(pool, answer, deadline, self._session)
                continue
            break
        now = boottime()
        if answer.ok and self._wrote:
            if problem := self._group.why_not_primary(now, pool.member, self._term):
                return Answer(error=st.IN_DOUBT, message=problem.encode())
            self._group.record_commit(now, sent_at, answer.position)
            self._session.record_commit(now, self._group.name, answer.position)
        if answer.state == st.IDLE:
            self._pool = self._connection = None
            pool.release(connection, clean=True)
        return answer

    async def _exchange(
        self, attempt: Attempt, deadline: float, is_commit: bool = False
    ) -> Answer | None:
        """Sends a statement and waits for its answer like ``_wait_answer``."""
        assert self._connection is not None
        future = send_statement(self._connection, attempt, leading_term=self._term)
        return await self._wait_answer(future, attempt, deadline, is_commit)

    async def _wait_answer(
        self,
        future: "asyncio.Future[Answer]",
        attempt: Attempt,
        deadline: float,
        is_commit: bool = False,
    ) -> Answer | None:
        """Waits for an answer and returns None if it does not come in time.

        An attempt to commit gets all of the remaining time, and its connection is
        closed if no answer comes.
        """
        connection, pool = self._connection, self._pool
        assert connection is not None and pool is not None
        timeout = deadline - boottime()
        if not is_commit:
            share = self.route.statement_timeout * ATTEMPT_SHARE
            timeout = min(timeout, max(share, pool.attempt_timeout))
        sent_at = boottime()
        try:
            async with asyncio.timeout(max(MIN_REMAINING_SECONDS, timeout)):
                answer = await future
        except TimeoutError:
            pool.suspect(boottime())
            if is_commit:
                # The commit may still run, so the connection must not be reused.
                connection.close()
            self._proxy.record_failed_attempt(attempt, pool.member, "no answer in time")
            return None
        except ConnectionLost as error:
            pool.failed_at = boottime()
            self._proxy.record_failed_attempt(attempt, pool.member, str(error))
            return None
        now = boottime()
        pool.record_success(now, now - sent_at, answer.error)
        if answer.ok and self._group.is_current_primary(now, pool.member, self._term):
            self._group.samples.record(sent_at, answer.position)
        return answer

    def _abort(self, reason: str) -> Answer:
        self._failure = reason
        self.roll_back()
        return Answer(error=st.ABORTED, message=reason.encode())

    def _end_lost(self, attempt: Attempt) -> Answer:
        """Ends a transaction that was not open at its member when a statement ran."""
        pool, connection = self._pool, self._connection
        assert pool is not None and connection is not None
        connection.close()
        answer = self._abort("not open at its member")
        self._proxy.record_ended_transaction(self._begin, pool.member, self._failure)
        if attempt.writes:
            # A write outside a transaction is committed on its own.
            answer.error = st.IN_DOUBT
        return answer

    def _failed_answer(self) -> Answer:
        """Returns ABORTED, or MALFORMED once the client has received the failure."""
        already_reported, self._failure_reported = self._failure_reported, True
        error = st.MALFORMED if already_reported else st.ABORTED
        return Answer(error=error, message=self._failure.encode())

    async def _roll_back_connection(
        self, pool: MemberPool, connection: AnyConnection
    ) -> None:
        clean = False
        try:
            async with asyncio.timeout(ROLLBACK_TIMEOUT_SECONDS):
                answer = await connection.query(b"", self._proxy.codec.rollback_text)
            clean = answer.state == st.IDLE
        except (TimeoutError, ConnectionLost) as error:
            self._proxy.report(
                "info", "rollback_unanswered", member=pool.member, error=repr(error)
            )
        finally:
            pool.release(connection, clean)

    # --- idle timeout

    def _start_idle_timer(self) -> None:
        self._cancel_idle_timer()
        deployment = self._proxy.deployment
        idle = deployment.transaction_idle if deployment else 0.0
        if idle > 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(idle, self.fail, "idle for too long")

    def _cancel_idle_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
