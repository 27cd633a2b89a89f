"""Detects failed primaries and drives promotions."""

from typing import Any

from bronzemoor_core.actions import EmitLog, EmitMetric, SendOrder
from bronzemoor_core.blackboard import section
from bronzemoor_core.candidates import agreed_group
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.detectors import (
    LOCAL_DETECTORS,
    Evidence,
    Investigation,
    Observations,
    find_evidence,
    to_suspicion,
)
from bronzemoor_core.events import (
    AdminCommand,
    AnnouncementReceived,
    OrderAnswered,
    OrderFailed,
    PeerMessageReceived,
    Tick,
)
from bronzemoor_core.handover import Survey, plan_handover, survey_orders
from bronzemoor_core.internal_events import (
    CommandApplied,
    CommandCompleted,
    LeadershipChanged,
    MemberSuspected,
    PositionObserved,
    PrimaryChanged,
    QueryReady,
    StateChanged,
)
from bronzemoor_core.messages import Heartbeat, Suspicion
from bronzemoor_core.operations import Operations, list_databases
from bronzemoor_core.promotion import Promoter, Promotion, make_order, may_send
from bronzemoor_core.suspicion import SuspicionTracker
from bronzemoor_core.topology import NEVER

# Interval between collections of evidence.
CHECK_INTERVAL_SECONDS = 0.02
# The leader checks all databases in turn for missing first primaries, members that do
# not follow the primary, and leaving primaries. A sweep takes this many checks (1 s),
# or fewer with few databases; visiting 4,300 in every check would use a full core.
SWEEP_CHECKS = 50
SWEEP_MIN_DATABASES = 10
# How long a new leader collects announcements before it appoints a first primary.
LEADER_SETTLE_SECONDS = 0.3
# Interval between follow orders to a member that does not follow the primary.
FOLLOW_INTERVAL_SECONDS = 0.5
# Hold-down time during which a new primary is not replaced. It doubles with each
# failover within HOLD_DOWN_WINDOW_SECONDS up to HOLD_DOWN_MAX_SECONDS, so that a
# flapping link cannot move the primary constantly; the maximum keeps the gap in writes
# below its bound of 5 s.
HOLD_DOWN_INITIAL_SECONDS = 1.0
HOLD_DOWN_MAX_SECONDS = 4.0
HOLD_DOWN_WINDOW_SECONDS = 60.0
# Interval between handover attempts of a leaving primary while none is safe.
HANDOVER_RETRY_SECONDS = 0.5


@section("failover")
class FailoverPlans:
    """``suspicions`` are sent in this daemon's heartbeats; the rest is the leader's."""

    __slots__ = ("investigations", "promotions", "suspicions")

    def __init__(self) -> None:
        self.suspicions: list[Suspicion] = []
        self.investigations: dict[str, Investigation] = {}
        self.promotions: dict[str, Promotion] = {}


@controller("failover")
class Failover(Controller):
    """Owns the failover section."""

    _section: FailoverPlans

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._observations = Observations(investigations=self._section.investigations)
        self._suspicions = SuspicionTracker(self._settings, self._observations)
        self._promoter = Promoter(self._settings, self._section.promotions)
        self._operations = Operations(self._blackboard)
        self._checked_at = NEVER
        self._sweep_queue: list[str] = []
        self._last_sent: dict[str, float] = {}
        self._addresses: dict[str, dict[str, str]] = {}
        self._surveys: list[Survey] = []
        # Times of recent failovers by database.
        self._failover_times: dict[str, list[float]] = {}

    # --- evidence

    @handles(AnnouncementReceived)
    def announce(self, now: float, event: AnnouncementReceived) -> None:
        announcement = event.announcement
        member = self._topology.databases[announcement.database].members.get(
            announcement.member
        )
        if member is None or member.announced_at != now:
            return
        key = (announcement.database, announcement.member)
        self._observations.last_announced[key] = now
        if announcement.role == "primary":
            self._observations.demoted_at.pop(key, None)
        else:
            self._observations.demoted_at.setdefault(key, now)
        self._suspicions.record_report(
            now, announcement.database, announcement.member, announcement.unreachable
        )

    @handles(PeerMessageReceived)
    def receive(self, now: float, event: PeerMessageReceived) -> None:
        message = event.message
        if not isinstance(message, Heartbeat):
            return
        self._suspicions.record_suspicions(
            now, event.sender, message.suspicions, self._topology.databases
        )
        for s in message.members:
            received_at, unreachable = now - s.age_ms / 1000, tuple(s.unreachable)
            self._suspicions.record_report(
                received_at, s.database, s.member, unreachable
            )

    @handles(MemberSuspected)
    def suspect(self, now: float, event: MemberSuspected) -> None:
        self._observations.suspect(now, event.database, event.member)

    @handles(PositionObserved)
    def observe(self, now: float, event: PositionObserved) -> None:
        self._observations.suspected_spans.pop((event.database, event.member), None)

    @handles(PrimaryChanged)
    def reset(self, now: float, event: PrimaryChanged) -> list[object]:
        """Discards evidence about the new primary and evidence from earlier terms."""
        key = (event.database, event.member)
        self._observations.suspected_spans.pop(key, None)
        self._observations.demoted_at.pop(key, None)
        if key in self._observations.last_announced:
            # Silence counts from now on, even if the member never announces again.
            self._observations.last_announced[key] = now
        self._suspicions.clear(event.database)
        return self._operations.check(now)

    # --- the leader

    @handles(LeadershipChanged)
    def on_leadership_changed(self, now: float, event: LeadershipChanged) -> None:
        self._promoter.clear()
        self._section.investigations.clear()
        self._surveys.clear()

    @handles(Tick)
    def tick(self, now: float, event: Tick) -> list[object] | None:
        out: list[object] = []
        is_leader = self._topology.is_leader
        if is_leader:
            for name in tuple(self._section.promotions):
                out += self._advance_promotion(now, name)
            out += self._finish_surveys(now)
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return out
        self._checked_at = now
        local = self._collect_local(now)
        out += self._operations.check(now)
        if not is_leader:
            return out
        databases = self._topology.databases
        self._suspicions.refresh_evidence(now, databases, local)
        for name in sorted(self._suspicions.databases.union(self._next_sweep())):
            if name in databases:
                out += self._check_database(now, databases[name])
        return out

    def _next_sweep(self) -> list[str]:
        """Returns the next databases of the periodic sweep over all databases."""
        if not self._sweep_queue:
            self._sweep_queue = list(self._topology.databases)
        count = max(SWEEP_MIN_DATABASES, len(self._topology.databases) // SWEEP_CHECKS)
        names, self._sweep_queue = self._sweep_queue[:count], self._sweep_queue[count:]
        return names

    def _collect_local(self, now: float) -> list[tuple[str, Evidence]]:
        databases = self._topology.databases
        timers, own = self._settings.timers, self._settings.name
        local = list(
            find_evidence(
                now, self._observations, databases, timers, own, LOCAL_DETECTORS
            )
        )
        self._section.suspicions = [
            to_suspicion(now, databases[n], e) for n, e in local
        ]
        return local

    def _check_database(self, now: float, database: Any) -> list[object]:
        record = self._record(database.name)
        if record is not None and record.plan is not None:
            return self._advance_promotion(now, database.name)
        if record is None or not record.primary:
            return self._start_appointment(now, database)
        if self._suspicions.evidence_against_primary(database):
            return self._investigate(now, database, record)
        self._section.investigations.pop(database.name, None)
        return [
            *self._send_follow_orders(now, database, record),
            *self._start_handover(now, database),
        ]

    def _investigate(self, now: float, database: Any, record: Any) -> list[object]:
        addresses = self._known_addresses(database)
        out: list[object] = list(
            self._suspicions.ping_group(now, database, record, addresses)
        )
        evidence = self._suspicions.confirm_failure(
            now, database, record, self._topology.daemons
        )
        if not evidence or now < self._hold_down_until(now, database.name):
            return out
        reason = ",".join(sorted(f"{e.detector}@{e.vantage}" for e in evidence))
        start = self._promoter.start(now, record, "failover", reason)
        if start:
            fields = {"database": database.name, "member": record.primary}
            out.append(EmitLog("warning", "primary_failed", fields | {"proof": reason}))
        return out + start

    def _hold_down_until(self, now: float, database: str) -> float:
        times = [
            t
            for t in self._failover_times.get(database, ())
            if now - t < HOLD_DOWN_WINDOW_SECONDS
        ]
        self._failover_times[database] = times
        if not times:
            return NEVER
        hold_down = min(
            HOLD_DOWN_MAX_SECONDS, HOLD_DOWN_INITIAL_SECONDS * 2 ** (len(times) - 1)
        )
        return times[-1] + hold_down

    def _start_appointment(self, now: float, database: Any) -> list[object]:
        """Appoints a first primary once a majority of the group has announced."""
        if now - self._topology.leader_since < LEADER_SETTLE_SECONDS:
            return []
        announcing = agreed_group(database.members.values())
        if not announcing:
            return []
        term = max(m.position.term for m in announcing)
        command = {
            "type": "failover.start",
            "database": database.name,
            "kind": "appointment",
            "old_term": term,
            "new_term": term + 1,
            "group": list(announcing[0].group),
            "reason": "no primary was known",
            "change_id": f"auto:{database.name}:{term + 1}",
        }
        return self._promoter.propose(now, database.name, command)

    def _start_handover(self, now: float, database: Any) -> list[object]:
        """Replaces a leaving primary as soon as that is safe."""
        record = self._record(database.name)
        member = database.members.get(record.primary)
        leaving = record.primary in record.draining or (member and member.leaving)
        has_survey = any(s.database == database.name for s in self._surveys)
        if not leaving or has_survey:
            return []
        if not may_send(
            self._last_sent, f"handover {database.name}", now, HANDOVER_RETRY_SECONDS
        ):
            return []
        return self._start_survey(now, {"database": database.name}, None)

    def _send_follow_orders(
        self, now: float, database: Any, record: Any
    ) -> list[object]:
        """Orders members that do not follow the primary to do so."""
        out: list[object] = []
        for member in database.members.values():
            is_following = member.role == "replica" and record.term in member.history
            key = f"follow {database.name} {member.name}"
            if member.name == record.primary or is_following:
                continue
            if member.name not in record.group:
                continue
            if not may_send(self._last_sent, key, now, FOLLOW_INTERVAL_SECONDS):
                continue
            order = make_order(
                "follow",
                record,
                member.name,
                self._known_addresses(database),
                record.term,
                record.primary,
                record.history.get(record.term, 0),
            )
            out.append(SendOrder(order, self._settings.timers.order_timeout))
        return out

    # --- steps of a promotion

    @handles(StateChanged)
    def changed(self, now: float, event: StateChanged) -> list[object] | None:
        record = self._record(event.name)
        if not self._topology.is_leader or record is None or event.kind != "database":
            return None
        self._promoter.clear_proposal(record.name)
        if record.plan is not None:
            return self._advance_promotion(now, record.name)
        promotion = self._promoter.remove_promotion(record.name)
        if promotion is None:
            return None
        self._failover_times.setdefault(record.name, []).append(now)
        database = self._topology.databases[record.name]
        fields = {"database": record.name, "term": record.term}
        elapsed_ms = (now - promotion.started_at) * 1000
        return [
            EmitLog("info", "primary_promoted", fields | {"primary": record.primary}),
            EmitMetric("timer", "failover.promotion", elapsed_ms),
            *self._send_follow_orders(now, database, record),
        ]

    @handles(OrderAnswered)
    def answered(self, now: float, event: OrderAnswered) -> list[object]:
        order, answer = event.order, event.answer
        if order.kind == "ping":
            self._suspicions.record_ping_answer(
                now, order.database, order.member, answer
            )
            for survey in self._surveys:
                if survey.database == order.database:
                    survey.answers[order.member] = answer
        record = self._record(order.database)
        out = self._promoter.record_answer(now, order, answer, record)
        if out is None:
            out = self._advance_promotion(now, order.database)
        return [*out, *self._finish_surveys(now)]

    @handles(OrderFailed)
    def failed(self, now: float, event: OrderFailed) -> None:
        if event.order.kind == "ping":
            self._suspicions.record_ping_failure(
                event.order.database, event.order.member
            )

    @handles(CommandCompleted)
    def complete(self, now: float, event: CommandCompleted) -> list[object]:
        origin = event.origin
        if isinstance(origin, tuple | list) and origin[0] == "failover":
            self._promoter.clear_proposal(origin[1])
        return self._operations.complete(now, event)

    def _advance_promotion(self, now: float, name: str) -> list[object]:
        record, database = self._record(name), self._topology.databases.get(name)
        if record is None or record.plan is None or not self._topology.is_leader:
            return []
        addresses = self._known_addresses(database)
        return self._promoter.advance(now, record, database, addresses)

    # --- operators

    @handles(AdminCommand)
    def admin(self, now: float, event: AdminCommand) -> list[object]:
        return self._operations.admin(now, event)

    @handles(QueryReady)
    def query(self, now: float, event: QueryReady) -> list[object]:
        kind = event.command.get("type")
        if kind == "database.list":
            rows = list_databases(now, self._blackboard)
            result = {"code": "ok", "databases": rows}
            return [CommandApplied(0, event.command, result, event.origin)]
        if kind == "failover.plan":
            return self._start_survey(now, event.command, event.origin)
        return []

    def _start_survey(
        self, now: float, command: dict[str, Any], origin: Any
    ) -> list[object]:
        name = command["database"]
        database, record = self._topology.databases.get(name), self._record(name)
        if database is None or record is None or not record.term:
            message = f"no database {name!r} with a primary is known"
            result = {"code": "unknown_database", "message": message}
            return [CommandApplied(0, command, result, origin)] if origin else []
        target = command.get("target", "")
        self._surveys.append(Survey(name, target, now, origin, command))
        return list(survey_orders(database, record, self._known_addresses(database)))

    def _finish_surveys(self, now: float) -> list[object]:
        out: list[object] = []
        for survey in tuple(self._surveys):
            record = self._record(survey.database)
            if not survey.is_complete(now, record.group):
                continue
            self._surveys.remove(survey)
            database = self._topology.databases[survey.database]
            known = self._blackboard.state.changes.get("", {})
            repeated = survey.command.get("change_id") in known
            plan = plan_handover(database, record, survey, repeated)
            if survey.origin is not None:
                out.append(CommandApplied(0, survey.command, plan, survey.origin))
            elif plan["safe_now"]:
                target = plan["candidate"]
                reason = "the primary is leaving"
                out += self._promoter.start(now, record, "handover", reason, target)
        return out

    @property
    def _topology(self) -> Any:
        return self._blackboard.topology

    def _record(self, database: str) -> Any:
        return self._blackboard.state.databases.get(database)

    def _known_addresses(self, database: Any) -> dict[str, str]:
        """Returns the group's addresses, including members whose lease expired."""
        known = self._addresses.setdefault(database.name, {})
        known.update({m.name: m.address for m in database.members.values()})
        return known
