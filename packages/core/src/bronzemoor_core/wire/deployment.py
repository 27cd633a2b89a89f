"""Validates deployment documents: routes, groups and limits."""

from collections.abc import Iterable

from msgspec import Struct

from bronzemoor_core.exceptions import InvalidRequest

PRIMARY = "primary"
BOUNDED_STALENESS = "bounded_staleness"
READ_YOUR_WRITES = "read_your_writes"
READ_POLICIES = (PRIMARY, BOUNDED_STALENESS, READ_YOUR_WRITES)


class InvalidDeployment(InvalidRequest):
    """The deployment document was rejected; ``problems`` lists every reason."""

    code = "invalid_deployment"

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems), step="deployment")
        self.problems = problems


class Route(Struct, frozen=True):
    """Routing rules for the clients of one database; durations are in seconds.

    ``priority`` 0 is the highest. ``max_staleness`` applies to reads that a replica
    may serve.
    """

    name: str
    database: str
    group: str
    read_policy: str
    statement_timeout: float
    latency_objective: float
    priority: int
    scope: str = "/"
    max_staleness: float = 0.0

    @property
    def replicas_may_serve(self) -> bool:
        return self.read_policy != PRIMARY


class GroupSpec(Struct, frozen=True):
    """One database group; ``max_connections`` is per member over all proxies.

    A primary acknowledges a commit once ``acknowledging_replicas`` have received it.
    """

    name: str
    max_connections: int
    acknowledging_replicas: int


class Deployment(Struct, frozen=True):
    """A validated document.

    ``transaction_idle`` is the idle timeout in seconds, 0 for none.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSpec]
    transaction_idle: float


def make_deployment(
    version: int,
    routes: Iterable[Route],
    groups: Iterable[GroupSpec],
    transaction_idle: float,
) -> Deployment:
    """Validates a document; raises ``InvalidDeployment`` with every problem."""
    problems: list[str] = []
    by_group = {group.name: group for group in groups}
    by_database: dict[str, Route] = {}
    seen: set[tuple[str, str]] = set()
    for route in routes:
        if route.group not in by_group:
            problems.append(f"route {route.name}: unknown group {route.group}")
        if (route.database, route.scope) in seen:
            problems.append(f"route {route.name}: {route.database} already has a route")
        if route.statement_timeout <= 0:
            problems.append(f"route {route.name}: the statement timeout must be > 0")
        if route.read_policy not in READ_POLICIES:
            problems.append(f"route {route.name}: unknown policy {route.read_policy}")
        seen.add((route.database, route.scope))
        by_database.setdefault(route.database, route)
    if problems:
        raise InvalidDeployment(problems)
    return Deployment(version, by_database, by_group, transaction_idle)
