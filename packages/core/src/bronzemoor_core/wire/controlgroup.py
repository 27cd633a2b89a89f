"""Decides how the control group changes when daemons are lost or ask to join."""

from collections.abc import Mapping, Sequence

from msgspec import Struct

ADD = "control.add"
REPLACE = "control.replace"


class GroupChange(Struct, frozen=True):
    """One change of the control group.

    ``member`` is added, or replaced by ``replacement``.
    """

    kind: str
    member: str
    replacement: str = ""

    @property
    def command(self) -> dict[str, str]:
        """The command that the control leader commits."""
        fields = {"type": self.kind, "name": self.member}
        if self.replacement:
            fields["replacement"] = self.replacement
        return fields


class ControlGroup(Struct):
    """The control group as its leader sees it; durations are in seconds.

    ``last_replies`` is when each other member last answered the leader. A member that
    has not answered for ``silent_after`` counts as lost. ``tolerated_losses`` is how
    many voters may be lost at once.
    """

    leader: str
    voters: Sequence[str]
    learners: Sequence[str]
    last_replies: Mapping[str, float]
    silent_after: float
    tolerated_losses: int

    @property
    def wanted_voters(self) -> int:
        return 2 * self.tolerated_losses + 1

    def silence(self, now: float, member: str) -> float:
        """Returns for how long a member has not answered, 0 for the leader."""
        return now - self.last_replies.get(member, now)

    def lost(self, now: float, members: Sequence[str]) -> list[str]:
        """Returns those of ``members`` that count as lost, the longest silent first."""
        silences = {name: self.silence(now, name) for name in members}
        silent = [name for name in members if silences[name] >= self.silent_after]
        return sorted(silent, key=lambda name: -silences[name])

    def change_for(self, now: float, joiner: str) -> GroupChange | None:
        """Returns the change that takes in a daemon, None if the group needs none.

        One daemon catches up at a time. A learner that is lost gives its place away
        before any voter does, since it would hold up every other change.
        """
        if joiner in self.voters or joiner in self.learners:
            return None
        lost = self.lost(now, self.learners) + self.lost(now, self.voters)
        if lost:
            return GroupChange(REPLACE, lost[0], replacement=joiner)
        if len(self.voters) < self.wanted_voters:
            return GroupChange(ADD, joiner)
        return None
