"""Decides when a control daemon asks to join the control group, and whom it asks.

A voter that stood still may have been replaced meanwhile. Its own log does not say so,
and members do not send to a daemon outside the group, so that only the leader's silence
tells. The leader ignores requests of its members, thus asking in vain is harmless.
"""

from bronzemoor_core.consensus import Log
from bronzemoor_core.wire.leadersearch import LeaderSearch


class JoinSearch:
    """The search of the control daemon ``name`` for the group's leader.

    A daemon that its own log names as a member counts as one until it has heard no
    leader for ``silent_after`` seconds.
    """

    __slots__ = ("_name", "_search", "_silent_after")

    def __init__(self, name: str, silent_after: float) -> None:
        self._name = name
        self._silent_after = silent_after
        self._search = LeaderSearch([])

    @property
    def leader(self) -> str:
        """The leader that other daemons named last, empty while it is unknown."""
        return self._search.leader

    def is_in_own_log(self, log: Log) -> bool:
        """Returns whether the daemon's own log, which may be old, names it."""
        return self._name in log.voters or self._name in log.learners

    def is_in_contact(self, now: float, log: Log) -> bool:
        """Returns whether the daemon has heard a leader lately."""
        return now - log.last_contact < self._silent_after

    def is_member(self, now: float, log: Log) -> bool:
        """Returns whether the daemon is in the group as far as it can know."""
        return self.is_in_contact(now, log) and self.is_in_own_log(log)

    def should_ask(self, now: float, log: Log) -> bool:
        """Returns whether to ask; a daemon whose storage failed could not take part."""
        return log.active and not self.is_member(now, log)

    def next_target(self, now: float, log: Log, seeds: list[str]) -> str:
        """Returns the daemon to ask: the leader, or the others in turn.

        The members in the daemon's own log may be gone, and so may the seeds. The
        result is empty if there is nobody to ask.
        """
        known = dict.fromkeys((*seeds, *log.voters, *log.learners))
        known.pop(self._name, None)
        self._search.set_controls(list(known))
        self._search.lose_silent_leader(now)
        return self._search.next_target()

    def on_answer(self, now: float, sender: str, leader: str) -> bool:
        """Handles an answer; returns whether to ask the leader it names at once."""
        if leader == self._name:
            return False
        if leader == sender:
            self._search.record_answer(now, sender)
            return False
        return self._search.name_leader(now, leader)
