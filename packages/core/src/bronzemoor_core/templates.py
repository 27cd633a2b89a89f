"""Templates, the settings that operators make for one organisation."""

from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.validation import (
    DURATION_SCHEMA,
    NAME_SCHEMA,
    find_problems,
    parse_duration,
)

# Limit for an organisation whose template sets none.
DEFAULT_CONNECTIONS = 20


@dataclass(slots=True)
class RequestClass:
    """Settings of the requests of one class. Durations are in seconds.

    ``max_age`` is the highest data age that a read accepts; with None, only the
    session's own writes bound it. A smaller ``priority`` is served first.
    """

    name: str
    kind: str = "write"  # read or write
    max_age: float | None = None
    repeatable: bool = True
    priority: int = 5
    deadline: float = 2.0
    queue_limit: int = 128


@dataclass(slots=True)
class Template:
    """One organisation's template; ``connections`` limits all databases together."""

    organisation: str
    version: int = 0
    databases: tuple[str, ...] = ()
    connections: int = DEFAULT_CONNECTIONS
    retry_ratio: float = 0.1
    classes: dict[str, RequestClass] = field(default_factory=dict)
    # When a write is acknowledged; a majority of the members must hold it.
    acknowledgement: str = "majority"


CLASS_SCHEMA: dict[str, Any] = {
    "type": "object",
    "description": "a request class: a mapping of settings",
    "additionalProperties": False,
    "required": ["kind"],
    "properties": {
        "kind": {"enum": ["read", "write"]},
        "max_age": {
            **DURATION_SCHEMA,
            "description": "a duration such as 250ms, 2s or 1m; only for reads",
        },
        "repeatable": {"type": "boolean", "description": "true or false"},
        "priority": {
            "type": "integer",
            "minimum": 0,
            "maximum": 9,
            "description": "0 (served first) to 9",
        },
        "deadline": DURATION_SCHEMA,
        "queue_limit": {
            "type": "integer",
            "minimum": 1,
            "maximum": 100_000,
            "description": "1 to 100000 waiting requests",
        },
    },
}

# JSON schema of a template's body, also for validation in editors.
TEMPLATE_SCHEMA: dict[str, Any] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "Bronzemoor template",
    "type": "object",
    "description": "a mapping of settings",
    "additionalProperties": False,
    "required": ["databases", "classes"],
    "properties": {
        "databases": {
            "type": "array",
            "minItems": 1,
            "uniqueItems": True,
            "items": NAME_SCHEMA,
            "description": "a list of database names",
        },
        "connections": {
            "type": "integer",
            "minimum": 1,
            "maximum": 100_000,
            "description": "1 to 100000 connections over all databases",
        },
        "retry_ratio": {
            "type": "number",
            "minimum": 0,
            "maximum": 1,
            "description": "retries per request, 0 to 1",
        },
        "acknowledgement": {"enum": ["majority"]},
        "classes": {
            "type": "object",
            "minProperties": 1,
            "propertyNames": NAME_SCHEMA,
            "additionalProperties": CLASS_SCHEMA,
            "description": "request classes by name",
        },
    },
}


def template_problems(organisation: str, body: Any) -> list[str]:
    """Returns every problem of a template's body, one line each."""
    problems = [
        f"organisation: {line.removeprefix('(top level): ')}"
        for line in find_problems(NAME_SCHEMA, organisation)
    ]
    problems += find_problems(TEMPLATE_SCHEMA, body)
    classes = body.get("classes") if isinstance(body, dict) else None
    for name, settings in (classes if isinstance(classes, dict) else {}).items():
        if not isinstance(settings, dict):
            continue
        if settings.get("kind") == "write" and "max_age" in settings:
            problems.append(
                f"classes.{name}.max_age: found on a write, allowed: only for reads"
            )
        if settings.get("deadline") in ("0s", "0ms", "0m", "0us", "0h"):
            problems.append(f"classes.{name}.deadline: found 0, allowed: > 0")
    return problems


def parse_template(organisation: str, body: Any, version: int) -> Template:
    """Returns the template of a body; raises ``InvalidSettings`` with all problems."""
    problems = template_problems(organisation, body)
    if problems:
        raise InvalidSettings(problems, step="template")
    return Template(
        organisation=organisation,
        version=version,
        databases=tuple(body["databases"]),
        classes={
            name: _request_class(name, settings)
            for name, settings in body["classes"].items()
        },
        **{
            key: body[key]
            for key in ("connections", "retry_ratio", "acknowledgement")
            if key in body
        },
    )


def diff_templates(old: Any, new: Any) -> list[str]:
    """Returns the changes between two bodies as lines ``path: old -> new``."""
    before, after = dict(_flatten(old)), dict(_flatten(new))
    return [
        f"{path}: {before.get(path, '(unset)')} -> {after.get(path, '(unset)')}"
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def _request_class(name: str, settings: dict[str, Any]) -> RequestClass:
    values = dict(settings)
    for key in ("max_age", "deadline"):
        if key in values:
            values[key] = parse_duration(values[key])
    return RequestClass(name, **values)


def _flatten(value: Any, path: str = "") -> list[tuple[str, Any]]:
    if not isinstance(value, dict):
        return [(path, value)]
    return [
        leaf
        for key, child in value.items()
        for leaf in _flatten(child, f"{path}.{key}" if path else str(key))
    ]
