"""Tests of the search for the control leader."""

from bronzemoor_core.wire.leadersearch import LEADER_TIMEOUT_SECONDS, LeaderSearch

CONTROLS = ["a", "b", "c"]


def find(search: LeaderSearch, now: float, leader: str) -> None:
    assert search.record_answer(now, leader)
    assert search.next_target() == leader


def test_daemons_are_asked_in_turn_until_one_names_the_leader():
    """Guards against a proxy that asks the same unreachable daemon again and again."""
    search = LeaderSearch(CONTROLS)
    assert {search.next_target() for _ in CONTROLS} == set(CONTROLS)
    assert not search.name_leader(1.0, "")
    assert search.name_leader(1.0, "b")
    assert search.next_target() == "b" and search.is_answering(1.0)
    assert not search.name_leader(1.1, "b")
    assert not search.record_answer(1.2, "b")


def test_a_silent_leader_is_lost_once():
    """Guards against a leader that is reported lost again or kept without answers."""
    search = LeaderSearch(CONTROLS)
    find(search, 10.0, "a")
    assert search.lose_silent_leader(10.0 + LEADER_TIMEOUT_SECONDS / 2) == ""
    later = 10.0 + LEADER_TIMEOUT_SECONDS
    assert search.lose_silent_leader(later) == "a"
    assert search.lose_silent_leader(later) == ""
    assert search.leader == ""


def test_a_lost_leader_is_tried_when_it_is_named_and_the_others_are_asked_on():
    """Guards against waiting for a lost leader, and against never returning to it."""
    search = LeaderSearch(CONTROLS)
    find(search, 10.0, "a")
    now = 20.0
    search.lose_silent_leader(now)
    assert search.name_leader(now, "a")
    assert search.leader == "" and not search.is_answering(now)
    assert {search.next_target() for _ in CONTROLS} == set(CONTROLS)
    assert search.name_leader(now, "c") and search.next_target() == "c"
    find(search, now, "a")
    search.lose_silent_leader(now + 1.0)
    find(search, now + 2.0, "b")
    assert search.name_leader(now + 2.1, "a") and search.next_target() == "a"


def test_the_list_of_daemons_follows_the_seeds_and_the_leader():
    """Guards against a proxy that knows only daemons which have left."""
    search = LeaderSearch(CONTROLS)
    search.add_controls(("d", "a"))
    search.set_controls([])
    assert {search.next_target() for _ in range(4)} == {"d", *CONTROLS}
    search.set_controls(["e"])
    assert search.next_target() == "e"
    assert LeaderSearch([]).next_target() == ""
