"""Tests of the division of connections among organisations."""

from collections import Counter
from types import SimpleNamespace

from bronzemoor_core.wire.connectionshares import (
    MAX_IDLE_SECONDS,
    MAX_LEAD,
    MAX_OPENING_DELAY_SECONDS,
    ConnectionShares,
    choose_next,
)
from bronzemoor_core.wire.waiting import Waiter, WaitingQueue, make_rank


def idle(caller, since):
    return SimpleNamespace(caller=caller, idle_since=since)


def test_the_connection_that_is_needed_least_is_closed():
    """Guards against closing the only connection of an organisation that uses it."""
    shares = ConnectionShares()
    for at in range(100):
        shares.record_use(at, "often", 1)
    shares.record_use(50, "often", 2)
    shares.record_use(98, "seldom", 1)
    held = Counter(often=2, seldom=1, unused=1)
    connections = [idle("often", 99), idle("seldom", 98), idle("unused", 99)]
    choose = shares.choose_evicted
    assert choose(100, connections, held, "new") is connections[2]
    assert choose(100, connections[:2], held, "new") is connections[0]
    held["often"] = 1
    assert choose(100, connections[:2], held, "new") is connections[1]
    assert choose(100, connections[1:2], held, "seldom") is None


def test_idle_connections_beyond_half_of_the_limit_are_kept_only_in_demand():
    """Guards against a member that has no room for a lost owner's successor."""
    shares = ConnectionShares()
    for at in range(100):
        shares.record_use(at, "often", 1)
    connections = [idle("often", 99), *(idle(f"o{n}", 90 + n) for n in range(7))]
    held = Counter(item.caller for item in connections)
    surplus = shares.choose_surplus(100, connections, held, 8, 0.7)
    assert surplus == connections[1:5]
    left = [item for item in connections if item not in surplus]
    held = Counter(item.caller for item in left)
    assert shares.choose_surplus(100, left, held, 8, 0.7) == []
    later = 100 + MAX_IDLE_SECONDS
    assert shares.choose_surplus(later, left, held, 8, 0.7) == left[1:] + left[:1]


def test_a_connection_is_opened_early_only_if_those_in_use_stay_so():
    """Guards against an opening where one's own connection is about to be free."""
    shares = ConnectionShares()
    assert shares.opening_delay(held=0, waiting=1, mean_hold=0.001) == 0
    assert 0 < shares.opening_delay(1, 1, 0.005) <= MAX_OPENING_DELAY_SECONDS
    assert shares.opening_delay(1, 20, 0.005) == 0


def test_a_released_connection_makes_room_for_the_first_in_order():
    """Guards against an organisation that keeps all connections by its backlog."""
    queue = WaitingQueue()
    for caller in ["hot"] * 10 + ["other"]:
        queue.add(Waiter(make_rank(False, 1, 1), caller, 0.0, 1.0, None))
    for _ in range(MAX_LEAD):
        assert choose_next(0.0, queue, "hot", lambda waiter: True) is None
        queue.serve(queue.first(0.0, "hot"))
    assert choose_next(0.0, queue, "hot", lambda waiter: False) is None
    assert choose_next(0.0, queue, "hot", lambda waiter: True).caller == "other"
