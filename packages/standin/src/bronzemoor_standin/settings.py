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
    # host:port of the HTTP interfaces of the daemons that receive announcements.
    daemons: list[str] = field(default_factory=list)
    # Member that becomes primary of term 1 if no member knows a term yet.
    bootstrap_primary: str = ""
    # Name of a packaged schema (claims, stock) or a path; in the first log entry.
    schema: str = ""
    # File that stores terms and log; without it they are lost with the process.
    file: str = ""
    # Set for a member without a file that restarts in a group with data: it refuses
    # fence orders until it has caught up.
    rejoin: bool = False
    slots: int = 3
    # Largest number of connections that this member accepts from daemons.
    connections: int = 20
    # Time added to opening a connection.
    open_ms: float = 0.0
    # Time added to each statement call.
    statement_ms: float = 0.0
    lag_ms: float = 0.0
    one_way_ms: float = 0.0
    peer_one_way_ms: float = 0.0
    announce_ms: float = 100.0
    heartbeat_ms: float = 30.0
    # Timeout of calls to peers, and silence after which a peer counts as unreachable.
    peer_timeout_ms: float = 150.0
    # Default deadline of calls.
    deadline_ms: float = 10_000.0
    # A transaction that is idle for longer is rolled back.
    transaction_idle_ms: float = 30_000.0
    # Time after which a leaving member refuses new work.
    leave_after_ms: float = 2_000.0
    # Longest time that a graceful stop waits for calls in progress.
    stop_ms: float = 2_000.0
    # Request records older than this (seconds) or beyond this number are pruned.
    request_age_s: float = 86_400.0
    request_count: int = 1_000_000
    max_message_bytes: int = 4 * 1024 * 1024
    # Loopback port of the fault interface; 0 chooses a free one, negative means none.
    control_port: int = -1


def load_settings(path: str) -> MemberSettings:
    """Reads settings from a YAML file; raises ``InvalidSettings``."""
    return parse_settings(yaml.safe_load(Path(path).read_text()))


_REQUIRED = ("database", "member")


def parse_settings(data: Any) -> MemberSettings:
    """Checks names and types of all settings and reports every problem at once."""
    if not isinstance(data, dict):
        raise InvalidSettings("settings must be a mapping")
    known = {f.name: f for f in fields(MemberSettings)}
    problems = [f"unknown setting {name}" for name in data if name not in known]
    problems += [f"{n} is missing" for n in _REQUIRED if n not in data]
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
