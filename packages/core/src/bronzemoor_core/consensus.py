"""The replicated log of the control group."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("log")
class Log:
    __slots__ = ()


@controller("log")
class Consensus(Controller):
    """Owns the log section."""
