"""Steps of a promotion: fence a majority, choose, promote, announce, follow."""

from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.actions import Answer, EmitLog, Order, SendOrder
from bronzemoor_core.candidates import choose, majority
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_core.topology import NEVER

# A promotion that is not answered for this long is chosen again, seconds. Two orders
# fit in it, and the gap stays under a second.
PROMOTE_LIMIT = 0.4
# A handover first lets writes in progress finish and reach the target, seconds: the
# stop reaches the daemons as fast as the fence reaches the members, so this is what
# remains for the last statements and their replication. With 20 ms a target that lags
# by 13 ms was behind at the fence in 4 of 12 runs, with 25 ms in none.
HANDOVER_SETTLE = 0.025
# Records that a target may lack when it is last asked; they arrive before the fence.
HANDOVER_SLACK = 10
# A handover that waited this long for its target fences anyway, seconds; then the
# member that is ahead stays primary. Keeps the gap near its target of 100 ms.
HANDOVER_LIMIT = 0.040
# How long a fence waits for a majority without the failed primary, or in a handover
# for target and old primary, before a plain majority is enough, seconds.
FENCE_WAIT = 0.150
# Interval between pings while a handover waits, seconds.
HANDOVER_PING = 0.010
# A proposal without an answer is repeated after this long, seconds.
PROPOSAL_TIMEOUT = 0.5
# Stands for a member's address that is not known; connecting to it fails.
UNKNOWN_ADDRESS = "0.0.0.0:0"
# Code of an order that is older than the highest term which the member accepted.
STALE_TERM = "stale_term"


@dataclass(slots=True)
class Promotion:
    """The leader's progress with one committed plan; lost with the leader."""

    database: str
    term: int
    started_at: float
    fencing_since: float = NEVER
    answers: dict[str, Answer] = field(default_factory=dict)
    sent: dict[str, float] = field(default_factory=dict)
    promoting_since: float = NEVER
    promoted: bool = False
    # Offsets while a handover waits: the old primary's first, the target's newest.
    offsets: dict[str, int] = field(default_factory=dict)


def make_order(
    kind: str,
    record: Any,
    member: str,
    addresses: dict[str, str],
    term: int,
    primary: str = "",
    start_offset: int = 0,
) -> Order:
    """Returns an order to one member that names all members of its group.

    The members count majorities by this list, so it is the committed group, neither
    less for an unknown address nor more for an endpoint outside the group.
    """
    return Order(
        kind=kind,
        correlation_id=0,
        database=record.name,
        member=member,
        address=addresses[member],
        term=term,
        primary=primary,
        start_offset=start_offset,
        members={n: addresses.get(n, UNKNOWN_ADDRESS) for n in record.group},
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


class Promoter:
    """Drives committed plans at the control leader; every step may be repeated.

    A method returns actions and proposals. ``promotions`` is the leader's progress.
    """

    def __init__(self, settings: Any, promotions: dict[str, Promotion]) -> None:
        self._settings = settings
        self._promotions = promotions
        self._proposals: dict[str, float] = {}

    def clear(self) -> None:
        """Forgets all progress, as a new leader starts from the committed steps."""
        self._promotions.clear()
        self._proposals.clear()

    def forget(self, database: str) -> None:
        """Allows the next proposal on a database at once."""
        self._proposals.pop(database, None)

    def finish(self, database: str) -> Promotion | None:
        """Forgets a promotion that is done and returns its progress."""
        self.forget(database)
        return self._promotions.pop(database, None)

    def propose(
        self, now: float, database: str, command: dict[str, Any]
    ) -> list[object]:
        """Proposes a command, one at a time for each database."""
        if not due(self._proposals, database, now, PROPOSAL_TIMEOUT):
            return []
        return [CommandProposed(command, ("failover", database))]

    def start(
        self,
        now: float,
        record: Any,
        kind: str,
        reason: str,
        target: str = "",
        above: int = 0,
    ) -> list[object]:
        """Proposes a plan with a new term above every known one."""
        new_term = max(record.highest_term, above) + 1
        command = {
            "type": "failover.start",
            "database": record.name,
            "kind": kind,
            "old_term": record.highest_term,
            "new_term": new_term,
            "reason": reason,
            "target": target,
            "change_id": f"auto:{record.name}:{new_term}",
        }
        return self.propose(now, record.name, command)

    def drive(
        self, now: float, record: Any, database: Any, addresses: dict[str, str]
    ) -> list[object]:
        """Takes the next step of a committed plan."""
        plan = record.plan
        promotion = self._promotions.get(record.name)
        if promotion is None or promotion.term != plan.new_term:
            promotion = Promotion(record.name, plan.new_term, now)
            self._promotions[record.name] = promotion
        if plan.step == "started":
            if plan.kind == "handover" and not _settled(now, promotion, record):
                return self._wait(now, promotion, record, addresses)
            return self._fence(now, promotion, record, database, addresses)
        if promotion.promoted:
            done = {"database": record.name, "term": plan.new_term}
            return self.propose(now, record.name, {"type": "failover.done", **done})
        if promotion.promoting_since == NEVER:
            promotion.promoting_since = now
        if now - promotion.promoting_since > PROMOTE_LIMIT:
            return self.start(now, record, "failover", "promotion was not answered")
        return self._promote(now, promotion, record, addresses)

    def answered(self, now: float, order: Order, answer: Answer, record: Any) -> Any:
        """Takes the answer to an order; returns proposals, or None to drive on."""
        promotion = self._promotions.get(order.database)
        if promotion is None or record is None or record.plan is None:
            return []
        if order.kind == "ping":
            # The target only has to reach what the primary held when writes were being
            # stopped: what came later is on its way, and the fence decides.
            if order.member == record.primary:
                promotion.offsets.setdefault(order.member, answer.offset)
            else:
                promotion.offsets[order.member] = answer.offset
            return None
        if promotion.term != order.term or order.kind == "follow":
            return []
        if not accepted(answer):
            fields = {"database": order.database, "member": order.member}
            log = EmitLog(
                "warning", f"{order.kind}_refused", fields | {"code": answer.code}
            )
            if order.kind == "fence" and answer.code != STALE_TERM:
                return [log]
            above = max(answer.term, order.term)
            reason = f"{order.kind} refused: {answer.code}"
            restart = self.start(now, record, record.plan.kind, reason, "", above)
            return [log, *restart]
        if order.kind == "fence":
            promotion.answers[order.member] = answer
        else:
            promotion.promoted = True
        return None

    def _wait(
        self, now: float, promotion: Promotion, record: Any, addresses: dict[str, str]
    ) -> list[object]:
        """Asks old primary and target for their offsets before a handover fences."""
        if not due(promotion.sent, "ping", now, HANDOVER_PING):
            return []
        names = [n for n in (record.primary, record.plan.target) if n in addresses]
        return [
            SendOrder(
                make_order("ping", record, name, addresses, promotion.term),
                self._settings.timers.order_timeout,
            )
            for name in names
        ]

    def _fence(
        self,
        now: float,
        promotion: Promotion,
        record: Any,
        database: Any,
        addresses: dict[str, str],
    ) -> list[object]:
        if promotion.fencing_since == NEVER:
            promotion.fencing_since = now
        candidates = self._candidates(now, promotion, record)
        if candidates:
            return self._choose(now, promotion, record, database, candidates)
        timeout = self._settings.timers.order_timeout
        return [
            SendOrder(
                make_order("fence", record, name, addresses, promotion.term),
                timeout,
            )
            for name in record.group
            if name in addresses
            and name not in promotion.answers
            and due(promotion.sent, f"fence {name}", now, timeout)
        ]

    def _candidates(
        self, now: float, promotion: Promotion, record: Any
    ) -> dict[str, Answer]:
        """Returns the answers to choose from, or none while more are awaited.

        A failed primary that can be fenced may still be cut off from its group, and
        every confirmed record is on a majority of the others, so it is left out.
        """
        needed, answers = majority(record.group), promotion.answers
        late = now - promotion.fencing_since > FENCE_WAIT
        if record.plan.kind == "handover":
            awaited = {record.primary, record.plan.target} - answers.keys()
        elif record.plan.kind == "failover":
            others = {n: a for n, a in answers.items() if n != record.primary}
            if len(others) >= needed:
                return others
            awaited = {record.primary}
        else:
            awaited = set()
        return answers if len(answers) >= needed and (late or not awaited) else {}

    def _choose(
        self,
        now: float,
        promotion: Promotion,
        record: Any,
        database: Any,
        answers: dict[str, Answer],
    ) -> list[object]:
        members = database.members.values()
        old = record.primary
        if not old:
            old = max((m.name for m in members if m.role == "primary"), default="")
        centres = {m.name: m.data_centre for m in members}
        avoid = set(record.draining) | {m.name for m in members if m.leaving}
        if record.plan.kind == "failover":
            avoid.add(record.primary)
        choice = choose(answers, record.plan.target, centres, old, avoid)
        command = {
            "type": "failover.choose",
            "database": record.name,
            "term": promotion.term,
            "member": choice.member,
            "start_offset": choice.position.offset,
            "position_term": choice.position.term,
            "reason": choice.reason,
        }
        return self.propose(now, record.name, command)

    def _promote(
        self, now: float, promotion: Promotion, record: Any, addresses: dict[str, str]
    ) -> list[object]:
        plan, timeout = record.plan, self._settings.timers.order_timeout
        if plan.chosen not in addresses:
            return []
        if not due(promotion.sent, "promote", now, timeout):
            return []
        order = make_order(
            "promote",
            record,
            plan.chosen,
            addresses,
            plan.new_term,
            plan.chosen,
            plan.start_offset,
        )
        return [SendOrder(order, timeout)]


def _settled(now: float, promotion: Promotion, record: Any) -> bool:
    """Tells whether a handover's target has caught up, or was waited for."""
    waited = now - promotion.started_at
    if promotion.fencing_since != NEVER or waited > HANDOVER_SETTLE + HANDOVER_LIMIT:
        return True
    offsets = promotion.offsets
    primary, target = record.primary, record.plan.target
    wanted = offsets.get(primary, 0) - HANDOVER_SLACK
    caught_up = primary in offsets and offsets.get(target, -1) >= wanted
    return caught_up and waited >= HANDOVER_SETTLE
