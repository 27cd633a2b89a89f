"""Execution of statements outside transactions, with member choice and retries."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire import statements as st
from bronzemoor_core.wire.deployment import Route
from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.statements import Answer, Statement
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost, NoConnection, Refused
from bronzemoor_daemon.wire.groups import Group
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_daemon.wire.memberprobes import AnyConnection
from bronzemoor_daemon.wire.quotagate import Permit

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.proxy import Proxy

# Share of the statement timeout that one attempt may spend waiting for a connection or,
# inside a transaction, for an answer.
ATTEMPT_SHARE = 0.5
# The same share for the answer to a read that no other member can serve.
SOLE_MEMBER_ATTEMPT_SHARE = 0.75
# Delay before a refused statement is retried.
RETRY_DELAY_SECONDS = 0.020
# No attempt starts with less time than this left, and one that has got its connection
# is given at least this long.
MIN_REMAINING_SECONDS = 0.010


@dataclass(slots=True)
class Attempt:
    """A client statement and the state of its execution."""

    query_id: bytes
    statement: Statement
    writes: bool = False
    # Whether the prepared statement that an EXECUTE runs writes, and its text.
    shape: tuple[bool, bytes] | None = None
    # For the log: the last member tried, the position required of it and the number of
    # attempts.
    member: str = ""
    required: Position = ZERO
    tries: int = 0
    # Spent directly before the statement is first sent.
    permit: Permit | None = None


def send_statement(
    connection: AnyConnection,
    attempt: Attempt,
    required: Position = ZERO,
    leading_term: int = 0,
) -> asyncio.Future[Answer]:
    """Sends a statement, after preparing it on this connection if necessary."""
    statement = attempt.statement
    attempt.member, attempt.tries = connection.member, attempt.tries + 1
    if required != ZERO:
        attempt.required = required
    if attempt.shape is not None:
        return connection.query(
            attempt.query_id, statement.body, required, attempt.shape, leading_term
        )
    return connection.query(
        attempt.query_id, statement.text, required, leading_term=leading_term
    )


def spend_permit(proxy: "Proxy", attempt: Attempt) -> bool:
    """Returns whether the quota allows the statement; it is asked once."""
    return attempt.permit is None or proxy.quotas.spend(attempt.permit)


def wait_limit(
    group: Group,
    route: Route,
    session: SessionState,
    tried: set[str],
    remaining: float,
) -> float:
    """Returns how long a read may wait for a connection before trying others.

    With organisations, a wait is refused at once if it is too long, so that a read may
    wait for all of its remaining time where no other member than ``tried`` serves it.
    """
    share = min(remaining, route.statement_timeout * ATTEMPT_SHARE)
    if not group.by_organisation:
        return share
    return share if group.can_serve(boottime(), route, session, tried) else remaining


async def run_read(
    proxy: "Proxy",
    group: Group,
    route: Route,
    session: SessionState,
    attempt: Attempt,
) -> Answer:
    """Runs a read at the best member; a failed read is retried at others."""
    deadline = boottime() + route.statement_timeout
    tried: set[str] = set()
    refused: set[str] = set()
    last = Answer(error=st.BUSY)
    while (now := boottime()) < deadline - MIN_REMAINING_SECONDS:
        target = group.choose_member(now, route, session, tried)
        if target is None:
            if tried:
                tried.clear()
                await asyncio.sleep(min(RETRY_DELAY_SECONDS, deadline - now))
            else:
                await group.wait_primary_change(min(0.1, deadline - now))
            continue
        pool = group.pools[target.member]
        limit = wait_limit(group, route, session, tried | {pool.member}, deadline - now)
        await pool.delay_low_priority(route.priority)
        try:
            connection = await pool.acquire(session, route.priority, limit)
        except Refused as error:
            tried.add(pool.member)
            refused.add(pool.member)
            proxy.record_refusal(attempt, pool.member, error.message)
            last = Answer(error=st.BUSY, message=error.message.encode())
            if refused >= tried and not group.can_serve(
                boottime(), route, session, tried
            ):
                return last
            continue
        except NoConnection as error:
            tried.add(pool.member)
            proxy.record_failed_attempt(attempt, pool.member, str(error))
            continue
        if target.position == ZERO and not group.is_current_primary(
            boottime(), pool.member, group.term
        ):
            pool.release(connection, clean=True)
            continue
        if not spend_permit(proxy, attempt):
            pool.release(connection, clean=True)
            return Answer(error=st.BUSY)
        now = boottime()
        timeout = pool.attempt_timeout
        if not group.can_serve(now, route, session, tried | {pool.member}):
            # No other member can serve the read.
            timeout = max(timeout, route.statement_timeout * SOLE_MEMBER_ATTEMPT_SHARE)
        answer = await run_attempt(
            proxy, group, pool, connection, session, attempt, target.position,
            min(max(MIN_REMAINING_SECONDS, deadline - now), timeout),
        )  # fmt: skip
        if answer is None:
            tried.add(pool.member)
            last = Answer(error=st.TIMEOUT)
            continue
        if answer.ok:
            return answer
        last = answer
        if not answer.not_run and answer.error != st.FAILED:
            return answer
        tried.add(pool.member)
        await handle_refusal(pool, answer, deadline, session, target.position)
    return last


def can_repeat(answer: Answer, now: float, deadline: float) -> bool:
    """Returns whether a statement that its transaction survived can be repeated."""
    in_time = now + RETRY_DELAY_SECONDS < deadline - MIN_REMAINING_SECONDS
    survived = answer.error == st.BUSY and answer.state == st.IN_TRANSACTION
    return survived and in_time


async def handle_refusal(
    pool: MemberPool,
    answer: Answer,
    deadline: float,
    session: SessionState,
    required: Position = ZERO,
) -> None:
    """Backs off after a refusal by an overloaded or a lagging member.

    A replica that only lacks the session's own last commit still serves other sessions.
    """
    now = boottime()
    if answer.error == st.LAGGING:
        own = session.last_commit(pool.group)
        if required == own.position:
            pool.record_missing_commit(now - own.answered_at)
        else:
            pool.record_lag(now, required)
    elif answer.error == st.BUSY:
        await asyncio.sleep(min(pool.record_busy(now), max(0.0, deadline - now)))


async def run_attempt(
    proxy: "Proxy",
    group: Group,
    pool: MemberPool,
    connection: AnyConnection,
    session: SessionState,
    attempt: Attempt,
    required: Position,
    timeout: float,
) -> Answer | None:
    """Runs a statement and releases the connection; returns None without an answer."""
    term = group.term
    sent_at = boottime()
    try:
        connection.apply_session(session)
        async with asyncio.timeout(timeout):
            primary_term = term if required == ZERO else 0
            answer = await send_statement(connection, attempt, required, primary_term)
    except TimeoutError:
        pool.release_unanswered(connection, sent_at)
        proxy.record_failed_attempt(attempt, pool.member, "no answer in time")
        return None
    except ConnectionLost as error:
        pool.failed_at = boottime()
        pool.release(connection, clean=False)
        proxy.record_failed_attempt(attempt, pool.member, str(error))
        return None
    except asyncio.CancelledError:
        pool.release(connection, clean=False)
        raise
    pool.release(connection, answer.state == st.IDLE)
    now = boottime()
    pool.record_success(now, now - sent_at, answer.error)
    if answer.ok and required != ZERO:
        own = session.last_commit(pool.group)
        if required == own.position:
            pool.record_present_commit(sent_at - own.answered_at)
        pool.record_caught_up(required)
    if (
        answer.ok
        and required == ZERO
        and group.is_current_primary(now, pool.member, term)
    ):
        group.samples.record(sent_at, answer.position)
    return answer


async def run_write(
    proxy: "Proxy",
    group: Group,
    route: Route,
    session: SessionState,
    attempt: Attempt,
) -> Answer:
    """Runs a write at the primary; it is retried only if it certainly did not run."""
    deadline = boottime() + route.statement_timeout
    last = Answer(error=st.BUSY)
    while (now := boottime()) < deadline - MIN_REMAINING_SECONDS:
        pool = group.primary_pool(now)
        if pool is None:
            await group.wait_primary_change(min(0.1, deadline - now))
            continue
        term = group.term
        try:
            connection = await pool.acquire(session, route.priority, deadline - now)
        except Refused as error:
            proxy.record_refusal(attempt, pool.member, error.message)
            return Answer(error=st.BUSY, message=error.message.encode())
        except NoConnection as error:
            proxy.record_failed_attempt(attempt, pool.member, str(error))
            await group.wait_primary_change(
                min(RETRY_DELAY_SECONDS, max(0.0, deadline - boottime()))
            )
            continue
        sent_at = boottime()
        if not connection.is_open or not group.is_current_primary(
            sent_at, pool.member, term
        ):
            pool.release(connection, clean=True)
            continue
        if not spend_permit(proxy, attempt):
            pool.release(connection, clean=True)
            return Answer(error=st.BUSY)
        answer = await run_attempt(
            proxy, group, pool, connection, session, attempt, ZERO,
            max(MIN_REMAINING_SECONDS, deadline - sent_at),
        )  # fmt: skip
        now = boottime()
        if answer is None:
            group.record_unanswered_commit(sent_at)
            return Answer(error=st.IN_DOUBT, message=b"no answer to the write")
        if answer.ok:
            if problem := group.why_not_primary(now, pool.member, term):
                return Answer(error=st.IN_DOUBT, message=problem.encode())
            group.record_commit(now, sent_at, answer.position)
            session.record_commit(now, group.name, answer.position)
            return answer
        if not answer.not_run:
            return answer
        last = answer
        await handle_refusal(pool, answer, deadline, session)
        await asyncio.sleep(min(RETRY_DELAY_SECONDS, max(0.0, deadline - boottime())))
    return last
