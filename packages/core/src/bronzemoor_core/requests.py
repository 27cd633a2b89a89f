"""Life cycle of one request from admission to outcome."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("requests")
class Requests:
    __slots__ = ()


@controller("requests")
class RequestController(Controller):
    """Owns the requests section."""
