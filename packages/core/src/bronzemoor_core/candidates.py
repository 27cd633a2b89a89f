"""Which members decide for a group, and which of them becomes primary."""

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
    """Returns the members that announce one group of which they are a majority, or
    none; a misconfigured member alone must not decide the group."""
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
    is read from its history. Comparing offsets alone would prefer an old primary's
    unconfirmed tail to confirmed records of a later term.
    """
    terms = [term for term, start in answer.history.items() if start < answer.offset]
    if terms:
        return Position(max(terms), answer.offset)
    return Position(0 if answer.history else answer.term, answer.offset)


def choose(
    answers: dict[str, Answer],
    target: str,
    data_centres: dict[str, str],
    old: str,
    avoid: Iterable[str] = (),
) -> Choice:
    """Chooses the highest position of a fenced majority.

    Among equals the target of a handover comes first, then members that are not to be
    avoided, then the old primary's own data centre, then the old primary itself, then
    the first name.
    """
    records = {name: last_record(answer) for name, answer in answers.items()}
    highest = max(records.values())
    equals = sorted(name for name, record in records.items() if record == highest)
    home = data_centres.get(old)
    ranked = sorted(
        equals,
        key=lambda name: (
            name != target,
            name in avoid,
            data_centres.get(name) != home,
            name != old,
        ),
    )
    chosen = ranked[0]
    if chosen == target:
        reason = "target of the handover, nobody is ahead of it"
    elif len(equals) == 1:
        reason = "highest position of the fenced majority"
    elif data_centres.get(chosen) == home:
        reason = "highest position, in the old primary's data centre"
    else:
        reason = "highest position"
    return Choice(chosen, highest, reason)
