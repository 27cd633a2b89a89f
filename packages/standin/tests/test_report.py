"""Tests of the figures in a load report."""

import pytest

from bronzemoor_standin.records import DONE, LOST, NOT_RUN, History, Request
from bronzemoor_standin.report import as_text, make_report, plot


def attempt(request_id, at, latency=0.01, **fields):
    return Request(
        "s",
        "claims",
        request_id,
        operation="pay" if fields.get("write") else "poll",
        intended_at=at,
        sent_at=fields.pop("sent_at", at),
        answered_at=at + latency,
        **fields,
    )


@pytest.fixture
def history():
    """Writes until 0.21 s, one that ends at 1.31 s; replicas serve half the reads."""
    writes = [attempt(f"w{t}", t, write=True) for t in (0, 0.1, 0.2, 1.4, 9)]
    writes.append(attempt("waits", 0.31, latency=1.0, write=True))
    reads = [
        attempt(f"r{i}", i / 10, role="replica" if i < 10 else "primary")
        for i in range(20)
    ]
    resent = [
        attempt("x", 0.5, outcome=LOST, code="timeout"),
        attempt("x", 0.5, latency=2.0, sent_at=1.5, outcome=DONE, role="replica"),
    ]
    refused = [attempt("n", 0.6, outcome=NOT_RUN, code="queue_full")]
    return History(writes + reads + resent + refused)


def test_figures(history):
    """Guards against wrong gaps and shares, and latencies that exclude retries."""
    report = make_report(history, {})
    assert (report.operations, report.attempts) == (28, 29)
    assert report.outcomes == {"done": 27, "not_run": 1}
    assert report.codes == {"lost:timeout": 1, "not_run:queue_full": 1}
    assert report.failover_gap_s == {"claims": 1.0}
    assert report.failover_gap_at_s == {"claims": 0.31}
    assert report.replica_share == pytest.approx(11 / 21, abs=1e-3)
    assert report.replica_share_by_second == [1.0, 0.0]
    assert report.violations_by_guarantee["P1 read_your_writes"] == 0
    assert report.violations_by_guarantee["P7 leaving_gets_no_work"] is None
    assert report.latency_ms["poll"]["p100"] == pytest.approx(2000, rel=0.01)
    assert report.latency_ms["pay"]["p50"] == pytest.approx(10, rel=0.01)


def test_text_and_plot(history, tmp_path):
    """Guards against a report that fails on seconds without requests."""
    report = make_report(history, {})
    assert "claims: longest time without a write 1.000 s" in as_text(report)
    plot(report, str(tmp_path / "a.png"))
    empty = make_report(History(), {})
    assert as_text(empty)
    plot(empty, str(tmp_path / "b.png"))
