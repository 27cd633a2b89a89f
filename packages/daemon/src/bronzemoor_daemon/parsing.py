"""Turns the JSON of clients and endpoints into the core's typed requests."""

import json
from collections.abc import Callable
from hashlib import sha256
from typing import Any, NoReturn

from bronzemoor_core.events import Announcement, Request, Statement
from bronzemoor_core.exceptions import InvalidRequest

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
_INT64 = 2**63


def _invalid(message: str) -> NoReturn:
    raise InvalidRequest(message, step="parse")


def _reject_constant(name: str) -> NoReturn:
    _invalid(f"{name} is no JSON number")


_decoder = json.JSONDecoder(parse_constant=_reject_constant)
_encode = json.JSONEncoder(
    ensure_ascii=False, separators=(",", ":"), check_circular=False
).encode


def parse_object(body: bytes) -> dict[str, Any]:
    """Decodes a JSON object; raises ``InvalidRequest`` on anything else."""
    try:
        value = _decoder.decode(body.decode())
    except (ValueError, RecursionError) as error:
        _invalid(f"body is not JSON: {error}")
    if type(value) is not dict:
        _invalid("body is not a JSON object")
    return value


def _text(raw: dict[str, Any], name: str, limit: int = MAX_NAME_LENGTH) -> str:
    value = raw.get(name, "")
    if type(value) is not str:
        _invalid(f"{name} is not a string")
    if len(value) > limit:
        _invalid(f"{name} is longer than {limit} characters")
    try:
        value.encode()
    except UnicodeEncodeError:
        _invalid(f"{name} is not valid Unicode")
    return value


def _required(raw: dict[str, Any], name: str) -> str:
    return _text(raw, name) or _invalid(f"{name} is missing")


def _statement(raw: Any, parts: list[bytes]) -> Statement:
    if type(raw) is not dict:
        _invalid("a statement is not an object")
    if not raw.keys() <= STATEMENT_FIELDS:
        _invalid(
            f"unknown fields in a statement: {sorted(raw.keys() - STATEMENT_FIELDS)}"
        )
    sql, params = raw.get("sql"), raw.get("params", [])
    if type(sql) is not str or not sql.strip():
        _invalid("sql is not a non-empty string")
    if type(params) is not list:
        _invalid("params is not a list")
    for value in params:
        kind = type(value)
        if kind is int and not -_INT64 <= value < _INT64:
            _invalid("an integer parameter does not fit 64 bits")
        if kind is list or kind is dict:
            _invalid("a parameter is not a scalar")
    try:
        encoded = _encode(params).encode()
        parts.append(_encode(sql).encode())
    except UnicodeEncodeError:
        _invalid("a statement is not valid Unicode")
    parts.append(encoded)
    return Statement(sql, encoded)


def _deadline(raw: dict[str, Any], now: float) -> float:
    """Deadline on the driver's clock, or 0 for that of the request class."""
    value = raw.get("deadline_ms")
    if value is None:
        return 0.0
    if type(value) is not int or not 0 < value <= MAX_DEADLINE_MS:
        _invalid(f"deadline_ms is not a whole number from 1 to {MAX_DEADLINE_MS}")
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

    The digest covers the canonical JSON of all statements, so that the same request id
    with other statements can be told apart.
    """
    raw = parse_object(body) if body or kind == "statements" else {}
    if not raw.keys() <= REQUEST_FIELDS:
        _invalid(f"unknown fields: {sorted(raw.keys() - REQUEST_FIELDS)}")
    # A commit or rollback needs no class of its own.
    class_of = _required if kind in ("statements", "begin") else _text
    statements: tuple[Statement, ...] = ()
    parts: list[bytes] = []
    if kind == "statements":
        listed = raw.get("statements")
        if type(listed) is not list or not listed:
            _invalid("statements is not a non-empty list")
        if len(listed) > MAX_STATEMENTS:
            _invalid(f"more than {MAX_STATEMENTS} statements")
        statements = tuple([_statement(item, parts) for item in listed])
        transaction = _text(raw, "transaction")
    elif "statements" in raw:
        _invalid(f"statements do not belong in {kind}")
    return Request(
        kind,
        _required(raw, "organisation"),
        _required(raw, "database"),
        class_of(raw, "request_class"),
        _text(raw, "request_id"),
        statements,
        _deadline(raw, now),
        _text(raw, "session", MAX_TOKEN_LENGTH),
        transaction,
        sha256(b"[" + b",".join(parts) + b"]").hexdigest(),
        data_centre,
        trace_id,
    )


def _whole(value: Any) -> bool:
    return type(value) is int and 0 <= value < _INT64


def _names(value: Any) -> bool:
    return type(value) is list and all(type(item) is str for item in value)


_ANNOUNCEMENT_CHECKS: dict[str, Callable[[Any], bool]] = {
    "database": lambda value: type(value) is str and bool(value),
    "member": lambda value: type(value) is str and bool(value),
    "address": lambda value: type(value) is str and ":" in value,
    "data_centre": lambda value: type(value) is str,
    "role": lambda value: type(value) is str,
    "term": _whole,
    "offset": _whole,
    "incarnation": _whole,
    "members": _names,
    "leaving": lambda value: type(value) is bool,
    "slots": _whole,
    "connections": _whole,
    "history": lambda value: type(value) is dict,
    "unreachable": _names,
}
_OPTIONAL = {"leaving", "slots", "connections", "history", "unreachable"}


def parse_announcement(body: bytes) -> Announcement:
    """Builds an ``Announcement``; raises ``InvalidRequest``.

    ``history`` is an object whose keys are terms, because JSON has only string keys.
    """
    raw = parse_object(body)
    if unknown := raw.keys() - _ANNOUNCEMENT_CHECKS.keys():
        _invalid(f"unknown fields: {sorted(unknown)}")
    if missing := _ANNOUNCEMENT_CHECKS.keys() - _OPTIONAL - raw.keys():
        _invalid(f"missing fields: {sorted(missing)}")
    for name, value in raw.items():
        if not _ANNOUNCEMENT_CHECKS[name](value):
            _invalid(f"{name} has a wrong type or value")
    values = dict(raw)
    for name in ("members", "unreachable"):
        if name in values:
            values[name] = tuple(values[name])
    try:
        history = {int(key): value for key, value in raw.get("history", {}).items()}
    except ValueError:
        _invalid("a key of history is no term")
    if not all(_whole(key) and _whole(value) for key, value in history.items()):
        _invalid("history holds no whole numbers")
    values["history"] = history
    return Announcement(**values)
