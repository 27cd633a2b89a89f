"""Session tokens with a position for each database."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("sessions")
class Sessions:
    __slots__ = ()


@controller("sessions")
class SessionKeys(Controller):
    """Owns the sessions section."""
