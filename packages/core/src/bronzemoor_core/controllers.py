"""Registries of the controllers and of the events that each handles."""

from collections.abc import Callable
from random import Random
from typing import Any, ClassVar, TypeVar

from bronzemoor_core.blackboard import Blackboard

C = TypeVar("C", bound="type[Controller]")
F = TypeVar("F", bound=Callable[..., Any])

CONTROLLER_TYPES: dict[str, "type[Controller]"] = {}


class Controller:
    """Base class of controllers, which own one section and handle events.

    A handler takes ``(now, event)`` and returns actions and follow-up events, or None.
    """

    name: ClassVar[str] = ""

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        self._blackboard = blackboard
        self._settings = settings
        self._random = random
        self._section: Any = blackboard.claim(self.name, self.name)


def controller(section: str) -> Callable[[C], C]:
    """Registers a controller class as the owner of ``section``."""

    def register(cls: C) -> C:
        cls.name = section
        CONTROLLER_TYPES[section] = cls
        return cls

    return register


def handles(*event_types: type) -> Callable[[F], F]:
    """Marks a method of a controller as the handler of the given event types."""

    def mark(function: F) -> F:
        function.event_types = event_types  # type: ignore[attr-defined]
        return function

    return mark
