"""Removes members of groups that the deployment does not name."""

from collections.abc import Callable, Collection
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon
    from bronzemoor_daemon.wire.leaderquotas import Commit


class StrayMembers:
    """Announced before the deployment was known, they may have a member's address."""

    __slots__ = ("_commit", "_control", "_removing", "_report")

    def __init__(
        self, control: "ControlDaemon", commit: "Commit", report: Callable[..., None]
    ) -> None:
        self._control = control
        self._commit = commit
        self._report = report
        self._removing: set[str] = set()

    def drop(self, groups: Collection[str]) -> None:
        """Removes the members whose group is not one of ``groups``."""
        for record in self._control.records.members.values():
            if record.group in groups or record.member in self._removing:
                continue
            self._removing.add(record.member)
            self._report(
                "warning",
                "stray_member",
                member=record.member,
                group=record.group,
                address=record.address,
            )
            command: dict[str, object] = {
                "type": "member.drop",
                "member": record.member,
                "born": record.born,
            }
            self._commit(command, partial(self._forget, record.member))

    def _forget(self, member: str, _removed: bool) -> None:
        self._removing.discard(member)
