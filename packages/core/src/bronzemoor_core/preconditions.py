"""Checks of a request before anything is sent for it."""

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

KINDS = ("statements", "begin", "commit", "rollback")
# Used by commit and rollback, which need no class of their own.
TRANSACTION_CLASS = RequestClass("transaction")
# Daemon, its incarnation and a random number; see ``unique_name``.
TRANSACTION_NAME = re.compile(r"[^.]+\.\d+\.[0-9a-f]{16}")


def unique_name(settings: Any, random: Random) -> str:
    """Returns an id for a new transaction or reservation.

    The random part keeps two processes apart even if they share name and incarnation:
    an equal reservation would let both of them execute the request.
    """
    return f"{settings.name}.{settings.incarnation}.{random.getrandbits(64):016x}"


def make_work(
    now: float, ticket: int, request: Request, blackboard: Any, random: Random
) -> Work:
    """Returns the work of a valid request, or raises ``InvalidRequest``."""
    template = blackboard.configuration.templates.get(request.organisation)
    if template is None:
        raise _invalid("unknown_organisation", request.organisation)
    if request.kind not in KINDS:
        raise _invalid("unknown_kind", request.kind)
    if request.database not in template.databases:
        raise _invalid("unknown_database", request.database)
    request_class = _class_of(template, request)
    token = _token(request, blackboard, random)
    transaction = _transaction(request, token, blackboard)
    _check_statements(request, request_class)
    writes = request_class.kind == "write" and request.kind == "statements"
    needs_id = (writes and not request.transaction) or request.kind == "commit"
    if needs_id and not request.request_id:
        raise _invalid("missing_request_id", "a write needs a request id")
    work = Work(now, ticket, request, request_class, token, transaction)
    if work.deadline <= now:
        raise _invalid("deadline", "the deadline has passed")
    if request.kind == "commit" and transaction is None:
        # It may have run before; only the recorded result can tell.
        work.maybe_ran = True
        work.goal = Step.LOOKUP
        work.lookups_left = 1
        work.code = "unknown_transaction"
    return work


def _class_of(template: Template, request: Request) -> RequestClass:
    request_class = template.classes.get(request.request_class)
    if request_class is not None:
        return request_class
    if request.kind in ("commit", "rollback") or request.transaction:
        return TRANSACTION_CLASS
    raise _invalid("unknown_class", request.request_class)


def _token(request: Request, blackboard: Any, random: Random) -> SessionToken:
    if not request.session:
        return SessionToken(request.organisation, f"{random.getrandbits(64):016x}")
    token: SessionToken = blackboard.sessions.ring.verify(
        request.session, request.organisation
    )
    return token


def _transaction(
    request: Request, token: SessionToken, blackboard: Any
) -> Transaction | None:
    if request.kind in ("commit", "rollback") and not request.transaction:
        raise _invalid("unknown_transaction", "no transaction is named")
    if not request.transaction or request.kind == "begin":
        return None
    transactions = blackboard.transactions
    transaction: Transaction | None = transactions.open.get(request.transaction)
    if transaction is None:
        may_have_run = transactions.ended.get(request.transaction, True)
        well_formed = TRANSACTION_NAME.fullmatch(request.transaction)
        if request.kind == "commit" and may_have_run and well_formed:
            return None
        raise _invalid("unknown_transaction", request.transaction)
    owner = (transaction.organisation, transaction.database, transaction.session)
    if owner != (request.organisation, request.database, token.session):
        raise _invalid("unknown_transaction", "it belongs to another session")
    if transaction.ticket:
        raise _invalid("transaction_busy", "one statement at a time")
    return transaction


def _check_statements(request: Request, request_class: RequestClass) -> None:
    if request.kind != "statements":
        return
    if not request.statements:
        raise _invalid("no_statements", "the request holds no statement")
    if request_class.kind == "read" and not all_reads(request.statements):
        raise _invalid("write_in_read_class", "a statement is not provably a read")


def _invalid(code: str, message: str) -> InvalidRequest:
    return InvalidRequest(message, step="validation", code=code)
