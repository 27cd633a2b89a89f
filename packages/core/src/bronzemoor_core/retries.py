"""Retry budgets and backoff."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("retries")
class Retries:
    __slots__ = ()


@controller("retries")
class RetryController(Controller):
    """Owns the retries section."""
