"""Requests of a control daemon to join the control group, and answers to others'."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from bronzemoor_core.messages import HeartbeatReply, JoinRequest
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.settings import WireSettings

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon

JOIN_INTERVAL_SECONDS = 0.5


class JoinRequests:
    """Asks for membership of the control group while this daemon is not in it."""

    def __init__(
        self,
        control: "ControlDaemon",
        settings: WireSettings,
        silent_after: float,
        report: Callable[..., None],
    ) -> None:
        self._control = control
        self._settings = settings
        self._silent_after = silent_after
        self._report = report
        self._attempts = 0
        self._is_cut_off = False

    async def repeat(self) -> None:
        """Runs for the life of the daemon."""
        while True:
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)
            self._log_contact(boottime())
            log = self._control.log
            if self._settings.peer in (*log.voters, *log.learners):
                continue
            others = [
                name
                for name in dict.fromkeys((log.leader, *self._control.seeds))
                if name and name != self._settings.peer
            ]
            if others:
                self._attempts += 1
                target = others[self._attempts % len(others)]
                self._control.links.send(target, JoinRequest("", 0))

    def answer(self, sender: str) -> None:
        """Tells another daemon who leads."""
        reply = HeartbeatReply(0, self._control.leader_name, [], {}, 0)
        self._control.links.send(sender, reply)

    def _log_contact(self, now: float) -> None:
        """Logs when this daemon hears no leader any more, and when it does again."""
        log = self._control.log
        silence = now - log.last_contact
        is_cut_off = silence >= self._silent_after
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            self._report(
                "warning" if is_cut_off else "info",
                "group_silent" if is_cut_off else "group_heard",
                contact_ms=logged_ms(silence),
                in_own_log=self._settings.peer in (*log.voters, *log.learners),
                term=log.term,
            )
