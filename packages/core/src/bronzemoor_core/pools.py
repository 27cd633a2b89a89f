"""Connections to endpoints: opening, reuse and probing."""

from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller


@section("pools")
class Pools:
    __slots__ = ()


@controller("pools")
class PoolController(Controller):
    """Owns the pools section."""
