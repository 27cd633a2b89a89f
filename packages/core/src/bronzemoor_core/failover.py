"""Failure detection and the steps of a promotion."""

from dataclasses import dataclass
from typing import Any

from bronzemoor_core.actions import EmitLog, EmitMetric, SendOrder
from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.detectors import (
    EVIDENCE_HEARTBEATS,
    Evidence,
    Observations,
    find_evidence,
)
from bronzemoor_core.events import (
    AnnouncementReceived,
    CommandCompleted,
    CommandProposed,
    LeadershipChanged,
    MemberSuspected,
    OrderAnswered,
    OrderFailed,
    PeerMessageReceived,
    PositionObserved,
    PrimaryChanged,
    StateChanged,
    Tick,
)
from bronzemoor_core.messages import Heartbeat, MemberSummary
from bronzemoor_core.promotion import (
    PROMOTE_LIMIT,
    Promotion,
    accepted,
    choose,
    due,
    fence_orders,
    majority,
    make_order,
    promote_order,
)
from bronzemoor_core.topology import NEVER

# How often evidence is collected and plans are driven, seconds.
CHECK_INTERVAL = 0.02
# Interval between pings of a suspected primary and its group, seconds.
PING_INTERVAL = 0.05
# Failed pings that count as evidence. One may be lost; two lost in a row while
# another vantage point reports the primary are one in 10,000 reports at 1% loss.
FAILED_PINGS = 2
# A primary that a majority confirmed this recently (ms) works, whatever others say.
CONFIRMED_LIMIT_MS = 400
# A proposal without an answer is repeated after this long, seconds.
PROPOSAL_TIMEOUT = 0.5
# A new leader collects announcements for this long before it appoints or suspects.
SETTLE_TIME = 0.3
# Interval between follow orders to a member that is out of step, seconds.
FOLLOW_INTERVAL = 0.5


@dataclass(slots=True)
class Investigation:
    """Pings of the leader to a suspected primary and its group."""

    member: str
    term: int
    opened_at: float
    failures: int = 0
    answered_at: float = NEVER
    confirmed_ago_ms: int = -1
    # When each other member last answered.
    others: dict[str, float] | None = None


@section("failover")
class FailoverPlans:
    """``local`` is this daemon's evidence; the rest is the leader's."""

    __slots__ = ("evidence", "investigations", "local", "promotions")

    def __init__(self) -> None:
        self.local: list[tuple[str, Evidence]] = []
        # By database, then by (vantage point, detector).
        self.evidence: dict[str, dict[tuple[str, str], Evidence]] = {}
        self.investigations: dict[str, Investigation] = {}
        self.promotions: dict[str, Promotion] = {}


@controller("failover")
class Failover(Controller):
    """Owns the failover section."""

    _own: FailoverPlans

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._seen = Observations()
        self._checked = NEVER
        self._proposals: dict[str, float] = {}
        self._sent: dict[str, float] = {}
        self._addresses: dict[str, dict[str, str]] = {}

    # --- evidence

    @handles(AnnouncementReceived)
    def announce(self, now: float, event: AnnouncementReceived) -> None:
        a = event.announcement
        database = self._blackboard.topology.databases[a.database]
        member = database.members.get(a.member)
        if member is None or member.announced_at != now:
            return
        key = (a.database, a.member)
        self._seen.announced[key] = now
        if a.role == "primary":
            self._seen.demoted.pop(key, None)
        else:
            self._seen.demoted.setdefault(key, now)
        self._learn(now, a.database, a.member, a.unreachable)

    @handles(PeerMessageReceived)
    def receive(self, now: float, event: PeerMessageReceived) -> None:
        message = event.message
        if not isinstance(message, Heartbeat):
            return
        for held in self._own.evidence.values():
            for key in [key for key in held if key[0] == event.sender]:
                del held[key]
        for s in message.suspicions:
            database = self._blackboard.topology.databases.get(s.database)
            if database is not None and s.term == database.term:
                since = now - s.age_ms / 1000
                evidence = Evidence(event.sender, s.detector, s.member, since, now)
                self._add(s.database, evidence)
        for summary in message.members:
            self._learn_summary(now, summary)

    @handles(MemberSuspected)
    def suspect(self, now: float, event: MemberSuspected) -> None:
        self._seen.suspected[event.database, event.member] = now

    @handles(PositionObserved)
    def observe(self, now: float, event: PositionObserved) -> None:
        self._seen.suspected.pop((event.database, event.member), None)

    def _learn_summary(self, now: float, summary: MemberSummary) -> None:
        heard = now - summary.age_ms / 1000
        unreachable = tuple(summary.unreachable)
        self._learn(heard, summary.database, summary.member, unreachable)

    def _learn(
        self, now: float, database: str, member: str, unreachable: tuple[str, ...]
    ) -> None:
        """Takes a member's list of unreachable members as its evidence."""
        held = self._own.evidence.setdefault(database, {})
        key = (member, "member")
        primary = self._blackboard.topology.databases[database].primary
        if primary and primary in unreachable:
            since = held[key].since if key in held else now
            held[key] = Evidence(member, "member", primary, since, now)
        else:
            held.pop(key, None)

    def _add(self, database: str, evidence: Evidence) -> None:
        held = self._own.evidence.setdefault(database, {})
        held[evidence.vantage, evidence.detector] = evidence

    # --- orders

    @handles(OrderAnswered)
    def answered(self, now: float, event: OrderAnswered) -> list[object] | None:
        order, answer = event.order, event.answer
        if order.kind == "ping":
            self._pinged(now, order.database, order.member, answer)
            return None
        promotion = self._own.promotions.get(order.database)
        record = self._blackboard.state.databases.get(order.database)
        if record is None or promotion is None or promotion.term != order.term:
            return None
        if not accepted(answer):
            if answer.term > order.term:
                return self._restart(now, record, answer.term, "higher term found")
            return None
        if order.kind == "fence":
            promotion.answers[order.member] = answer
        elif order.kind == "promote":
            promotion.promoted = True
        return self._drive(now, record)

    @handles(OrderFailed)
    def failed(self, now: float, event: OrderFailed) -> None:
        order = event.order
        investigation = self._own.investigations.get(order.database)
        if order.kind != "ping" or investigation is None:
            return
        if order.member == investigation.member:
            investigation.failures += 1

    def _pinged(self, now: float, database: str, member: str, answer: Any) -> None:
        investigation = self._own.investigations.get(database)
        if investigation is None:
            return
        if member != investigation.member:
            assert investigation.others is not None
            investigation.others[member] = now
        elif accepted(answer) and answer.role == "primary":
            investigation.failures = 0
            investigation.answered_at = now
            investigation.confirmed_ago_ms = answer.confirmed_ago_ms
        else:
            investigation.failures += 1

    # --- decisions of the control leader

    @handles(LeadershipChanged)
    def lead(self, now: float, event: LeadershipChanged) -> None:
        self._proposals.clear()
        self._own.promotions.clear()
        self._own.investigations.clear()

    @handles(Tick)
    def tick(self, now: float, event: Tick) -> list[object] | None:
        if now - self._checked < CHECK_INTERVAL:
            return None
        self._checked = now
        board = self._blackboard
        timers, databases = self._settings.timers, board.topology.databases
        name = self._settings.name
        self._own.local = list(find_evidence(now, self._seen, databases, timers, name))
        if not board.topology.is_leader:
            return None
        self._collect(now)
        out: list[object] = []
        for database in databases.values():
            out += self._check(now, database)
        return out

    def _collect(self, now: float) -> None:
        """Adds this daemon's own evidence and drops what is no longer confirmed."""
        timers = self._settings.timers
        limit = EVIDENCE_HEARTBEATS * timers.daemon_heartbeat_interval
        own = self._settings.name
        for held in self._own.evidence.values():
            for key, evidence in tuple(held.items()):
                kept = timers.announcement_lease if key[1] == "member" else limit
                if key[0] == own or now - evidence.seen > kept:
                    del held[key]
        for database, evidence in self._own.local:
            self._add(database, evidence)

    def _check(self, now: float, database: Any) -> list[object]:
        record = self._blackboard.state.databases.get(database.name)
        if record is not None and record.plan is not None:
            return self._drive(now, record)
        if record is None or not record.primary:
            return self._appoint(now, database, record)
        out = self._align(now, database, record)
        evidence = self._standing(database)
        if not evidence:
            self._own.investigations.pop(database.name, None)
            return out
        return out + self._investigate(now, database, record, evidence)

    def _standing(self, database: Any) -> list[Evidence]:
        held = self._own.evidence.get(database.name, {})
        return [e for e in held.values() if e.member == database.primary]

    def _investigate(
        self, now: float, database: Any, record: Any, evidence: list[Evidence]
    ) -> list[object]:
        investigation = self._own.investigations.get(database.name)
        if investigation is None or investigation.member != record.primary:
            investigation = Investigation(record.primary, record.term, now, others={})
            self._own.investigations[database.name] = investigation
        out: list[object] = []
        addresses = self._known_addresses(database)
        if due(self._sent, f"ping {database.name}", now, PING_INTERVAL):
            for name in record.group:
                if name in addresses:
                    order = make_order(
                        "ping", 0, database.name, name, addresses, record.term
                    )
                    out.append(
                        SendOrder(order, self._settings.timers.suspicion_timeout)
                    )
        if self._convicts(now, record, investigation, evidence):
            reason = ",".join(sorted({e.detector for e in evidence}))
            out += self._start(now, record, "failover", reason, record.highest_term + 1)
        return out

    def _convicts(
        self, now: float, record: Any, found: Investigation, evidence: list[Evidence]
    ) -> bool:
        """Tells whether two vantage points agree and the group can be reached."""
        others = found.others or {}
        reachable = [n for n, at in others.items() if now - at <= SETTLE_TIME]
        if len(reachable) < majority(record.group):
            return False
        return found.failures >= FAILED_PINGS and bool(evidence)

    def _appoint(self, now: float, database: Any, record: Any) -> list[object]:
        """Starts the first appointment once a majority of the group announced."""
        topology = self._blackboard.topology
        if now - topology.leader_since < SETTLE_TIME or not database.group:
            return []
        agreeing = [m for m in database.members.values() if m.group == database.group]
        if len(agreeing) < majority(database.group):
            return []
        term = max(m.position.term for m in agreeing)
        record_term = record.highest_term if record else 0
        if record_term:
            term = max(term, record_term)
        return self._propose(
            now,
            database.name,
            {
                "type": "failover.start",
                "database": database.name,
                "kind": "appointment",
                "old_term": record_term or term,
                "new_term": term + 1,
                "group": list(database.group),
                "reason": "no primary was known",
                "change_id": f"auto:{database.name}:{term + 1}",
            },
        )

    def _start(
        self, now: float, record: Any, kind: str, reason: str, new_term: int
    ) -> list[object]:
        command = {
            "type": "failover.start",
            "database": record.name,
            "kind": kind,
            "old_term": record.highest_term,
            "new_term": new_term,
            "reason": reason,
            "change_id": f"auto:{record.name}:{new_term}",
        }
        return self._propose(now, record.name, command)

    def _restart(self, now: float, record: Any, term: int, reason: str) -> list[object]:
        new_term = max(term, record.highest_term) + 1
        kind = record.plan.kind if record.plan else "failover"
        return self._start(now, record, kind, reason, new_term)

    def _propose(
        self, now: float, database: str, command: dict[str, Any]
    ) -> list[object]:
        if not due(self._proposals, database, now, PROPOSAL_TIMEOUT):
            return []
        return [CommandProposed(command, ("failover", database))]

    @handles(CommandCompleted)
    def complete(self, now: float, event: CommandCompleted) -> None:
        if isinstance(event.origin, tuple | list) and event.origin[0] == "failover":
            self._proposals.pop(event.origin[1], None)

    # --- steps of a promotion

    @handles(StateChanged)
    def changed(self, now: float, event: StateChanged) -> list[object] | None:
        record = self._blackboard.state.databases.get(event.name)
        if not self._blackboard.topology.is_leader or record is None:
            return None
        self._proposals.pop(record.name, None)
        if record.plan is not None:
            return self._drive(now, record)
        self._own.promotions.pop(record.name, None)
        self._own.investigations.pop(record.name, None)
        self._own.evidence.pop(record.name, None)
        fields = {
            "database": record.name,
            "term": record.term,
            "primary": record.primary,
        }
        return [
            EmitLog("info", "primary_promoted", fields),
            EmitMetric("counter", "failover.done"),
        ]

    @handles(PrimaryChanged)
    def reset(self, now: float, event: PrimaryChanged) -> None:
        """Evidence against a member does not outlive its time as primary."""
        for store in (self._seen.announced, self._seen.suspected, self._seen.demoted):
            store.pop((event.database, event.member), None)

    def _drive(self, now: float, record: Any) -> list[object]:
        """Takes the next step of the committed plan; every step may be repeated."""
        plan, timers = record.plan, self._settings.timers
        if plan is None or not self._blackboard.topology.is_leader:
            return []
        promotion = self._own.promotions.get(record.name)
        if promotion is None or promotion.term != plan.new_term:
            promotion = Promotion(record.name, plan.new_term, now)
            self._own.promotions[record.name] = promotion
        database = self._blackboard.topology.databases[record.name]
        addresses = self._known_addresses(database)
        if plan.step == "started":
            if len(promotion.answers) >= majority(record.group):
                return self._choose(now, record, promotion, database)
            return list(fence_orders(now, promotion, record, addresses, timers))
        if promotion.promoted:
            command = {
                "type": "failover.done",
                "database": record.name,
                "term": plan.new_term,
            }
            return self._propose(now, record.name, command)
        if promotion.promoting_since == NEVER:
            promotion.promoting_since = now
        if now - promotion.promoting_since > PROMOTE_LIMIT:
            return self._restart(now, record, 0, "promotion was not answered")
        return list(promote_order(now, promotion, record, addresses, timers))

    def _choose(
        self, now: float, record: Any, promotion: Promotion, database: Any
    ) -> list[object]:
        centres = {m.name: m.data_centre for m in database.members.values()}
        old = record.primary
        if not old:
            claims = [m.name for m in database.members.values() if m.role == "primary"]
            old = max(claims, default="")
        choice = choose(promotion.answers, record.plan.target, centres, old)
        command = {
            "type": "failover.choose",
            "database": record.name,
            "term": promotion.term,
            "member": choice.member,
            "start_offset": choice.position.offset,
            "position_term": choice.position.term,
            "reason": choice.reason,
        }
        return self._propose(now, record.name, command)

    def _align(self, now: float, database: Any, record: Any) -> list[object]:
        """Sends follow orders to members that are behind in term or role."""
        out: list[object] = []
        addresses = self._known_addresses(database)
        for member in database.members.values():
            wrong_role = member.role == "primary" and member.name != record.primary
            behind = member.position.term < record.term
            if member.name == record.primary or not (wrong_role or behind):
                continue
            key = f"follow {database.name} {member.name}"
            if not due(self._sent, key, now, FOLLOW_INTERVAL):
                continue
            order = make_order(
                "follow",
                0,
                record.name,
                member.name,
                addresses,
                record.term,
                record.primary,
                record.history.get(record.term, 0),
            )
            out.append(SendOrder(order, self._settings.timers.order_timeout))
        return out

    def _known_addresses(self, database: Any) -> dict[str, str]:
        """Addresses of the group, also of members whose lease ran out."""
        known = self._addresses.setdefault(database.name, {})
        known.update({m.name: m.address for m in database.members.values()})
        return known
