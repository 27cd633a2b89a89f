"""The members of the control group, on its leader: who joins, and who is missing."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from bronzemoor_daemon.wire.clock import logged_ms
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.settings import WireSettings

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon

# Minimum time between membership changes of the control group.
GROUP_CHANGE_INTERVAL_SECONDS = 1.0
# A daemon that asked to join longer ago has joined or ended; it asks twice a second.
JOINER_TIMEOUT_SECONDS = 2.0


class ControlMembers:
    """Admits daemons to the control group; logs and counts who is missing in it.

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
        self._changed_at = float("-inf")
        self._silent: set[str] = set()
        # Time of the last request of each daemon that asks to join.
        self._joiners: dict[str, float] = {}

    def on_join(self, now: float, sender: str) -> None:
        """Adds a daemon to the control group, or replaces an unreachable one by it."""
        log = self._control.log
        if sender in (*log.voters, *log.learners):
            return
        if sender not in self._joiners:
            self._report("info", "outside_group", peer=sender)
        self._joiners[sender] = now
        if now - self._changed_at < GROUP_CHANGE_INTERVAL_SECONDS:
            return
        self._changed_at = now
        self._control.spawn(self._join(sender), "add-voter")

    def check(self, now: float) -> None:
        """Logs members that became silent or answer again, and sets the gauges."""
        log = self._control.log
        silences = {name: now - last for name, last in log.last_replies.items()}
        silent = {n for n, silence in silences.items() if silence >= self._silent_after}
        for name in sorted(silent - self._silent):
            self._report(
                "warning",
                "member_silent",
                peer=name,
                voter=name in log.voters,
                silent_ms=logged_ms(silences[name]),
            )
        for name in sorted(self._silent - silent):
            if name in silences:
                self._report("info", "member_back", peer=name)
        self._silent = silent
        self._joiners = {
            name: asked_at
            for name, asked_at in self._joiners.items()
            if now - asked_at < JOINER_TIMEOUT_SECONDS
            and name not in (*log.voters, *log.learners)
        }
        self._set_gauges(len(log.voters), sum(n in silent for n in log.voters))

    def close(self) -> None:
        """Clears the gauges, since another daemon leads."""
        self._joiners = {}
        self._set_gauges(0, 0)

    def _set_gauges(self, voters: int, silent: int) -> None:
        self._metrics.control_voters.value = voters
        self._metrics.control_silent_voters.value = silent
        self._metrics.control_joiners.value = len(self._joiners)

    async def _join(self, sender: str) -> None:
        described = await self._control.describe_control_group()
        members = described.body.get("members", [])
        unreachable = [
            item["name"]
            for item in members
            if not item["reachable"] and item["name"] != sender
        ]
        voters = [item for item in members if item["role"] != "learner"]
        wanted = 2 * self._settings.tolerated_losses + 1
        if unreachable:
            change = {"type": "control.replace", "name": unreachable[0]}
            change["replacement"] = sender
        elif len(voters) < wanted:
            change = {"type": "control.add", "name": sender}
        else:
            return
        outcome = await self._control.propose(change, leader_only=True)
        self._report(
            "info",
            "join",
            peer=sender,
            change=change["type"],
            member=change["name"],
            outcome=outcome.code,
            message=outcome.body.get("message", ""),
        )
