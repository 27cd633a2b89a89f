"""Tests of the bounded priority queues."""

import pytest
from datapath_world import World, slow

from bronzemoor_core.internal_events import SharesChanged
from bronzemoor_core.templates import RequestClass

URGENT = RequestClass("u", priority=1)
NORMAL = RequestClass("n", priority=5)
BULK = RequestClass("l", priority=9)
CLASSES = (URGENT, NORMAL, BULK, RequestClass("small", queue_limit=2))


@pytest.fixture
def blocked_world():
    """A world whose requests wait because it has no connection share."""
    return World(share=0, classes=CLASSES, queue_limit=4)


def codes(world):
    return {ticket: r.outcome.code for ticket, r in world.replies.items()}


def test_the_queue_is_ordered_by_priority_then_deadline(blocked_world):
    """Guards against bulk requests that are served before urgent ones."""
    bulk = blocked_world.send("l")
    late = blocked_world.send("n", deadline=blocked_world.now + 3)
    early = blocked_world.send("n", deadline=blocked_world.now + 1)
    urgent = blocked_world.send("u")
    queue = blocked_world.node.blackboard.queues.databases["stock"]
    order = [entry.wanted.ticket for entry in queue.entries]
    assert order == [urgent, early, late, bulk]


def test_waiting_writes_do_not_block_reads():
    """Guards against reads at replicas that queue behind writes without a primary."""
    world = World(classes=(URGENT, RequestClass("own", "read", priority=9)))
    world.database.primary = ""
    for _ in range(100):
        world.send("u")
    assert world.ask("own", seconds=0.05).outcome.tag == "done"


def test_a_full_queue_displaces_lower_priorities_first(blocked_world):
    """Guards against a queue full of bulk requests that refuses urgent ones."""
    first = [
        blocked_world.send("l", deadline=blocked_world.now + 2 + n) for n in range(4)
    ]
    refused = blocked_world.send("l")
    urgent = blocked_world.send("u")
    assert codes(blocked_world) == {refused: "queue_full", first[-1]: "queue_full"}
    assert blocked_world.replies[refused].outcome.tag == "not_run"
    assert urgent not in blocked_world.replies
    assert blocked_world.node.blackboard.queues.depth("stock") == 4


def test_each_request_class_has_its_own_queue_limit(blocked_world):
    """Guards against one request class that fills the whole queue."""
    tickets = [blocked_world.send("small") for _ in range(3)]
    assert codes(blocked_world) == {tickets[2]: "queue_full"}


def test_a_waiting_request_expires_at_its_deadline(blocked_world):
    """Guards against replies after the deadline and entries that are never removed."""
    ticket = blocked_world.send("n", deadline=blocked_world.now + 0.5)
    blocked_world.run(0.52)
    assert codes(blocked_world) == {ticket: "deadline"}
    assert blocked_world.node.blackboard.queues.depth("stock") == 0


def test_an_unreachable_deadline_is_refused_at_once():
    """Guards against callers that wait although the deadline cannot be met."""
    world = World(share=2, classes=CLASSES)
    world.fault = slow(0.1)
    for _ in range(30):
        world.send("n", deadline=world.now + 10)
    world.run(1.0)
    ticket = world.send("l", deadline=world.now + 0.3)
    assert codes(world)[ticket] == "deadline_unreachable"
    urgent = world.send("u", deadline=world.now + 0.3)
    assert urgent not in world.replies


def test_waiting_requests_are_served_when_the_share_grows(blocked_world):
    """Guards against a queue that is not served after a change of share."""
    ticket = blocked_world.send("n")
    blocked_world.handle(SharesChanged("stock", 2, 1e9))
    blocked_world.run(0.1)
    assert blocked_world.replies[ticket].outcome.tag == "done"
