"""Tests of the status for operators: overall level, problems and next steps."""

import json

from fake_group import ControlPlaneNode
from test_failover import start_group
from test_templates import BODY

from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.status import summarize


def status(group, name="vm0"):
    group.admin(name, 1, "status")
    reply = group.replies.pop(1)
    assert reply.code == "ok"
    json.dumps(reply.body)
    return reply.body


def test_healthy_group_is_ok():
    """Guards against reported problems without a fault."""
    group = start_group(load=False)
    body = status(group)
    assert (body["overall"], body["problems"]) == ("ok", [])
    assert body["databases"][0]["primary"] == "c0"
    assert len(body["databases"][0]["members"]) == 3
    assert body["configuration"]["ready"] and len(body["daemons"]) == 6


def test_each_problem_has_an_effect_and_a_next_step():
    """Guards against problems that do not tell operators how to act."""
    group = start_group(load=False)
    group.admin(
        "vm0", 2, "template.apply", organisation="reclamar", body=BODY,
        expect_version=0, change_id="a",
    )  # fmt: skip
    group.run(0.5)
    group.endpoints["c2"].up = False
    group.partition(["vm5"], group.places)
    group.run(4.0)
    body = status(group)
    assert body["overall"] == "degraded"
    text = json.dumps(body["problems"])
    for part in (
        "claims: c2 not heard",
        "vm5: no heartbeat",
        "is not confirmed by vm5",
    ):
        assert part in text
    assert all(set(p) == {"what", "effect", "next_step"} for p in body["problems"])
    assert body["configuration"]["confirmation"]["reclamar"]["not_confirmed"] == ["vm5"]
    cut_off = status(group, "vm5")
    assert "configuration_stale" in json.dumps(cut_off["problems"])


def test_group_without_a_majority_is_failing():
    """Guards against a status of degraded while writes are rejected."""
    group = start_group(load=False)
    for name in ("c0", "c1"):
        group.endpoints[name].up = False
    group.run(3.0)
    body = status(group)
    assert body["overall"] == "failing"
    assert "only 1 of 3 members" in json.dumps(body["problems"])


def test_new_daemon_is_not_ready():
    """Guards against a status that hides a daemon without a configuration."""
    node = ControlPlaneNode(NodeSettings("vm0", "lisbon"))
    problems = json.dumps(summarize(1.0, node.blackboard)["problems"])
    assert "no control leader is known" in problems and "not ready" in problems
