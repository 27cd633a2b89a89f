"""Stages of the graceful stop."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("drain")
class Drain:
    __slots__ = ()


@controller("drain")
class DrainController(Controller):
    """Owns the drain section."""
