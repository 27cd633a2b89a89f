"""Tests of logs, metrics and traces: bounded, escaped and non-blocking."""

import socket
import time

from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from bronzemoor_daemon.logs import LogWriter, RateLimit, format_line
from bronzemoor_daemon.metrics import Metrics
from bronzemoor_daemon.tracing import (
    MAX_SPANS_PER_TRACE,
    MAX_TRACES,
    Tracing,
    trace_id_of,
)


@given(st.text(), st.one_of(st.text(), st.integers(), st.binary(), st.none()))
def test_an_event_is_one_line(vm, value):
    """Guards against values that inject a line or a field into the log."""
    line = format_line(vm, "event", {"key": value})
    assert len(line.splitlines()) == 1
    assert line.startswith("event=event vm=")


def test_repeated_events_are_limited_and_counted():
    """Guards against a fault that floods the log, and against uncounted losses."""
    limit = RateLimit(2)
    admitted = [limit.admit(0.1 * number, "fault") for number in range(10)]
    assert admitted == [True, True] + [False] * 8
    assert limit.admit(0.5, "other")
    assert limit.expire_windows(0.9) == {}
    assert limit.expire_windows(1.0) == {"fault": 8}
    assert limit.admit(1.1, "fault")


def test_equal_lines_are_written_once_and_different_ones_all():
    """Guards against a flood by one fault, and against interruptions left unlogged."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["message"]))
    writer = LogWriter("vm-1")
    for number in range(20):
        writer.write("warning", "unreachable", {"peer": "vm-2"})
        writer.write("warning", "cut", {"request_id": number})
    writer.stop()
    logger.remove(sink)
    assert lines.count('event=unreachable vm="vm-1" peer="vm-2"') == 1
    assert sum(line.startswith("event=cut") for line in lines) == 20
    assert 'event=unreachable vm="vm-1" peer="vm-2" suppressed=19' in lines


def test_events_are_written_in_order_with_braces_untouched():
    """Guards against loguru's formatting of values, and against lost last lines."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["message"]))
    writer = LogWriter("vm-1")
    writer.write("info", "first", {"sql": "{0} {x}"})
    writer.write("warning", "second", {})
    writer.stop()
    logger.remove(sink)
    assert lines == ['event=first vm="vm-1" sql="{0} {x}"', 'event=second vm="vm-1"']


def test_statsd_gets_sums_and_samples():
    """Guards against one datagram per event and against values sent twice."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(3)
        metrics = Metrics(f"127.0.0.1:{server.getsockname()[1]}")
        for _ in range(100):
            metrics.emit("counter", "outcomes.done", 1)
        metrics.emit("gauge", "transactions.open", 3)
        metrics.emit("timer", "requests.time", 1.5)
        metrics.stop()
        lines = server.recv(65_536).decode().splitlines()
    assert "bronzemoor.outcomes.done:100|c" in lines
    assert "bronzemoor.transactions.open:3|g" in lines
    assert "bronzemoor.requests.time:1.500000|ms" in lines


def test_the_snapshot_contains_the_share_of_replica_reads():
    """Guards against a wrong value of the most important metric."""
    metrics = Metrics()
    assert metrics.snapshot()["replica_read_share"] is None
    metrics.emit("counter", "reads.replica", 3)
    metrics.emit("counter", "reads.primary", 1)
    for value in range(100):
        metrics.emit("timer", "requests.time", float(value))
    snapshot = metrics.snapshot()
    assert snapshot["replica_read_share"] == 0.75
    timer = snapshot["timers"]["requests.time"]
    assert (timer["median_ms"], timer["p99_ms"]) == (50.0, 99.0)


def test_the_parent_decides_about_sampling():
    """Guards against traces that end at this daemon, and against unsampled spans."""
    tracing = Tracing("vm-1", ratio=0.0)
    trace_id, parent = "a" * 32, "b" * 16
    sampled = tracing.start("http", f"00-{trace_id}-{parent}-01")
    assert sampled.trace_id == trace_id
    sampled.end({})
    assert tracing.recent.get(trace_id)[0]["parent_id"] == parent
    assert tracing.start("http", f"00-{trace_id}-{parent}-00") is None
    assert tracing.start("http", "garbage") is None
    assert tracing.start("http") is None
    assert trace_id_of(f"00-{trace_id}-{parent}-00") == trace_id
    assert len(trace_id_of("garbage")) == 32


def test_a_span_of_another_daemon_joins_the_trace():
    """Guards against traces without their peer messages."""
    first, second = Tracing("vm-1", 1.0), Tracing("vm-2")
    trace = first.start("http")
    now = time.monotonic()
    second.record_remote(trace.trace_context, "peer:Propose", now, now + 0.1, "vm-1")
    second.record_remote("garbage", "peer:Propose", now, now, "vm-1")
    (span,) = second.recent.get(trace.trace_id)
    assert span["name"] == "peer:Propose"
    assert 99 < span["duration_ms"] < 101


def test_recent_traces_are_bounded():
    """Guards against unbounded memory use by traces."""
    tracing = Tracing("vm-1", 1.0)
    first = tracing.start("http")
    for _ in range(MAX_SPANS_PER_TRACE + 10):
        first.record_span("hop", 0.0, 0.1, {})
    assert len(tracing.recent.get(first.trace_id)) == MAX_SPANS_PER_TRACE
    for _ in range(MAX_TRACES):
        tracing.start("http").end({})
    assert tracing.recent.get(first.trace_id) == []
