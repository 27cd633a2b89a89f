"""Failure detectors: the evidence of one vantage point against a primary."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.messages import Suspicion
from bronzemoor_core.topology import NEVER

# Evidence of a relay or a proxy counts until its next heartbeats; after this many
# heartbeat intervals without one, it is dropped.
EVIDENCE_HEARTBEATS = 4
# A proxy's evidence stands for this long after its last failed call, seconds; the
# data path probes twice a second.
PROXY_EVIDENCE = 1.0
# How long a primary may announce another role before that counts, seconds. A promoted
# member may announce its old role once more.
ROLE_GRACE = 0.3


@dataclass(slots=True)
class Observations:
    """What this daemon itself saw of members, by (database, member)."""

    announced: dict[tuple[str, str], float] = field(default_factory=dict)
    suspected: dict[tuple[str, str], float] = field(default_factory=dict)
    # When the primary began to announce another role.
    demoted: dict[tuple[str, str], float] = field(default_factory=dict)


@dataclass(slots=True)
class Evidence:
    """A vantage point's evidence: ``since`` is when it began, ``seen`` when it was
    last confirmed, in seconds."""

    vantage: str
    detector: str
    member: str
    since: float
    seen: float


Detector = Callable[[float, Observations, Any, Any], float]

DETECTORS: dict[str, Detector] = {}


def detector(name: str) -> Callable[[Detector], Detector]:
    """Registers a detector that runs on every daemon.

    It takes ``(now, observations, database, timers)`` and returns since when it has
    evidence against the database's primary, or ``NEVER``.
    """

    def register(function: Detector) -> Detector:
        DETECTORS[name] = function
        return function

    return register


@detector("announcement_silence")
def _silence(now: float, seen: Observations, database: Any, timers: Any) -> float:
    """A relay's: the primary announced itself here and stopped."""
    last = seen.announced.get((database.name, database.primary), NEVER)
    if last == NEVER or now - last <= timers.suspicion_timeout:
        return NEVER
    return last


@detector("proxy")
def _proxy(now: float, seen: Observations, database: Any, timers: Any) -> float:
    """A proxy's: fresh connections to the primary fail as well."""
    last = seen.suspected.get((database.name, database.primary), NEVER)
    return last if now - last <= PROXY_EVIDENCE else NEVER


@detector("role_lost")
def _role(now: float, seen: Observations, database: Any, timers: Any) -> float:
    """A relay's: the primary announces that it is a replica, as after a restart."""
    since = seen.demoted.get((database.name, database.primary), NEVER)
    return since if since != NEVER and now - since > ROLE_GRACE else NEVER


def find_evidence(
    now: float, seen: Observations, databases: Any, timers: Any, vantage: str
) -> Iterator[tuple[str, Evidence]]:
    """Yields the evidence of this daemon against primaries, by database."""
    for database in databases.values():
        if not database.primary:
            continue
        for name, function in DETECTORS.items():
            since = function(now, seen, database, timers)
            if since != NEVER:
                yield (
                    database.name,
                    Evidence(vantage, name, database.primary, since, now),
                )


def local_suspicions(now: float, blackboard: Any) -> list[Suspicion]:
    """Returns this daemon's evidence for its next heartbeat."""
    return [
        Suspicion(
            database=name,
            member=evidence.member,
            detector=evidence.detector,
            term=blackboard.topology.databases[name].term,
            age_ms=round((now - evidence.since) * 1000),
        )
        for name, evidence in blackboard.failover.local
    ]
