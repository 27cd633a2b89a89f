"""Metrics of the statement protocol in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_SECONDS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
)  # fmt: skip


class WireMetrics:
    """Metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.statements = Counter(
            "bronzemoor_statements",
            "Statements answered to clients",
            ("kind", "outcome"),
            registry=self.registry,
        )
        self.latency = Histogram(
            "bronzemoor_statement_seconds",
            "Time from a statement's arrival to its answer",
            ("policy",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.retries = Counter(
            "bronzemoor_member_retries",
            "Attempts at a member that had no usable answer",
            registry=self.registry,
        )
        self.sessions = Gauge(
            "bronzemoor_sessions", "Open client sessions", registry=self.registry
        )
        self.promotions = Counter(
            "bronzemoor_promotions",
            "Promotions ordered by this control leader",
            ("outcome",),
            registry=self.registry,
        )
        self.changes = Counter(
            "bronzemoor_deployment_changes",
            "Deployment documents handled",
            ("outcome",),
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
