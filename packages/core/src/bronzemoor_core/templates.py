"""Templates: what an operator sets for one organisation."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestClass:
    """How requests of one class are treated. Durations are in seconds.

    ``max_age`` is the age that a read accepts; None means that only the session's own
    writes bound it. A smaller ``priority`` is served first.
    """

    name: str
    kind: str = "write"  # read or write
    max_age: float | None = None
    repeatable: bool = True
    priority: int = 5
    deadline: float = 2.0
    queue_limit: int = 128


@dataclass(slots=True)
class Template:
    """One organisation's template; ``connections`` caps it over all databases."""

    organisation: str
    version: int = 0
    databases: tuple[str, ...] = ()
    connections: int = 20
    retry_ratio: float = 0.1
    classes: dict[str, RequestClass] = field(default_factory=dict)
