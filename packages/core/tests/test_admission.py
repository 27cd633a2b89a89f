"""Guards the bounded priority queues."""

import pytest
from datapath_world import World, slow

from bronzemoor_core.internal_events import SharesChanged
from bronzemoor_core.templates import RequestClass

URGENT = RequestClass("u", priority=1)
NORMAL = RequestClass("n", priority=5)
LATER = RequestClass("l", priority=9)
CLASSES = (URGENT, NORMAL, LATER, RequestClass("small", queue_limit=2))


@pytest.fixture
def stalled():
    """A world whose requests wait, as it has no connection share."""
    return World(share=0, classes=CLASSES, queue_limit=4)


def codes(world):
    return {ticket: r.outcome.code for ticket, r in world.replies.items()}


def test_the_order_is_priority_then_deadline(stalled):
    """Guards against bulk requests served before claims and payouts."""
    later = stalled.send("l")
    relaxed = stalled.send("n", deadline=stalled.now + 3)
    pressing = stalled.send("n", deadline=stalled.now + 1)
    urgent = stalled.send("u")
    queue = stalled.node.blackboard.queues.databases["stock"]
    order = [entry.wanted.ticket for entry in queue.entries]
    assert order == [urgent, pressing, relaxed, later]


def test_waiting_writes_do_not_stand_in_the_way_of_reads():
    """Guards against reads that wait for replicas behind writes without a primary."""
    world = World(classes=(URGENT, RequestClass("own", "read", priority=9)))
    world.database.primary = ""
    for _ in range(100):
        world.send("u")
    assert world.ask("own", seconds=0.05).outcome.tag == "done"


def test_a_full_queue_displaces_lower_priorities_first(stalled):
    """Guards against a queue full of bulk requests that shuts out claims."""
    first = [stalled.send("l", deadline=stalled.now + 2 + n) for n in range(4)]
    refused = stalled.send("l")
    urgent = stalled.send("u")
    assert codes(stalled) == {refused: "queue_full", first[-1]: "queue_full"}
    assert stalled.replies[refused].outcome.tag == "not_run"
    assert urgent not in stalled.replies
    assert stalled.node.blackboard.queues.depth("stock") == 4


def test_each_class_has_its_limit(stalled):
    """Guards against one class that takes the whole queue."""
    tickets = [stalled.send("small") for _ in range(3)]
    assert codes(stalled) == {tickets[2]: "queue_full"}


def test_a_waiting_request_expires_at_its_deadline(stalled):
    """Guards against replies after the deadline and entries that stay for ever."""
    ticket = stalled.send("n", deadline=stalled.now + 0.5)
    stalled.run(0.52)
    assert codes(stalled) == {ticket: "deadline"}
    assert stalled.node.blackboard.queues.depth("stock") == 0


def test_an_unreachable_deadline_is_refused_at_once():
    """Guards against callers that wait for a refusal that was certain before."""
    world = World(share=2, classes=CLASSES)
    world.fault = slow(0.1)
    for _ in range(30):
        world.send("n", deadline=world.now + 10)
    world.run(1.0)
    ticket = world.send("l", deadline=world.now + 0.3)
    assert codes(world)[ticket] == "deadline_unreachable"
    urgent = world.send("u", deadline=world.now + 0.3)
    assert urgent not in world.replies


def test_waiting_requests_are_served_when_the_share_comes(stalled):
    """Guards against a queue that is not looked at after a change of share."""
    ticket = stalled.send("n")
    stalled.handle(SharesChanged("stock", 2, 1e9))
    stalled.run(0.1)
    assert stalled.replies[ticket].outcome.tag == "done"
