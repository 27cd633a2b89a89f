"""Failure detectors: the evidence of one vantage point against a primary."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.messages import Suspicion
from bronzemoor_core.topology import NEVER

# A proxy's evidence stands for this long after its last failed call, seconds; the
# data path probes twice a second.
PROXY_EVIDENCE = 1.0
# How long a primary may announce another role before that counts, seconds. A promoted
# member may announce its old role once more.
ROLE_GRACE = 0.3
# Failed pings in a row that count as evidence. One may be lost; two lost in a row are
# one in 10,000 at 1% loss.
FAILED_PINGS = 2

Key = tuple[str, str]  # database and member


@dataclass(slots=True)
class Report:
    """A member's list of members that it cannot reach."""

    unreachable: tuple[str, ...]
    since: float
    heard: float


@dataclass(slots=True)
class Span:
    """When something was seen for the first and for the last time, seconds."""

    first: float
    last: float


@dataclass(slots=True)
class Investigation:
    """Pings of the control leader to a suspected primary and its group.

    ``failures`` counts failed pings in a row; ``others`` holds when each other member
    last answered.
    """

    member: str
    opened_at: float
    failures: int = 0
    answered_at: float = NEVER
    confirmed_ago_ms: int = -1
    others: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Observations:
    """What this daemon itself saw of members."""

    announced: dict[Key, float] = field(default_factory=dict)
    suspected: dict[Key, Span] = field(default_factory=dict)
    # When the primary began to announce another role.
    demoted: dict[Key, float] = field(default_factory=dict)
    # By database and reporting member.
    reports: dict[str, dict[str, Report]] = field(default_factory=dict)
    investigations: dict[str, Investigation] = field(default_factory=dict)

    def suspect(self, now: float, database: str, member: str) -> None:
        """Takes the data path's evidence; a pause begins a new span."""
        span = self.suspected.get((database, member))
        if span is None or now - span.last > PROXY_EVIDENCE:
            span = self.suspected[database, member] = Span(now, now)
        span.last = now

    def concerned(self) -> set[str]:
        """Returns the databases that detectors may have evidence on."""
        keys = (*self.announced, *self.suspected, *self.demoted)
        return (
            {key[0] for key in keys} | self.reports.keys() | self.investigations.keys()
        )


@dataclass(slots=True)
class Evidence:
    """A vantage point's evidence: ``since`` is when it began, ``seen`` when it was
    last confirmed, in seconds."""

    vantage: str
    detector: str
    member: str
    since: float
    seen: float


# Yields (vantage point, since, confirmed at) for evidence against the primary.
Finding = tuple[str, float, float]
Detector = Callable[[float, Observations, Any, Any], Iterator[Finding]]

# Detectors that run on every daemon, and those of the control leader.
LOCAL_DETECTORS: dict[str, Detector] = {}
LEADER_DETECTORS: dict[str, Detector] = {}


def detector(
    name: str, registry: dict[str, Detector]
) -> Callable[[Detector], Detector]:
    """Registers a detector, which takes ``(now, observations, database, timers)``.

    An empty vantage point in a finding stands for this daemon.
    """

    def register(function: Detector) -> Detector:
        registry[name] = function
        return function

    return register


@detector("announcement_silence", LOCAL_DETECTORS)
def _silence(
    now: float, seen: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """The primary announced itself to this relay and stopped."""
    last = seen.announced.get((database.name, database.primary), NEVER)
    if last != NEVER and now - last > timers.suspicion_timeout:
        yield "", last, now


@detector("proxy", LOCAL_DETECTORS)
def _proxy(
    now: float, seen: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """Fresh connections of this proxy to the primary fail as well."""
    span = seen.suspected.get((database.name, database.primary))
    if span is not None and now - span.last <= PROXY_EVIDENCE:
        yield "", span.first, now


@detector("role_lost", LOCAL_DETECTORS)
def _role(
    now: float, seen: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """The primary announces that it is none, as after a restart."""
    since = seen.demoted.get((database.name, database.primary), NEVER)
    if since != NEVER and now - since > ROLE_GRACE:
        yield "", since, now


@detector("member", LEADER_DETECTORS)
def _member(
    now: float, seen: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """Other members of the group cannot reach the primary."""
    for reporter, report in seen.reports.get(database.name, {}).items():
        fresh = now - report.heard <= timers.announcement_lease
        if fresh and database.primary in report.unreachable:
            yield reporter, report.since, report.heard


@detector("order", LEADER_DETECTORS)
def _order(
    now: float, seen: Observations, database: Any, timers: Any
) -> Iterator[Finding]:
    """The control leader's own pings to the primary fail."""
    found = seen.investigations.get(database.name)
    if found is not None and found.failures >= FAILED_PINGS:
        yield "", found.opened_at, now


def find_evidence(
    now: float,
    seen: Observations,
    databases: Any,
    timers: Any,
    vantage: str,
    registry: dict[str, Detector],
) -> Iterator[tuple[str, Evidence]]:
    """Yields evidence against primaries with the name of their database."""
    for name in sorted(seen.concerned()):
        database = databases.get(name)
        if database is None or not database.primary:
            continue
        for kind, function in registry.items():
            for source, since, at in function(now, seen, database, timers):
                evidence = Evidence(
                    source or vantage, kind, database.primary, since, at
                )
                yield name, evidence


def to_suspicion(now: float, database: Any, evidence: Evidence) -> Suspicion:
    """Returns evidence as a heartbeat carries it."""
    return Suspicion(
        database=database.name,
        member=evidence.member,
        detector=evidence.detector,
        term=database.term,
        age_ms=round((now - evidence.since) * 1000),
    )
