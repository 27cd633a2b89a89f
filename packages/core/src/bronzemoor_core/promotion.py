"""Steps of a promotion: fence a majority, choose, promote, announce, follow."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.actions import Answer, Order, SendOrder
from bronzemoor_core.positions import Position
from bronzemoor_core.topology import NEVER

# A promotion that is not answered for this long is chosen again, seconds. Two orders
# fit in it, and the gap stays under a second.
PROMOTE_LIMIT = 0.4


@dataclass(slots=True)
class Promotion:
    """The leader's progress with one committed plan; lost with the leader."""

    database: str
    term: int
    started_at: float
    answers: dict[str, Answer] = field(default_factory=dict)
    sent: dict[str, float] = field(default_factory=dict)
    promoting_since: float = NEVER
    promoted: bool = False
    # Positions by member while a planned handover waits for its target.
    positions: dict[str, Position] = field(default_factory=dict)


@dataclass(slots=True)
class Choice:
    """The member to promote, its last record and why it was chosen."""

    member: str
    position: Position
    reason: str


def majority(group: Iterable[str]) -> int:
    """Returns how many members of a group form a majority."""
    return len(tuple(group)) // 2 + 1


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
    answers: dict[str, Answer], target: str, data_centres: dict[str, str], old: str
) -> Choice:
    """Chooses the highest position of a fenced majority.

    Among equals the target of a handover comes first, then the old primary's own data
    centre, then the old primary itself, then the first name.
    """
    records = {name: last_record(answer) for name, answer in answers.items()}
    highest = max(records.values())
    equals = sorted(name for name, record in records.items() if record == highest)
    home = data_centres.get(old)
    ranked = sorted(
        equals,
        key=lambda name: (name != target, data_centres.get(name) != home, name != old),
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


def make_order(
    kind: str,
    correlation_id: int,
    database: str,
    member: str,
    addresses: dict[str, str],
    term: int,
    primary: str = "",
    start_offset: int = 0,
) -> Order:
    """Returns an order to one member that names all members of its group."""
    return Order(
        kind=kind,
        correlation_id=correlation_id,
        database=database,
        member=member,
        address=addresses[member],
        term=term,
        primary=primary,
        start_offset=start_offset,
        members=dict(addresses),
    )


def due(sent: dict[str, float], key: str, now: float, interval: float) -> bool:
    """Tells whether an order may be sent (again), and notes that it is."""
    if now - sent.get(key, NEVER) < interval:
        return False
    sent[key] = now
    return True


def accepted(answer: Answer) -> bool:
    """Tells whether a member carried out an order."""
    return answer.status == "ok"


def fence_orders(
    now: float,
    promotion: Promotion,
    record: Any,
    addresses: dict[str, str],
    timers: Any,
) -> list[SendOrder]:
    """Returns the fence orders that are due to members that did not answer yet."""
    return [
        SendOrder(
            make_order("fence", 0, record.name, name, addresses, promotion.term),
            timers.order_timeout,
        )
        for name in record.group
        if name in addresses
        and name not in promotion.answers
        and due(promotion.sent, f"fence {name}", now, timers.order_timeout)
    ]


def promote_order(
    now: float,
    promotion: Promotion,
    record: Any,
    addresses: dict[str, str],
    timers: Any,
) -> list[SendOrder]:
    """Returns the promote order if it is due."""
    plan = record.plan
    if plan.chosen not in addresses:
        return []
    if not due(promotion.sent, "promote", now, timers.order_timeout):
        return []
    order = make_order(
        "promote",
        0,
        record.name,
        plan.chosen,
        addresses,
        plan.new_term,
        plan.chosen,
        plan.start_offset,
    )
    return [SendOrder(order, timers.order_timeout)]
