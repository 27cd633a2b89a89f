"""Performs the steps of a promotion: fence, choose, promote, announce, follow."""

from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.actions import Answer, EmitLog, Order, SendOrder
from bronzemoor_core.candidates import choose, majority
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_core.topology import NEVER

# A promotion without an answer for this long is restarted. This leaves time for two
# orders and keeps the gap in writes under a second.
PROMOTE_TIMEOUT_SECONDS = 0.4
# Time a handover leaves for writes in progress to finish and to reach the target. The
# stop reaches the daemons as fast as the fence reaches the members, so this is all that
# the last statements and their replication have. A target with a lag of 13 ms was
# behind at the fence in 4 of 12 runs with 20 ms, and in none with 25 ms.
HANDOVER_SETTLE_SECONDS = 0.025
# Records that a target may lack at its last answer; they arrive before the fence.
MAX_FENCE_LAG_RECORDS = 10
# A handover that has waited this long for its target fences anyway, and the member that
# is ahead stays primary. Keeps the gap in writes near its target of 100 ms.
HANDOVER_CATCH_UP_TIMEOUT_SECONDS = 0.040
# How long a failover waits for a fenced majority without the failed primary, or a
# handover for its target and the old primary, before any majority is enough.
FENCE_WAIT_SECONDS = 0.150
# Interval between pings while a handover waits for its target.
HANDOVER_PING_INTERVAL_SECONDS = 0.010
# A proposal without an answer is repeated after this long.
PROPOSAL_TIMEOUT_SECONDS = 0.5
# Placeholder for a member's unknown address; connecting to it fails.
UNKNOWN_ADDRESS = "0.0.0.0:0"
# Error code of an order older than the highest term that the member accepted.
STALE_TERM = "stale_term"


@dataclass(slots=True)
class Promotion:
    """The leader's progress with one committed plan, not kept across leaders."""

    database: str
    term: int
    started_at: float
    fencing_since: float = NEVER
    answers: dict[str, Answer] = field(default_factory=dict)
    sent: dict[str, float] = field(default_factory=dict)
    promoting_since: float = NEVER
    promoted: bool = False
    # Offsets during a handover: the old primary's first, the target's latest.
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
    """Returns an order to one member that lists all members of its group.

    Members count majorities by this list, so it is exactly the committed group: members
    with an unknown address are included, endpoints outside the group are not.
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


def may_send(sent: dict[str, float], key: str, now: float, interval: float) -> bool:
    """Returns whether an order may be sent now and, if so, records the time."""
    if now - sent.get(key, NEVER) < interval:
        return False
    sent[key] = now
    return True


def is_accepted(answer: Answer) -> bool:
    """Returns whether a member carried out an order."""
    return answer.status == "ok"


class Promoter:
    """Carries out committed plans at the control leader; every step is idempotent.

    Methods return actions and proposals. ``promotions`` holds the leader's progress.
    """

    def __init__(self, settings: Any, promotions: dict[str, Promotion]) -> None:
        self._settings = settings
        self._promotions = promotions
        self._proposals: dict[str, float] = {}

    def clear(self) -> None:
        """Discards all progress, since a new leader starts from the committed steps."""
        self._promotions.clear()
        self._proposals.clear()

    def clear_proposal(self, database: str) -> None:
        """Allows the next proposal on a database without delay."""
        self._proposals.pop(database, None)

    def remove_promotion(self, database: str) -> Promotion | None:
        """Removes a completed promotion and returns its progress."""
        self.clear_proposal(database)
        return self._promotions.pop(database, None)

    def propose(
        self, now: float, database: str, command: dict[str, Any]
    ) -> list[object]:
        """Proposes a command, one at a time for each database."""
        if not may_send(self._proposals, database, now, PROPOSAL_TIMEOUT_SECONDS):
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
        """Proposes a plan with a term above every known term and ``above``."""
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

    def advance(
        self, now: float, record: Any, database: Any, addresses: dict[str, str]
    ) -> list[object]:
        """Performs the next step of a committed plan."""
        plan = record.plan
        promotion = self._promotions.get(record.name)
        if promotion is None or promotion.term != plan.new_term:
            promotion = Promotion(record.name, plan.new_term, now)
            self._promotions[record.name] = promotion
        if plan.step == "started":
            if plan.kind == "handover" and not _is_ready_to_fence(
                now, promotion, record
            ):
                return self._request_offsets(now, promotion, record, addresses)
            return self._fence(now, promotion, record, database, addresses)
        if promotion.promoted:
            done = {"database": record.name, "term": plan.new_term}
            return self.propose(now, record.name, {"type": "failover.done", **done})
        if promotion.promoting_since == NEVER:
            promotion.promoting_since = now
        if now - promotion.promoting_since > PROMOTE_TIMEOUT_SECONDS:
            return self.start(now, record, "failover", "promotion was not answered")
        return self._promote(now, promotion, record, addresses)

    def record_answer(
        self, now: float, order: Order, answer: Answer, record: Any
    ) -> Any:
        """Records the answer to an order; returns proposals, or None to advance."""
        promotion = self._promotions.get(order.database)
        if promotion is None or record is None or record.plan is None:
            return []
        if order.kind == "ping":
            # The target only has to reach the primary's offset from when writes were
            # being stopped: later records are in flight, and the fence decides.
            if order.member == record.primary:
                promotion.offsets.setdefault(order.member, answer.offset)
            else:
                promotion.offsets[order.member] = answer.offset
            return None
        if promotion.term != order.term or order.kind == "follow":
            return []
        if not is_accepted(answer):
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

    def _request_offsets(
        self, now: float, promotion: Promotion, record: Any, addresses: dict[str, str]
    ) -> list[object]:
        """Asks old primary and target for their offsets before a handover fences."""
        if not may_send(promotion.sent, "ping", now, HANDOVER_PING_INTERVAL_SECONDS):
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
            and may_send(promotion.sent, f"fence {name}", now, timeout)
        ]

    def _candidates(
        self, now: float, promotion: Promotion, record: Any
    ) -> dict[str, Answer]:
        """Returns the answers to choose from, empty while more are awaited.

        A failed primary that can be fenced may still be cut off from its group, so it
        is left out once the others form a majority and thus hold all confirmed records.
        """
        needed, answers = majority(record.group), promotion.answers
        timed_out = now - promotion.fencing_since > FENCE_WAIT_SECONDS
        if record.plan.kind == "handover":
            awaited = {record.primary, record.plan.target} - answers.keys()
        elif record.plan.kind == "failover":
            others = {n: a for n, a in answers.items() if n != record.primary}
            if len(others) >= needed:
                return others
            awaited = {record.primary}
        else:
            awaited = set()
        return answers if len(answers) >= needed and (timed_out or not awaited) else {}

    def _choose(
        self,
        now: float,
        promotion: Promotion,
        record: Any,
        database: Any,
        answers: dict[str, Answer],
    ) -> list[object]:
        members = database.members.values()
        old_primary = record.primary
        if not old_primary:
            old_primary = max(
                (m.name for m in members if m.role == "primary"), default=""
            )
        data_centres = {m.name: m.data_centre for m in members}
        avoid = set(record.draining) | {m.name for m in members if m.leaving}
        if record.plan.kind == "failover":
            avoid.add(record.primary)
        choice = choose(answers, record.plan.target, data_centres, old_primary, avoid)
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
        if not may_send(promotion.sent, "promote", now, timeout):
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


def _is_ready_to_fence(now: float, promotion: Promotion, record: Any) -> bool:
    """Returns whether a handover's target has caught up or the wait has timed out."""
    waited = now - promotion.started_at
    if (
        promotion.fencing_since != NEVER
        or waited > HANDOVER_SETTLE_SECONDS + HANDOVER_CATCH_UP_TIMEOUT_SECONDS
    ):
        return True
    offsets = promotion.offsets
    primary, target = record.primary, record.plan.target
    required_offset = offsets.get(primary, 0) - MAX_FENCE_LAG_RECORDS
    caught_up = primary in offsets and offsets.get(target, -1) >= required_offset
    return caught_up and waited >= HANDOVER_SETTLE_SECONDS
