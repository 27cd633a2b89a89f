"""Decodes and classifies SQL statements, and encodes their results."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

# A literal or a comment, whichever starts first.
_LITERAL_OR_COMMENT = re.compile(r"'(?:[^']|'')*'|--[^\n]*|/\*.*?\*/", re.DOTALL)
_READ_KEYWORDS = frozenset({"SELECT", "VALUES", "EXPLAIN"})
# These would affect the transaction or connection, which the member manages.
_FORBIDDEN_KEYWORDS = frozenset(
    ["BEGIN", "COMMIT", "END", "ROLLBACK", "SAVEPOINT", "RELEASE"]
    + ["ATTACH", "DETACH", "PRAGMA", "VACUUM"]
)
_WRITE_KEYWORD = re.compile(r"\b(INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)
# Replicas run the same statements, which must have the same effect on each of them.
_NOT_DETERMINISTIC = re.compile(
    r"\b(random|randomblob|changes|total_changes|last_insert_rowid)\s*\("
    r"|\bcurrent_(time|date|timestamp)\b"
    r"|\b(date|time|datetime|julianday|unixepoch|strftime)\s*\((\s*\)|[^)]*'now')",
    re.IGNORECASE,
)


class InvalidStatement(Exception):
    """The statement is not allowed or cannot be decoded; nothing ran."""


@dataclass(slots=True, frozen=True)
class Sql:
    """One decoded statement."""

    text: str
    params: list[Any]


@lru_cache(maxsize=4096)
def is_write(text: str) -> bool:
    """Returns whether ``text`` may change data; raises ``InvalidStatement``."""
    code = _LITERAL_OR_COMMENT.sub(_blank, text).strip().lstrip("(")
    words = code.split(None, 1)
    first = words[0].upper().rstrip(";") if words else ""
    if not first or first in _FORBIDDEN_KEYWORDS:
        raise InvalidStatement(f"statement not allowed: {first or 'empty'}")
    if first in _READ_KEYWORDS:
        return False
    if first == "WITH" and not _WRITE_KEYWORD.search(code):
        return False
    if "request_records" in code.lower():
        raise InvalidStatement("request_records is written by the member only")
    if _NOT_DETERMINISTIC.search(code):
        raise InvalidStatement("a write must not use a non-deterministic function")
    return True


def _blank(match: re.Match[str]) -> str:
    text = match.group()
    if not text.startswith("'"):
        return " "
    return text if text.lower() == "'now'" else "''"


def decode(statements: Iterable[Any]) -> list[Sql]:
    """Decodes the statements of a call; raises ``InvalidStatement``."""
    decoded = []
    for statement in statements:
        try:
            params = json.loads(statement.params) if statement.params else []
        except ValueError as error:
            raise InvalidStatement(f"params are not JSON: {error}") from None
        if not isinstance(params, list):
            raise InvalidStatement("params must be a JSON array")
        decoded.append(Sql(statement.sql, params))
    return decoded


def encode_results(results: list[dict[str, Any]]) -> bytes:
    """Encodes results as the payload of a reply; BLOB values become hex strings."""
    return json.dumps(results, separators=(",", ":"), default=_encode_blob).encode()


def _encode_blob(value: Any) -> str:
    if isinstance(value, bytes):
        return value.hex()
    raise TypeError(f"{type(value).__name__} cannot be encoded")
