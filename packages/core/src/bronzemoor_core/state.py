"""The replicated state machine of the control group."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("state")
class State:
    __slots__ = ()


@controller("state")
class StateMachine(Controller):
    """Owns the state section."""
