"""Guards the life cycle of requests and their outcomes."""

import json

from datapath_world import World


def test_a_write_is_confirmed_and_then_read_by_its_session():
    """Guards against a session that does not read its own write from a replica."""
    world = World()
    written = world.ask("post", "order-1")
    assert written.outcome.tag == "done"
    read = world.ask("own", session=written.session)
    assert read.outcome.tag == "done"
    assert json.loads(read.outcome.payload) == ["order-1"]
    assert read.outcome.role == "replica"
