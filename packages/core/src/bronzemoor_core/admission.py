"""Bounded priority queues with deadlines."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("queues")
class Queues:
    __slots__ = ()


@controller("queues")
class AdmissionController(Controller):
    """Owns the queues section."""
