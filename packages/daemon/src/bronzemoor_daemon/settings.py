"""Settings of one daemon process: the core's settings and the daemon's own."""

from dataclasses import dataclass, field, fields
from typing import Any

import yaml

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.settings import (
    ControlSettings,
    DataPathSettings,
    DrainSettings,
    NodeSettings,
)


@dataclass(slots=True)
class TlsSettings:
    """PEM files; ``authority`` signs the certificates of all daemons."""

    certificate: str
    key: str
    authority: str = ""


@dataclass(slots=True)
class DaemonSettings:
    """Addresses are host:port; durations are in seconds."""

    node: NodeSettings
    http: str = "127.0.0.1:8080"
    peer: str = "127.0.0.1:8090"
    data_folder: str = ""
    # Threads that serve requests; a request that waits occupies one.
    threads: int = 32
    # Threads are added up to this number while all are occupied; it exceeds the
    # default queue limit of the core.
    max_threads: int = 600
    # How long an idle client connection is kept, and how long a request may take to
    # arrive once it has begun.
    keep_alive: float = 300.0
    read_timeout: float = 5.0
    backlog: int = 1024
    reuse_port: bool = False
    insecure: bool = False
    tls: TlsSettings | None = None
    # Bearer token by operator name; empty means that anybody may command.
    operators: dict[str, str] = field(default_factory=dict)
    # host:port of a statsd server, or empty.
    statsd: str = ""
    # Share of the requests that are traced without a sampled parent, 0 to 1.
    trace_ratio: float = 0.0
    # Name of a span exporter, or empty.
    trace_exporter: str = ""
    log_level: str = "INFO"


_SECTIONS = {
    "timers": ControlSettings,
    "data_path": DataPathSettings,
    "drain": DrainSettings,
}


def parse_settings(raw: dict[str, Any]) -> DaemonSettings:
    """Builds settings from a parsed YAML document; raises ``InvalidSettings``."""
    problems: list[str] = []
    node = dict(raw.get("node", {}))
    for name, cls in _SECTIONS.items():
        if name in node:
            node[name] = _build(cls, node[name], f"node.{name}", problems)
    if "token_keys" in node:
        node["token_keys"] = {
            key: bytes.fromhex(value) for key, value in node["token_keys"].items()
        }
    if "control_members" in node:
        node["control_members"] = tuple(node["control_members"])
    values = {key: value for key, value in raw.items() if key != "node"}
    if values.get("tls") is not None:
        values["tls"] = _build(TlsSettings, values["tls"], "tls", problems)
    values["node"] = _build(NodeSettings, node, "node", problems)
    settings = _build(DaemonSettings, values, "settings", problems)
    if problems:
        raise InvalidSettings(problems)
    return settings


def load_settings(path: str) -> DaemonSettings:
    """Reads a YAML file; raises ``InvalidSettings`` or ``OSError``."""
    with open(path, encoding="utf-8") as file:
        try:
            raw = yaml.safe_load(file)
        except yaml.YAMLError as error:
            raise InvalidSettings([f"not YAML: {error}"]) from error
    if not isinstance(raw, dict):
        raise InvalidSettings(["the file holds no mapping"])
    return parse_settings(raw)


def _build(cls: Any, values: Any, where: str, problems: list[str]) -> Any:
    known = {item.name for item in fields(cls)}
    problems += [f"{where}.{name}: unknown" for name in sorted(set(values) - known)]
    try:
        return cls(**{name: value for name, value in values.items() if name in known})
    except TypeError as error:
        problems.append(f"{where}: {error}")
        return None
