"""Finds the control leader, for a proxy or for a control daemon outside the group.

Load pattern: the control leader is lost and all proxies look for the next one before
their leases end, or some proxies are cut off and return. A proxy asks the control
daemons in turn, and goes on asking while those it reaches name only the leader that it
has lost.
"""

# After this long without an answer of the leader the proxy contacts other daemons.
LEADER_TIMEOUT_SECONDS = 0.8


class LeaderSearch:
    """The control leader as a proxy knows it; daemons are named by their address."""

    def __init__(self, controls: list[str]) -> None:
        self._controls = list(controls)
        # Position in the list of the daemon that was asked last.
        self._index = 0
        self._leader = ""
        # The leader that was lost last; other daemons may still name it for a while.
        self._lost_leader = ""
        self._answered_at = float("-inf")

    @property
    def leader(self) -> str:
        """The leader, empty while it is unknown."""
        return self._leader

    def add_controls(self, controls: tuple[str, ...]) -> None:
        """Adds daemons that are asked before the known ones."""
        self._controls = list(dict.fromkeys((*controls, *self._controls)))

    def set_controls(self, controls: list[str]) -> None:
        """Replaces the daemons to ask by those that a control daemon named, if any."""
        if controls:
            self._controls = controls

    def is_answering(self, now: float) -> bool:
        """Returns whether the leader, or a daemon that named it, answered recently."""
        return now - self._answered_at < LEADER_TIMEOUT_SECONDS

    def lose_silent_leader(self, now: float) -> str:
        """Gives up a leader that no longer answers; returns its name, or nothing."""
        if not self._leader or self.is_answering(now):
            return ""
        self._lost_leader, self._leader = self._leader, ""
        return self._lost_leader

    def next_target(self) -> str:
        """Returns the daemon to report to: the leader, or the others in turn.

        The result is empty without any control daemon.
        """
        if self._leader or not self._controls:
            return self._leader
        self._index += 1
        return self._controls[self._index % len(self._controls)]

    def name_leader(self, now: float, leader: str) -> bool:
        """Handles the name of the leader; returns whether to report to it at once.

        A leader that was lost may be back, or the daemon has not noticed its loss, so
        the others are asked meanwhile.
        """
        if not leader or leader == self._leader:
            return False
        if leader != self._lost_leader:
            self._leader, self._answered_at = leader, now
        return True

    def record_answer(self, now: float, leader: str) -> bool:
        """Records an answer of the leader; returns whether it was not known as such."""
        is_new = leader != self._leader
        self._leader, self._answered_at = leader, now
        self._lost_leader = ""
        return is_new
