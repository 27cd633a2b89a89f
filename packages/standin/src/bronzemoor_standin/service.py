"""Handles the Thrift calls of one connection: admission, replies and orders."""

import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bronzemoor_standin.database import DATABASE_ERRORS
from bronzemoor_standin.execution import (
    Execution,
    Result,
    StatementFailed,
    position_of,
)
from bronzemoor_standin.gen.endpoint import ttypes
from bronzemoor_standin.ledger import Refused
from bronzemoor_standin.replication import Batch, Entry, Refusal
from bronzemoor_standin.server import Connection
from bronzemoor_standin.statements import InvalidStatement

if TYPE_CHECKING:
    from bronzemoor_standin.member import Member


class Session:
    """Handler of one connection; ``on_close`` rolls back its open transaction."""

    def __init__(self, member: "Member", connection: Connection) -> None:
        self._member = member
        self._ledger = member.ledger
        self._connection = connection
        self._connection_limiter = member.connection_limiter
        self._execution = Execution(
            member.ledger,
            member.slot,
            member.in_progress,
            member.settings.deadline_ms,
            member.settings.max_message_bytes,
        )

    def on_close(self) -> None:
        self._execution.end_transaction()
        if self._connection.hello_accepted:
            self._connection_limiter.release()

    @property
    def idle_timeout(self) -> float | None:
        """Seconds that an open transaction may be idle; None without a transaction."""
        if self._execution.transaction is None:
            return None
        return self._member.settings.transaction_idle_ms / 1000

    # --- calls

    def hello(self, call: ttypes.Hello) -> ttypes.Reply:
        time.sleep(self._member.settings.open_ms / 1000)
        refused = None
        if call.database != self._member.settings.database:
            refused = Refused("wrong_database", self._member.settings.database)
        elif self._member.refuses_new_work:
            refused = Refused("leaving", "this member is leaving")
        elif (
            not self._connection.hello_accepted
            and not self._connection_limiter.acquire()
        ):
            refused = Refused("too_many_connections", "connection cap reached")
        if refused is not None:
            self._connection.closing = True
            return self._refusal_reply(call, refused.code, refused.message)
        self._connection.hello_accepted = True
        self._connection.client = call.client
        return self._reply(call, Result())

    def ping(self, call: ttypes.Query) -> ttypes.Reply:
        reply = self._reply(call, Result())
        with self._ledger.lock:
            reply.history = dict(self._ledger.state.log.history)
        return reply

    def execute(self, call: ttypes.Execute) -> ttypes.Reply:
        return self._handle(call, self._execution.execute, not call.transaction_id)

    def begin(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        return self._handle(call, self._execution.begin, True)

    def commit(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        return self._handle(call, self._execution.commit)

    def rollback(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        return self._handle(call, self._execution.rollback)

    def reserve(self, call: ttypes.Reserve) -> ttypes.Reply:
        return self._handle(call, self._execution.reserve, True)

    def confirm(self, call: ttypes.Query) -> ttypes.Reply:
        return self._handle(call, self._confirm)

    def lookup(self, call: ttypes.Query) -> ttypes.Reply:
        return self._handle(call, self._execution.lookup)

    def _confirm(self, call: ttypes.Query) -> Result:
        position = position_of(call.position)
        self._ledger.confirm(position, call.wait_ms / 1000)
        return Result(position)

    def _handle(
        self, call: Any, run: Callable[[Any], Result], is_new_work: bool = False
    ) -> ttypes.Reply:
        if not self._connection.hello_accepted:
            return self._refusal_reply(call, "hello_required", "call hello first")
        if is_new_work and self._member.refuses_new_work:
            return self._refusal_reply(call, "leaving", "this member is leaving")
        try:
            with self._member.track_call():
                return self._reply(call, run(call))
        except Refused as refused:
            return self._refusal_reply(call, refused.code, refused.message)
        except InvalidStatement as error:
            return self._refusal_reply(call, "invalid_statement", str(error))
        except StatementFailed as failed:
            return self._failure_reply(call, str(failed), failed)
        except DATABASE_ERRORS as error:
            return self._failure_reply(call, str(error))

    # --- orders and replication

    def fence(self, call: ttypes.Order) -> ttypes.Reply:
        return self._order_reply(call, self._ledger.fence(call.term))

    def promote(self, call: ttypes.Order) -> ttypes.Reply:
        members = self._member.add_members(call.members)
        refusal = self._ledger.promote(call.term, call.start_offset, members)
        return self._order_reply(call, refusal)

    def follow(self, call: ttypes.Order) -> ttypes.Reply:
        members = self._member.add_members(call.members)
        refusal = self._ledger.follow(
            call.term, call.primary, call.start_offset, members
        )
        return self._order_reply(call, refusal)

    def _order_reply(self, call: ttypes.Order, refusal: Refusal | None) -> ttypes.Reply:
        """Replies with the last position in the log, not the applied one."""
        self._member.announce_now()
        with self._ledger.lock:
            last = self._ledger.state.log.last
            history = dict(self._ledger.state.log.history)
        reply = self._reply(call, Result(last))
        if refusal is not None:
            # Tells the caller which term the next order must exceed.
            reply.term = self._ledger.state.accepted_term
            reply.status = ttypes.Status.REFUSED
            reply.code, reply.message = refusal.code, refusal.message
        reply.history = history
        return reply

    def replicate(self, call: ttypes.Replicate) -> ttypes.ReplicateReply:
        batch = Batch(
            call.term,
            call.primary,
            (call.previous.term, call.previous.offset),
            [Entry(e.term, e.offset, e.body) for e in call.entries],
            call.majority_offset,
            call.history,
        )
        role = self._ledger.state.role
        answer = self._ledger.replicate(batch)
        if self._ledger.state.role != role:
            self._member.announce_now()
        return ttypes.ReplicateReply(answer.accepted, answer.term, answer.offset)

    # --- replies

    def refuse_too_large(self, correlation_id: int) -> ttypes.Reply:
        """Replies to a call that exceeds the size limit and was not decoded."""
        call = ttypes.Query(correlation_id=correlation_id)
        limit = self._member.settings.max_message_bytes
        return self._refusal_reply(call, "message_too_large", f"limit is {limit} bytes")

    def _refusal_reply(self, call: Any, code: str, message: str) -> ttypes.Reply:
        reply = self._reply(call, Result())
        reply.status = ttypes.Status.REFUSED
        reply.code, reply.message = code, message
        return reply

    def _failure_reply(
        self, call: Any, message: str, failed: StatementFailed | None = None
    ) -> ttypes.Reply:
        reply = self._reply(call, Result(failed.position if failed else None))
        reply.status = ttypes.Status.FAILED
        reply.code, reply.message = "statement_failed", message
        reply.repeated = failed is not None and failed.repeated
        return reply

    def _reply(self, call: Any, result: Result) -> ttypes.Reply:
        ledger = self._ledger
        now = time.monotonic()
        with ledger.lock:
            state = ledger.state
            role = state.role
            majority = state.majority_offset or state.known_majority
            confirmed_at = state.confirmed_at(now)
        term, offset = result.position or ledger.committed.applied
        transaction = self._execution.transaction
        return ttypes.Reply(
            correlation_id=call.correlation_id,
            request_id=getattr(call, "request_id", "") or "",
            status=ttypes.Status.OK,
            code="",
            message="",
            term=term,
            offset=offset,
            majority_offset=majority,
            confirmed_ago_ms=(
                -1 if confirmed_at is None else int((now - confirmed_at) * 1000)
            ),
            payload=result.payload,
            length=len(result.payload),
            checksum=zlib.crc32(result.payload),
            member=self._member.settings.member,
            role=role,
            repeated=result.repeated,
            transaction_id=transaction.transaction_id if transaction else "",
            history={},
            leaving=self._member.leaving,
        )
