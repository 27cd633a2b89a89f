"""Decides how the control group changes when daemons are lost, return or ask to join.

A voter that is silent may only stand still, with everything that it stored, and the
loss of one more disk must not end the group. So a daemon that takes its place becomes a
voter first, and only then the silent one is removed.
"""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from bronzemoor_core.reconfiguration import ADD, REMOVE, REPLACE
from bronzemoor_core.voters import MIN_VOTERS


class GroupChange(Struct, frozen=True):
    """One change of the control group.

    ``member`` is added, removed or replaced. ``replacement`` takes the place of a
    replaced learner, and an added member that of the voter ``replaces``, which is
    removed later; both are empty where they do not apply.
    """

    kind: str
    member: str
    replacement: str = ""
    replaces: str = ""

    @property
    def command(self) -> dict[str, str]:
        """The command that the control leader commits."""
        fields = {"type": self.kind, "name": self.member}
        if self.replacement:
            fields["replacement"] = self.replacement
        if self.replaces:
            fields["replaces"] = self.replaces
        return fields


class ControlGroup(Struct):
    """The control group as its leader sees it; durations are in seconds.

    ``last_replies`` is when each other member last answered the leader. A member that
    has not answered for ``silent_after`` counts as lost. ``tolerated_losses`` is how
    many voters may be lost at once, ``led_since`` when the leader was elected.
    """

    leader: str
    voters: Sequence[str]
    learners: Sequence[str]
    last_replies: Mapping[str, float]
    silent_after: float
    tolerated_losses: int
    led_since: float

    @property
    def wanted_voters(self) -> int:
        return 2 * self.tolerated_losses + 1

    @property
    def most_voters(self) -> int:
        """How many voters the group keeps for good."""
        return max(self.wanted_voters, MIN_VOTERS)

    def is_member(self, name: str) -> bool:
        return name in self.voters or name in self.learners

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
        if self.is_member(joiner):
            return None
        lost_learners = self.lost(now, self.learners)
        if lost_learners:
            return GroupChange(REPLACE, lost_learners[0], replacement=joiner)
        if self.learners:
            return None
        if len(self.voters) < self.wanted_voters:
            return GroupChange(ADD, joiner)
        lost_voters = self.lost(now, self.voters)
        if lost_voters and len(self.voters) <= self.most_voters:
            return GroupChange(ADD, joiner, replaces=lost_voters[0])
        return None

    def surplus_change(self, now: float) -> GroupChange | None:
        """Returns the removal of a voter that another daemon has replaced.

        If the replaced voter has come back, the newest voter leaves. A new leader does
        not know that yet, nor does any while a voter has missed answers.
        """
        if len(self.voters) <= self.most_voters or self.learners:
            return None
        others = [name for name in self.voters if name != self.leader]
        lost = self.lost(now, others)
        if lost:
            return GroupChange(REMOVE, lost[0])
        is_new = now - self.led_since < self.silent_after
        if is_new or any(self._misses_answers(now, name) for name in others):
            return None
        return GroupChange(REMOVE, others[-1])

    def _misses_answers(self, now: float, member: str) -> bool:
        return self.silence(now, member) > self.silent_after / 2
