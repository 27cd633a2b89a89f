"""Logging and counting of the results of client statements."""

from typing import TYPE_CHECKING, Any

from bronzemoor_core.positions import text_of
from bronzemoor_core.wire.deployment import Route
from bronzemoor_core.wire.leases import HeldLease
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.execution import Attempt
from bronzemoor_daemon.wire.metrics import WireMetrics

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.proxy import Proxy

# Enough of a digest to tell keys apart in the log.
LOGGED_DIGEST_LENGTH = 8


class StatementLog:
    """Logs and counts the results of the statements of one proxy."""

    __slots__ = ("_lease", "_metrics", "_proxy")

    def __init__(self, proxy: "Proxy", lease: HeldLease, metrics: WireMetrics) -> None:
        self._proxy = proxy
        self._lease = lease
        self._metrics = metrics

    def record_failed_attempt(self, attempt: Attempt, member: str, reason: str) -> None:
        """Logs and counts a failed attempt."""
        self._metrics.retries.add()
        self._report_attempt(
            "attempt_failed",
            attempt,
            member=member,
            reason=reason,
            topology=self._proxy.topology_version,
        )

    def record_refusal(self, attempt: Attempt, member: str, reason: str) -> None:
        """Logs that a statement cannot get a connection to a member in time."""
        self._report_attempt("attempt_refused", attempt, member=member, reason=reason)

    def record_ended_transaction(
        self, begin: Attempt, member: str, reason: str
    ) -> None:
        """Logs and counts a transaction that the proxy ends by itself.

        ``member`` is empty if the transaction has not begun at one.
        """
        self._metrics.ended_transactions.add(reason)
        self._report_attempt("transaction_ended", begin, member=member, reason=reason)

    def record_refused_begin(self, begin: Attempt, member: str, answer: Answer) -> None:
        """Logs that a member refused to begin a transaction at the primary."""
        self._report_attempt(
            "begin_refused",
            begin,
            member=member,
            code=answer.error,
            state=answer.state,
            topology=self._proxy.topology_version,
            lease_ms=round((self._lease.expires - boottime()) * 1_000),
        )

    def record_answer(
        self, attempt: Attempt, route: Route, answer: Answer, started: float
    ) -> None:
        """Logs an answer and updates the metrics."""
        now = boottime()
        outcome = answer.error or "done"
        self._metrics.statements.add(attempt.statement.kind, outcome)
        self._metrics.latency.observe(route.read_policy, now - started)
        group = self._proxy.group(route.group)
        sampled_at, _ = group.samples.newest
        self._report_attempt(
            "statement",
            attempt,
            kind=attempt.statement.kind,
            route=route.name,
            outcome=outcome,
            message=answer.message.decode(errors="replace"),
            elapsed_ms=round((now - started) * 1_000),
            member=attempt.member,
            tries=attempt.tries,
            required=text_of(attempt.required),
            sample_age_ms=logged_ms(now - sampled_at),
            group=route.group,
            primary=group.primary,
            term=group.term,
            lease_ms=round((self._lease.expires - now) * 1_000),
            topology=self._proxy.topology_version,
            deployment=self._proxy.deployment_version,
        )

    def record_refused_key(self, route: Route, key_digest: str) -> None:
        """Logs and counts a session or an operation with an unknown key.

        The log names the beginning of the key's digest, never the key.
        """
        self._metrics.refused_operations.add("key")
        self._proxy.report(
            "info",
            "key_refused",
            route=route.name,
            key_digest=key_digest[:LOGGED_DIGEST_LENGTH],
            has_lease=self._proxy.has_lease,
            deployment=self._proxy.deployment_version,
        )

    def _report_attempt(self, event: str, attempt: Attempt, **fields: Any) -> None:
        """Logs an event under the id of the client's statement."""
        request = attempt.query_id.decode(errors="replace")
        self._proxy.report("info", event, request=request, **fields)
