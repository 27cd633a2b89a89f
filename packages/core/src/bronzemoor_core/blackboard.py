"""Shared state of a daemon in named sections, each written by one controller."""

from types import MappingProxyType
from typing import Any, TypeVar

from bronzemoor_core.exceptions import OwnershipError

S = TypeVar("S")

SECTION_TYPES: dict[str, type] = {}


def section(name: str):  # type: ignore[no-untyped-def]
    """Registers a slotted class as the section ``name`` of every blackboard."""

    def register(cls: type[S]) -> type[S]:
        if name in SECTION_TYPES:
            raise OwnershipError(f"section {name} is defined twice", step="blackboard")
        SECTION_TYPES[name] = cls
        return cls

    return register


class SectionView:
    """Read-only access to a section for controllers that do not own it."""

    __slots__ = ("_name", "_section")

    def __init__(self, name: str, value: object) -> None:
        object.__setattr__(self, "_name", name)
        object.__setattr__(self, "_section", value)

    def __getattr__(self, attribute: str) -> Any:
        value = getattr(self._section, attribute)
        if type(value) is dict:
            return MappingProxyType(value)
        return value

    def __setattr__(self, attribute: str, value: object) -> None:
        raise OwnershipError(
            f"{self._name}.{attribute} is written by a controller that does not own it",
            step="blackboard",
        )


class Blackboard:
    """Holds one instance of every registered section."""

    __slots__ = ("_owners", "_sections", "_views")

    def __init__(self) -> None:
        self._sections = {name: cls() for name, cls in SECTION_TYPES.items()}
        self._views = {
            name: SectionView(name, value) for name, value in self._sections.items()
        }
        self._owners: dict[str, str] = {}

    def claim(self, name: str, owner: str) -> Any:
        """Returns the writable section; a second claim raises ``OwnershipError``."""
        if name in self._owners:
            raise OwnershipError(
                f"section {name} is owned by {self._owners[name]}, not {owner}",
                step="blackboard",
            )
        self._owners[name] = owner
        return self._sections[name]

    def __getattr__(self, name: str) -> Any:
        try:
            return self._views[name]
        except KeyError:
            raise AttributeError(name) from None
