"""The node, which creates the controllers of a daemon and dispatches events to them."""

from collections import defaultdict, deque
from collections.abc import Callable, Collection
from importlib import import_module
from random import Random
from typing import Any

from bronzemoor_core.actions import Action
from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.controllers import CONTROLLER_TYPES, Controller

# Import order is dispatch order: membership sees an event before the data path does.
CONTROLLER_MODULES = (
    "consensus",
    "state",
    "membership",
    "failover",
    "distribution",
    "sessions",
    "limits",
    "pools",
    "retries",
    "admission",
    "requests",
    "transactions",
    "drain",
)

# Bounds the chain of internal events that one input may cause.
MAX_EVENTS_PER_INPUT = 100_000


class Node:
    """Runs one daemon's controllers without I/O: ``(now, event) -> actions``."""

    def __init__(
        self,
        settings: Any,
        random: Random,
        names: Collection[str] = CONTROLLER_TYPES.keys(),
    ) -> None:
        """``names`` selects controllers by section, for tests of some of them."""
        self._settings = settings
        self._blackboard = Blackboard()
        self._controllers: dict[str, Controller] = {}
        self._handlers: dict[type, list[Callable[[float, Any], Any]]] = defaultdict(
            list
        )
        for name, cls in CONTROLLER_TYPES.items():
            if name not in names:
                continue
            instance = cls(self._blackboard, settings, random)
            self._controllers[name] = instance
            self._register(instance)

    @property
    def settings(self) -> Any:
        return self._settings

    @property
    def blackboard(self) -> Blackboard:
        """Read-only views of every section."""
        return self._blackboard

    def handle(self, now: float, event: object) -> list[Action]:
        """Processes one event at ``now`` (monotonic seconds); returns the actions."""
        actions: list[Action] = []
        pending = deque((event,))
        for _ in range(MAX_EVENTS_PER_INPUT):
            if not pending:
                return actions
            current = pending.popleft()
            for handler in self._handlers.get(type(current), ()):
                for item in handler(now, current) or ():
                    if isinstance(item, Action):
                        actions.append(item)
                    else:
                        pending.append(item)
        raise RuntimeError(f"too many internal events after {type(event).__name__}")

    def _register(self, instance: Controller) -> None:
        for attribute in dir(type(instance)):
            method = getattr(type(instance), attribute)
            for event_type in getattr(method, "event_types", ()):
                self._handlers[event_type].append(getattr(instance, attribute))


def make_node(settings: Any, random: Random) -> Node:
    """Imports every controller module, then creates the node."""
    for module in CONTROLLER_MODULES:
        import_module(f"bronzemoor_core.{module}")
    return Node(settings, random)
