"""Settings of one member, read from YAML."""

from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import yaml


class InvalidSettings(Exception):
    """The settings file has unknown names or values of the wrong type."""


@dataclass(slots=True)
class MemberSettings:
    """Settings of one member; times are in milliseconds."""

    database: str
    member: str
    data_centre: str = ""
    host: str = "127.0.0.1"
    # 0 lets the system choose a free port.
    port: int = 0
    # host:port of every member of the group by name, this one included.
    members: dict[str, str] = field(default_factory=dict)
    # host:port of the HTTP interface of the daemons that get announcements.
    daemons: list[str] = field(default_factory=list)
    # Member that starts as primary of term 1 when no member knows a term yet.
    bootstrap_primary: str = ""
    # Name of a packaged schema (claims, stock) or a path; run in the first term.
    schema: str = ""
    slots: int = 3
    connections: int = 20
    open_ms: float = 0.0
    statement_ms: float = 0.0
    lag_ms: float = 0.0
    announce_ms: float = 100.0
    heartbeat_ms: float = 30.0
    peer_timeout_ms: float = 150.0
    deadline_ms: float = 10_000.0
    max_message_bytes: int = 4 * 1024 * 1024


def load_settings(path: str) -> MemberSettings:
    """Reads settings from a YAML file; raises ``InvalidSettings``."""
    return parse_settings(yaml.safe_load(Path(path).read_text()))


def parse_settings(data: Any) -> MemberSettings:
    """Checks names and types of all settings and reports every problem at once."""
    if not isinstance(data, dict):
        raise InvalidSettings("settings must be a mapping")
    known = {f.name: f for f in fields(MemberSettings)}
    problems = [f"unknown setting {name}" for name in data if name not in known]
    problems += [f"{n} is missing" for n in ("database", "member") if n not in data]
    for name, value in data.items():
        kind = known[name].type if name in known else None
        if kind is float and isinstance(value, int):
            continue
        origin = getattr(kind, "__origin__", kind)
        if isinstance(origin, type) and not isinstance(value, origin):
            problems.append(f"{name} must be {origin.__name__}")
    if problems:
        raise InvalidSettings("; ".join(problems))
    return MemberSettings(**data)
