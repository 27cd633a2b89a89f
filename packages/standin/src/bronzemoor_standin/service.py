"""Thrift calls of one connection, carried out on the member's ledger."""

import sqlite3
import time
import zlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from bronzemoor_standin.database import DONE, FAILED, RESERVED, RequestRecord
from bronzemoor_standin.gen.endpoint import ttypes
from bronzemoor_standin.ledger import Position, Refused, Write
from bronzemoor_standin.replication import Batch, Entry, Refusal
from bronzemoor_standin.server import Connection, NoAnswer
from bronzemoor_standin.statements import (
    InvalidStatement,
    Sql,
    decode,
    encode_results,
    writes,
)

if TYPE_CHECKING:
    from bronzemoor_standin.member import Member

OK, REFUSED, FAILURE = ttypes.Status.OK, ttypes.Status.REFUSED, ttypes.Status.FAILED


@dataclass(slots=True)
class OpenTransaction:
    """A transaction of one connection; ``write`` is set from its first write on."""

    transaction_id: str
    write: Write | None = None


class Session:
    """Handler of one connection; ``closed`` rolls back what it left open."""

    def __init__(self, member: "Member", connection: Connection) -> None:
        self._member = member
        self._ledger = member.ledger
        self._connection = connection
        self._transaction: OpenTransaction | None = None
        self._admitted = False

    def closed(self) -> None:
        self._end_transaction()
        if self._admitted:
            self._member.release_connection()

    # --- calls

    def hello(self, call: ttypes.Hello) -> ttypes.Reply:
        time.sleep(self._member.settings.open_ms / 1000)
        if call.database != self._member.settings.database:
            self._connection.closing = True
            return self._refuse(call, "wrong_database", self._member.settings.database)
        if not self._admitted and not self._member.admit_connection():
            self._connection.closing = True
            return self._refuse(call, "too_many_connections", "connection cap reached")
        self._admitted = True
        return self._reply(call)

    def ping(self, call: ttypes.Query) -> ttypes.Reply:
        return self._reply(call, history=True)

    def execute(self, call: ttypes.Execute) -> ttypes.Reply:
        return self._guard(call, self._execute)

    def begin(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        return self._guard(call, self._begin)

    def commit(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        return self._guard(call, self._commit)

    def rollback(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        return self._guard(call, self._rollback)

    def reserve(self, call: ttypes.Reserve) -> ttypes.Reply:
        return self._guard(call, self._reserve)

    def confirm(self, call: ttypes.Query) -> ttypes.Reply:
        return self._guard(call, self._confirm)

    def lookup(self, call: ttypes.Query) -> ttypes.Reply:
        return self._guard(call, self._lookup)

    def fence(self, call: ttypes.Order) -> ttypes.Reply:
        return self._ordered(call, self._ledger.fence(call.term))

    def promote(self, call: ttypes.Order) -> ttypes.Reply:
        members = self._member.learn_members(call.members)
        refusal = self._ledger.promote(call.term, call.start_offset, members)
        return self._ordered(call, refusal)

    def follow(self, call: ttypes.Order) -> ttypes.Reply:
        members = self._member.learn_members(call.members)
        refusal = self._ledger.follow(
            call.term, call.primary, call.start_offset, members
        )
        return self._ordered(call, refusal)

    def replicate(self, call: ttypes.Replicate) -> ttypes.ReplicateReply:
        if self._member.faults.cut_peers:
            raise NoAnswer()
        batch = Batch(
            call.term,
            call.primary,
            (call.previous.term, call.previous.offset),
            [Entry(e.term, e.offset, e.body) for e in call.entries],
            call.majority_offset,
            call.history,
        )
        answer = self._ledger.replicate(batch)
        return ttypes.ReplicateReply(answer.accepted, answer.term, answer.offset)

    # --- statements

    def _execute(self, call: ttypes.Execute) -> ttypes.Reply:
        deadline = self._deadline(call.deadline_ms)
        statements = decode(call.statements)
        writing = [s for s in statements if writes(s.text)]
        if call.read_only and writing:
            raise Refused("read_only", "a writing statement in a read-only call")
        if call.transaction_id:
            return self._execute_in_transaction(call, statements, writing, deadline)
        if writing or call.recorded or call.reservation:
            return self._execute_write(call, statements, writing, deadline)
        with self._member.slot(deadline):
            results, position = self._ledger.read(
                statements, _position(call.min_position), call.wait_ms / 1000
            )
        return self._reply(call, position, payload=encode_results(results))

    def _execute_write(
        self,
        call: ttypes.Execute,
        statements: list[Sql],
        writing: list[Sql],
        deadline: float,
    ) -> ttypes.Reply:
        self._ledger.require(_position(call.min_position), call.wait_ms / 1000)
        write = self._ledger.open_write(deadline - time.monotonic())
        try:
            known = write.find(call.request_id) if call.request_id else None
            if known is not None and known.state != RESERVED:
                return self._repeat(call, known)
            _check_reservation(call, known)
            record = None
            if call.recorded or call.reservation:
                record = _new_record(call, call.reservation or "")
            with self._member.slot(deadline):
                try:
                    results = write.run(statements, writing)
                except (sqlite3.Error, OverflowError) as error:
                    return self._failed(call, write, record, str(error))
            payload = encode_results(results)
            if record is not None:
                record = replace(record, payload=payload)
            position = write.commit(record)
            return self._reply(call, position, payload=payload)
        finally:
            write.rollback()

    def _failed(
        self,
        call: ttypes.Execute,
        write: Write,
        record: RequestRecord | None,
        message: str,
    ) -> ttypes.Reply:
        # A reserved request must not run later by a delayed copy of this call.
        position = None
        if record is not None and record.reservation:
            failed = replace(record, state=FAILED, payload=message.encode())
            position = write.commit(failed)
        return self._fail(call, message, position)

    def _execute_in_transaction(
        self,
        call: ttypes.Execute,
        statements: list[Sql],
        writing: list[Sql],
        deadline: float,
    ) -> ttypes.Reply:
        transaction = self._find_transaction(call.transaction_id)
        if transaction.write is None and writing:
            timeout = deadline - time.monotonic()
            transaction.write = self._ledger.open_write(timeout)
        with self._member.slot(deadline):
            if transaction.write is None:
                results, position = self._ledger.read(
                    statements, _position(call.min_position), call.wait_ms / 1000
                )
                return self._reply(call, position, payload=encode_results(results))
            results = transaction.write.run(statements, writing)
        return self._reply(call, payload=encode_results(results))

    # --- transactions

    def _begin(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        if self._transaction is not None:
            raise Refused("transaction_open", self._transaction.transaction_id)
        self._ledger.require(_position(call.min_position), call.wait_ms / 1000)
        self._transaction = OpenTransaction(
            call.transaction_id or self._member.new_transaction_id()
        )
        return self._reply(call)

    def _commit(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        transaction = self._find_transaction(call.transaction_id)
        write = transaction.write
        if write is None and call.recorded:
            write = self._ledger.open_write(self._deadline(0) - time.monotonic())
            transaction.write = write
        try:
            if write is None:
                return self._reply(call)
            known = write.find(call.request_id) if call.recorded else None
            if known is not None:
                return self._repeat(call, known)
            record = None
            if call.recorded:
                record = replace(_new_record(call, ""), payload=b"[]")
            return self._reply(call, write.commit(record), payload=b"[]")
        finally:
            self._end_transaction()

    def _rollback(self, call: ttypes.TransactionCall) -> ttypes.Reply:
        self._find_transaction(call.transaction_id)
        self._end_transaction()
        return self._reply(call)

    def _find_transaction(self, transaction_id: str) -> OpenTransaction:
        transaction = self._transaction
        if transaction is None or transaction.transaction_id != transaction_id:
            raise Refused("unknown_transaction", transaction_id)
        return transaction

    def _end_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.write is not None:
            transaction.write.rollback()

    # --- request ids

    def _reserve(self, call: ttypes.Reserve) -> ttypes.Reply:
        write = self._ledger.open_write(self._deadline(0) - time.monotonic())
        try:
            known = write.find(call.request_id)
            if known is not None:
                if known.digest == call.digest and (
                    known.state == RESERVED and known.reservation == call.reservation
                ):
                    return self._reply(call, (known.term, known.offset))
                return self._repeat(call, known)
            record = replace(_new_record(call, call.reservation), state=RESERVED)
            return self._reply(call, write.commit(record))
        finally:
            write.rollback()

    def _confirm(self, call: ttypes.Query) -> ttypes.Reply:
        position = _position(call.position)
        self._ledger.confirm(position, call.wait_ms / 1000)
        return self._reply(call, position)

    def _lookup(self, call: ttypes.Query) -> ttypes.Reply:
        write = self._ledger.open_write(self._deadline(0) - time.monotonic())
        try:
            known = write.find(call.request_id)
        finally:
            write.rollback()
        if known is None:
            raise Refused("unknown_request", call.request_id)
        return self._repeat(call, known)

    def _repeat(self, call: Any, known: RequestRecord) -> ttypes.Reply:
        if known.digest != call.digest:
            raise Refused("request_id_reused", call.request_id)
        position = (known.term, known.offset)
        if known.state == RESERVED:
            return self._refuse(call, "reserved", known.reservation, position)
        if known.state == FAILED:
            reply = self._fail(call, known.payload.decode(), position)
        else:
            reply = self._reply(call, position, payload=known.payload)
        reply.repeated = True
        return reply

    # --- replies

    def _guard(self, call: Any, function: Any) -> ttypes.Reply:
        if not self._admitted:
            return self._refuse(call, "hello_required", "call hello first")
        try:
            reply: ttypes.Reply = function(call)
        except Refused as refused:
            reply = self._refuse(call, refused.code, refused.message)
        except InvalidStatement as error:
            reply = self._refuse(call, "invalid_statement", str(error))
        except (sqlite3.Error, OverflowError) as error:
            reply = self._fail(call, str(error))
        return reply

    def _ordered(self, call: ttypes.Order, refusal: Refusal | None) -> ttypes.Reply:
        with self._ledger.lock:
            last = self._ledger.state.log.last
        self._member.announce_now()
        if refusal is not None:
            reply = self._refuse(call, refusal.code, refusal.message, last)
        else:
            reply = self._reply(call, last)
        reply.history = dict(self._ledger.state.log.history)
        return reply

    def _refuse(
        self, call: Any, code: str, message: str, position: Position | None = None
    ) -> ttypes.Reply:
        reply = self._reply(call, position)
        reply.status, reply.code, reply.message = REFUSED, code, message
        return reply

    def _fail(
        self, call: Any, message: str, position: Position | None = None
    ) -> ttypes.Reply:
        reply = self._reply(call, position)
        reply.status, reply.code, reply.message = FAILURE, "statement_failed", message
        return reply

    def _reply(
        self,
        call: Any,
        position: Position | None = None,
        payload: bytes = b"",
        history: bool = False,
    ) -> ttypes.Reply:
        ledger = self._ledger
        term, offset = position or ledger.committed.applied
        with ledger.lock:
            state = ledger.state
            role = state.role
            majority = state.majority_offset or state.known_majority
            confirmed_at = state.confirmed_at(now := time.monotonic())
            starts = dict(state.log.history) if history else {}
        ago = -1 if confirmed_at is None else int((now - confirmed_at) * 1000)
        transaction = self._transaction
        return ttypes.Reply(
            correlation_id=call.correlation_id,
            request_id=getattr(call, "request_id", "") or "",
            status=OK,
            code="",
            message="",
            term=term,
            offset=offset,
            majority_offset=majority,
            confirmed_ago_ms=ago,
            payload=payload,
            length=len(payload),
            checksum=zlib.crc32(payload),
            member=self._member.settings.member,
            role=role,
            repeated=False,
            transaction_id=transaction.transaction_id if transaction else "",
            history=starts,
            leaving=self._member.leaving,
        )

    def _deadline(self, deadline_ms: int) -> float:
        span = deadline_ms or self._member.settings.deadline_ms
        return time.monotonic() + span / 1000


def _position(position: ttypes.Position | None) -> Position:
    return (position.term, position.offset) if position is not None else (0, 0)


def _new_record(call: Any, reservation: str) -> RequestRecord:
    return RequestRecord(
        call.request_id,
        call.digest or "",
        reservation,
        DONE,
        b"",
        recorded_at=time.time(),
    )


def _check_reservation(call: ttypes.Execute, known: RequestRecord | None) -> None:
    if known is None:
        if call.reservation:
            raise Refused("not_reserved", call.request_id)
        return
    if known.digest != call.digest:
        raise Refused("request_id_reused", call.request_id)
    if known.reservation != call.reservation:
        raise Refused("reserved", known.reservation)
