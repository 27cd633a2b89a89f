"""Validates deployment documents: routes, groups, organisations and limits."""

import re
from collections.abc import Iterable
from math import isfinite

from msgspec import Struct, field

from bronzemoor_core.exceptions import InvalidRequest

PRIMARY = "primary"
BOUNDED_STALENESS = "bounded_staleness"
READ_YOUR_WRITES = "read_your_writes"
READ_POLICIES = (PRIMARY, BOUNDED_STALENESS, READ_YOUR_WRITES)
# Organisations are named in START messages to members.
ORGANISATION_NAME = re.compile(r"[!-~]{1,200}\Z")
# Highest rate and burst of an organisation's quota, operations per second and number.
MAX_QUOTA = 1e9


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
    # Whether clients without a valid key may use the route.
    public: bool = False

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


class Organisation(Struct, frozen=True):
    """An organisation whose clients identify themselves with a key.

    ``key_digests`` stand for its keys. It may start ``rate`` operations per second
    and ``burst`` more at once; a ``rate`` of None is no limit. ``priority`` 0 is the
    highest.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int = 0
    rate: float | None = None
    burst: float = 0.0


class Deployment(Struct, frozen=True):
    """A validated document.

    ``transaction_idle`` is the idle timeout in seconds, 0 for none. Without
    ``organisations``, clients need no keys. ``key_owners`` has the name of the
    organisation by key digest. ``redacted`` is the document with digests in place of
    keys, empty if it has no keys.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSpec]
    transaction_idle: float
    organisations: dict[str, Organisation] = field(default_factory=dict)
    key_owners: dict[str, str] = field(default_factory=dict)
    redacted: str = ""


def make_deployment(
    version: int,
    routes: Iterable[Route],
    groups: Iterable[GroupSpec],
    transaction_idle: float,
    organisations: Iterable[Organisation] = (),
    redacted: str = "",
) -> Deployment:
    """Validates a document; raises ``InvalidDeployment`` with every problem."""
    by_name, key_owners, problems = _index_organisations(organisations)
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
    return Deployment(
        version, by_database, by_group, transaction_idle, by_name, key_owners, redacted
    )


def _index_organisations(
    organisations: Iterable[Organisation],
) -> tuple[dict[str, Organisation], dict[str, str], list[str]]:
    """Returns organisations by name, owners by key digest, and the problems found."""
    by_name: dict[str, Organisation] = {}
    key_owners: dict[str, str] = {}
    problems: list[str] = []
    for item in organisations:
        label = f"organisation {item.name[:40]!r}"
        if not ORGANISATION_NAME.match(item.name):
            problems.append(f"{label}: the name must be printable without blanks")
        if item.name in by_name:
            problems.append(f"{label}: the name is used twice")
        if item.rate is not None and not 0 < item.rate <= MAX_QUOTA:
            problems.append(f"{label}: the rate must be > 0 and <= {MAX_QUOTA:.0f}")
        if not (isfinite(item.burst) and 0 <= item.burst <= MAX_QUOTA):
            problems.append(f"{label}: the burst must be >= 0 and <= {MAX_QUOTA:.0f}")
        by_name[item.name] = item
        for digest in item.key_digests:
            owner = key_owners.setdefault(digest, item.name)
            if owner != item.name:
                problems.append(f"{label}: has a key in common with {owner[:40]!r}")
        if len(set(item.key_digests)) < len(item.key_digests):
            problems.append(f"{label}: a key is listed twice")
    return by_name, key_owners, problems
