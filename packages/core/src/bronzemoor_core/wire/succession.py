"""Decides when a group's primary is replaced, and by which member."""

from collections.abc import Collection

from bronzemoor_core.messages import GroupReport
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.acknowledgements import (
    Acknowledgements,
    Evidence,
    received_position,
)
from bronzemoor_core.wire.statements import BUSY, CONNECTION_LIMIT, MemberStatus

# A proxy's report counts as a failure once new connections failed for this long.
MIN_FAILING_SECONDS = 0.250
# Share of the reporting proxies that must fail, and for how long, before a primary that
# the control leader itself can still reach is replaced.
MIN_FAILING_SHARE = 0.30
MIN_FAILING_ALONE_SECONDS = 0.6
# A primary has lost its replicas if at least this many proxies got no answer to commits
# for this long and no proxy got one. A single missing answer may just be lost.
MIN_STALLED_SECONDS = 1.2
MIN_STALLED_PROXIES = 2
# Older reports are ignored.
MAX_REPORT_AGE_SECONDS = 1.5
# A primary that answered a proxy this recently is alive.
MAX_ANSWER_AGE_SECONDS = 0.4
# A primary is overloaded if it refused at least this share of the proxies within this
# time.
MIN_REFUSED_SHARE = 0.30
MAX_REFUSAL_AGE_SECONDS = 1.0
# Replicas that lag by more than this serve hardly any reads.
MIN_RELIEF_LAG_SECONDS = 1.5


def _fresh_reports(
    now: float, primary: str, evidence: dict[str, Evidence]
) -> list[tuple[GroupReport, float]]:
    """Returns recent reports about ``primary`` with their ages in seconds."""
    return [
        (item.report, now - item.received)
        for item in evidence.values()
        if now - item.received < MAX_REPORT_AGE_SECONDS
        and item.report.member == primary
    ]


def replacement_reason(
    now: float, primary: str, evidence: dict[str, Evidence], probe_failing: float
) -> str:
    """Returns why the primary must be replaced, or an empty string.

    ``probe_failing`` is how long, in seconds, the control leader's own probes have
    failed, 0 while they succeed. A primary is kept if only the control group, or only a
    minority of the proxies, cannot reach it.
    """
    fresh = _fresh_reports(now, primary, evidence)
    answering = [
        r.succeeded_ms >= 0 and r.succeeded_ms / 1_000 + age < MAX_ANSWER_AGE_SECONDS
        for r, age in fresh
    ]
    failing_times = [
        0.0 if answers or r.failing_ms < 0 else r.failing_ms / 1_000 + age
        for (r, age), answers in zip(fresh, answering, strict=True)
    ]
    failing = sum(time >= MIN_FAILING_SECONDS for time in failing_times)
    failing_alone = sum(time >= MIN_FAILING_ALONE_SECONDS for time in failing_times)
    alive = sum(answering)
    stalled = sum(r.stalled_ms >= MIN_STALLED_SECONDS * 1_000 for r, _ in fresh)
    if (
        probe_failing >= MIN_FAILING_SECONDS
        and (failing or not alive)
        and failing >= alive
    ):
        return "unreachable"
    if failing_alone and failing_alone >= MIN_FAILING_SHARE * len(fresh):
        return "unreachable_from_proxies"
    committed = any(
        r.committed_ms >= 0 and r.committed_ms / 1_000 + age < MIN_STALLED_SECONDS
        for r, age in fresh
    )
    if not committed and stalled >= max(
        MIN_STALLED_PROXIES, MIN_FAILING_SHARE * len(fresh)
    ):
        return "commits_stalled"
    return ""


def is_overloaded(now: float, primary: str, evidence: dict[str, Evidence]) -> bool:
    """Returns whether the primary refuses statements of many proxies."""
    fresh = _fresh_reports(now, primary, evidence)
    refused = sum(
        r.refused_ms >= 0 and r.refused_ms / 1_000 + age < MAX_REFUSAL_AGE_SECONDS
        for r, age in fresh
    )
    return refused > 0 and refused >= MIN_REFUSED_SHARE * len(fresh)


def should_replace_overloaded_primary(lags: list[float]) -> bool:
    """Returns whether an overloaded primary should be replaced by a replica.

    This holds if every replica that answers lags too much to serve reads; ``lags`` are
    in seconds. The promoted replica serves at once with what it has received, and the
    old primary serves as a replica that is up to date, so that two members share the
    work.
    """
    return bool(lags) and min(lags) >= MIN_RELIEF_LAG_SECONDS


def is_alive(status: MemberStatus | str) -> bool:
    """Returns whether a member answered, even with a connection limit or BUSY error."""
    return isinstance(status, MemberStatus) or status in (CONNECTION_LIMIT, BUSY)


def primary_of(statuses: dict[str, MemberStatus], term: int) -> str:
    """Returns the member that leads ``term``, or an empty string.

    A primary that crashed comes back with its log, also under another name.
    """
    return next((m for m, s in statuses.items() if s.primary and s.term == term), "")


def newest_primary(statuses: dict[str, MemberStatus], term: int) -> str:
    """Returns the member that leads the newest term after ``term``, or an empty string.

    A promotion that took effect late can leave two members that lead.
    """
    leading = {m: s.term for m, s in statuses.items() if s.primary and s.term > term}
    return max(leading, key=lambda member: leading[member], default="")


def choose_successor(
    held: dict[str, Position],
    expected: set[str],
    acknowledged: Position | None,
    leaving: Collection[str] = (),
    planned: str = "",
    departed: bool = False,
    reported: Position = ZERO,
) -> str:
    """Returns the member to promote, or an empty string while none is safe.

    ``held`` are the positions of paused replicas and ``expected`` all replicas that may
    have acknowledged a commit, unless one ``departed`` that may have, too. Otherwise a
    replica must have reached ``acknowledged``, the newest commit that was reported to
    any client, None while unknown. It needs the commits that proxies have ``reported``
    as acknowledged in any case. An order to promote the ``planned`` member may still be
    on its way and is harmless only once that member is the primary, so it is preferred.
    A ``leaving`` member is chosen only if no other is safe, since it would have to be
    replaced at once.
    """
    received = received_position(held, expected, departed)
    commits = Acknowledgements(None, acknowledged, received, reported)
    required = commits.required
    if required is None:
        return ""
    safe = [member for member, position in held.items() if position >= required]
    return max(
        safe,
        key=lambda member: (
            member == planned,
            member not in leaving,
            held[member],
            member,
        ),
        default="",
    )
