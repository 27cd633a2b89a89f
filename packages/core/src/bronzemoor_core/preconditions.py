"""Validation of a request before any call is sent for it."""

import re
from random import Random
from typing import Any

from bronzemoor_core.events import Request
from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_core.sessions import SessionToken
from bronzemoor_core.statements import all_reads
from bronzemoor_core.templates import RequestClass, Template
from bronzemoor_core.transactions import Transaction
from bronzemoor_core.work import Step, Work

REQUEST_KINDS = ("statements", "begin", "commit", "rollback")
# Applies to commit and rollback, which need not name a class.
TRANSACTION_CLASS = RequestClass("transaction")
# Daemon, its incarnation and a random number; see ``make_unique_id``.
TRANSACTION_ID_PATTERN = re.compile(r"[^.]+\.\d+\.[0-9a-f]{16}")


def make_unique_id(settings: Any, random: Random) -> str:
    """Returns an id for a new transaction or reservation.

    The random part distinguishes processes that share a name and an incarnation: with
    equal reservations, both of them could execute the request.
    """
    return f"{settings.name}.{settings.incarnation}.{random.getrandbits(64):016x}"


def make_work(
    now: float, ticket: int, request: Request, blackboard: Any, random: Random
) -> Work:
    """Returns the state of a valid request, or raises ``InvalidRequest``."""
    template = blackboard.configuration.templates.get(request.organisation)
    if template is None:
        raise _invalid_request("unknown_organisation", request.organisation)
    if request.kind not in REQUEST_KINDS:
        raise _invalid_request("unknown_kind", request.kind)
    if request.database not in template.databases:
        raise _invalid_request("unknown_database", request.database)
    request_class = _find_class(template, request)
    token = _session_token(request, blackboard, random)
    transaction = _find_transaction(request, token, blackboard)
    _check_statements(request, request_class)
    writes = request_class.kind == "write" and request.kind == "statements"
    needs_id = (writes and not request.transaction) or request.kind == "commit"
    if needs_id and not request.request_id:
        raise _invalid_request("missing_request_id", "a write needs a request id")
    work = Work(now, ticket, request, request_class, token, transaction)
    if work.deadline <= now:
        raise _invalid_request("deadline", "the deadline has passed")
    if request.kind == "commit" and transaction is None:
        # The commit may have run before; only the recorded result can tell.
        work.maybe_ran = True
        work.next_step = Step.LOOKUP
        work.lookups_left = 1
        work.code = "unknown_transaction"
    return work


def _find_class(template: Template, request: Request) -> RequestClass:
    request_class = template.classes.get(request.request_class)
    if request_class is not None:
        return request_class
    if request.kind in ("commit", "rollback") or request.transaction:
        return TRANSACTION_CLASS
    raise _invalid_request("unknown_class", request.request_class)


def _session_token(request: Request, blackboard: Any, random: Random) -> SessionToken:
    if not request.session:
        return SessionToken(request.organisation, f"{random.getrandbits(64):016x}")
    token: SessionToken = blackboard.sessions.key_ring.verify(
        request.session, request.organisation
    )
    return token


def _find_transaction(
    request: Request, token: SessionToken, blackboard: Any
) -> Transaction | None:
    if request.kind in ("commit", "rollback") and not request.transaction:
        raise _invalid_request("unknown_transaction", "the transaction id is missing")
    if not request.transaction or request.kind == "begin":
        return None
    transactions = blackboard.transactions
    transaction: Transaction | None = transactions.open.get(request.transaction)
    if transaction is None:
        may_have_run = transactions.ended.get(request.transaction, True)
        well_formed = TRANSACTION_ID_PATTERN.fullmatch(request.transaction)
        if request.kind == "commit" and may_have_run and well_formed:
            return None
        raise _invalid_request("unknown_transaction", request.transaction)
    owner = (transaction.organisation, transaction.database, transaction.session)
    if owner != (request.organisation, request.database, token.session):
        raise _invalid_request("unknown_transaction", "it belongs to another session")
    if transaction.ticket:
        raise _invalid_request(
            "transaction_busy", "another request uses the transaction"
        )
    return transaction


def _check_statements(request: Request, request_class: RequestClass) -> None:
    if request.kind != "statements":
        return
    if not request.statements:
        raise _invalid_request("no_statements", "the request contains no statement")
    if request_class.kind == "read" and not all_reads(request.statements):
        raise _invalid_request(
            "write_in_read_class", "a statement is not provably a read"
        )


def _invalid_request(code: str, message: str) -> InvalidRequest:
    return InvalidRequest(message, step="validation", code=code)
