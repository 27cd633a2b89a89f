"""Failure detection and the steps of a promotion."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("failover")
class FailoverPlans:
    __slots__ = ()


@controller("failover")
class Failover(Controller):
    """Owns the failover section."""
