"""Settings of one daemon process, read from a YAML file."""

from dataclasses import dataclass, field
from pathlib import Path

import yaml

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.settings_schema import ListenSettings, parse_settings


@dataclass(slots=True)
class DaemonSettings:
    """Settings of the core and of the process."""

    node: NodeSettings
    listen: ListenSettings = field(default_factory=ListenSettings)


def load_settings(path: str) -> DaemonSettings:
    """Reads a YAML file; raises ``InvalidSettings`` or ``OSError``."""
    try:
        body = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise InvalidSettings([f"not YAML: {error}"]) from error
    return DaemonSettings(*parse_settings(body))
