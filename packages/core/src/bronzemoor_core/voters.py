"""Members of the control group: voters, learners and their identities."""

from dataclasses import dataclass, field
from typing import Any, TypeVar

from bronzemoor_core.journal import decode_command
from bronzemoor_core.messages import LogEntry
from bronzemoor_core.settings import NodeSettings

N = TypeVar("N", int, float)

MIN_VOTERS = 3
MAX_VOTERS = 5

# Every entry that changes the group contains this; saves decoding all the others.
GROUP_MARK = b'"type":"control.'


@dataclass(slots=True, frozen=True)
class Group:
    """Voters and learners as name to identity.

    Before the first entry is committed the identities are not known. Such a group is
    not ``started``: it accepts any identity but needs every voter to elect, so that a
    voter that loses its disk meanwhile cannot elect two leaders in one term.
    """

    voters: dict[str, str] = field(default_factory=dict)
    learners: dict[str, str] = field(default_factory=dict)
    started: bool = True

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def votes_needed(self) -> int:
        return self.quorum if self.started else len(self.voters)

    @property
    def names(self) -> list[str]:
        return [*self.voters, *self.learners]

    def is_voter(self, name: str, identity: str) -> bool:
        """Tells whether an answer of ``identity`` counts."""
        if name not in self.voters:
            return False
        return not self.started or self.voters[name] == identity

    def with_learner(self, name: str) -> "Group":
        """Adds a learner; its identity is recorded when it becomes a voter."""
        return Group(self.without(name).voters, {**self.learners, name: ""})

    def with_voter(self, name: str, identity: str) -> "Group":
        """Turns a learner that caught up into a voter."""
        rest = self.without(name)
        return Group({**rest.voters, name: identity}, rest.learners)

    def without(self, name: str) -> "Group":
        return Group(
            {key: value for key, value in self.voters.items() if key != name},
            {key: value for key, value in self.learners.items() if key != name},
        )

    def quorum_value(self, values: dict[str, N]) -> N:
        """The largest value that a quorum of the voters has reached."""
        zero = type(next(iter(values.values())))()
        ordered = sorted((values.get(name, zero) for name in self.voters), reverse=True)
        return ordered[self.quorum - 1] if ordered else zero


def group_command(kind: str, name: str, group: Group) -> dict[str, Any]:
    """The command of an entry that puts ``group`` into force."""
    return {
        "type": f"control.{kind}",
        "member": name,
        "voters": group.voters,
        "learners": group.learners,
    }


def group_of(entry: LogEntry) -> Group | None:
    """The group that an entry puts into force, or None for any other entry."""
    if GROUP_MARK not in entry.command:
        return None
    _, command = decode_command(entry)
    if not str(command.get("type", "")).startswith("control."):
        return None
    if "voters" not in command:
        return None
    return Group(command["voters"], command["learners"])


def first_group(settings: NodeSettings) -> Group:
    """The group that the settings name; alone when they name nobody else at all.

    A member without ``control_members`` but with peers waits to be added, so that a
    forgotten setting does not make a second group.
    """
    names = settings.control_members
    if not names and not set(settings.peers) - {settings.name}:
        names = (settings.name,)
    return Group(dict.fromkeys(names, ""), {}, started=False)
