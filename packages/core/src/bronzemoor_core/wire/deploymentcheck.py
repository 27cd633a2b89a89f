"""Checks a deployment before operators send it, and compares it with an earlier one.

Load pattern: one call for a document of up to some thousand routes and organisations;
each check passes over the entries once.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from math import isfinite
from typing import Any

from msgspec import Struct

from bronzemoor_core.wire.deployment import (
    Deployment,
    GroupSpec,
    InvalidDeployment,
    Organisation,
    Route,
)
from bronzemoor_core.wire.documentformats import quote_name
from bronzemoor_core.wire.freshness import STALENESS_MARGIN_SECONDS

ERROR = "error"
WARNING = "warning"
# Largest document that the control port accepts.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# Window of the quotas in which an organisation must be able to run an operation.
QUOTA_WINDOW_SECONDS = 5.0
# Connections to each member that the control leader keeps for its orders.
CONNECTIONS_FOR_ORDERS = 1
# Names listed in one finding.
MAX_LISTED_NAMES = 5
NUMBERS_BY_SECTION = {
    "routes": (
        "statement_timeout", "latency_objective", "priority", "max_staleness",
    ),
    "groups": ("max_connections", "acknowledging_replicas"),
}  # fmt: skip
QUOTA_FIELDS = ("rate", "burst")


class Finding(Struct, frozen=True):
    """One result of a check, without keys.

    ``path`` is (section, entry, field) or a part of it, in the names of ``Deployment``.
    ``affects`` says whose requests a difference changes.
    """

    severity: str
    kind: str
    path: tuple[str, ...]
    found: str
    allowed: str = ""
    affects: str = ""


class Capacity(Struct, frozen=True):
    """What the groups' members can do, as far as the operator knows it.

    ``member_connections`` is the number that a member accepts, and ``replica_lag`` how
    far in seconds replicas fall behind.
    """

    member_connections: int | None = None
    replica_lag: float | None = None


Check = Callable[[Deployment], Iterator[Finding]]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Registers a check of one deployment."""
    CHECKS.append(function)
    return function


def list_problems(error: InvalidDeployment) -> list[Finding]:
    """Returns a finding for each reason for which a document was rejected."""
    return [
        Finding(ERROR, "invalid", item.path, item.found or item.text, item.allowed)
        for item in error.problems
    ]


def check_deployment(
    deployment: Deployment,
    in_force: Deployment | None = None,
    capacity: Capacity | None = None,
) -> list[Finding]:
    """Returns what is wrong with a valid document, and its differences."""
    unusable = list(_find_unusable_numbers(deployment))
    if unusable:
        return unusable
    findings = [finding for find in CHECKS for finding in find(deployment)]
    if capacity is not None:
        findings += _compare_with_capacity(deployment, capacity)
    if in_force is not None:
        findings += compare_deployments(in_force, deployment)
    return findings


def _find_unusable_numbers(deployment: Deployment) -> Iterator[Finding]:
    """Finds values that the other checks cannot compare, such as NaN.

    ``make_deployment`` does not check these fields.
    """
    sections: dict[str, list[Any]] = {
        "routes": [*deployment.routes.values(), *deployment.shadowed_routes],
        "groups": list(deployment.groups.values()),
    }
    values: list[tuple[tuple[str, ...], Any]] = [
        ((section, item.name, field), getattr(item, field))
        for section, items in sections.items()
        for item in items
        for field in NUMBERS_BY_SECTION[section]
    ]
    values.append((("transaction_idle",), deployment.transaction_idle))
    for path, value in values:
        is_number = type(value) is int or (type(value) is float and isfinite(value))
        if not is_number or value < 0:
            allowed = "a finite number that is not negative"
            yield Finding(ERROR, "unusable_number", path, repr(value)[:40], allowed)


@check
def _find_unmatched_entries(deployment: Deployment) -> Iterator[Finding]:
    """Finds entries that no request can ever match."""
    for route in deployment.shadowed_routes:
        first = quote_name(deployment.routes[route.database].name)
        yield _warn(
            "route_never_matches",
            ("routes", route.name, "database"),
            f"{route.database}, which route {first} before it serves",
            "one route for each database",
        )
    for group in deployment.shadowed_groups:
        yield _warn(
            "group_replaced",
            ("groups", group.name),
            "a later group has the same name",
            "one group of a name",
        )
    used = {route.group for route in deployment.routes.values()}
    for name in deployment.groups:
        if name not in used:
            found, allowed = "no route", "at least one route to the group"
            yield _warn("group_unused", ("groups", name), found, allowed)
    for item in deployment.organisations.values():
        if not item.key_digests:
            path = ("organisations", item.name, "key_digests")
            yield _warn("organisation_without_keys", path, "no key", "at least one key")
    if not deployment.routes:
        yield _warn("no_routes", ("routes",), "no route", "at least one route")


@check
def _find_contradicting_quotas(deployment: Deployment) -> Iterator[Finding]:
    """Finds quotas under which an organisation cannot run even one operation."""
    for item in deployment.organisations.values():
        path = ("organisations", item.name)
        if item.rate is None:
            if item.burst:
                found, allowed = (
                    f"{item.burst:g} without a rate",
                    "a rate for the burst",
                )
                yield _warn("burst_without_rate", (*path, "burst"), found, allowed)
            continue
        if item.burst < 1:
            found, allowed = f"{item.burst:g} operations", "at least 1 operation"
            yield _warn("burst_below_one", (*path, "burst"), found, allowed)
        if item.rate * QUOTA_WINDOW_SECONDS + item.burst < 1:
            found = f"{item.rate:g}/s with a burst of {item.burst:g}"
            allowed = f"at least 1 operation in {QUOTA_WINDOW_SECONDS:g} s"
            yield _warn("rate_below_one", (*path, "rate"), found, allowed)


@check
def _find_contradicting_times(deployment: Deployment) -> Iterator[Finding]:
    """Finds time limits of a route that cannot hold together."""
    idle = deployment.transaction_idle
    for route in deployment.routes.values():
        path, timeout = ("routes", route.name), route.statement_timeout
        if timeout < route.latency_objective:
            allowed = f"at least the latency objective, {route.latency_objective:g} s"
            field = (*path, "statement_timeout")
            yield _warn("timeout_below_objective", field, f"{timeout:g} s", allowed)
        if route.replicas_may_serve and route.max_staleness <= STALENESS_MARGIN_SECONDS:
            found = f"{route.max_staleness:g} s, so that replicas never serve"
            allowed = f"more than {STALENESS_MARGIN_SECONDS:g} s, or policy primary"
            field = (*path, "max_staleness")
            yield _warn("staleness_too_low", field, found, allowed)
        if 0 < idle < timeout:
            found = f"{idle:g} s"
            allowed = f"at least the timeout of route {quote_name(route.name)}"
            yield _warn(
                "idle_below_timeout",
                ("transaction_idle",),
                found,
                f"{allowed}, {timeout:g} s, or 0 for none",
            )


@check
def _find_too_few_connections(deployment: Deployment) -> Iterator[Finding]:
    """Finds groups whose members cannot hold a connection for each organisation."""
    callers = sum(bool(item.key_digests) for item in deployment.organisations.values())
    used = {route.group for route in deployment.routes.values()}
    for route in deployment.routes.values():
        limit = deployment.groups[route.group].max_connections
        if 0 < limit <= CONNECTIONS_FOR_ORDERS:
            yield _warn(
                "group_without_connections",
                ("routes", route.name, "group"),
                f"{quote_name(route.group)}, whose members allow {limit} connections",
                f"more than {CONNECTIONS_FOR_ORDERS}, which is for the control leader",
            )
    for group in deployment.groups.values():
        # A limit of 0 means that the group has no limit of its own.
        if group.name in used and 0 < group.max_connections < callers:
            yield _warn(
                "organisations_exceed_connections",
                ("groups", group.name, "max_connections"),
                f"{group.max_connections} for {callers} organisations",
                "a connection for each organisation; otherwise they are often reopened",
            )


def _compare_with_capacity(
    deployment: Deployment, capacity: Capacity
) -> Iterator[Finding]:
    accepted, lag = capacity.member_connections, capacity.replica_lag
    for group in deployment.groups.values():
        if accepted is not None and group.max_connections > accepted:
            path = ("groups", group.name, "max_connections")
            found, allowed = f"{group.max_connections}", f"at most {accepted}"
            yield _warn("connections_exceed_members", path, found, allowed)
    for route in deployment.routes.values():
        bound = route.max_staleness
        if lag is not None and route.replicas_may_serve and bound < lag:
            path = ("routes", route.name, "max_staleness")
            allowed = f"at least the lag of replicas, {lag:g} s"
            yield _warn("staleness_below_lag", path, f"{bound:g} s", allowed)


def compare_deployments(old: Deployment, new: Deployment) -> Iterator[Finding]:
    """Returns what sending ``new`` while ``old`` is in force changes, and for whom."""
    changes = [
        *_compare_routes(old, new),
        *_compare_groups(old, new),
        *_compare_organisations(old, new),
        *_compare_keys(old, new),
    ]
    if old.transaction_idle != new.transaction_idle:
        changes.append(
            _change("transaction_idle", (), old, new, "all transactions that are idle")
        )
    if new.version < old.version or (changes and new.version == old.version):
        found, allowed = f"{new.version}", f"more than {old.version}, which is in force"
        affects = "nobody: the daemon keeps the version in force"
        yield _warn("version_not_higher", ("version",), found, allowed, affects)
    yield from changes


def _compare_routes(old: Deployment, new: Deployment) -> Iterator[Finding]:
    def describe(route: Route) -> str:
        return f"clients of database {quote_name(route.database)}"

    yield from _compare_entries("routes", old.routes, new.routes, describe)


def _compare_groups(old: Deployment, new: Deployment) -> Iterator[Finding]:
    routes: dict[str, dict[str, None]] = {}
    for route in [*old.routes.values(), *new.routes.values()]:
        routes.setdefault(route.group, {})[route.name] = None

    def describe(group: GroupSpec) -> str:
        return f"routes: {_list_names(list(routes.get(group.name, ())))}"

    yield from _compare_entries("groups", old.groups, new.groups, describe)


def _compare_organisations(old: Deployment, new: Deployment) -> Iterator[Finding]:
    def describe(item: Organisation) -> str:
        return f"organisation {quote_name(item.name)}"

    yield from _compare_entries(
        "organisations", old.organisations, new.organisations, describe
    )
    if bool(old.organisations) != bool(new.organisations):
        closed = [route.name for route in new.routes.values() if not route.public]
        found = "required" if new.organisations else "no longer required"
        affects = f"clients without a key on routes: {_list_names(closed)}"
        path = ("organisations",)
        yield _warn("keys_required", path, f"keys are {found}", affects=affects)


def _compare_keys(old: Deployment, new: Deployment) -> Iterator[Finding]:
    """Compares the owners of keys, which are named by digest."""
    for digest in sorted(old.key_owners.keys() | new.key_owners.keys()):
        before, after = old.key_owners.get(digest), new.key_owners.get(digest)
        if before == after:
            continue
        if before is not None:
            affects = f"clients of {quote_name(before)} with this key"
            path = ("organisations", before, "key_digests")
            found = f"key with digest {digest} is withdrawn"
            yield _warn("key_withdrawn", path, found, affects=affects)
        if after is not None:
            affects = f"clients of {quote_name(after)} with this key"
            path = ("organisations", after, "key_digests")
            found = f"key with digest {digest} is added"
            yield _warn("key_added", path, found, affects=affects)


def _compare_entries(
    section: str,
    old: dict[str, Any],
    new: dict[str, Any],
    describe: Callable[[Any], str],
) -> Iterator[Finding]:
    """Compares the entries of a section, keys excepted."""
    for key in [*old, *(key for key in new if key not in old)]:
        before, after = old.get(key), new.get(key)
        item: Any = after or before
        path, affects = (section, item.name), describe(item)
        if after is None:
            yield _warn(f"{section}_removed", path, "removed", affects=affects)
        elif before is None:
            yield _warn(f"{section}_added", path, "added", affects=affects)
        else:
            for field in item.__struct_fields__:
                different = getattr(before, field) != getattr(after, field)
                if field != "key_digests" and different:
                    yield _change(field, path, before, after, affects)


def _change(
    field: str, path: tuple[str, ...], before: Any, after: Any, affects: str
) -> Finding:
    old, new = getattr(before, field), getattr(after, field)
    # A rate of None is no limit.
    lowered = field in QUOTA_FIELDS and (old is None or (new is not None and new < old))
    found = f"was {_format_value(old)}, is {_format_value(new)}"
    kind = "quota_lowered" if lowered else "changed"
    return _warn(kind, (*path, field), found, affects=affects)


def _format_value(value: Any) -> str:
    if value is None:
        return "not limited"
    if isinstance(value, str):
        return quote_name(value)
    if isinstance(value, float):
        return f"{value:g}"
    # The version in force may hold other types, which the daemon accepts.
    return repr(value)[:40].lower()


def _list_names(names: list[str]) -> str:
    listed = ", ".join(map(quote_name, names[:MAX_LISTED_NAMES])) or "none"
    more = len(names) - MAX_LISTED_NAMES
    return f"{listed} and {more} more" if more > 0 else listed


def _warn(
    kind: str,
    path: tuple[str, ...],
    found: str,
    allowed: str = "",
    affects: str = "",
) -> Finding:
    return Finding(WARNING, kind, path, found, allowed, affects)


def count_severities(findings: list[Finding]) -> Counter[str]:
    """Returns the number of findings by severity."""
    return Counter(finding.severity for finding in findings)
