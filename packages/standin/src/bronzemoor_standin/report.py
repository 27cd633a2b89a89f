"""Computes the figures of a load run and renders them as text and as a plot."""

from collections import Counter
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from hdrh.histogram import HdrHistogram

from bronzemoor_standin.history import check, checkable_guarantees
from bronzemoor_standin.records import DONE, History, Request, Tables

PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
# Range of recorded latencies: 1 us to 60 s with three significant digits.
_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
REPLICA = "replica"


@dataclass(slots=True)
class Report:
    """Figures of a run; latencies in milliseconds, other times in seconds."""

    duration_s: float = 0.0
    operations: int = 0
    attempts: int = 0
    # Operations by outcome of the last attempt; attempts not done by outcome and code.
    outcomes: dict[str, int] = field(default_factory=dict)
    codes: dict[str, int] = field(default_factory=dict)
    # Percentiles by operation, measured from the intended time of arrival.
    latency_ms: dict[str, dict[str, float]] = field(default_factory=dict)
    # Longest time in which writes waited and none succeeded, by database, and its
    # offset from the start of the run.
    failover_gap_s: dict[str, float] = field(default_factory=dict)
    failover_gap_at_s: dict[str, float] = field(default_factory=dict)
    # Share of reads served by replicas: in total, by operation and by second.
    replica_share: float = 0.0
    replica_shares: dict[str, float] = field(default_factory=dict)
    replica_share_by_second: list[float | None] = field(default_factory=list)
    # Throughput and percentiles by second.
    done_by_second: list[int] = field(default_factory=list)
    latency_ms_by_second: list[dict[str, float]] = field(default_factory=list)
    checked_tables: bool = False
    violations: list[dict[str, str]] = field(default_factory=list)
    # Number of violations, or None where the run had nothing to check.
    violations_by_guarantee: dict[str, int | None] = field(default_factory=dict)


def make_report(history: History, tables: Tables) -> Report:
    """Computes all figures and runs the history checkers."""
    report = Report(checked_tables=bool(tables))
    final = _final_attempts(history)
    if not final:
        return report
    start = min(r.intended_at for r in final)
    report.duration_s = max(r.answered_at for r in final) - start
    report.operations, report.attempts = len(final), len(history.requests)
    report.outcomes = dict(Counter(r.outcome for r in final))
    report.codes = dict(
        Counter(f"{r.outcome}:{r.code}" for r in history.requests if r.outcome != DONE)
    )
    done = [r for r in final if r.outcome == DONE]
    report.latency_ms = {"all": _percentiles(done)} | {
        name: _percentiles([r for r in done if r.operation == name])
        for name in sorted({r.operation for r in done})
    }
    _add_failover_gaps(report, done, start)
    _add_replica_shares(report, done, start)
    for second in _group_by_second(done, start):
        report.done_by_second.append(len(second))
        report.latency_ms_by_second.append(_percentiles(second))
    found = check(history, tables)
    report.violations = [asdict(violation) for violation in found]
    counts = Counter(violation.guarantee for violation in found)
    report.violations_by_guarantee = {
        name: counts[name] if counts[name] or checkable else None
        for name, checkable in checkable_guarantees(history, tables).items()
    }
    return report


def _final_attempts(history: History) -> list[Request]:
    """Returns the last attempt of each operation, in order of arrival.

    A transaction is represented by its commit, or by the request at which it ended.
    """
    final: dict[tuple[str, str], Request] = {}
    for request in history.requests:
        key = (request.database, request.transaction or request.request_id)
        known = final.get(key)
        if known is None or request.sent_at >= known.sent_at:
            final[key] = request
    attempts = [_with_operation_outcome(request) for request in final.values()]
    return sorted(attempts, key=lambda request: request.intended_at)


def _with_operation_outcome(request: Request) -> Request:
    if request.kind == "rollback" and request.outcome == DONE:
        return replace(request, outcome="rolled_back")
    return request


def _percentiles(requests: list[Request]) -> dict[str, float]:
    if not requests:
        return {}
    histogram = HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for request in requests:
        latency = int((request.answered_at - request.intended_at) * 1_000_000)
        histogram.record_value(min(max(latency, _MIN_LATENCY_US), _MAX_LATENCY_US))
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    return {f"p{p:g}": round(values[p] / 1000, 3) for p in PERCENTILES}


def _add_failover_gaps(report: Report, done: list[Request], start: float) -> None:
    writes: dict[str, list[Request]] = {}
    for request in done:
        if request.write:
            writes.setdefault(request.database, []).append(request)
    for database, requests in sorted(writes.items()):
        gap, at = _longest_gap(requests)
        report.failover_gap_s[database] = round(gap, 4)
        report.failover_gap_at_s[database] = round(at - start, 3)


def _longest_gap(writes: list[Request]) -> tuple[float, float]:
    """Returns the longest time in which writes waited without success, and its start.

    Time without any write in progress does not count, so the figure does not depend on
    pauses between arrivals.
    """
    longest, gap_start = 0.0, writes[0].intended_at
    waiting_since = float("inf")
    ordered = sorted(writes, key=lambda request: request.answered_at)
    for before, after in reversed(list(zip([None, *ordered], ordered, strict=False))):
        waiting_since = min(waiting_since, after.intended_at)
        last = before.answered_at if before is not None else waiting_since
        since = max(last, waiting_since)
        if after.answered_at - since > longest:
            longest, gap_start = after.answered_at - since, since
    return longest, gap_start


def _add_replica_shares(report: Report, done: list[Request], start: float) -> None:
    reads = [r for r in done if not r.write and r.kind == "statements" and r.role]
    if not reads:
        return
    report.replica_share = _replica_share(reads) or 0.0
    for name in sorted({r.operation for r in reads}):
        share = _replica_share([r for r in reads if r.operation == name])
        report.replica_shares[name] = share or 0.0
    report.replica_share_by_second = [
        _replica_share(s) for s in _group_by_second(reads, start)
    ]


def _replica_share(reads: list[Request]) -> float | None:
    if not reads:
        return None
    return round(sum(r.role == REPLICA for r in reads) / len(reads), 4)


def _group_by_second(requests: list[Request], start: float) -> list[list[Request]]:
    if not requests:
        return []
    seconds: list[list[Request]] = []
    for request in requests:
        index = max(0, int(request.intended_at - start))
        while len(seconds) <= index:
            seconds.append([])
        seconds[index].append(request)
    return seconds


def as_text(report: Report) -> str:
    """Renders a summary in plain text."""
    lines = [
        f"{report.operations} operations in {report.duration_s:.1f} s"
        f" ({report.attempts} attempts)",
        "outcomes: " + _format_counts(report.outcomes),
        "not done, by code: " + _format_counts(report.codes),
        "",
        f"{'latency in ms':<18}" + "".join(f"{f'p{p:g}':>10}" for p in PERCENTILES),
    ]
    for name, values in report.latency_ms.items():
        lines.append(f"{name:<18}" + "".join(f"{v:>10.2f}" for v in values.values()))
    lines.append("")
    for database, gap in report.failover_gap_s.items():
        at = report.failover_gap_at_s[database]
        lines.append(f"{database}: longest time without a write {gap:.3f} s at {at} s")
    lines.append(f"reads served by replicas: {report.replica_share:.1%}")
    lines += [f"  {name}: {share:.1%}" for name, share in report.replica_shares.items()]
    lines.append("")
    lines.append(
        "guarantees, with the endpoints' tables:"
        if report.checked_tables
        else "guarantees, without the endpoints' tables:"
    )
    for name, count in report.violations_by_guarantee.items():
        lines.append(f"  {name}: {_format_result(count)}")
    for found in report.violations[:20]:
        lines.append(f"  {found['guarantee']} {found['subject']}: {found['message']}")
    return "\n".join(lines) + "\n"


def _format_result(count: int | None) -> str:
    if count is None:
        return "not judged: the run has no data for it"
    return f"{count} violations" if count else "holds"


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{n} {c}" for n, c in sorted(counts.items())) or "none"


def plot(report: Report, path: str) -> None:
    """Plots latency, throughput with the gaps, and replica share over time."""
    # Imported here because the import takes half a second and only plots need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 9), layout="constrained")
    latency, rate, share = figure.subplots(3, sharex=True)
    seconds: Any = range(len(report.done_by_second))
    for name in ("p50", "p99", "p100"):
        values = [s.get(name) for s in report.latency_ms_by_second]
        latency.plot(seconds, [v or float("nan") for v in values], label=name)
    latency.set(ylabel="latency, ms", yscale="log")
    latency.legend()
    rate.plot(seconds, report.done_by_second, color="tab:gray", label="done per second")
    for number, (database, gap) in enumerate(report.failover_gap_s.items()):
        at = report.failover_gap_at_s[database]
        label = f"{database}: {gap:.3f} s"
        rate.axvspan(at, at + gap, alpha=0.3, color=f"C{number}", label=label)
    rate.set(ylabel="operations/s", ylim=(0, None))
    rate.legend(title="longest time without a write", fontsize="small")
    shares = [float("nan") if s is None else s for s in report.replica_share_by_second]
    share.plot(range(len(shares)), shares)
    share.set(ylabel="reads from replicas", xlabel="seconds", ylim=(0, 1.02))
    figure.savefig(path, dpi=110)
