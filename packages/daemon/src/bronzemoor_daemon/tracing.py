"""Tracing with W3C trace context, sampling and a bounded store of recent traces."""

import re
from collections import OrderedDict
from collections.abc import Callable
from random import getrandbits, random
from threading import Lock
from time import monotonic, time
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    TraceFlags,
    set_span_in_context,
)

TRACEPARENT_PATTERN = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
# Recent traces that are kept for ``explain``, and spans kept per trace.
MAX_TRACES = 512
MAX_SPANS_PER_TRACE = 64

EXPORTERS: dict[str, Callable[[], SpanExporter]] = {"console": ConsoleSpanExporter}


class RecentTraces(SpanProcessor):
    """Keeps the ended spans of the most recent traces by trace id."""

    def __init__(self) -> None:
        self._traces: OrderedDict[str, list[dict[str, Any]]] = OrderedDict()
        self._lock = Lock()

    def on_end(self, span: ReadableSpan) -> None:
        assert span.context is not None and span.start_time and span.end_time
        trace_id = f"{span.context.trace_id:032x}"
        entry = {
            "name": span.name,
            "span_id": f"{span.context.span_id:016x}",
            "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
            "started_at": span.start_time / 1e9,
            "duration_ms": (span.end_time - span.start_time) / 1e6,
            "attributes": dict(span.attributes or {}),
        }
        with self._lock:
            spans = self._traces.setdefault(trace_id, [])
            if len(spans) < MAX_SPANS_PER_TRACE:
                spans.append(entry)
            self._traces.move_to_end(trace_id)
            if len(self._traces) > MAX_TRACES:
                self._traces.popitem(last=False)

    def get(self, trace_id: str) -> list[dict[str, Any]]:
        """Returns the spans of a trace by start time; empty if it is unknown."""
        with self._lock:
            spans = list(self._traces.get(trace_id, ()))
        return sorted(spans, key=lambda span: span["started_at"])


class Trace:
    """One sampled request; ``record_span`` records child spans."""

    def __init__(self, tracing: "Tracing", root: Span) -> None:
        self._tracing = tracing
        self._root = root
        self._context = set_span_in_context(root)
        context = root.get_span_context()
        self.trace_id = f"{context.trace_id:032x}"
        self.trace_context = f"00-{self.trace_id}-{context.span_id:016x}-01"

    def record_span(
        self, span_name: str, started: float, ended: float, attributes: dict[str, Any]
    ) -> None:
        """Records a child span; times are seconds on the driver's clock."""
        self._tracing.record(self._context, span_name, started, ended, attributes)

    def end(self, attributes: dict[str, Any]) -> None:
        self._root.set_attributes(attributes)
        self._root.end(self._tracing.epoch_ns(monotonic()))


class Tracing:
    """Starts traces and records spans; the exporter runs in its own thread."""

    def __init__(self, vm: str, ratio: float = 0.0, exporter: str = "") -> None:
        self._ratio = ratio
        self.recent = RecentTraces()
        resource = Resource.create({"service.name": "bronzemoord", "host.name": vm})
        # ``start`` decides about sampling, so that unsampled requests create no spans.
        self._provider = TracerProvider(
            sampler=ALWAYS_ON, resource=resource, shutdown_on_exit=False
        )
        self._provider.add_span_processor(self.recent)
        if exporter:
            self._provider.add_span_processor(BatchSpanProcessor(EXPORTERS[exporter]()))
        self._tracer = self._provider.get_tracer("bronzemoor")
        self._epoch_offset = time() - monotonic()

    def start(self, name: str, traceparent: str = "") -> Trace | None:
        """Starts a trace if the parent is sampled or, without one, by the ratio."""
        parent = TRACEPARENT_PATTERN.fullmatch(traceparent) if traceparent else None
        if parent is None:
            if not self._ratio or random() >= self._ratio:
                return None
            return Trace(self, self._start_root(name, None))
        if not int(parent[3], 16) & 1:
            return None
        return Trace(self, self._start_root(name, _remote_context(parent)))

    def epoch_ns(self, monotonic_seconds: float) -> int:
        """Converts monotonic seconds to nanoseconds since the epoch.

        All spans use one offset, since the wall clock may step between two of them.
        """
        return int((monotonic_seconds + self._epoch_offset) * 1e9)

    def _start_root(self, name: str, context: Any) -> Span:
        return self._tracer.start_span(
            name, context, start_time=self.epoch_ns(monotonic())
        )

    def record_remote(
        self,
        trace_context: str,
        span_name: str,
        started: float,
        ended: float,
        peer: str,
    ) -> None:
        """Records a span of a trace that another daemon started."""
        parent = TRACEPARENT_PATTERN.fullmatch(trace_context)
        if parent is not None and int(parent[3], 16) & 1:
            self.record(
                _remote_context(parent), span_name, started, ended, {"peer": peer}
            )

    def record(
        self,
        context: Any,
        span_name: str,
        started: float,
        ended: float,
        attributes: dict[str, Any],
    ) -> None:
        """Records one span with explicit times in monotonic seconds."""
        span = self._tracer.start_span(
            span_name, context, attributes=attributes, start_time=self.epoch_ns(started)
        )
        span.end(self.epoch_ns(ended))

    def stop(self) -> None:
        self._provider.shutdown()


def trace_id_of(traceparent: str) -> str:
    """Returns the trace id of an unsampled request: its parent's or a random one."""
    parent = TRACEPARENT_PATTERN.fullmatch(traceparent) if traceparent else None
    return parent[1] if parent else f"{getrandbits(128):032x}"


def _remote_context(parent: re.Match[str]) -> Any:
    context = SpanContext(
        int(parent[1], 16), int(parent[2], 16), True, TraceFlags(TraceFlags.SAMPLED)
    )
    return set_span_in_context(NonRecordingSpan(context))
