"""Tests of the choice of the new primary and the order of positions."""

import pytest

from bronzemoor_core.actions import Answer
from bronzemoor_core.candidates import choose, last_record
from bronzemoor_core.positions import Position

CENTRES = {"c0": "lisbon", "c1": "porto", "c2": "lisbon"}


def answer(term, offset, history):
    return Answer(0, "ok", term=term, offset=offset, history=history)


def test_term_of_the_last_record_takes_precedence():
    """Guards against replacing confirmed records of a later term by an old primary's
    longer, unconfirmed tail."""
    old, new = answer(4, 105, {4: 0}), answer(5, 103, {4: 0, 5: 100})
    assert choose({"c0": old, "c1": new}, "c0", CENTRES, "c0").member == "c1"
    fenced = answer(6, 105, {4: 0})
    assert last_record(fenced) == Position(4, 105)
    assert last_record(answer(6, 100, {4: 0, 5: 100})) == Position(4, 100)
    assert last_record(answer(0, 0, {})) == Position(0, 0)


@pytest.mark.parametrize(
    ("target", "avoid", "member"),
    [
        ("", {"c0"}, "c2"),
        ("c1", {"c0"}, "c1"),
        ("", set(), "c0"),
        ("", {"c0", "c2"}, "c1"),
    ],
)
def test_choice_among_equal_positions(target, avoid, member):
    """Guards against needlessly moving the primary to another data centre, and against
    a handover that ignores its target."""
    answers = {name: answer(1, 9, {1: 0}) for name in CENTRES}
    assert choose(answers, target, CENTRES, "c0", avoid).member == member
