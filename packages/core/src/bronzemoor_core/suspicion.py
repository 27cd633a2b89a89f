"""Evidence collected by the control leader, and the decision that a primary failed."""

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
from bronzemoor_core.promotion import accepted, due, make_order

# Evidence of another daemon is replaced by its next heartbeat and dropped after this
# many heartbeat intervals without one.
EVIDENCE_HEARTBEATS = 4
# Interval between pings to a suspected primary and its group, seconds.
PING_INTERVAL = 0.05
# Interval once the primary has answered for so long, seconds: a relay to which it no
# longer announces itself reports it for ever. Less than an answer stays valid. Without
# the delay a primary cut off from its peers was replaced 200 ms later.
RECHECK_AFTER = 2.0
RECHECK_INTERVAL = 0.25
# A ping may take this many one-way delays: a round trip of tenfold delay, and a margin.
PING_DELAYS = 24
# A primary that a majority confirmed this recently (ms) works, whatever others say.
# Members exchange heartbeats every 30 to 50 ms, so this is many lost in a row.
CONFIRMED_LIMIT_MS = 300
# An answer to a ping proves for this long that a member is reachable, seconds.
ANSWER_VALID = 0.3
# A daemon counts as heard for so many heartbeat intervals after its last heartbeat.
HEARD_INTERVALS = 5
# Daemons that were silent for longer are gone and do not tell of a partition, seconds.
CUT_OFF_MEMORY = 30.0
# How long a majority of proxies must report a primary that answers the control leader,
# seconds. Longer than a data path's own retries with fresh connections.
PROXY_CONFIRMATION = 0.5
# Other vantage points that, after the pings began, must repeat their evidence against
# a primary that does not answer, when no ping has failed yet.
CORROBORATION = 2


class Suspicions:
    """Evidence by database, and the pings that verify it. Only the leader has any
    investigation; each daemon has its own observations."""

    def __init__(self, settings: Any, seen: Observations) -> None:
        self._settings = settings
        self._seen = seen
        # By database, then by (vantage point, detector).
        self._evidence: dict[str, dict[tuple[str, str], Evidence]] = {}
        self._sent: dict[str, float] = {}

    @property
    def databases(self) -> set[str]:
        """Databases with evidence."""
        return {name for name, held in self._evidence.items() if held}

    def clear(self, database: str | None = None) -> None:
        """Forgets evidence and pings of one database, or of all."""
        if database is None:
            self._evidence.clear()
            self._seen.investigations.clear()
        else:
            self._evidence.pop(database, None)
            self._seen.investigations.pop(database, None)

    def learn_report(
        self, heard: float, database: str, member: str, unreachable: tuple[str, ...]
    ) -> None:
        """Takes a member's list of members that it cannot reach."""
        reports = self._seen.reports.get(database, {})
        known = reports.get(member)
        if not unreachable:
            reports.pop(member, None)
            if not reports:
                self._seen.reports.pop(database, None)
        elif known is not None and known.unreachable == unreachable:
            known.heard = max(known.heard, heard)
        else:
            reports[member] = Report(unreachable, heard, heard)
            self._seen.reports[database] = reports

    def learn_suspicions(
        self, now: float, sender: str, suspicions: Iterable[Suspicion], databases: Any
    ) -> None:
        """Replaces a daemon's evidence by that of its newest heartbeat."""
        for held in self._evidence.values():
            for key in [key for key in held if key[0] == sender]:
                del held[key]
        for s in suspicions:
            database = databases.get(s.database)
            if database is not None and s.term == database.term:
                since = now - s.age_ms / 1000
                self._add(
                    s.database, Evidence(sender, s.detector, s.member, since, now)
                )

    def collect(
        self, now: float, databases: Any, local: list[tuple[str, Evidence]]
    ) -> None:
        """Renews this daemon's own evidence and drops what is no longer confirmed."""
        timers, own = self._settings.timers, self._settings.name
        limit = EVIDENCE_HEARTBEATS * timers.daemon_heartbeat_interval
        for held in self._evidence.values():
            for key, evidence in tuple(held.items()):
                renewed = key[0] == own or key[1] in LEADER_DETECTORS
                if renewed or now - evidence.seen > limit:
                    del held[key]
        leader = find_evidence(
            now, self._seen, databases, timers, own, LEADER_DETECTORS
        )
        for name, evidence in [*local, *leader]:
            self._add(name, evidence)

    def standing(self, database: Any) -> list[Evidence]:
        """Returns the evidence against the present primary."""
        held = self._evidence.get(database.name, {})
        return [e for e in held.values() if e.member == database.primary]

    def pinged(self, now: float, database: str, member: str, answer: Answer) -> None:
        """Takes the answer to a ping."""
        found = self._seen.investigations.get(database)
        if found is None:
            return
        if member != found.member:
            found.others[member] = now
        elif accepted(answer) and answer.role == "primary":
            found.failures = 0
            found.answered_at = now
            found.confirmed_ago_ms = answer.confirmed_ago_ms
        else:
            found.failures += 1

    def ping_failed(self, database: str, member: str) -> None:
        """Takes a ping without an answer."""
        found = self._seen.investigations.get(database)
        if found is not None and found.member == member:
            found.failures += 1

    def investigate(
        self, now: float, database: Any, record: Any, addresses: dict[str, str]
    ) -> list[SendOrder]:
        """Pings the suspected primary and its group."""
        found = self._seen.investigations.get(database.name)
        if found is None or found.member != record.primary:
            found = Investigation(record.primary, now)
            self._seen.investigations[database.name] = found
        confirmed = now - found.opened_at > RECHECK_AFTER and _confirmed(now, found)
        interval = RECHECK_INTERVAL if confirmed else PING_INTERVAL
        if not due(self._sent, database.name, now, interval):
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
        """Returns the evidence that the primary failed, or nothing.

        At least two vantage points must agree, and the leader must itself reach a
        majority of the members and most daemons; one that is cut off does nothing.
        """
        evidence = [
            e
            for e in self.standing(database)
            if e.detector != "member" or e.vantage in record.group
        ]
        found = self._seen.investigations.get(database.name)
        if found is None or not evidence:
            return []
        reached = [at for at in found.others.values() if now - at <= ANSWER_VALID]
        others = self._others(daemons)
        if len(reached) < majority(record.group) or self._cut_off(now, others):
            return []
        if _rejected_by_proxies(now, evidence, others):
            return evidence
        if _confirmed(now, found):
            return []
        timeout = self._settings.timers.suspicion_timeout
        silent = now - max(found.answered_at, found.opened_at) > timeout
        members = {e.vantage for e in evidence if e.detector == "member"}
        # It answers, but says itself that no majority confirms it.
        unconfirmed = found.answered_at >= found.opened_at
        if len(members) >= majority(record.group):
            return evidence if silent or unconfirmed else []
        kinds = {e.detector for e in evidence}
        if "order" in kinds and len(kinds) >= 2:
            return evidence
        renewed = {
            e.vantage
            for e in evidence
            if e.seen > found.opened_at and e.vantage != self._settings.name
        }
        return evidence if silent and len(renewed) >= CORROBORATION else []

    def _cut_off(self, now: float, daemons: list[Any]) -> bool:
        """Tells whether most daemons fell silent at once, so that the fault is here.

        One silent daemon alone tells nothing.
        """
        limit = HEARD_INTERVALS * self._settings.timers.daemon_heartbeat_interval
        known = [d for d in daemons if now - d.last_heard <= CUT_OFF_MEMORY]
        heard = [d for d in known if now - d.last_heard <= limit]
        return len(known) > 1 and 2 * len(heard) < len(known)

    def _others(self, daemons: Any) -> list[Any]:
        """Daemons but this one and those that are stopping."""
        own = self._settings.name
        return [d for d in daemons.values() if d.name != own and not d.draining]

    def _ping_timeout(self, data_centre: str) -> float:
        settings = self._settings
        delay = settings.delays.get(data_centre, 0.0)
        return max(settings.timers.suspicion_timeout, PING_DELAYS * delay)

    def _add(self, database: str, evidence: Evidence) -> None:
        held = self._evidence.setdefault(database, {})
        held[evidence.vantage, evidence.detector] = evidence


def _confirmed(now: float, found: Investigation) -> bool:
    fresh = now - found.answered_at <= ANSWER_VALID
    return fresh and 0 <= found.confirmed_ago_ms <= CONFIRMED_LIMIT_MS


def _rejected_by_proxies(
    now: float, evidence: list[Evidence], daemons: list[Any]
) -> bool:
    """Tells whether most proxies cannot use a primary that may reach its peers."""
    proxies = {e.vantage for e in evidence if e.detector == "proxy"}
    lasting = all(
        now - e.since >= PROXY_CONFIRMATION for e in evidence if e.detector == "proxy"
    )
    # The leader itself is a proxy as well.
    most = (sum(not d.lost for d in daemons) + 1) // 2 + 1
    return lasting and len(proxies) >= max(2, most)
