"""Validates operators' input against a JSON schema and reports all problems."""

import re
from collections.abc import Iterable, Iterator
from difflib import get_close_matches
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from jsonschema.exceptions import ValidationError

UNIT_SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
DURATION_PATTERN = r"^\d+(\.\d+)?(us|ms|s|m|h)$"
DURATION_SCHEMA: dict[str, Any] = {
    "type": "string",
    "pattern": DURATION_PATTERN,
    "description": "a duration with its unit, such as 250ms, 2s or 1m",
}
NAME_SCHEMA: dict[str, Any] = {
    "type": "string",
    # Python's $ also matches before a final newline, which the lookahead excludes.
    "pattern": r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$(?!\n)",
    "description": "a name of 1 to 63 letters, digits, '-', '_' or '.'",
}


def parse_duration(text: str) -> float:
    """Converts a duration such as ``250ms`` to seconds."""
    match = re.match(r"^(\d+(?:\.\d+)?)(us|ms|s|m|h)$", text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration such as 250ms, 2s or 1m")
    return float(match[1]) * UNIT_SECONDS[match[2]]


def find_problems(schema: dict[str, Any], body: Any) -> list[str]:
    """Returns a line for each problem: path, value found and what is allowed."""
    # Imported on first use: the import takes a fifth of a control daemon's start-up.
    from jsonschema import Draft202012Validator

    errors = Draft202012Validator(schema).iter_errors(body)
    ordered = sorted(errors, key=lambda error: [str(part) for part in error.path])
    return [line for error in ordered for line in _describe(error)]


def suggest(name: str, allowed: Iterable[str]) -> str:
    """Returns a suggestion such as ``; did you mean 'max_age'?``, or nothing."""
    close = get_close_matches(name, list(allowed), n=1, cutoff=0.6)
    return f"; did you mean {close[0]!r}?" if close else ""


def _describe(error: "ValidationError") -> Iterator[str]:
    instance: Any = error.instance
    path = ".".join(str(part) for part in error.absolute_path) or "(top level)"
    found = _abbreviate(instance)
    rule: Any = error.validator_value
    schema: Any = error.schema
    if error.validator == "additionalProperties":
        known = sorted(schema.get("properties", {}))
        for key in sorted(set(map(str, instance)) - set(known)):
            names = ", ".join(known)
            yield f"{path}: unknown key {key!r}{suggest(key, known)} (allowed: {names})"
    elif error.validator == "required":
        for key in rule:
            if key not in instance:
                yield f"{path}: required key {key!r} is missing"
    elif error.validator == "enum":
        names = ", ".join(map(str, rule))
        hint = suggest(str(instance), map(str, rule))
        yield f"{path}: found {found}, allowed: {names}{hint}"
    elif error.validator in ("type", "pattern"):
        allowed = schema.get("description", rule)
        yield f"{path}: found {found}, allowed: {allowed}"
    elif error.validator in ("minimum", "exclusiveMinimum", "maximum", "minItems"):
        yield f"{path}: found {found}, allowed: {_bounds(schema)}"
    else:
        yield f"{path}: {error.message}"


def _bounds(schema: dict[str, Any]) -> str:
    words = {
        "minimum": ">=",
        "exclusiveMinimum": ">",
        "maximum": "<=",
        "minItems": "items >=",
    }
    return " and ".join(f"{words[k]} {schema[k]}" for k in words if k in schema)


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
