"""Tests of the checks of a deployment and of the comparison with an earlier one."""

import pytest
from msgspec.structs import replace

from bronzemoor_core.wire.deployment import (
    BOUNDED_STALENESS,
    PRIMARY,
    GroupSpec,
    InvalidDeployment,
    Organisation,
    Route,
    make_deployment,
)
from bronzemoor_core.wire.deploymentcheck import (
    Capacity,
    check_deployment,
    list_problems,
)

ROUTE = Route("r", "orders", "ledger", BOUNDED_STALENESS, 0.8, 0.3, 0, max_staleness=2)
GROUP = GroupSpec("ledger", 20, 1)
NORTH = Organisation("north", ("d1", "d2"), 0, 50.0, 50.0)
SOUTH = Organisation("south", ("d3",))
ALL = {"routes": [ROUTE], "groups": [GROUP], "organisations": [NORTH, SOUTH]}


def make(version=1, idle=3.0, **parts):
    return make_deployment(version, transaction_idle=idle, **{**ALL, **parts})


def kinds(findings):
    return {finding.kind for finding in findings}


def test_a_sound_document_has_no_findings():
    """Guards against checks that warn about ordinary documents."""
    assert check_deployment(make(), make(), Capacity(20, 2.0)) == []


@pytest.mark.parametrize(
    ("kind", "parts"),
    [
        ("route_never_matches", {"routes": [ROUTE, replace(ROUTE, scope="/x")]}),
        ("group_replaced", {"groups": [GROUP, GROUP]}),
        ("group_unused", {"groups": [GROUP, GroupSpec("other", 20, 1)]}),
        ("group_without_connections", {"groups": [GroupSpec("ledger", 1, 1)]}),
        ("organisation_without_keys", {"organisations": [Organisation("o", ())]}),
        ("no_routes", {"routes": []}),
        ("burst_without_rate", {"organisations": [replace(NORTH, rate=None)]}),
        ("burst_below_one", {"organisations": [replace(NORTH, burst=0.5)]}),
        ("rate_below_one", {"organisations": [replace(NORTH, rate=0.1, burst=0.4)]}),
        ("timeout_below_objective", {"routes": [replace(ROUTE, latency_objective=1)]}),
        ("staleness_too_low", {"routes": [replace(ROUTE, max_staleness=0.0)]}),
        ("idle_below_timeout", {"idle": 0.7}),
        ("organisations_exceed_connections", {"groups": [GroupSpec("ledger", 1, 1)]}),
    ],
)
def test_entries_without_effect_and_contradictions_are_found(kind, parts):
    """Guards against a document that is valid and does not do what it says."""
    findings = check_deployment(make(**parts))
    assert kind in kinds(findings)
    assert {finding.severity for finding in findings} == {"warning"}
    assert all(finding.found and finding.allowed for finding in findings)


def test_a_primary_only_route_needs_no_staleness_bound():
    """Guards against a warning about a bound that is not used."""
    route = replace(ROUTE, read_policy=PRIMARY, max_staleness=0.0)
    assert check_deployment(make(routes=[route]), None, Capacity(20, 9.0)) == []


def test_limits_beyond_what_members_can_do_are_found():
    """Guards against limits that only the members' operators know to be wrong."""
    found = kinds(check_deployment(make(), None, Capacity(19, 2.5)))
    assert found == {"connections_exceed_members", "staleness_below_lag"}


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1, "high", None])
def test_values_that_cannot_be_compared_are_errors(value):
    """Guards against a traceback, and against NaN passing every comparison."""
    for parts in (
        {"routes": [replace(ROUTE, max_staleness=value)]},
        {"groups": [replace(GROUP, max_connections=value)]},
        {"idle": value},
    ):
        found = check_deployment(make(**parts), make(2))
        assert [(f.severity, f.kind) for f in found] == [("error", "unusable_number")]
        check_deployment(make(), make(**parts))


def test_every_problem_has_its_path_and_what_is_allowed():
    """Guards against a rejection that does not lead to the field."""
    routes = [replace(ROUTE, group="x"), replace(ROUTE, statement_timeout=0.0)]
    organisations = [NORTH, replace(SOUTH, key_digests=("d1",), burst=-1.0)]
    with pytest.raises(InvalidDeployment) as raised:
        make(routes=routes, organisations=organisations)
    findings = list_problems(raised.value)
    paths = {finding.path[1:] for finding in findings}
    assert paths == {
        *[("r", field) for field in ("group", "database", "statement_timeout")],
        *[("south", field) for field in ("key_digests", "burst")],
    }
    assert all(finding.found and finding.allowed for finding in findings)


def test_differences_name_what_changes_and_for_whom():
    """Guards against a change that reaches callers whom the operator did not expect."""
    new = make(
        2,
        idle=4.0,
        routes=[replace(ROUTE, public=True), replace(ROUTE, name="s", database="s")],
        groups=[replace(GROUP, max_connections=30)],
        organisations=[replace(NORTH, key_digests=("d1", "d3"), rate=40.0)],
    )
    found = check_deployment(new, make())
    assert {f"{f.kind} {'/'.join(f.path[1:])}: {f.affects}" for f in found} == {
        "changed : all transactions that are idle",
        "changed r/public: clients of database orders",
        "routes_added s: clients of database s",
        "changed ledger/max_connections: routes: r, s",
        "quota_lowered north/rate: organisation north",
        "organisations_removed south: organisation south",
        "key_withdrawn north/key_digests: clients of north with this key",
        "key_added north/key_digests: clients of north with this key",
        "key_withdrawn south/key_digests: clients of south with this key",
    }


def test_a_version_that_takes_no_effect_is_found():
    """Guards against a document that the daemon accepts and does not use."""
    assert kinds(check_deployment(make(1), make(2))) == {"version_not_higher"}
    assert "version_not_higher" in kinds(check_deployment(make(idle=4.0), make()))


def test_the_first_organisations_lock_out_clients_without_keys():
    """Guards against a change that rejects every client without a notice."""
    findings = check_deployment(make(2), make(organisations=[]))
    affects = [f.affects for f in findings if f.kind == "keys_required"]
    assert affects == ["clients without a key on routes: r"]
