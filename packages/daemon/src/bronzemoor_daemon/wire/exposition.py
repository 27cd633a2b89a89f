"""Renders the metrics of a daemon in the Prometheus text format."""

from collections.abc import Iterator
from itertools import accumulate

from prometheus_client import CollectorRegistry, Metric
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from bronzemoor_daemon.wire.metrics import Counter, Histogram, WireMetrics


class MetricsCollector(Collector):
    """Translates the metrics for the library at each request."""

    def __init__(self, metrics: WireMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        for counter in self._metrics.counters:
            yield _counter_family(counter)
        yield _histogram_family(self._metrics.latency)
        for gauge in self._metrics.labelled_gauges:
            family = GaugeMetricFamily(gauge.name, gauge.help, labels=gauge.labels)
            for labels, value in gauge.values.items():
                family.add_metric(labels, value)
            yield family
        for plain in self._metrics.gauges:
            yield GaugeMetricFamily(plain.name, plain.help, value=plain.value)
        held = self._metrics.client_bytes
        family = GaugeMetricFamily(held.name, held.help, labels=(held.label,))
        total: dict[str, float] = {}
        for source in held.sources:
            for kind, value in dict(source).items():
                total[kind] = total.get(kind, 0) + value
        for kind, value in total.items():
            family.add_metric((kind,), value)
        yield family


def render(metrics: WireMetrics) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)


def _counter_family(counter: Counter) -> Metric:
    family = CounterMetricFamily(counter.name, counter.help, labels=counter.labels)
    # A copy, since the event loop may add labels meanwhile.
    for labels, value in dict(counter.values).items():
        family.add_metric(labels, value, created=counter.created_at)
    return family


def _histogram_family(histogram: Histogram) -> Metric:
    family = HistogramMetricFamily(
        histogram.name, histogram.help, labels=(histogram.label,)
    )
    bounds = [str(bound) for bound in histogram.bounds] + ["+Inf"]
    for label, counts in dict(histogram.counts).items():
        cumulative = list(zip(bounds, accumulate(counts), strict=True))
        family.add_metric((label,), cumulative, sum_value=histogram.sums[label])
    return family
