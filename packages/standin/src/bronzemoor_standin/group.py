"""Runs a database group in one process, for tests, development and the demo."""

import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from bronzemoor_standin.member import Member
from bronzemoor_standin.replication import PRIMARY
from bronzemoor_standin.settings import MemberSettings


class Group:
    """Members ``m1`` to ``mN`` of one database on free loopback ports.

    ``m1`` starts as primary of term 1 unless ``bootstrap`` is false. Other keyword
    arguments are settings of every member.
    """

    def __init__(
        self,
        database: str = "claims",
        data_centres: Iterable[str] = ("dc1", "dc2", "dc3"),
        bootstrap: bool = True,
        **settings: Any,
    ) -> None:
        self.database = database
        common = MemberSettings(database=database, member="", **settings)
        if bootstrap:
            common.bootstrap_primary = "m1"
        self.members: dict[str, Member] = {}
        for number, data_centre in enumerate(data_centres, start=1):
            name = f"m{number}"
            self.members[name] = Member(
                replace(common, member=name, data_centre=data_centre, members={})
            )
        addresses = {name: m.address for name, m in self.members.items()}
        for member in self.members.values():
            member.add_members(addresses)

    def __enter__(self) -> "Group":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def addresses(self) -> dict[str, str]:
        return {name: m.address for name, m in self.members.items()}

    @property
    def primary(self) -> Member | None:
        """The running primary of the highest term."""
        running = [m for m in self.members.values() if m.running and m.role == PRIMARY]
        return max(running, key=lambda m: m.ledger.state.term, default=None)

    def start(self, timeout: float = 5.0) -> None:
        """Starts all members and waits for the bootstrap primary, if there is one."""
        for member in reversed(self.members.values()):
            member.start()
        first = next(iter(self.members.values()))
        deadline = time.monotonic() + timeout
        while first.settings.bootstrap_primary and self.primary is None:
            if time.monotonic() > deadline:
                raise TimeoutError("the group has no primary")
            time.sleep(0.005)

    def stop(self) -> None:
        for member in self.members.values():
            member.stop()
