"""Grants tokens of organisations' quotas to proxies, at the control leader."""

from collections.abc import Callable, Iterable, Mapping
from random import Random

from bronzemoor_core.messages import ProxyReport, QuotaGrant
from bronzemoor_core.wire.deployment import Organisation
from bronzemoor_core.wire.leases import process_name
from bronzemoor_core.wire.quotaledger import QuotaLedger
from bronzemoor_core.wire.quotasettings import TERM_SHIFT_BITS, QuotaSettings
from bronzemoor_daemon.wire.clock import boottime

# Processes silent for longer are removed from the records; the tokens of a process
# count for a third of that time.
HOLDER_TIMEOUT_SECONDS = 30.0
# Minimum time between removals, so that proxies that end together share a command.
REMOVAL_INTERVAL_SECONDS = 10.0

# Commits a command and calls the function with whether that is confirmed.
Commit = Callable[[dict[str, object], Callable[[bool], None]], None]


class LeaderQuotas:
    """Keeps the ledger of one term and the record of the proxies that have tokens.

    The record tells the next leader from whom it must hear before it knows what was
    spent. A process is recorded before it is granted its first token.
    """

    def __init__(
        self,
        settings: QuotaSettings | None,
        term: int,
        holders: Iterable[str],
        marked: Iterable[str],
        commit: Commit,
        report: Callable[..., None],
    ) -> None:
        now = boottime()
        self._term = term
        self._commit = commit
        self._report = report
        self._ledger: QuotaLedger | None = None
        # When each recorded process reported last, at the earliest in this term.
        self._recorded = dict.fromkeys(holders, now)
        self._waiting: set[str] = set()
        self._committing = False
        self._removal_due_at = now + HOLDER_TIMEOUT_SECONDS
        self._marking = False
        self._unmarking_due_at = now + REMOVAL_INTERVAL_SECONDS
        self._all_heard = not self._recorded
        self._started_at = now
        if settings is not None:
            self._ledger = QuotaLedger(
                settings, now, term, self._recorded, Random(), marked
            )

    def set_organisations(self, organisations: Mapping[str, Organisation]) -> None:
        """Applies the limits of a deployment."""
        if self._ledger is not None:
            self._ledger.set_organisations(organisations)

    def process_ended(self, proxy: str) -> None:
        """Records that a proxy has another process."""
        if self._ledger is not None:
            self._ledger.process_ended(proxy)

    def on_report(
        self,
        now: float,
        proxy: str,
        sent_after: float,
        report: ProxyReport,
        may_grant: bool,
    ) -> list[QuotaGrant]:
        """Returns tokens; a report under another leader's topology says nothing."""
        ledger = self._ledger
        if ledger is None or report.topology_version >> TERM_SHIFT_BITS != self._term:
            return []
        process = process_name(proxy, report.incarnation)
        if process in self._recorded:
            self._recorded[process] = now
        elif report.quotas:
            self._waiting.add(process)
            may_grant = False
        quotas = ledger.on_report(
            now, proxy, process, sent_after, report.quotas, may_grant
        )
        if not self._all_heard and not ledger.unheard:
            self._all_heard = True
            self._report(
                "info",
                "quotas_known",
                holders=len(self._recorded),
                elapsed_ms=round((now - self._started_at) * 1_000),
            )
        self._update_record(now)
        self._update_marks(now, ledger)
        return quotas

    def _update_marks(self, now: float, ledger: QuotaLedger) -> None:
        """Records which organisations may get tokens faster than at their pace."""
        if self._marking:
            return
        added = sorted(ledger.to_mark)
        removed: list[str] = []
        if now >= self._unmarking_due_at:
            self._unmarking_due_at = now + REMOVAL_INTERVAL_SECONDS
            removed = ledger.unmark_calm(now)
        if not added and not removed:
            return
        self._marking = True

        def done(confirmed: bool) -> None:
            self._marking = False
            if confirmed:
                ledger.mark(added)

        self._commit({"type": "quota.marks", "add": added, "remove": removed}, done)

    def _update_record(self, now: float) -> None:
        if self._committing:
            return
        lost: list[str] = []
        if now >= self._removal_due_at:
            self._removal_due_at = now + REMOVAL_INTERVAL_SECONDS
            oldest = now - HOLDER_TIMEOUT_SECONDS
            lost = [name for name, time in self._recorded.items() if time < oldest]
        added = sorted(self._waiting)
        if not added and not lost:
            return
        for name in lost:
            # Whether or not the removal is confirmed, it must be recorded again.
            del self._recorded[name]
        self._waiting.clear()
        self._committing = True

        def done(confirmed: bool) -> None:
            self._committing = False
            if confirmed:
                self._recorded.update(dict.fromkeys(added, boottime()))

        self._commit({"type": "quota.holders", "add": added, "remove": lost}, done)
