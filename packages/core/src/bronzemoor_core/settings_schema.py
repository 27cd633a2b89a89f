"""Schema of a daemon's settings file, checked as a whole before anything starts."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields
from typing import Any

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.settings import (
    ControlSettings,
    DataPathSettings,
    DrainSettings,
    NodeSettings,
)
from bronzemoor_core.validation import (
    DURATION_SCHEMA,
    NAME_SCHEMA,
    find_problems,
    parse_duration,
)


@dataclass(slots=True)
class TlsFiles:
    """PEM files; ``authority`` signs the certificates of all daemons."""

    certificate: str
    key: str
    authority: str = ""


@dataclass(slots=True)
class ListenSettings:
    """Settings of the daemon outside the core; addresses are host:port.

    With an empty ``admin``, operators are served on ``http``; with an empty ``statsd``,
    no metrics are sent. Durations are in seconds.
    """

    http: str = "127.0.0.1:8080"
    peer: str = "127.0.0.1:8090"
    admin: str = ""
    data_folder: str = ""
    statsd: str = ""
    log_level: str = "INFO"
    tls: TlsFiles | None = None
    insecure: bool = False
    # Threads that serve requests; a waiting request occupies one. While all are
    # occupied, threads are added up to ``max_threads``, which exceeds the default
    # queue limit, so that announcements are still accepted.
    threads: int = 16
    max_threads: int = 600
    keep_alive: float = 300.0
    read_timeout: float = 5.0
    backlog: int = 1024
    reuse_port: bool = False
    trace_ratio: float = 0.0
    # Name of a span exporter, or empty.
    trace_exporter: str = ""
    # Bearer token by operator name.
    operators: dict[str, str] = field(default_factory=dict)


ADDRESS_SCHEMA = {
    "type": "string",
    "pattern": r"^[^\s:]+:\d{1,5}$",
    "description": "an address as host:port",
}
RATIO_SCHEMA = {
    "type": "number",
    "minimum": 0,
    "maximum": 1,
    "description": "a number from 0 to 1",
}
KEY_SCHEMA = {
    "type": "string",
    "pattern": "^([0-9a-fA-F]{2}){16,64}$",
    "description": "16 to 64 bytes in hexadecimal",
}
LOOPBACK_PREFIXES = ("127.", "localhost:")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
RATIO_FIELDS = ("share_drift", "trace_ratio")
# Counts that may be 0; all others are at least 1.
ZERO_ALLOWED_FIELDS = ("min_warm", "fallback_reads")


def _field_schema(name: str, kind: Any) -> dict[str, Any]:
    if kind is float:
        return RATIO_SCHEMA if name in RATIO_FIELDS else DURATION_SCHEMA
    if kind is int:
        minimum = 0 if name in ZERO_ALLOWED_FIELDS else 1
        description = f"a whole number >= {minimum}"
        return {"type": "integer", "minimum": minimum, "description": description}
    if kind is bool:
        return {"type": "boolean", "description": "true or false"}
    return {"type": "string", "description": "a string"}


def _mapping(values: dict[str, Any], description: str) -> dict[str, Any]:
    return {
        "type": "object",
        "propertyNames": NAME_SCHEMA,
        "additionalProperties": values,
        "description": description,
    }


def _section(
    cls: Any, overrides: dict[str, Any] | None = None, required: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Returns the schema of a settings class; ``overrides`` replaces some fields."""
    properties = {f.name: _field_schema(f.name, f.type) for f in fields(cls)}
    return {
        "type": "object",
        "description": "a mapping of settings",
        "additionalProperties": False,
        "properties": properties | (overrides or {}),
        "required": list(required),
    }


_NAMES = {"type": "array", "items": NAME_SCHEMA, "description": "a list of names"}
_SECTIONS = {
    "timers": ControlSettings,
    "data_path": DataPathSettings,
    "drain": DrainSettings,
}

SETTINGS_SCHEMA: dict[str, Any] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "Bronzemoor daemon settings",
    "type": "object",
    "description": "a mapping of settings",
    "additionalProperties": False,
    "required": ["node"],
    "properties": {
        "node": _section(
            NodeSettings,
            {
                "name": NAME_SCHEMA,
                "data_centre": NAME_SCHEMA,
                "peers": _mapping(ADDRESS_SCHEMA, "addresses by daemon"),
                "control_members": _NAMES,
                "organisations": _NAMES,
                "token_keys": _mapping(KEY_SCHEMA, "keys by id"),
                "delays": _mapping(DURATION_SCHEMA, "one-way delays by data centre"),
                **{name: _section(cls) for name, cls in _SECTIONS.items()},
            },
            ("name", "data_centre"),
        ),
        "listen": _section(
            ListenSettings,
            {
                "http": ADDRESS_SCHEMA,
                "peer": ADDRESS_SCHEMA,
                "admin": ADDRESS_SCHEMA,
                "statsd": ADDRESS_SCHEMA,
                "log_level": {"enum": list(LOG_LEVELS)},
                "tls": _section(TlsFiles, required=("certificate", "key")),
                "operators": _mapping({"type": "string"}, "tokens by operator"),
            },
        ),
    },
}

Rule = Callable[[NodeSettings, ListenSettings], Iterator[str]]

RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Registers a check across several settings, which yields problems."""
    RULES.append(function)
    return function


@rule
def _check_encryption(node: NodeSettings, listen: ListenSettings) -> Iterator[str]:
    addresses = (listen.http, listen.peer, listen.admin)
    exposed = any(a and not a.startswith(LOOPBACK_PREFIXES) for a in addresses)
    if exposed and listen.tls is None and not listen.insecure:
        yield "listen.tls: missing, allowed on loopback or with listen.insecure: true"
    if listen.tls is not None and listen.insecure:
        yield "listen.insecure: found true together with listen.tls"


@rule
def _check_data_folder(node: NodeSettings, listen: ListenSettings) -> Iterator[str]:
    if node.control and not listen.data_folder:
        yield "listen.data_folder: required when node.control is true"


@rule
def _check_control_members(node: NodeSettings, listen: ListenSettings) -> Iterator[str]:
    for name in node.control_members:
        if name != node.name and name not in node.peers:
            yield f"node.control_members: {name!r} has no address in node.peers"


@rule
def _check_timer_order(node: NodeSettings, listen: ListenSettings) -> Iterator[str]:
    timers = node.timers
    order = (
        ("heartbeat_interval", "election_timeout_min"),
        ("election_timeout_min", "election_timeout_max"),
        ("announcement_interval", "suspicion_timeout"),
        ("suspicion_timeout", "announcement_lease"),
        ("daemon_heartbeat_interval", "stale_after"),
    )
    for smaller, larger in order:
        if getattr(timers, smaller) >= getattr(timers, larger):
            yield f"node.timers.{smaller}: must be less than {larger}"


def parse_settings(body: Any) -> tuple[NodeSettings, ListenSettings]:
    """Returns the settings of a parsed file; raises ``InvalidSettings`` with all
    problems. Rules over several settings are checked once each setting is valid."""
    problems = find_problems(SETTINGS_SCHEMA, body)
    if problems:
        raise InvalidSettings(problems)
    values = dict(body["node"])
    for name, cls in _SECTIONS.items():
        if name in values:
            values[name] = cls(**_convert(cls, values[name]))
    for name in ("control_members", "organisations"):
        values[name] = tuple(values.get(name, ()))
    keys, delays = values.get("token_keys", {}), values.get("delays", {})
    values["token_keys"] = {name: bytes.fromhex(text) for name, text in keys.items()}
    values["delays"] = {name: parse_duration(text) for name, text in delays.items()}
    node = NodeSettings(**values)
    listening = _convert(ListenSettings, body.get("listen", {}))
    if "tls" in listening:
        listening["tls"] = TlsFiles(**listening["tls"])
    listen = ListenSettings(**listening)
    problems = [problem for check in RULES for problem in check(node, listen)]
    if problems:
        raise InvalidSettings(problems)
    return node, listen


def _convert(cls: Any, values: dict[str, Any]) -> dict[str, Any]:
    """Converts the durations among a section's values to seconds."""
    durations = {f.name for f in fields(cls) if f.type is float} - set(RATIO_FIELDS)
    return {
        name: parse_duration(value) if name in durations else value
        for name, value in values.items()
    }
