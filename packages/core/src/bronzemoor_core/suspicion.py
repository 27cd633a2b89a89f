"""Collects evidence at the control leader and decides whether a primary failed."""

from collections.abc import Iterable
from typing import Any

from bronzemoor_core.actions import Answer, SendOrder
from bronzemoor_core.candidates import majority
from bronzemoor_core.detectors import (
    LEADER_DETECTORS,
    Evidence,
    Investigation,
    Observations,
    Report,
    find_evidence,
)
from bronzemoor_core.messages import Suspicion
from bronzemoor_core.promotion import is_accepted, make_order, may_send

# Evidence of another daemon is replaced by its next heartbeat and discarded after this
# many heartbeat intervals without one.
EVIDENCE_LIFETIME_HEARTBEATS = 4
# Interval between pings to a suspected primary and its group.
PING_INTERVAL_SECONDS = 0.05
# Once the primary has answered for RECHECK_AFTER_SECONDS, pings slow down, because a
# relay to which it no longer announces itself reports it indefinitely. The interval is
# shorter than an answer's validity. Slowing down only after this time matters: a
# primary cut off from its peers was otherwise replaced 200 ms later.
RECHECK_AFTER_SECONDS = 2.0
RECHECK_INTERVAL_SECONDS = 0.25
# Ping timeout in one-way delays: a round trip at tenfold delay plus a margin.
PING_TIMEOUT_DELAYS = 24
# A primary that a majority confirmed this recently counts as working despite other
# evidence. Members exchange heartbeats every 30 to 50 ms, so this allows for many
# consecutive losses.
CONFIRMATION_MAX_AGE_MS = 300
# How long an answer to a ping proves that a member is reachable.
ANSWER_VALIDITY_SECONDS = 0.3
# A daemon counts as responsive for this many intervals after its last heartbeat.
RESPONSIVE_HEARTBEAT_INTERVALS = 5
# Daemons without a heartbeat for longer are gone and are no sign of a partition.
SILENT_DAEMON_RETENTION_SECONDS = 30.0
# How long a majority of proxies must report a primary that answers the control leader.
# Longer than the data path's own retries on new connections.
PROXY_CONFIRMATION_SECONDS = 0.5
# Number of other vantage points that must renew their evidence after pinging began,
# against a primary that does not answer while no ping has failed yet.
MIN_CORROBORATING_VANTAGES = 2


class SuspicionTracker:
    """Holds evidence by database and the pings that verify it.

    Only the leader has investigations; each daemon has its own observations.
    """

    def __init__(self, settings: Any, observations: Observations) -> None:
        self._settings = settings
        self._observations = observations
        # By database, then by (vantage point, detector).
        self._evidence: dict[str, dict[tuple[str, str], Evidence]] = {}
        self._last_sent: dict[str, float] = {}

    @property
    def databases(self) -> set[str]:
        """Names of the databases with evidence."""
        return {name for name, entries in self._evidence.items() if entries}

    def clear(self, database: str | None = None) -> None:
        """Discards evidence and pings of one database, or of all."""
        if database is None:
            self._evidence.clear()
            self._observations.investigations.clear()
        else:
            self._evidence.pop(database, None)
            self._observations.investigations.pop(database, None)

    def record_report(
        self,
        received_at: float,
        database: str,
        member: str,
        unreachable: tuple[str, ...],
    ) -> None:
        """Records the members that a member reports as unreachable."""
        reports = self._observations.reports.get(database, {})
        known = reports.get(member)
        if not unreachable:
            reports.pop(member, None)
            if not reports:
                self._observations.reports.pop(database, None)
        elif known is not None and known.unreachable == unreachable:
            known.received_at = max(known.received_at, received_at)
        else:
            reports[member] = Report(unreachable, received_at, received_at)
            self._observations.reports[database] = reports

    def record_suspicions(
        self, now: float, sender: str, suspicions: Iterable[Suspicion], databases: Any
    ) -> None:
        """Replaces a daemon's evidence by that of its latest heartbeat."""
        for entries in self._evidence.values():
            for key in [key for key in entries if key[0] == sender]:
                del entries[key]
        for suspicion in suspicions:
            database = databases.get(suspicion.database)
            if database is not None and suspicion.term == database.term:
                since = now - suspicion.age_ms / 1000
                self._add_evidence(
                    suspicion.database,
                    Evidence(sender, suspicion.detector, suspicion.member, since, now),
                )

    def refresh_evidence(
        self, now: float, databases: Any, local: list[tuple[str, Evidence]]
    ) -> None:
        """Renews this daemon's own evidence and discards expired evidence."""
        timers, own = self._settings.timers, self._settings.name
        limit = EVIDENCE_LIFETIME_HEARTBEATS * timers.daemon_heartbeat_interval
        for entries in self._evidence.values():
            for key, evidence in tuple(entries.items()):
                renewed = key[0] == own or key[1] in LEADER_DETECTORS
                if renewed or now - evidence.confirmed_at > limit:
                    del entries[key]
        leader = find_evidence(
            now, self._observations, databases, timers, own, LEADER_DETECTORS
        )
        for name, evidence in [*local, *leader]:
            self._add_evidence(name, evidence)

    def evidence_against_primary(self, database: Any) -> list[Evidence]:
        """Returns the evidence against the current primary."""
        entries = self._evidence.get(database.name, {})
        return [e for e in entries.values() if e.member == database.primary]

    def record_ping_answer(
        self, now: float, database: str, member: str, answer: Answer
    ) -> None:
        """Records the answer to a ping."""
        investigation = self._observations.investigations.get(database)
        if investigation is None:
            return
        if member != investigation.member:
            investigation.others_answered_at[member] = now
        elif is_accepted(answer) and answer.role == "primary":
            investigation.failures = 0
            investigation.answered_at = now
            investigation.confirmed_ago_ms = answer.confirmed_ago_ms
        else:
            investigation.failures += 1

    def record_ping_failure(self, database: str, member: str) -> None:
        """Records a ping without an answer."""
        investigation = self._observations.investigations.get(database)
        if investigation is not None and investigation.member == member:
            investigation.failures += 1

    def ping_group(
        self, now: float, database: Any, record: Any, addresses: dict[str, str]
    ) -> list[SendOrder]:
        """Returns pings to the suspected primary and its group, if due."""
        investigation = self._observations.investigations.get(database.name)
        if investigation is None or investigation.member != record.primary:
            investigation = Investigation(record.primary, now)
            self._observations.investigations[database.name] = investigation
        confirmed = (
            now - investigation.opened_at > RECHECK_AFTER_SECONDS
            and _is_confirmed(now, investigation)
        )
        interval = RECHECK_INTERVAL_SECONDS if confirmed else PING_INTERVAL_SECONDS
        if not may_send(self._last_sent, database.name, now, interval):
            return []
        orders = []
        for name in record.group:
            if name in addresses:
                order = make_order("ping", record, name, addresses, record.term)
                member = database.members.get(name)
                timeout = self._ping_timeout(member.data_centre if member else "")
                orders.append(SendOrder(order, timeout))
        return orders

    def confirm_failure(
        self, now: float, database: Any, record: Any, daemons: Any
    ) -> list[Evidence]:
        """Returns the evidence that the primary failed, or an empty list.

        At least two vantage points must agree. The leader must itself reach a majority
        of the members and most daemons, so that an isolated leader takes no action.
        """
        evidence = [
            e
            for e in self.evidence_against_primary(database)
            if e.detector != "member" or e.vantage in record.group
        ]
        investigation = self._observations.investigations.get(database.name)
        if investigation is None or not evidence:
            return []
        reached = [
            at
            for at in investigation.others_answered_at.values()
            if now - at <= ANSWER_VALIDITY_SECONDS
        ]
        others = self._other_daemons(daemons)
        if len(reached) < majority(record.group) or self._is_isolated(now, others):
            return []
        if _rejected_by_proxies(now, evidence, others):
            return evidence
        if _is_confirmed(now, investigation):
            return []
        timeout = self._settings.timers.suspicion_timeout
        unresponsive = (
            now - max(investigation.answered_at, investigation.opened_at) > timeout
        )
        members = {e.vantage for e in evidence if e.detector == "member"}
        # The primary answers, but reports that no majority confirms it.
        unconfirmed = investigation.answered_at >= investigation.opened_at
        if len(members) >= majority(record.group):
            return evidence if unresponsive or unconfirmed else []
        kinds = {e.detector for e in evidence}
        if "order" in kinds and len(kinds) >= 2:
            return evidence
        renewed = {
            e.vantage
            for e in evidence
            if e.confirmed_at > investigation.opened_at
            and e.vantage != self._settings.name
        }
        return (
            evidence
            if unresponsive and len(renewed) >= MIN_CORROBORATING_VANTAGES
            else []
        )

    def _is_isolated(self, now: float, daemons: list[Any]) -> bool:
        """Returns whether most daemons are unreachable, so that the fault is local.

        A single unreachable daemon is no evidence of isolation.
        """
        limit = (
            RESPONSIVE_HEARTBEAT_INTERVALS
            * self._settings.timers.daemon_heartbeat_interval
        )
        known = [
            d
            for d in daemons
            if now - d.last_contact_at <= SILENT_DAEMON_RETENTION_SECONDS
        ]
        responsive = [d for d in known if now - d.last_contact_at <= limit]
        return len(known) > 1 and 2 * len(responsive) < len(known)

    def _other_daemons(self, daemons: Any) -> list[Any]:
        """Returns the daemons other than this one that are not stopping."""
        own = self._settings.name
        return [d for d in daemons.values() if d.name != own and not d.draining]

    def _ping_timeout(self, data_centre: str) -> float:
        settings = self._settings
        delay = settings.delays.get(data_centre, 0.0)
        return max(settings.timers.suspicion_timeout, PING_TIMEOUT_DELAYS * delay)

    def _add_evidence(self, database: str, evidence: Evidence) -> None:
        entries = self._evidence.setdefault(database, {})
        entries[evidence.vantage, evidence.detector] = evidence


def _is_confirmed(now: float, investigation: Investigation) -> bool:
    fresh = now - investigation.answered_at <= ANSWER_VALIDITY_SECONDS
    return fresh and 0 <= investigation.confirmed_ago_ms <= CONFIRMATION_MAX_AGE_MS


def _rejected_by_proxies(
    now: float, evidence: list[Evidence], daemons: list[Any]
) -> bool:
    """Returns whether most proxies cannot use a primary that may reach its peers."""
    proxies = {e.vantage for e in evidence if e.detector == "proxy"}
    lasting = all(
        now - e.since >= PROXY_CONFIRMATION_SECONDS
        for e in evidence
        if e.detector == "proxy"
    )
    # The leader itself is also a proxy.
    most = (sum(not d.lost for d in daemons) + 1) // 2 + 1
    return lasting and len(proxies) >= max(2, most)
