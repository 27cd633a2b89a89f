"""Metrics of the statement protocol, kept in memory until they are asked for.

The library that renders them is imported by the first request, since it takes a tenth
of a daemon's start.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Mapping
from time import time

LATENCY_BUCKETS_SECONDS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
)  # fmt: skip

Labels = tuple[str, ...]


class Counter:
    """Counts events by the values of its labels."""

    __slots__ = ("created_at", "help", "labels", "name", "values")

    def __init__(self, name: str, text: str, *labels: str) -> None:
        self.name, self.help, self.labels = name, text, labels
        self.created_at = time()
        self.values: dict[Labels, int] = defaultdict(int)
        if not labels:
            self.values[()] = 0

    def add(self, *labels: str, number: int = 1) -> None:
        """Counts ``number`` events."""
        self.values[labels] += number


class Gauge:
    """A value that goes up and down."""

    __slots__ = ("help", "name", "value")

    def __init__(self, name: str, text: str) -> None:
        self.name, self.help = name, text
        self.value = 0.0


class LabelledGauge:
    """Values that go up and down, by the values of the labels."""

    __slots__ = ("help", "labels", "name", "values")

    def __init__(self, name: str, text: str, *labels: str) -> None:
        self.name, self.help, self.labels = name, text, labels
        # Replaced as a whole, so that labels of what is gone do not stay.
        self.values: dict[Labels, float] = {}


class KindGauge:
    """Values that go up and down, by the value of its label."""

    __slots__ = ("help", "label", "name", "sources")

    def __init__(self, name: str, text: str, label: str) -> None:
        self.name, self.help, self.label = name, text, label
        # The values of each component, which are added up.
        self.sources: list[Mapping[str, float]] = []


class Histogram:
    """Counts durations in seconds by bucket, for each value of its label."""

    __slots__ = ("bounds", "counts", "created_at", "help", "label", "name", "sums")

    def __init__(
        self, name: str, text: str, label: str, bounds: tuple[float, ...]
    ) -> None:
        self.name, self.help, self.label, self.bounds = name, text, label, bounds
        self.created_at = time()
        # Each has one count more than there are bounds, for longer durations.
        self.counts: dict[str, list[int]] = {}
        self.sums: dict[str, float] = defaultdict(float)

    def observe(self, label: str, duration: float) -> None:
        """Counts a duration in seconds."""
        counts = self.counts.get(label)
        if counts is None:
            counts = self.counts[label] = [0] * (len(self.bounds) + 1)
        counts[bisect_left(self.bounds, duration)] += 1
        self.sums[label] += duration


class WireMetrics:
    """Metrics of one process."""

    __slots__ = (
        "changes",
        "connection_openings",
        "client_bytes",
        "control_joiners",
        "control_silent_voters",
        "control_voters",
        "ended_transactions",
        "evicted_connections",
        "latency",
        "load_ages",
        "load_spreads",
        "loads",
        "limited_clients",
        "promotions",
        "quota_refusals",
        "refused_announcements",
        "refused_operations",
        "retries",
        "sent_bytes",
        "sessions",
        "statements",
        "waiting_statements",
    )

    def __init__(self) -> None:
        self.statements = Counter(
            "bronzemoor_statements", "Statements answered to clients", "kind", "outcome"
        )
        self.latency = Histogram(
            "bronzemoor_statement_seconds",
            "Time from a statement's arrival to its answer",
            "policy",
            LATENCY_BUCKETS_SECONDS,
        )
        self.retries = Counter(
            "bronzemoor_member_retries",
            "Attempts at a member that had no usable answer",
        )
        self.ended_transactions = Counter(
            "bronzemoor_ended_transactions",
            "Open transactions that the proxy ended by itself",
            "reason",
        )
        self.sessions = Gauge("bronzemoor_sessions", "Open client sessions")
        self.control_voters = Gauge(
            "bronzemoor_control_voters", "Voters of the control group, on its leader"
        )
        self.control_silent_voters = Gauge(
            "bronzemoor_control_silent_voters",
            "Voters that do not answer the control leader",
        )
        self.control_joiners = Gauge(
            "bronzemoor_control_joiners",
            "Control daemons outside the group that ask the leader to join",
        )
        self.loads = LabelledGauge(
            "bronzemoor_member_load",
            "Statements believed in progress at a member",
            "group",
            "member",
        )
        self.load_ages = LabelledGauge(
            "bronzemoor_member_load_age_seconds",
            "Age of the newest figure that other proxies told of a member's load",
            "group",
            "member",
        )
        self.load_spreads = LabelledGauge(
            "bronzemoor_group_load_spread",
            "Believed load of a group's busiest member over the mean of its members",
            "group",
        )
        self.client_bytes = KindGauge(
            "bronzemoor_client_bytes",
            "Bytes that clients make the process hold",
            "kind",
        )
        self.limited_clients = Counter(
            "bronzemoor_limited_clients",
            "Clients that were refused or closed because of a limit",
            "reason",
        )
        self.promotions = Counter(
            "bronzemoor_promotions",
            "Promotions ordered by this control leader",
            "outcome",
        )
        self.changes = Counter(
            "bronzemoor_deployment_changes",
            "Deployment documents handled",
            "outcome",
        )
        self.refused_announcements = Counter(
            "bronzemoor_refused_announcements",
            "Announcements that name no member to use",
        )
        self.refused_operations = Counter(
            "bronzemoor_refused_operations",
            "Operations and sessions refused before anything was sent to a member",
            "reason",
        )
        self.connection_openings = Counter(
            "bronzemoor_connection_openings",
            "Attempts to open a connection to a member",
            "outcome",
        )
        self.evicted_connections = Counter(
            "bronzemoor_evicted_connections",
            "Usable connections to members that the proxy closed",
            "reason",
        )
        self.waiting_statements = Counter(
            "bronzemoor_waiting_statements",
            "Statements that had to wait for a connection to a member",
            "reason",
        )
        self.quota_refusals = Counter(
            "bronzemoor_quota_refusals",
            "Operations refused for a quota, by name of the largest organisations",
            "organisation",
        )
        self.sent_bytes = Counter(
            "bronzemoor_sent_bytes",
            "Bytes of messages sent to other daemons, as compressed",
            "type",
        )

    @property
    def counters(self) -> tuple[Counter, ...]:
        return (
            self.statements,
            self.retries,
            self.ended_transactions,
            self.limited_clients,
            self.promotions,
            self.changes,
            self.refused_announcements,
            self.refused_operations,
            self.connection_openings,
            self.evicted_connections,
            self.waiting_statements,
            self.quota_refusals,
            self.sent_bytes,
        )

    @property
    def gauges(self) -> tuple[Gauge, ...]:
        return (
            self.sessions,
            self.control_voters,
            self.control_silent_voters,
            self.control_joiners,
        )

    @property
    def labelled_gauges(self) -> tuple[LabelledGauge, ...]:
        return self.loads, self.load_ages, self.load_spreads

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        from bronzemoor_daemon.wire.exposition import render

        return render(self)
