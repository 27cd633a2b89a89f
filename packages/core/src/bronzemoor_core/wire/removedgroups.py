"""Remembers what a proxy acknowledged in groups that the topology names no more."""

from bronzemoor_core.positions import ZERO, Position

MAX_REMOVED_GROUPS = 256


class RemovedGroups:
    """The newest acknowledged commits of removed groups, which may return."""

    __slots__ = ("_acknowledged",)

    def __init__(self) -> None:
        self._acknowledged: dict[str, Position] = {}

    def add(self, group: str, acknowledged: Position) -> None:
        """Records a group that was removed; the oldest one is forgotten."""
        self._acknowledged[group] = acknowledged
        if len(self._acknowledged) > MAX_REMOVED_GROUPS:
            del self._acknowledged[next(iter(self._acknowledged))]

    def take(self, group: str) -> Position:
        """Returns what was acknowledged in a group that is in use again, else ZERO."""
        return self._acknowledged.pop(group, ZERO)
