"""Open transactions and their pinned connections."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("transactions")
class Transactions:
    __slots__ = ()


@controller("transactions")
class TransactionController(Controller):
    """Owns the transactions section."""
