"""Group configurations of the control group: voters, learners and identities."""

from typing import Any, TypeVar

from msgspec import Struct, field

from bronzemoor_core.journal import decode_command
from bronzemoor_core.messages import LogEntry
from bronzemoor_core.settings import NodeSettings

N = TypeVar("N", int, float)

MIN_VOTERS = 3
MAX_VOTERS = 5

# Contained in every entry that changes the group, so that others are not decoded.
GROUP_COMMAND_MARKER = b'"type":"control.'


class Group(Struct, frozen=True):
    """A group configuration, with voters and learners as name to identity.

    Before the first entry is committed, the identities are unknown. Such a group is not
    ``started``: it accepts any identity but an election needs every vote, so that a
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
        """Returns whether votes and replies of ``identity`` count."""
        if name not in self.voters:
            return False
        return not self.started or self.voters[name] == identity

    def with_learner(self, name: str) -> "Group":
        """Adds a learner, whose identity is recorded once it becomes a voter."""
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
        """Returns the largest value that a quorum of the voters has reached."""
        zero = type(next(iter(values.values())))()
        ordered = sorted((values.get(name, zero) for name in self.voters), reverse=True)
        return ordered[self.quorum - 1] if ordered else zero


def group_command(kind: str, name: str, group: Group) -> dict[str, Any]:
    """Returns the command of an entry that changes the group to ``group``."""
    return {
        "type": f"control.{kind}",
        "member": name,
        "voters": group.voters,
        "learners": group.learners,
    }


def group_from_entry(entry: LogEntry) -> Group | None:
    """Returns the group that an entry changes to, None if it does not change it."""
    if GROUP_COMMAND_MARKER not in entry.command:
        return None
    _, command = decode_command(entry)
    if not str(command.get("type", "")).startswith("control."):
        return None
    if "voters" not in command:
        return None
    return Group(command["voters"], command["learners"])


def initial_group(settings: NodeSettings) -> Group:
    """Returns the group that the settings name, or a group of one without peers.

    A member without ``control_members`` but with peers waits to be added, so that a
    missing setting does not create a second group.
    """
    names = settings.control_members
    if not names and not set(settings.peers) - {settings.name}:
        names = (settings.name,)
    return Group(dict.fromkeys(names, ""), {}, started=False)
