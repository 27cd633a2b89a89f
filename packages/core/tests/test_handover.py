"""Tests of planned handovers and draining of endpoints."""

from test_failover import has_agreed_primary, primaries_by_term, start_group


def test_handover_by_an_operator():
    """Guards against a handover that loses records, runs twice when resent or is
    answered before it is in force."""
    group = start_group()
    group.replicate = 0.01
    group.run(0.1)
    group.admin("vm4", 1, "failover.plan", database="claims")
    group.run(0.3)
    plan = group.replies[1].body
    assert (plan["safe_now"], plan["candidate"], plan["blockers"]) == (True, "c1", [])
    arguments = {"database": "claims", "target": "c2", "change_id": "h1"}
    group.admin("vm4", 2, "failover.run", **arguments)
    assert group.run(1.0, lambda: 2 in group.replies)
    assert (group.replies[2].code, group.replies[2].body["primary"]) == ("ok", "c2")
    assert group.primary("claims", "vm4") == "c2"
    group.run(1.0)
    group.admin("vm5", 3, "failover.run", **arguments)
    group.run(1.0)
    assert group.replies[3].body["term"] == group.replies[2].body["term"] == 2
    assert primaries_by_term(group) == {1: "c0", 2: "c2"}
    assert (
        group.endpoints["c0"].log
        == group.endpoints["c2"].log[: len(group.endpoints["c0"].log)]
    )


def test_unsafe_handover_is_refused():
    """Guards against a handover to a member that cannot take over."""
    group = start_group()
    group.endpoints["c2"].up = False
    arguments = {"database": "claims", "target": "c2", "change_id": "h1"}
    group.admin("vm4", 1, "failover.run", **arguments)
    group.admin("vm4", 2, "failover.run", **{**arguments, "database": "none"})
    group.admin("vm4", 3, "failover.plan")
    group.run(1.0)
    assert group.replies[1].code == "not_safe"
    assert "c2 cannot take over" in group.replies[1].body["message"]
    assert [group.replies[n].code for n in (2, 3)] == [
        "unknown_database",
        "invalid_request",
    ]
    assert primaries_by_term(group) == {1: "c0"}


def test_leaving_primary_hands_over():
    """Guards against an endpoint that cannot leave because it is the primary."""
    group = start_group()
    group.replicate = 0.01
    group.endpoints["c0"].leaving = True
    assert group.run(2.0, lambda: has_agreed_primary(group, "c0"))
    group.run(3.0)
    assert len(primaries_by_term(group)) == 2


def test_drained_primary_hands_over_first():
    """Guards against a primary that gets no new work before its handover."""
    group = start_group()
    group.replicate = 0.01
    group.admin("vm3", 1, "endpoint.drain", database="claims", member="c0")
    assert group.run(2.0, lambda: 1 in group.replies)
    group.run(0.5)
    assert group.replies[1].code == "ok" and has_agreed_primary(group, "c0")
    for node in group.nodes.values():
        assert node.blackboard.topology.databases["claims"].members["c0"].leaving
    group.admin("vm3", 2, "database.list")
    group.run(0.2)
    row = group.replies[2].body["databases"][0]
    assert [m["member"] for m in row["members"] if m["leaving"]] == ["c0"]
