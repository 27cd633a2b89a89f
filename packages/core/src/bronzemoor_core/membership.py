"""Tracks endpoints and daemons by announcements, leases and incarnations."""

from typing import Any

from bronzemoor_core.actions import EmitLog, EmitMetric, SendPeerMessage
from bronzemoor_core.commands import current_entry
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import AnnouncementReceived, PeerMessageReceived, Tick
from bronzemoor_core.internal_events import (
    LeadershipChanged,
    MemberLost,
    PositionObserved,
    PrimaryChanged,
    StateChanged,
)
from bronzemoor_core.messages import (
    ConfigurationAcknowledged,
    DatabaseState,
    Heartbeat,
    HeartbeatReply,
    MemberSummary,
    TopologyUpdate,
)
from bronzemoor_core.positions import TermHistory
from bronzemoor_core.relays import (
    TOPOLOGY_KEY,
    served_databases,
    subscribed_databases,
    summarize_announcement,
)
from bronzemoor_core.subscriptions import Publisher
from bronzemoor_core.topology import (
    NEVER,
    Daemon,
    Database,
    Member,
    PrimarySample,
    make_member,
    member_facts,
    topology_digest,
)

__all__ = ["Daemon", "Database", "Member", "Membership", "PrimarySample"]

# Interval between lease checks, short compared with every lease.
LEASE_CHECK_INTERVAL_SECONDS = 0.1
# Minimum interval between two requests for the full topology.
REPAIR_REQUEST_INTERVAL_SECONDS = 0.3
# Minimum interval between log entries on two claimants of one identity.
CONFLICT_LOG_INTERVAL_SECONDS = 1.0
# How long a daemon whose lease expired is listed as lost.
LOST_DAEMON_RETENTION_SECONDS = 600.0


@controller("topology")
class Membership(Controller):
    """Owns the topology section."""

    _section: Any

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._leases_checked_at = NEVER
        self._repair_requested_at = self._conflict_logged_at = NEVER
        # The leader's latest topology digest, 0 while unknown.
        self._leader_digest = 0
        self._publisher = Publisher(self._settings, self._blackboard, self._section)

    # --- members

    @handles(AnnouncementReceived)
    def announce(self, now: float, event: AnnouncementReceived) -> list[object]:
        return self._merge(
            now, summarize_announcement(event.announcement), "announcement"
        )

    @handles(PositionObserved)
    def observe(self, now: float, event: PositionObserved) -> list[object]:
        database = self._section.databases.get(event.database)
        member = database.members.get(event.member) if database else None
        if database is None or member is None:
            return []
        member.position = max(member.position, event.position)
        changed = event.leaving and not member.leaving
        if changed:
            member.leaving, member.changed_at = True, now
            self._publisher.changed.add(event.database)
        if event.proved_at is not None and event.member == database.primary:
            samples = database.samples
            if not samples or event.proved_at > samples[-1].proved_at:
                samples.append(PrimarySample(event.proved_at, event.position))
        return []

    def _merge(self, now: float, summary: MemberSummary, source: str) -> list[object]:
        database = self._section.databases.get(summary.database)
        if database is None:
            database = Database(summary.database)
            self._section.databases[database.name] = database
        known = database.members.get(summary.member)
        contact_at = now - summary.age_ms / 1000
        if known is not None:
            if summary.incarnation < known.incarnation:
                return [EmitMetric("counter", "membership.old_incarnation")]
            if self._identity_conflicts(now, known, summary):
                return self._reject_claimant(now, known, summary)
            same_incarnation = summary.incarnation == known.incarnation
            if same_incarnation and contact_at < known.last_contact_at:
                return []
        elif contact_at < now - self._settings.timers.announcement_lease:
            return []
        member = make_member(summary, contact_at, source)
        member.drained = self._is_drained(known, summary, source)
        member.leaving = member.leaving or member.drained
        changed = known is None or member_facts(member) != member_facts(known)
        if known is not None:
            member.announced_at = known.announced_at
            member.changed_at = known.changed_at
        if known is not None and summary.incarnation == known.incarnation:
            # Answers to calls often carry a newer position than a coalesced summary.
            member.position = max(member.position, known.position)
        if source == "announcement":
            member.announced_at = now
        if changed:
            member.changed_at = now
            self._publisher.changed.add(database.name)
        elif known is not None and known.position != member.position:
            self._publisher.position_changed.add(database.name)
        database.members[member.name] = member
        if not database.group:
            database.group = member.group
        return []

    def _is_drained(
        self, known: Member | None, summary: MemberSummary, source: str
    ) -> bool:
        """Returns whether an operator drains the member; a primary hands over first."""
        if source == "leader":
            return summary.leaving
        record = self._blackboard.state.databases.get(summary.database)
        if record is None:
            return known is not None and known.drained
        return summary.member in record.draining and summary.member != record.primary

    def _identity_conflicts(
        self, now: float, known: Member, summary: MemberSummary
    ) -> bool:
        return (
            summary.incarnation == known.incarnation
            and summary.address != known.address
            and now - known.last_contact_at < self._settings.timers.announcement_lease
        )

    def _reject_claimant(
        self, now: float, known: Member, summary: MemberSummary
    ) -> list[object]:
        """Counts every rejected claimant and logs at most one per second."""
        out: list[object] = [EmitMetric("counter", "membership.identity_conflict")]
        if now - self._conflict_logged_at >= CONFLICT_LOG_INTERVAL_SECONDS:
            self._conflict_logged_at = now
            fields = {
                "database": summary.database,
                "member": summary.member,
                "address": summary.address,
                "known_address": known.address,
                "incarnation": summary.incarnation,
            }
            out.append(EmitLog("error", "identity_conflict", fields))
        return out

    # --- committed state

    @handles(StateChanged)
    def changed(self, now: float, event: StateChanged) -> list[object]:
        if event.kind == "template":
            # Subscribers may lack a database that the template added.
            entry = current_entry(self._blackboard.state, event.name)
            return self._publisher.publish(
                now, entry.body["databases"] if entry else ()
            )
        if event.kind not in ("database", "all"):
            return []
        records = self._blackboard.state.databases
        names = list(records) if event.kind == "all" else [event.name]
        out: list[object] = []
        for name in names:
            record = records[name]
            state = DatabaseState(
                database=name,
                term=record.term,
                primary=record.primary,
                fenced=record.fenced,
                history=dict(record.history),
                version=record.version,
            )
            out += self._apply_state(state)
            database = self._section.databases[name]
            database.group = record.group or database.group
            for member in database.members.values():
                drained = member.name in record.draining
                drained &= member.name != record.primary
                if drained != member.drained:
                    member.leaving = member.drained = drained
        return out + self._publisher.publish(now, names)

    def _apply_state(self, state: DatabaseState) -> list[object]:
        database = self._section.databases.setdefault(
            state.database, Database(state.database)
        )
        if state.version <= database.version:
            return []
        previous = (database.term, database.primary)
        database.version = state.version
        database.term = state.term
        database.committed_primary = state.primary
        database.fenced = state.fenced
        database.primary = "" if state.fenced else state.primary
        database.history = TermHistory(dict(state.history))
        if previous == (database.term, database.primary):
            return []
        start = state.history.get(state.term, 0)
        return [PrimaryChanged(database.name, state.term, database.primary, start)]

    # --- daemons and the leader

    @handles(LeadershipChanged)
    def on_leadership_changed(self, now: float, event: LeadershipChanged) -> None:
        self._section.leader = event.leader
        if event.is_leader and not self._section.is_leader:
            self._section.leader_since = now
            for daemon in self._section.daemons.values():
                daemon.updated_at = NEVER
        self._section.is_leader = event.is_leader

    @handles(PeerMessageReceived)
    def receive(self, now: float, event: PeerMessageReceived) -> list[object] | None:
        message = event.message
        if isinstance(message, Heartbeat):
            return self._handle_heartbeat(now, event.sender, message)
        if isinstance(message, TopologyUpdate):
            return self._handle_update(now, event.sender, message)
        if isinstance(message, HeartbeatReply):
            return self._request_repair(now, event.sender, message)
        if isinstance(message, ConfigurationAcknowledged):
            return self._repair_topology(now, event.sender, message)
        return None

    def _handle_heartbeat(
        self, now: float, sender: str, message: Heartbeat
    ) -> list[object]:
        daemon = self._section.daemons.get(sender)
        if daemon is not None and message.incarnation < daemon.incarnation:
            return [EmitMetric("counter", "membership.old_incarnation")]
        if daemon is None or message.incarnation > daemon.incarnation:
            daemon = Daemon(sender, message.incarnation, message.data_centre, now)
            self._section.daemons[sender] = daemon
        daemon.last_contact_at, daemon.lost = now, False
        subscriptions = tuple(message.subscriptions)
        if subscriptions != daemon.subscriptions:
            daemon.subscriptions, daemon.updated_at = subscriptions, NEVER
        daemon.draining = message.draining
        out: list[object] = []
        for summary in message.members:
            out += self._merge(now, summary, "relay")
        known = daemon.updated_at != NEVER or sender == self._settings.name
        if self._section.is_leader and not known:
            out.append(self._publisher.full_update(now, daemon))
        return out

    def _handle_update(
        self, now: float, sender: str, message: TopologyUpdate
    ) -> list[object]:
        if self._section.is_leader:
            return []
        self._section.leader = sender
        out: list[object] = []
        for state in message.databases:
            out += self._apply_state(state)
        for summary in message.members:
            if summary.age_ms > self._settings.timers.announcement_lease * 1000:
                out += self._remove_member(now, summary.database, summary.member)
            else:
                out += self._merge(now, summary, "leader")
        if message.full:
            listed = {(m.database, m.member) for m in message.members}
            for database in self._section.databases.values():
                for member in tuple(database.members):
                    if (database.name, member) not in listed:
                        out += self._remove_member(now, database.name, member)
        return out

    def _remove_member(self, now: float, database: str, name: str) -> list[object]:
        """Removes a member lost by the leader, unless it still announces here."""
        group = self._section.databases.get(database)
        member = group.members.get(name) if group else None
        lease = self._settings.timers.announcement_lease
        if group is None or member is None or now - member.announced_at <= lease:
            return []
        del group.members[name]
        return [MemberLost(database, name)]

    def _request_repair(
        self, now: float, sender: str, message: HeartbeatReply
    ) -> list[object]:
        """Requests the full topology while it differs from the leader's digest.

        Every reply may trigger another request, since the digest, the request and the
        update can each be lost.
        """
        if self._section.is_leader:
            return []
        self._leader_digest = message.topology_digest or self._leader_digest
        if (
            not self._leader_digest
            or now - self._repair_requested_at < REPAIR_REQUEST_INTERVAL_SECONDS
        ):
            return []
        names = served_databases(self._settings.organisations, self._blackboard)
        digest = topology_digest(self._section.databases, names)
        if digest == self._leader_digest:
            return []
        self._repair_requested_at = now
        request = ConfigurationAcknowledged({TOPOLOGY_KEY: digest})
        return [SendPeerMessage(sender, request)]

    def _repair_topology(
        self, now: float, sender: str, message: ConfigurationAcknowledged
    ) -> list[object]:
        daemon = self._section.daemons.get(sender)
        if daemon is None or not self._section.is_leader:
            return []
        names = subscribed_databases(daemon.subscriptions, self._blackboard)
        daemon_digest = message.versions.get(TOPOLOGY_KEY)
        if daemon_digest is None or daemon_digest == topology_digest(
            self._section.databases, names
        ):
            return []
        return [
            EmitMetric("counter", "membership.topology_repaired"),
            self._publisher.full_update(now, daemon),
        ]

    # --- leases

    @handles(Tick)
    def tick(self, now: float, event: Tick) -> list[object] | None:
        out: list[object] = []
        if now - self._leases_checked_at >= LEASE_CHECK_INTERVAL_SECONDS:
            self._leases_checked_at = now
            out += self._expire_leases(now)
        return out + self._publisher.flush(now)

    def _expire_leases(self, now: float) -> list[object]:
        lease = self._settings.timers.announcement_lease
        # A relay repeats an unchanged member only once per half lease.
        lease_by_source = {
            "announcement": lease,
            "relay": 2 * lease,
            "leader": float("inf"),
        }
        out: list[object] = []
        for database in self._section.databases.values():
            for member in tuple(database.members.values()):
                if now - member.last_contact_at > lease_by_source[member.source]:
                    out += self._expire_member(now, database, member)
        daemon_lease = self._settings.timers.stale_after
        for daemon in tuple(self._section.daemons.values()):
            silence = now - daemon.last_contact_at
            if silence > LOST_DAEMON_RETENTION_SECONDS or (
                daemon.draining and silence > daemon_lease
            ):
                del self._section.daemons[daemon.name]
            elif silence > daemon_lease and not daemon.lost:
                # Forces a full update when the daemon returns.
                daemon.lost, daemon.updated_at = True, NEVER
                out.append(EmitLog("warning", "daemon_lost", {"daemon": daemon.name}))
        return out

    def _expire_member(
        self, now: float, database: Database, member: Member
    ) -> list[object]:
        del database.members[member.name]
        out: list[object] = [MemberLost(database.name, member.name)]
        fields = {"database": database.name, "member": member.name}
        out.append(EmitLog("warning", "member_lost", fields))
        if self._section.is_leader:
            out += self._publisher.announce_loss(now, database, member)
        return out
