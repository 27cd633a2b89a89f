"""Records which processes of proxies may hold leases, at the control leader."""

from collections.abc import Callable, Iterable

from bronzemoor_core.positions import Position
from bronzemoor_core.wire.leases import LeaseTable
from bronzemoor_daemon.wire.leaderquotas import Commit

# Minimum time between removals, so that proxies that end together share a command.
REMOVAL_INTERVAL_SECONDS = 1.0


class LeaseHolders:
    """Keeps the record of who may have acknowledged commits for the next leader.

    A process is recorded before it is granted its first lease. It is removed once the
    primaries' positions, recorded with the removal, cover what it acknowledged.
    """

    __slots__ = (
        "_commit",
        "_committing",
        "_leases",
        "_recorded",
        "_removal_due_at",
        "_waiting",
    )

    def __init__(
        self, leases: LeaseTable, recorded: Iterable[str], commit: Commit
    ) -> None:
        self._leases = leases
        self._commit = commit
        self._recorded = set(recorded)
        # What to do for processes that are to be recorded.
        self._waiting: dict[str, Callable[[], None]] = {}
        self._committing = False
        self._removal_due_at = float("-inf")

    def has_recorded(self, process: str) -> bool:
        return process in self._recorded

    def record(self, process: str, then: Callable[[], None]) -> None:
        """Records a process and calls ``then``, unless that is not confirmed.

        Of several calls for one process the last one counts.
        """
        self._waiting[process] = then
        self._record_waiting()

    def is_removal_due(self, now: float) -> bool:
        """Returns whether lost processes have not been looked for lately."""
        return not self._committing and now >= self._removal_due_at

    def remove_covered(
        self, now: float, samples: dict[str, tuple[float, Position]]
    ) -> None:
        """Removes lost processes that the newest sample of each group covers.

        ``samples`` are times and positions of the groups' present primaries.
        """
        self._removal_due_at = now + REMOVAL_INTERVAL_SECONDS
        self._leases.forget_lost(now)
        sampled_at = min((time for time, _ in samples.values()), default=float("-inf"))
        removed = self._leases.covered(now, sampled_at)
        if not removed:
            return
        self._recorded.difference_update(removed)
        covered = {group: (p.term, p.offset) for group, (_, p) in samples.items()}
        self._change([], removed, covered, lambda: self._leases.forget(removed))

    def _record_waiting(self) -> None:
        if self._committing or not self._waiting:
            return
        waiting, self._waiting = self._waiting, {}

        def done() -> None:
            self._recorded.update(waiting)
            for then in waiting.values():
                then()

        self._change(sorted(waiting), [], {}, done)

    def _change(
        self,
        added: list[str],
        removed: list[str],
        covered: dict[str, tuple[int, int]],
        confirmed: Callable[[], None],
    ) -> None:
        self._committing = True

        def done(is_confirmed: bool) -> None:
            self._committing = False
            if is_confirmed:
                confirmed()
            self._record_waiting()

        command: dict[str, object] = {
            "type": "lease.holders",
            "add": added,
            "remove": removed,
            "covered": covered,
        }
        self._commit(command, done)
