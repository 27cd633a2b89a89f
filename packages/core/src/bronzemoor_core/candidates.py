"""Selects the members that decide for a group, and the new primary among them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bronzemoor_core.actions import Answer
from bronzemoor_core.positions import Position


@dataclass(slots=True)
class Choice:
    """The member to promote, its last record and why it was chosen."""

    member: str
    position: Position
    reason: str


def majority(group: Iterable[str]) -> int:
    """Returns how many members of a group form a majority."""
    return len(tuple(group)) // 2 + 1


def agreed_group(members: Iterable[Any]) -> list[Any]:
    """Returns a majority of members that announce the same group, or an empty list.

    A misconfigured member alone must not decide the group.
    """
    by_group: dict[tuple[str, ...], list[Any]] = {}
    for member in members:
        if member.name in member.group:
            by_group.setdefault(tuple(sorted(member.group)), []).append(member)
    for group, announcing in sorted(by_group.items()):
        if len(announcing) >= majority(group):
            return announcing
    return []


def last_record(answer: Answer) -> Position:
    """Returns the term and offset of a member's last record.

    A fenced member already answers with the new term, so the term of its last record
    comes from its history. Comparing offsets alone would prefer an old primary's
    unconfirmed tail over confirmed records of a later term.
    """
    terms = [term for term, start in answer.history.items() if start < answer.offset]
    if terms:
        return Position(max(terms), answer.offset)
    return Position(0 if answer.history else answer.term, answer.offset)


def choose(
    answers: dict[str, Answer],
    target: str,
    data_centres: dict[str, str],
    old_primary: str,
    avoid: Iterable[str] = (),
) -> Choice:
    """Chooses the member with the highest position of a fenced majority.

    Ties are broken in this order: the target of a handover, members that are not to be
    avoided, the old primary's data centre, the old primary itself, the first name.
    """
    records = {name: last_record(answer) for name, answer in answers.items()}
    highest = max(records.values())
    tied = sorted(name for name, record in records.items() if record == highest)
    preferred_data_centre = data_centres.get(old_primary)
    ranked = sorted(
        tied,
        key=lambda name: (
            name != target,
            name in avoid,
            data_centres.get(name) != preferred_data_centre,
            name != old_primary,
        ),
    )
    chosen = ranked[0]
    if chosen == target:
        reason = "target of the handover, nobody is ahead of it"
    elif len(tied) == 1:
        reason = "highest position of the fenced majority"
    elif data_centres.get(chosen) == preferred_data_centre:
        reason = "highest position, in the old primary's data centre"
    else:
        reason = "highest position"
    return Choice(chosen, highest, reason)
