"""Failure detection and the steps of a promotion."""

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
from bronzemoor_core.promotion import Promoter, Promotion, due, make_order
from bronzemoor_core.suspicion import Suspicions
from bronzemoor_core.topology import NEVER

# How often evidence is collected, seconds.
CHECK_INTERVAL = 0.02
# The leader looks at all databases in turn, for first appointments, members that are
# out of step and primaries that leave. A round takes this many checks (1 s), or fewer
# when there are few databases; looking at 4,300 in each check would take a whole core.
SWEEP_STEPS = 50
SWEEP_MINIMUM = 10
# A new leader collects announcements for this long before it appoints, seconds.
SETTLE_TIME = 0.3
# Interval between follow orders to a member that is out of step, seconds.
FOLLOW_INTERVAL = 0.5
# A primary that was just appointed is not replaced for this long, doubled with each
# failover within HOLD_MEMORY up to HOLD_LIMIT, seconds. Stops a flapping link from
# moving the primary all the time; the limit keeps the gap below its bound of 5 s.
HOLD_FIRST = 1.0
HOLD_LIMIT = 4.0
HOLD_MEMORY = 60.0
# How long a leaving primary's handover waits after one that was not safe, seconds.
HANDOVER_RETRY = 0.5


@section("failover")
class FailoverPlans:
    """``suspicions`` are this daemon's, for its heartbeat; the rest is the leader's."""

    __slots__ = ("investigations", "promotions", "suspicions")

    def __init__(self) -> None:
        self.suspicions: list[Suspicion] = []
        self.investigations: dict[str, Investigation] = {}
        self.promotions: dict[str, Promotion] = {}


@controller("failover")
class Failover(Controller):
    """Owns the failover section."""

    _own: FailoverPlans

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._seen = Observations(investigations=self._own.investigations)
        self._suspicions = Suspicions(self._settings, self._seen)
        self._promoter = Promoter(self._settings, self._own.promotions)
        self._operations = Operations(self._blackboard)
        self._checked = NEVER
        self._sweep: list[str] = []
        self._sent: dict[str, float] = {}
        self._addresses: dict[str, dict[str, str]] = {}
        self._surveys: list[Survey] = []
        # Times of the last failovers by database.
        self._failovers: dict[str, list[float]] = {}

    # --- evidence

    @handles(AnnouncementReceived)
    def announce(self, now: float, event: AnnouncementReceived) -> None:
        a = event.announcement
        member = self._topology.databases[a.database].members.get(a.member)
        if member is None or member.announced_at != now:
            return
        key = (a.database, a.member)
        self._seen.announced[key] = now
        if a.role == "primary":
            self._seen.demoted.pop(key, None)
        else:
            self._seen.demoted.setdefault(key, now)
        self._suspicions.learn_report(now, a.database, a.member, a.unreachable)

    @handles(PeerMessageReceived)
    def receive(self, now: float, event: PeerMessageReceived) -> None:
        message = event.message
        if not isinstance(message, Heartbeat):
            return
        self._suspicions.learn_suspicions(
            now, event.sender, message.suspicions, self._topology.databases
        )
        for s in message.members:
            heard, unreachable = now - s.age_ms / 1000, tuple(s.unreachable)
            self._suspicions.learn_report(heard, s.database, s.member, unreachable)

    @handles(MemberSuspected)
    def suspect(self, now: float, event: MemberSuspected) -> None:
        self._seen.suspect(now, event.database, event.member)

    @handles(PositionObserved)
    def observe(self, now: float, event: PositionObserved) -> None:
        self._seen.suspected.pop((event.database, event.member), None)

    @handles(PrimaryChanged)
    def reset(self, now: float, event: PrimaryChanged) -> list[object]:
        """Evidence against a member does not outlive its time as primary."""
        key = (event.database, event.member)
        self._seen.suspected.pop(key, None)
        self._seen.demoted.pop(key, None)
        if key in self._seen.announced:
            # Silence counts from now on, also for one that never announces again.
            self._seen.announced[key] = now
        self._suspicions.clear(event.database)
        return self._operations.check(now)

    # --- the leader

    @handles(LeadershipChanged)
    def lead(self, now: float, event: LeadershipChanged) -> None:
        self._promoter.clear()
        self._own.investigations.clear()
        self._surveys.clear()

    @handles(Tick)
    def tick(self, now: float, event: Tick) -> list[object] | None:
        out: list[object] = []
        leading = self._topology.is_leader
        if leading:
            for name in tuple(self._own.promotions):
                out += self._drive(now, name)
            out += self._answer_surveys(now)
        if now - self._checked < CHECK_INTERVAL:
            return out
        self._checked = now
        local = self._collect_local(now)
        out += self._operations.check(now)
        if not leading:
            return out
        databases = self._topology.databases
        self._suspicions.collect(now, databases, local)
        for name in sorted(self._suspicions.databases.union(self._next_sweep())):
            if name in databases:
                out += self._check(now, databases[name])
        return out

    def _next_sweep(self) -> list[str]:
        """Returns the next databases to look at without cause, all of them in turn."""
        if not self._sweep:
            self._sweep = list(self._topology.databases)
        count = max(SWEEP_MINIMUM, len(self._topology.databases) // SWEEP_STEPS)
        names, self._sweep = self._sweep[:count], self._sweep[count:]
        return names

    def _collect_local(self, now: float) -> list[tuple[str, Evidence]]:
        databases = self._topology.databases
        timers, own = self._settings.timers, self._settings.name
        local = list(
            find_evidence(now, self._seen, databases, timers, own, LOCAL_DETECTORS)
        )
        self._own.suspicions = [to_suspicion(now, databases[n], e) for n, e in local]
        return local

    def _check(self, now: float, database: Any) -> list[object]:
        record = self._record(database.name)
        if record is not None and record.plan is not None:
            return self._drive(now, database.name)
        if record is None or not record.primary:
            return self._appoint(now, database)
        if self._suspicions.standing(database):
            return self._judge(now, database, record)
        self._own.investigations.pop(database.name, None)
        return [*self._align(now, database, record), *self._hand_over(now, database)]

    def _judge(self, now: float, database: Any, record: Any) -> list[object]:
        addresses = self._known_addresses(database)
        out: list[object] = list(
            self._suspicions.investigate(now, database, record, addresses)
        )
        proof = self._suspicions.confirm_failure(
            now, database, record, self._topology.daemons
        )
        if not proof or now < self._held_until(now, database.name):
            return out
        reason = ",".join(sorted(f"{e.detector}@{e.vantage}" for e in proof))
        start = self._promoter.start(now, record, "failover", reason)
        if start:
            fields = {"database": database.name, "member": record.primary}
            out.append(EmitLog("warning", "primary_failed", fields | {"proof": reason}))
        return out + start

    def _held_until(self, now: float, database: str) -> float:
        times = [t for t in self._failovers.get(database, ()) if now - t < HOLD_MEMORY]
        self._failovers[database] = times
        if not times:
            return NEVER
        hold = min(HOLD_LIMIT, HOLD_FIRST * 2 ** (len(times) - 1))
        return times[-1] + hold

    def _appoint(self, now: float, database: Any) -> list[object]:
        """Starts the first appointment once a majority of the group announced."""
        if now - self._topology.leader_since < SETTLE_TIME:
            return []
        agreeing = agreed_group(database.members.values())
        if not agreeing:
            return []
        term = max(m.position.term for m in agreeing)
        command = {
            "type": "failover.start",
            "database": database.name,
            "kind": "appointment",
            "old_term": term,
            "new_term": term + 1,
            "group": list(agreeing[0].group),
            "reason": "no primary was known",
            "change_id": f"auto:{database.name}:{term + 1}",
        }
        return self._promoter.propose(now, database.name, command)

    def _hand_over(self, now: float, database: Any) -> list[object]:
        """Replaces a primary that is leaving as soon as that is safe."""
        record = self._record(database.name)
        member = database.members.get(record.primary)
        leaving = record.primary in record.draining or (member and member.leaving)
        waiting = any(s.database == database.name for s in self._surveys)
        if not leaving or waiting:
            return []
        if not due(self._sent, f"handover {database.name}", now, HANDOVER_RETRY):
            return []
        return self._survey(now, {"database": database.name}, None)

    def _align(self, now: float, database: Any, record: Any) -> list[object]:
        """Orders members that are out of step to follow the primary."""
        out: list[object] = []
        for member in database.members.values():
            in_step = member.role == "replica" and record.term in member.history
            key = f"follow {database.name} {member.name}"
            if member.name == record.primary or in_step:
                continue
            if member.name not in record.group:
                continue
            if not due(self._sent, key, now, FOLLOW_INTERVAL):
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
        self._promoter.forget(record.name)
        if record.plan is not None:
            return self._drive(now, record.name)
        promotion = self._promoter.finish(record.name)
        if promotion is None:
            return None
        self._failovers.setdefault(record.name, []).append(now)
        database = self._topology.databases[record.name]
        fields = {"database": record.name, "term": record.term}
        spent = (now - promotion.started_at) * 1000
        return [
            EmitLog("info", "primary_promoted", fields | {"primary": record.primary}),
            EmitMetric("timer", "failover.promotion", spent),
            *self._align(now, database, record),
        ]

    @handles(OrderAnswered)
    def answered(self, now: float, event: OrderAnswered) -> list[object]:
        order, answer = event.order, event.answer
        if order.kind == "ping":
            self._suspicions.pinged(now, order.database, order.member, answer)
            for survey in self._surveys:
                if survey.database == order.database:
                    survey.answers[order.member] = answer
        record = self._record(order.database)
        out = self._promoter.answered(now, order, answer, record)
        if out is None:
            out = self._drive(now, order.database)
        return [*out, *self._answer_surveys(now)]

    @handles(OrderFailed)
    def failed(self, now: float, event: OrderFailed) -> None:
        if event.order.kind == "ping":
            self._suspicions.ping_failed(event.order.database, event.order.member)

    @handles(CommandCompleted)
    def complete(self, now: float, event: CommandCompleted) -> list[object]:
        origin = event.origin
        if isinstance(origin, tuple | list) and origin[0] == "failover":
            self._promoter.forget(origin[1])
        return self._operations.complete(now, event)

    def _drive(self, now: float, name: str) -> list[object]:
        record, database = self._record(name), self._topology.databases.get(name)
        if record is None or record.plan is None or not self._topology.is_leader:
            return []
        addresses = self._known_addresses(database)
        return self._promoter.drive(now, record, database, addresses)

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
            return self._survey(now, event.command, event.origin)
        return []

    def _survey(self, now: float, command: dict[str, Any], origin: Any) -> list[object]:
        name = command["database"]
        database, record = self._topology.databases.get(name), self._record(name)
        if database is None or record is None or not record.term:
            message = f"no database {name!r} with a primary is known"
            result = {"code": "unknown_database", "message": message}
            return [CommandApplied(0, command, result, origin)] if origin else []
        target = command.get("target", "")
        self._surveys.append(Survey(name, target, now, origin, command))
        return list(survey_orders(database, record, self._known_addresses(database)))

    def _answer_surveys(self, now: float) -> list[object]:
        out: list[object] = []
        for survey in tuple(self._surveys):
            record = self._record(survey.database)
            if not survey.complete(now, record.group):
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
        """Addresses of the group, also of members whose lease ran out."""
        known = self._addresses.setdefault(database.name, {})
        known.update({m.name: m.address for m in database.members.values()})
        return known
