"""Leased shares of the connections of each database."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("limits")
class Limits:
    __slots__ = ()


@controller("limits")
class ShareController(Controller):
    """Owns the limits section."""
