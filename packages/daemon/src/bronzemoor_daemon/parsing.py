"""Parses the JSON of clients and endpoints into the core's typed requests."""

import json
from collections.abc import Callable
from hashlib import sha256
from typing import Any, NoReturn

from bronzemoor_core.events import Announcement, Request, Statement
from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_daemon.framing import split_address

MAX_STATEMENTS = 1_000
MAX_NAME_LENGTH = 200
MAX_TOKEN_LENGTH = 16_384
MAX_DEADLINE_MS = 60_000

STATEMENT_FIELDS = frozenset(("sql", "params"))
REQUEST_FIELDS = frozenset(
    (
        "organisation",
        "database",
        "request_class",
        "request_id",
        "statements",
        "session",
        "deadline_ms",
        "transaction",
    )
)
_INT64_LIMIT = 2**63


def _raise_invalid(message: str) -> NoReturn:
    raise InvalidRequest(message, step="parse")


def _reject_constant(name: str) -> NoReturn:
    _raise_invalid(f"{name} is not a JSON number")


_decoder = json.JSONDecoder(parse_constant=_reject_constant)
_encode = json.JSONEncoder(
    ensure_ascii=False, separators=(",", ":"), check_circular=False
).encode


def parse_object(body: bytes) -> dict[str, Any]:
    """Decodes a JSON object; raises ``InvalidRequest`` on anything else."""
    try:
        value = _decoder.decode(body.decode())
    except (ValueError, RecursionError) as error:
        _raise_invalid(f"body is not JSON: {error}")
    if type(value) is not dict:
        _raise_invalid("body is not a JSON object")
    return value


def _parse_text(raw: dict[str, Any], name: str, limit: int = MAX_NAME_LENGTH) -> str:
    value = raw.get(name, "")
    if type(value) is not str:
        _raise_invalid(f"{name} is not a string")
    if len(value) > limit:
        _raise_invalid(f"{name} is longer than {limit} characters")
    try:
        value.encode()
    except UnicodeEncodeError:
        _raise_invalid(f"{name} is not valid Unicode")
    return value


def _parse_required_text(raw: dict[str, Any], name: str) -> str:
    return _parse_text(raw, name) or _raise_invalid(f"{name} is missing")


def _parse_statement(raw: Any, encoded_parts: list[bytes]) -> Statement:
    if type(raw) is not dict:
        _raise_invalid("a statement is not an object")
    if not raw.keys() <= STATEMENT_FIELDS:
        _raise_invalid(
            f"unknown fields in a statement: {sorted(raw.keys() - STATEMENT_FIELDS)}"
        )
    sql, params = raw.get("sql"), raw.get("params", [])
    if type(sql) is not str or not sql.strip():
        _raise_invalid("sql is not a non-empty string")
    if type(params) is not list:
        _raise_invalid("params is not a list")
    for value in params:
        kind = type(value)
        if kind is int and not -_INT64_LIMIT <= value < _INT64_LIMIT:
            _raise_invalid("an integer parameter does not fit in 64 bits")
        if kind is list or kind is dict:
            _raise_invalid("a parameter is not a scalar")
    try:
        encoded = _encode(params).encode()
        encoded_parts.append(_encode(sql).encode())
    except UnicodeEncodeError:
        _raise_invalid("a statement is not valid Unicode")
    encoded_parts.append(encoded)
    return Statement(sql, encoded)


def _parse_deadline(raw: dict[str, Any], now: float) -> float:
    """Returns the deadline on the driver's clock, or 0 for the class's default."""
    value = raw.get("deadline_ms")
    if value is None:
        return 0.0
    if type(value) is not int or not 0 < value <= MAX_DEADLINE_MS:
        _raise_invalid(f"deadline_ms is not a whole number from 1 to {MAX_DEADLINE_MS}")
    return now + value / 1000


def parse_request(
    body: bytes,
    kind: str,
    now: float,
    data_centre: str,
    transaction: str = "",
    trace_id: str = "",
) -> Request:
    """Builds a ``Request`` of ``kind``; raises ``InvalidRequest``.

    The digest covers the canonical JSON of all statements; it detects a request id that
    is reused with other statements.
    """
    raw = parse_object(body) if body or kind == "statements" else {}
    if not raw.keys() <= REQUEST_FIELDS:
        _raise_invalid(f"unknown fields: {sorted(raw.keys() - REQUEST_FIELDS)}")
    # A commit or rollback need not name a request class.
    parse_class = (
        _parse_required_text if kind in ("statements", "begin") else _parse_text
    )
    statements: tuple[Statement, ...] = ()
    encoded_parts: list[bytes] = []
    if kind == "statements":
        listed = raw.get("statements")
        if type(listed) is not list or not listed:
            _raise_invalid("statements is not a non-empty list")
        if len(listed) > MAX_STATEMENTS:
            _raise_invalid(f"more than {MAX_STATEMENTS} statements")
        statements = tuple([_parse_statement(item, encoded_parts) for item in listed])
        transaction = _parse_text(raw, "transaction")
    elif "statements" in raw:
        _raise_invalid(f"statements are not allowed in {kind}")
    return Request(
        kind,
        _parse_required_text(raw, "organisation"),
        _parse_required_text(raw, "database"),
        parse_class(raw, "request_class"),
        _parse_text(raw, "request_id"),
        statements,
        _parse_deadline(raw, now),
        _parse_text(raw, "session", MAX_TOKEN_LENGTH),
        transaction,
        sha256(b"[" + b",".join(encoded_parts) + b"]").hexdigest(),
        data_centre,
        trace_id,
    )


def _is_non_negative_int64(value: Any) -> bool:
    return type(value) is int and 0 <= value < _INT64_LIMIT


def _is_text(value: Any) -> bool:
    """Returns whether a value is a string that messages and logs can carry."""
    return type(value) is str and len(value) <= MAX_NAME_LENGTH and value.isprintable()


def _is_name(value: Any) -> bool:
    return _is_text(value) and bool(value)


def _is_name_list(value: Any) -> bool:
    return type(value) is list and all(_is_name(item) for item in value)


def _is_address(value: Any) -> bool:
    if not _is_name(value):
        return False
    try:
        _, port = split_address(value)
    except ValueError:
        return False
    return port > 0


_ANNOUNCEMENT_CHECKS: dict[str, Callable[[Any], bool]] = {
    "database": _is_name,
    "member": _is_name,
    "address": _is_address,
    "data_centre": _is_text,
    "role": _is_text,
    "term": _is_non_negative_int64,
    "offset": _is_non_negative_int64,
    "incarnation": _is_non_negative_int64,
    "members": _is_name_list,
    "leaving": lambda value: type(value) is bool,
    "slots": _is_non_negative_int64,
    "connections": _is_non_negative_int64,
    "history": lambda value: type(value) is dict,
    "unreachable": _is_name_list,
}
_OPTIONAL_ANNOUNCEMENT_FIELDS = {
    "leaving",
    "slots",
    "connections",
    "history",
    "unreachable",
}


def parse_announcement(body: bytes) -> Announcement:
    """Builds an ``Announcement``; raises ``InvalidRequest``.

    The keys of ``history`` are terms as strings, since JSON has no other keys.
    """
    raw = parse_object(body)
    if unknown := raw.keys() - _ANNOUNCEMENT_CHECKS.keys():
        _raise_invalid(f"unknown fields: {sorted(unknown)}")
    if (
        missing := _ANNOUNCEMENT_CHECKS.keys()
        - _OPTIONAL_ANNOUNCEMENT_FIELDS
        - raw.keys()
    ):
        _raise_invalid(f"missing fields: {sorted(missing)}")
    for name, value in raw.items():
        if not _ANNOUNCEMENT_CHECKS[name](value):
            _raise_invalid(f"{name} has a wrong type or value")
    values = dict(raw)
    for name in ("members", "unreachable"):
        if name in values:
            values[name] = tuple(values[name])
    try:
        history = {int(key): value for key, value in raw.get("history", {}).items()}
    except ValueError:
        _raise_invalid("a key of history is not a term")
    if not all(
        _is_non_negative_int64(key) and _is_non_negative_int64(value)
        for key, value in history.items()
    ):
        _raise_invalid("history has a key or value that is not a whole number")
    values["history"] = history
    return Announcement(**values)
