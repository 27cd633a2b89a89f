"""Requests of a control daemon to join the control group, and answers to others'."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from bronzemoor_core.messages import HeartbeatReply, JoinRequest
from bronzemoor_core.wire.joinsearch import JoinSearch
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.settings import WireSettings

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon
    from bronzemoor_daemon.wire.leader import Leader

JOIN_INTERVAL_SECONDS = 0.5


class JoinRequests:
    """Asks for membership of the control group while this daemon may not be in it."""

    def __init__(
        self,
        control: "ControlDaemon",
        settings: WireSettings,
        silent_after: float,
        report: Callable[..., None],
    ) -> None:
        self._control = control
        self._settings = settings
        self._report = report
        self._search = JoinSearch(settings.peer, silent_after)
        self._is_cut_off = False

    @property
    def leader(self) -> str:
        """The leader as the log or other daemons name it, empty while unknown."""
        return self._control.leader_name or self._search.leader

    def is_member(self, now: float) -> bool:
        """Returns whether this daemon is in the group as far as it can know."""
        return self._search.is_member(now, self._control.log)

    async def repeat(self) -> None:
        """Runs for the life of the daemon."""
        while True:
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)
            now = boottime()
            self._log_contact(now)
            if self._search.should_ask(now, self._control.log):
                seeds = self._control.seeds
                self._ask(self._search.next_target(now, self._control.log, seeds))

    def on_request(self, now: float, sender: str, own_leader: "Leader | None") -> None:
        """Tells another daemon who leads; as the leader, considers its request."""
        self._control.links.send(sender, HeartbeatReply(0, self.leader, [], {}, 0))
        if own_leader is not None:
            own_leader.control_members.on_join(now, sender)

    def on_answer(self, now: float, sender: str, leader: str) -> None:
        """Asks a leader at once that another daemon named."""
        is_news = self._search.on_answer(now, sender, leader)
        if is_news and self._search.should_ask(now, self._control.log):
            self._ask(leader)

    def _ask(self, target: str) -> None:
        if target:
            self._control.links.send(target, JoinRequest("", 0))

    def _log_contact(self, now: float) -> None:
        """Logs when this daemon hears no leader any more, and when it does again."""
        log = self._control.log
        is_cut_off = not self._search.is_in_contact(now, log)
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            self._report(
                "warning" if is_cut_off else "info",
                "group_silent" if is_cut_off else "group_heard",
                contact_ms=logged_ms(now - log.last_contact),
                in_own_log=self._search.is_in_own_log(log),
                term=log.term,
            )
