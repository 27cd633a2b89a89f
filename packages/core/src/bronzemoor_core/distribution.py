"""Configuration in force at this daemon and its distribution to others."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller
from bronzemoor_core.templates import Template


@section("configuration")
class Configuration:
    """Templates in force by organisation; ``confirmed_at`` is when a control member
    last confirmed the versions, in seconds."""

    __slots__ = ("confirmed_at", "templates")

    def __init__(self) -> None:
        self.templates: dict[str, Template] = {}
        self.confirmed_at = 0.0


@controller("configuration")
class Distribution(Controller):
    """Owns the configuration section."""
