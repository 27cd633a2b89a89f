"""Tests of the replicated log on a control group of one."""

from random import Random

from bronzemoor_core.actions import PersistLog
from bronzemoor_core.events import CommandProposed, StorageRecovered, StorageSynced
from bronzemoor_core.node import make_node
from bronzemoor_core.settings import NodeSettings


def test_a_group_of_one_elects_itself_and_commits():
    """Guards against a demo that waits for peers which do not exist."""
    settings = NodeSettings("vm-1", "lisbon", control=True, control_members=("vm-1",))
    node = make_node(settings, Random(1))
    actions = node.handle(0.0, StorageRecovered(None, []))
    actions += node.handle(0.1, CommandProposed({"type": "noop"}, "me"))
    for action in actions:
        if isinstance(action, PersistLog):
            node.handle(0.2, StorageSynced(action.sequence))
    assert node.blackboard.log.role == "leader"
    assert node.blackboard.log.commit_index >= 1
