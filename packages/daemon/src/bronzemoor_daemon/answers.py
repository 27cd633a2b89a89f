"""Encodes outcomes as HTTP status lines and JSON bodies."""

import json

from bronzemoor_core.actions import Reply
from bronzemoor_core.exceptions import BronzemoorError
from bronzemoor_core.outcomes import Done, NotRun, Unknown

_quote = json.encoder.encode_basestring_ascii

STATUS_OK = b"200 OK"
STATUS_UNKNOWN = b"504 Gateway Timeout"
STATUS_UNAVAILABLE = b"503 Service Unavailable"
STATUS_INVALID = b"400 Bad Request"
STATUS_OVERLOADED = b"429 Too Many Requests"
STATUS_TOO_LARGE = b"413 Content Too Large"
STATUS_NOT_FOUND = b"404 Not Found"
STATUS_NOT_ALLOWED = b"405 Method Not Allowed"
STATUS_CONFLICT = b"409 Conflict"

# Status of a "not run" outcome by code; other codes are temporary conditions (503).
NOT_RUN_STATUS = {
    **dict.fromkeys(
        (
            "invalid_request",
            "invalid_session_token",
            "unknown_organisation",
            "unknown_database",
            "unknown_class",
            "unknown_kind",
            "unknown_transaction",
            "missing_request_id",
            "no_statements",
            "write_in_read_class",
        ),
        STATUS_INVALID,
    ),
    **dict.fromkeys(
        ("queue_full", "retry_budget_exhausted"),
        STATUS_OVERLOADED,
    ),
    "request_id_reused": STATUS_CONFLICT,
    "transaction_busy": STATUS_CONFLICT,
    "transaction_expired": STATUS_CONFLICT,
    "body_too_large": STATUS_TOO_LARGE,
    "not_found": STATUS_NOT_FOUND,
    "method_not_allowed": STATUS_NOT_ALLOWED,
}


def _encode_done(outcome: Done, reply: Reply, trace_id: str) -> tuple[bytes, bytes]:
    payload = outcome.payload or b"null"
    head = b'{"outcome":"done","result":' + payload
    tail = (
        f',"session":{_quote(reply.session)},"code":{_quote(outcome.code)}'
        f',"message":{_quote(outcome.message)},"step":{_quote(outcome.step)}'
        f',"peer":{_quote(outcome.peer)},"served_by":{_quote(reply.served_by)}'
        f',"role":{_quote(outcome.role)},"transaction":{_quote(outcome.transaction)}'
        f',"repeated":{"true" if outcome.repeated else "false"}'
        f',"trace_id":{_quote(trace_id)}}}'
    )
    return STATUS_OK, head + tail.encode()


def _encode_not_done(
    outcome: NotRun | Unknown, reply: Reply, trace_id: str
) -> tuple[bytes, bytes]:
    retry = ""
    if isinstance(outcome, NotRun):
        status = NOT_RUN_STATUS.get(outcome.code, STATUS_UNAVAILABLE)
        retry = f',"retry_after_ms":{int(outcome.retry_after_ms)}'
    else:
        status = STATUS_UNKNOWN
    body = (
        f'{{"outcome":"{outcome.tag}","result":null,"session":{_quote(reply.session)}'
        f',"code":{_quote(outcome.code)},"message":{_quote(outcome.message)}'
        f',"step":{_quote(outcome.step)},"peer":{_quote(outcome.peer)}'
        f',"served_by":{_quote(reply.served_by)},"role":""{retry}'
        f',"trace_id":{_quote(trace_id)}}}'
    )
    return status, body.encode()


def encode_reply(reply: Reply, trace_id: str = "") -> tuple[bytes, bytes]:
    """Returns the status line and the JSON body of a reply.

    The endpoint's payload is already JSON and is inserted without decoding.
    """
    outcome = reply.outcome
    if type(outcome) is Done:
        return _encode_done(outcome, reply, trace_id)
    return _encode_not_done(outcome, reply, trace_id)  # type: ignore[arg-type]


def encode_error(error: BronzemoorError, trace_id: str = "") -> tuple[bytes, bytes]:
    """Returns the status line and body for input rejected before the core."""
    outcome = NotRun(error.code, error.message, error.step or "http", error.peer)
    return encode_reply(Reply(0, outcome), trace_id)
