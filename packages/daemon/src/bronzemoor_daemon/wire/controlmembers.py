"""The members of the control group, on its leader: who joins, and who is missing."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from bronzemoor_core.wire.controlgroup import ControlGroup, GroupChange
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.settings import WireSettings

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon

# Minimum time between daemons that are taken into the control group.
ADMISSION_INTERVAL_SECONDS = 1.0
# A daemon that asked to join longer ago has joined or ended; it asks twice a second.
JOINER_TIMEOUT_SECONDS = 2.0


class ControlMembers:
    """Keeps the control group at its size; logs and counts who is missing in it.

    A member is silent if it has not answered the leader for ``silent_after`` seconds.
    """

    def __init__(
        self,
        control: "ControlDaemon",
        settings: WireSettings,
        silent_after: float,
        report: Callable[..., None],
        metrics: WireMetrics,
    ) -> None:
        self._control = control
        self._settings = settings
        self._silent_after = silent_after
        self._report = report
        self._metrics = metrics
        self._led_since = boottime()
        self._admitted_at = float("-inf")
        self._is_changing = False
        self._lost: set[str] = set()
        # Time of the last request of each daemon that asks to join.
        self._joiners: dict[str, float] = {}

    def on_join(self, now: float, sender: str) -> None:
        """Takes a daemon into the control group if the group needs one."""
        group = self._group()
        if group.is_member(sender):
            return
        if sender not in self._joiners:
            self._report("info", "outside_group", peer=sender)
        self._joiners[sender] = now
        change = group.change_for(now, sender)
        is_due = now - self._admitted_at >= ADMISSION_INTERVAL_SECONDS
        if change and is_due and not self._is_changing:
            self._admitted_at = now
            self._start_change(change)

    def check(self, now: float) -> None:
        """Removes a voter that was replaced; logs members that are lost or back."""
        group = self._group()
        self._log_losses(now, group)
        self._forget_joiners(now, group)
        lost_voters = self._lost.intersection(group.voters)
        self._set_gauges(len(group.voters), len(lost_voters))
        surplus = group.surplus_change(now)
        if surplus and not self._is_changing:
            self._start_change(surplus)

    def close(self) -> None:
        """Clears the gauges, since another daemon leads."""
        self._joiners = {}
        self._set_gauges(0, 0)

    def _log_losses(self, now: float, group: ControlGroup) -> None:
        members = list(group.last_replies)
        lost = set(group.lost(now, members))
        for name in sorted(lost - self._lost):
            self._report(
                "warning",
                "member_silent",
                peer=name,
                voter=name in group.voters,
                silent_ms=logged_ms(group.silence(now, name)),
            )
        # One that was removed while it was silent is not back.
        for name in sorted((self._lost - lost).intersection(members)):
            self._report("info", "member_back", peer=name)
        self._lost = lost

    def _forget_joiners(self, now: float, group: ControlGroup) -> None:
        for name, asked_at in list(self._joiners.items()):
            is_late = now - asked_at >= JOINER_TIMEOUT_SECONDS
            if is_late or group.is_member(name):
                del self._joiners[name]

    def _set_gauges(self, voters: int, silent: int) -> None:
        self._metrics.control_voters.value = voters
        self._metrics.control_silent_voters.value = silent
        self._metrics.control_joiners.value = len(self._joiners)

    def _group(self) -> ControlGroup:
        log = self._control.log
        return ControlGroup(
            self._settings.peer,
            log.voters,
            log.learners,
            log.last_replies,
            self._silent_after,
            self._settings.tolerated_losses,
            self._led_since,
        )

    def _start_change(self, change: GroupChange) -> None:
        self._is_changing = True
        self._control.spawn(self._commit_change(change), "group-change")

    async def _commit_change(self, change: GroupChange) -> None:
        try:
            outcome = await self._control.propose(change.command, leader_only=True)
        finally:
            self._is_changing = False
        self._report(
            "info",
            "group_change",
            change=change.kind,
            member=change.member,
            replacement=change.replacement,
            replaces=change.replaces,
            outcome=outcome.code,
            message=outcome.body.get("message", ""),
        )
