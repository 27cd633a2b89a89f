"""Distribution of templates to the daemons."""

from test_failover import make_group
from test_templates import BODY


def versions(group, organisation="reclamar"):
    return {
        name: getattr(
            node.blackboard.configuration.templates.get(organisation), "version", 0
        )
        for name, node in group.nodes.items()
    }


def test_a_change_reaches_every_daemon():
    """Guards against a daemon that keeps an older template."""
    group = make_group()
    group.run(1.0)
    group.admin(
        "vm4",
        1,
        "template.apply",
        organisation="reclamar",
        body=BODY,
        expect_version=0,
        change_id="a",
    )
    assert group.run(1.0, until=lambda: set(versions(group).values()) == {1})
    group.run(0.1)
    assert group.replies[1].code == "ok"
    assert group.replies[1].body["version"] == 1
