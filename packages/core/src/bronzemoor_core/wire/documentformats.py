"""Registry of the formats of deployment documents.

The text format of documents belongs to a platform, whose adapter registers it.
Programs without an adapter of their own import the module that the operator names.
"""

from collections.abc import Callable, Mapping
from typing import TypeVar

from msgspec import Struct

from bronzemoor_core.wire.deployment import Deployment

Read = TypeVar("Read", bound=Callable[[bytes | str], Deployment])


class DocumentFormat(Struct, frozen=True):
    """One format of documents; ``read`` raises ``InvalidDeployment``.

    ``field_names`` has the format's names of sections and fields that differ from those
    of ``Deployment``.
    """

    read: Callable[[bytes | str], Deployment]
    field_names: Mapping[str, str]

    def format_path(self, path: tuple[str, ...]) -> str:
        """Returns the path of an entry or field: (section, entry, field)."""
        names = [self.field_names.get(part, part) for part in path[::2]]
        if len(path) > 1:
            names[0] += f"[{quote_name(path[1])}]"
        return ".".join(names)


FORMATS: dict[str, DocumentFormat] = {}


def document_format(field_names: Mapping[str, str]) -> Callable[[Read], Read]:
    """Registers a function that reads a format, under the name of its module."""

    def register(read: Read) -> Read:
        FORMATS[read.__module__] = DocumentFormat(read, field_names)
        return read

    return register


def quote_name(name: str) -> str:
    """Returns a name, quoted if it has blanks, brackets or unprintable characters."""
    plain = name.isprintable() and not any(c in " []'\"\\" for c in name)
    return name if plain and name else repr(name)
