"""Tests of the decisions about members of the control group."""

import pytest

from bronzemoor_core.reconfiguration import ADD, REMOVE
from bronzemoor_core.wire.controlgroup import ControlGroup, GroupChange

SILENT_AFTER = 2.0


def make_group(voters="abc", learners="", last_replies=None, losses=1, led_since=0.0):
    last_replies = last_replies or dict.fromkeys(f"{voters}{learners}", 9.9)
    last_replies.pop("a", None)
    return ControlGroup(
        "a", list(voters), list(learners), last_replies, SILENT_AFTER, losses, led_since
    )


def test_the_place_of_a_lost_voter_is_given_away_and_no_other():
    """Guards against a group that takes in daemons without end."""
    assert make_group().change_for(10.0, "d") is None
    group = make_group(last_replies={"b": 9.9, "c": 7.9})
    assert group.change_for(10.0, "d") == GroupChange(ADD, "d", replaces="c")
    assert group.change_for(10.0, "c") is None
    group = make_group("abcd", last_replies={"b": 9.9, "c": 7.9, "d": 9.9})
    assert group.change_for(10.0, "e") is None
    assert group.surplus_change(10.0) == GroupChange(REMOVE, "c")


def test_the_newest_voter_leaves_once_all_voters_answer():
    """Guards against a group that stays larger than it should be."""
    assert make_group("abcd").surplus_change(10.0) == GroupChange(REMOVE, "d")
    assert make_group("abcd", learners="e").surplus_change(10.0) is None


def test_a_new_leader_removes_nobody_before_it_knows_who_is_lost():
    """Guards against the removal of a live voter while a lost one stays."""
    group = make_group("abcd", led_since=9.9)
    assert group.surplus_change(10.0) is None
    group = make_group("abcd", last_replies={"b": 9.9, "c": 8.5, "d": 9.9})
    assert group.surplus_change(10.0) is None


@pytest.mark.parametrize("losses", [0, 1, 2])
def test_no_group_shrinks_below_its_smallest_size(losses):
    """Guards against a removal that the log refuses again and again."""
    assert make_group("abc", losses=losses).surplus_change(10.0) is None
