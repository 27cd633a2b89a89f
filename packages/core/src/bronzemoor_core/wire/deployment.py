"""Validates deployment documents: routes, groups, organisations and limits."""

import re
from collections.abc import Iterable
from functools import partial
from math import isfinite

from msgspec import Struct, field

from bronzemoor_core.exceptions import InvalidRequest

PRIMARY = "primary"
BOUNDED_STALENESS = "bounded_staleness"
READ_YOUR_WRITES = "read_your_writes"
READ_POLICIES = (PRIMARY, BOUNDED_STALENESS, READ_YOUR_WRITES)
# Organisations are named in START messages to members.
ORGANISATION_NAME = re.compile(r"[!-~]{1,200}\Z")
# Named to members for clients without a valid key on public routes.
ANONYMOUS = "public"
# Highest rate and burst of an organisation's quota, operations per second and number.
MAX_QUOTA = 1e9


class Problem(Struct, frozen=True):
    """A reason for rejecting a document; ``text`` is complete and holds no key.

    ``path`` is (section, entry, field) or the beginning of it, in the names of
    ``Deployment``; the entry is a name or an index.
    """

    path: tuple[str, ...]
    text: str
    found: str = ""
    allowed: str = ""


class InvalidDeployment(InvalidRequest):
    """The deployment document was rejected; ``problems`` lists every reason."""

    code = "invalid_deployment"

    def __init__(self, problems: list[Problem]) -> None:
        text = "; ".join(problem.text for problem in problems)
        super().__init__(text, step="deployment")
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
    keys, empty if it has no keys. The ``shadowed`` entries are not used, since another
    route for the database, or another group of the name, takes precedence.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSpec]
    transaction_idle: float
    organisations: dict[str, Organisation] = field(default_factory=dict)
    key_owners: dict[str, str] = field(default_factory=dict)
    redacted: str = ""
    shadowed_routes: tuple[Route, ...] = ()
    shadowed_groups: tuple[GroupSpec, ...] = ()


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
    routes = list(routes)
    if ANONYMOUS in by_name and any(route.public for route in routes):
        text = "the name is that of clients without a key"
        path = ("organisations", ANONYMOUS, "name")
        label = f"organisation {ANONYMOUS!r}"
        problems.append(Problem(path, f"{label}: {text}", ANONYMOUS, "another name"))
    by_group: dict[str, GroupSpec] = {}
    shadowed_groups = []
    for group in groups:
        if group.name in by_group:
            shadowed_groups.append(by_group[group.name])
        by_group[group.name] = group
    by_database: dict[str, Route] = {}
    shadowed_routes = []
    seen: set[tuple[str, str]] = set()
    for route in routes:
        reject = partial(_reject, problems, "routes", route.name, f"route {route.name}")
        timeout, policy = route.statement_timeout, route.read_policy
        if route.group not in by_group:
            text = f"unknown group {route.group}"
            reject("group", text, route.group, "the name of a group in the document")
        if (route.database, route.scope) in seen:
            text = f"{route.database} already has a route"
            reject("database", text, text, "one route for a database and scope")
        if timeout <= 0:
            text = "the statement timeout must be > 0"
            reject("statement_timeout", text, f"{timeout:g} s", "more than 0 s")
        if policy not in READ_POLICIES:
            text = f"unknown policy {policy}"
            reject("read_policy", text, policy, ", ".join(READ_POLICIES))
        seen.add((route.database, route.scope))
        if by_database.setdefault(route.database, route) is not route:
            shadowed_routes.append(route)
    if problems:
        raise InvalidDeployment(problems)
    return Deployment(
        version,
        by_database,
        by_group,
        transaction_idle,
        by_name,
        key_owners,
        redacted,
        tuple(shadowed_routes),
        tuple(shadowed_groups),
    )


def _reject(
    problems: list[Problem],
    section: str,
    name: str,
    label: str,
    field: str,
    text: str,
    found: str,
    allowed: str,
) -> None:
    path = (section, name, field)
    problems.append(Problem(path, f"{label}: {text}", found, allowed))


def _index_organisations(
    organisations: Iterable[Organisation],
) -> tuple[dict[str, Organisation], dict[str, str], list[Problem]]:
    """Returns organisations by name, owners by key digest, and the problems found."""
    by_name: dict[str, Organisation] = {}
    key_owners: dict[str, str] = {}
    problems: list[Problem] = []
    for item in organisations:
        name = item.name[:40]
        label = f"organisation {name!r}"
        reject = partial(_reject, problems, "organisations", name, label)
        if not ORGANISATION_NAME.match(item.name):
            allowed = "1 to 200 printable ASCII characters without blanks"
            text = "the name must be printable without blanks"
            reject("name", text, repr(name), allowed)
        if item.name in by_name:
            text = "the name is used twice"
            reject("name", text, text, "one organisation of a name")
        if item.rate is not None and not 0 < item.rate <= MAX_QUOTA:
            allowed = f"> 0 and <= {MAX_QUOTA:.0f}"
            reject("rate", f"the rate must be {allowed}", f"{item.rate:g}", allowed)
        if not (isfinite(item.burst) and 0 <= item.burst <= MAX_QUOTA):
            allowed = f">= 0 and <= {MAX_QUOTA:.0f}"
            reject("burst", f"the burst must be {allowed}", f"{item.burst:g}", allowed)
        by_name[item.name] = item
        for digest in item.key_digests:
            owner = key_owners.setdefault(digest, item.name)
            if owner != item.name:
                text = f"has a key in common with {owner[:40]!r}"
                reject("key_digests", text, text, "each key at one organisation")
        if len(set(item.key_digests)) < len(item.key_digests):
            text = "a key is listed twice"
            reject("key_digests", text, text, "each key once")
    return by_name, key_owners, problems
