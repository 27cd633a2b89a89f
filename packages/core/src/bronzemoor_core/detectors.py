"""Failure detectors, which yield one vantage point's evidence against a primary."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.messages import Suspicion
from bronzemoor_core.topology import NEVER

# How long a proxy's evidence is valid after its last failed call; the data path probes
# twice a second.
PROXY_EVIDENCE_VALIDITY_SECONDS = 1.0
# How long a primary may announce another role before that counts as evidence. A
# promoted member may announce its old role one last time.
ROLE_CHANGE_GRACE_SECONDS = 0.3
# Consecutive failed pings that count as evidence. A single one may be lost; at 1% loss
# two in a row are lost once in 10,000.
MIN_FAILED_PINGS = 2

Key = tuple[str, str]  # database and member


@dataclass(slots=True)
class Report:
    """A member's report of the members that it cannot reach."""

    unreachable: tuple[str, ...]
    since: float
    received_at: float


@dataclass(slots=True)
class Span:
    """Times of the first and the last observation, in seconds."""

    first: float
    last: float


@dataclass(slots=True)
class Investigation:
    """Pings of the control leader to a suspected primary and its group.

    ``failures`` counts consecutive failed pings; ``others_answered_at`` holds the time
    of each other member's last answer.
    """

    member: str
    opened_at: float
    failures: int = 0
    answered_at: float = NEVER
    confirmed_ago_ms: int = -1
    others_answered_at: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Observations:
    """This daemon's own observations of members."""

    last_announced: dict[Key, float] = field(default_factory=dict)
    suspected_spans: dict[Key, Span] = field(default_factory=dict)
    # Time at which the primary began to announce another role.
    demoted_at: dict[Key, float] = field(default_factory=dict)
    # By database and reporting member.
    reports: dict[str, dict[str, Report]] = field(default_factory=dict)
    investigations: dict[str, Investigation] = field(default_factory=dict)

    def suspect(self, now: float, database: str, member: str) -> None:
        """Records the data path's evidence; a pause begins a new span."""
        span = self.suspected_spans.get((database, member))
        if span is None or now - span.last > PROXY_EVIDENCE_VALIDITY_SECONDS:
            span = self.suspected_spans[database, member] = Span(now, now)
        span.last = now

    def observed_databases(self) -> set[str]:
        """Returns the databases on which detectors may have evidence."""
        keys = (*self.last_announced, *self.suspected_spans, *self.demoted_at)
        return (
            {key[0] for key in keys} | self.reports.keys() | self.investigations.keys()
        )


@dataclass(slots=True)
class Evidence:
    """A vantage point's evidence, begun at ``since`` and last confirmed at
    ``confirmed_at``, in seconds."""

    vantage: str
    detector: str
    member: str
    since: float
    confirmed_at: float


# (vantage point, since, confirmed at) of evidence against the primary.
Finding = tuple[str, float, float]
Detector = Callable[[float, Observations, Any, Any], Iterator[Finding]]

# Detectors that run on every daemon, and those that run on the control leader.
LOCAL_DETECTORS: dict[str, Detector] = {}
LEADER_DETECTORS: dict[str, Detector] = {}


def detector(
    name: str, registry: dict[str, Detector]
) -> Callable[[Detector], Detector]:
    """Registers a detector, which takes ``(now, observations, database, timers)``.

    An empty vantage point in a finding means this daemon.
    """

    def register(function: Detector) -> Detector:
        registry[name] = function
        return function

    return register


@detector("announcement_silence", LOCAL_DETECTORS)
def _detect_announcement_silence(
    now: float, observations: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """The primary announced itself to this relay and then stopped."""
    last = observations.last_announced.get((database.name, database.primary), NEVER)
    if last != NEVER and now - last > timers.suspicion_timeout:
        yield "", last, now


@detector("proxy", LOCAL_DETECTORS)
def _detect_proxy_failures(
    now: float, observations: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """New connections of this proxy to the primary fail as well."""
    span = observations.suspected_spans.get((database.name, database.primary))
    if span is not None and now - span.last <= PROXY_EVIDENCE_VALIDITY_SECONDS:
        yield "", span.first, now


@detector("role_lost", LOCAL_DETECTORS)
def _detect_role_loss(
    now: float, observations: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """The primary announces another role, as after a restart."""
    since = observations.demoted_at.get((database.name, database.primary), NEVER)
    if since != NEVER and now - since > ROLE_CHANGE_GRACE_SECONDS:
        yield "", since, now


@detector("member", LEADER_DETECTORS)
def _detect_member_reports(
    now: float, observations: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """Other members of the group cannot reach the primary."""
    for reporter, report in observations.reports.get(database.name, {}).items():
        fresh = now - report.received_at <= timers.announcement_lease
        if fresh and database.primary in report.unreachable:
            yield reporter, report.since, report.received_at


@detector("order", LEADER_DETECTORS)
def _detect_failed_pings(
    now: float, observations: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """The control leader's own pings to the primary fail."""
    investigation = observations.investigations.get(database.name)
    if investigation is not None and investigation.failures >= MIN_FAILED_PINGS:
        yield "", investigation.opened_at, now


def find_evidence(
    now: float,
    observations: Observations,
    databases: Any,
    timers: Any,
    vantage: str,
    registry: dict[str, Detector],
) -> Iterator[tuple[str, Evidence]]:
    """Yields pairs of a database's name and evidence against its primary."""
    for name in sorted(observations.observed_databases()):
        database = databases.get(name)
        if database is None or not database.primary:
            continue
        for kind, function in registry.items():
            for source, since, confirmed_at in function(
                now, observations, database, timers
            ):
                evidence = Evidence(
                    source or vantage, kind, database.primary, since, confirmed_at
                )
                yield name, evidence


def to_suspicion(now: float, database: Any, evidence: Evidence) -> Suspicion:
    """Converts evidence to the form sent in heartbeats."""
    return Suspicion(
        database=database.name,
        member=evidence.member,
        detector=evidence.detector,
        term=database.term,
        age_ms=round((now - evidence.since) * 1000),
    )
