"""Executes statements, transactions and recorded requests of one connection."""

import threading
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from typing import Any

from bronzemoor_standin.database import (
    DATABASE_ERRORS,
    DONE,
    FAILED,
    RESERVED,
    RequestRecord,
)
from bronzemoor_standin.gen.endpoint import ttypes
from bronzemoor_standin.ledger import Ledger, Position, Refused
from bronzemoor_standin.statements import Sql, decode, encode_results, is_write
from bronzemoor_standin.writes import Write

# Time that a lookup waits for a majority when the call sets no limit.
DEFAULT_LOOKUP_WAIT_MS = 250


class StatementFailed(Exception):
    """Statements failed and were rolled back; ``position`` if this is recorded."""

    def __init__(
        self, message: str, position: Position | None = None, repeated: bool = False
    ) -> None:
        super().__init__(message)
        self.position = position
        self.repeated = repeated


@dataclass(slots=True)
class Result:
    """Result of a successful call; without a position, the applied one counts."""

    position: Position | None = None
    payload: bytes = b""
    repeated: bool = False


@dataclass(slots=True)
class OpenTransaction:
    """The open transaction of a connection; ``write`` is set by its first write."""

    transaction_id: str
    write: Write | None = None


class RequestsInProgress:
    """Ids of the requests that a member is executing, with their number of calls."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._counts

    @contextmanager
    def track(self, request_id: str) -> Iterator[None]:
        if not request_id:
            yield
            return
        with self._lock:
            self._counts[request_id] = self._counts.get(request_id, 0) + 1
        try:
            yield
        finally:
            with self._lock:
                self._counts[request_id] -= 1
                if not self._counts[request_id]:
                    del self._counts[request_id]


class Execution:
    """Executes the calls of one connection, which has at most one open transaction.

    Calls raise ``Refused``, ``InvalidStatement``, ``StatementFailed`` or one of
    ``DATABASE_ERRORS``. ``slot(deadline)`` occupies a statement slot of the member.
    """

    def __init__(
        self,
        ledger: Ledger,
        slot: Callable[[float], AbstractContextManager[None]],
        in_progress: RequestsInProgress,
        deadline_ms: float,
        max_payload: int,
    ) -> None:
        self._ledger = ledger
        self._slot = slot
        self._in_progress = in_progress
        self._deadline_ms = deadline_ms
        self._max_payload = max_payload
        self.transaction: OpenTransaction | None = None

    # --- statements

    def execute(self, call: ttypes.Execute) -> Result:
        deadline = self._deadline(call.deadline_ms)
        statements = decode(call.statements)
        write_statements = [s for s in statements if is_write(s.text)]
        if call.read_only and write_statements:
            raise Refused("read_only", "a writing statement in a read-only call")
        if call.transaction_id:
            return self._execute_in_transaction(
                call, statements, write_statements, deadline
            )
        if write_statements or call.recorded or call.reservation:
            with self._in_progress.track(call.request_id):
                return self._execute_write(call, statements, write_statements, deadline)
        return self._execute_read(call, statements, deadline)

    def _execute_read(
        self, call: ttypes.Execute, statements: list[Sql], deadline: float
    ) -> Result:
        with self._slot(deadline):
            results, position = self._ledger.read(
                statements, position_of(call.min_position), call.wait_ms / 1000
            )
        return Result(position, self._encode(results))

    def _execute_write(
        self,
        call: ttypes.Execute,
        statements: list[Sql],
        write_statements: list[Sql],
        deadline: float,
    ) -> Result:
        self._ledger.wait_for_position(
            position_of(call.min_position), call.wait_ms / 1000
        )
        write = self._ledger.open_write(deadline - time.monotonic())
        try:
            known = write.find(call.request_id) if call.request_id else None
            if known is not None and known.state != RESERVED:
                return self._recorded_result(call, known)
            _check_reservation(call, known)
            with self._slot(deadline):
                return self._run_once(call, write, statements, write_statements)
        finally:
            write.rollback()

    def _run_once(
        self,
        call: ttypes.Execute,
        write: Write,
        statements: list[Sql],
        write_statements: list[Sql],
    ) -> Result:
        result = Result()
        reservation = call.reservation or ""

        def make_record(results: list[dict[str, Any]]) -> RequestRecord | None:
            result.payload = self._encode(results)
            if not (call.recorded or reservation):
                return None
            return _new_record(call, reservation, DONE, result.payload)

        try:
            result.position = write.run_once(statements, write_statements, make_record)
        except DATABASE_ERRORS as error:
            message = str(error)
            if not reservation:
                raise StatementFailed(message) from error
            # A delayed copy of this call must not run later.
            failed = _new_record(call, reservation, FAILED, message.encode())
            raise StatementFailed(message, write.commit(failed)) from error
        return result

    def _execute_in_transaction(
        self,
        call: ttypes.Execute,
        statements: list[Sql],
        write_statements: list[Sql],
        deadline: float,
    ) -> Result:
        transaction = self._find_transaction(call.transaction_id)
        if transaction.write is None and write_statements:
            # The lock is taken before the slot since its holder needs a slot to finish.
            timeout = deadline - time.monotonic()
            transaction.write = self._ledger.open_write(timeout)
        if transaction.write is None:
            return self._execute_read(call, statements, deadline)
        with self._slot(deadline):
            return Result(
                payload=self._encode(
                    transaction.write.run(statements, write_statements)
                )
            )

    def _encode(self, results: list[dict[str, Any]]) -> bytes:
        payload = encode_results(results)
        if len(payload) > self._max_payload:
            raise ValueError(f"the result exceeds {self._max_payload} bytes")
        return payload

    # --- transactions

    def begin(self, call: ttypes.TransactionCall) -> Result:
        if self.transaction is not None:
            raise Refused("transaction_open", self.transaction.transaction_id)
        self._ledger.wait_for_position(
            position_of(call.min_position), call.wait_ms / 1000
        )
        self.transaction = OpenTransaction(call.transaction_id or uuid.uuid4().hex)
        return Result()

    def commit(self, call: ttypes.TransactionCall) -> Result:
        """Commits, or rolls back and returns the result recorded for the request id."""
        transaction = self._find_transaction(call.transaction_id)
        try:
            with self._in_progress.track(call.request_id):
                if transaction.write is None and call.recorded:
                    timeout = self._deadline(0) - time.monotonic()
                    transaction.write = self._ledger.open_write(timeout)
                if transaction.write is None:
                    return Result(payload=b"[]")
                return self._commit(call, transaction.write)
        finally:
            self.end_transaction()

    def _commit(self, call: ttypes.TransactionCall, write: Write) -> Result:
        record = None
        if call.recorded:
            known = write.find(call.request_id)
            if known is not None:
                return self._recorded_result(call, known)
            record = _new_record(call, "", DONE, b"[]")
        return Result(write.commit(record), b"[]")

    def rollback(self, call: ttypes.TransactionCall) -> Result:
        self._find_transaction(call.transaction_id)
        self.end_transaction()
        return Result()

    def end_transaction(self) -> None:
        """Rolls back the open transaction, if any."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None and transaction.write is not None:
            transaction.write.rollback()

    def _find_transaction(self, transaction_id: str) -> OpenTransaction:
        transaction = self.transaction
        if transaction is None or transaction.transaction_id != transaction_id:
            raise Refused("unknown_transaction", transaction_id)
        if transaction.write is not None and not transaction.write.open:
            self.end_transaction()
            raise Refused("unknown_transaction", "rolled back by an error")
        return transaction

    # --- request ids

    def reserve(self, call: ttypes.Reserve) -> Result:
        with self._in_progress.track(call.request_id):
            write = self._ledger.open_write(self._deadline(0) - time.monotonic())
            try:
                known = write.find(call.request_id)
                if known is None:
                    record = _new_record(call, call.reservation, RESERVED)
                    return Result(write.commit(record))
            finally:
                write.rollback()
        same_holder = known.reservation == call.reservation
        if known.state == RESERVED and known.digest == call.digest and same_holder:
            return Result(self._ledger.position_in_current_term(known.offset))
        return self._recorded_result(call, known)

    def lookup(self, call: ttypes.Query) -> Result:
        """Returns a recorded result; ``unknown_request`` needs a confirmed primary."""
        # Checked in this order to find a request that ends between the two checks.
        running = call.request_id in self._in_progress
        known = self._ledger.find(call.request_id)
        if known is not None and not (running and known.state == RESERVED):
            return self._recorded_result(call, known)
        if running:
            raise Refused("in_progress", call.request_id)
        self._ledger.confirm_term((call.wait_ms or DEFAULT_LOOKUP_WAIT_MS) / 1000)
        raise Refused("unknown_request", call.request_id)

    def _recorded_result(self, call: Any, known: RequestRecord) -> Result:
        """Returns a recorded success; raises for any other state or another digest."""
        if known.digest != (call.digest or ""):
            raise Refused("request_id_reused", call.request_id)
        if known.state == RESERVED:
            raise Refused("reserved", known.reservation)
        position = self._ledger.position_in_current_term(known.offset)
        if known.state == FAILED:
            raise StatementFailed(known.payload.decode(), position, repeated=True)
        return Result(position, known.payload, repeated=True)

    def _deadline(self, deadline_ms: int) -> float:
        return time.monotonic() + (deadline_ms or self._deadline_ms) / 1000


def position_of(position: ttypes.Position | None) -> Position:
    """Converts an optional position to (term, offset); (0, 0) if it is missing."""
    return (position.term, position.offset) if position is not None else (0, 0)


def _new_record(
    call: Any, reservation: str, state: str, payload: bytes = b""
) -> RequestRecord:
    if not call.request_id:
        raise Refused("request_id_missing", "a recorded request needs an id")
    return RequestRecord(
        call.request_id,
        call.digest or "",
        reservation,
        state,
        payload,
        recorded_at=time.time(),
    )


def _check_reservation(call: ttypes.Execute, known: RequestRecord | None) -> None:
    if known is None:
        if call.reservation:
            raise Refused("not_reserved", call.request_id)
        return
    if known.digest != (call.digest or ""):
        raise Refused("request_id_reused", call.request_id)
    if known.reservation != call.reservation:
        raise Refused("reserved", known.reservation)
