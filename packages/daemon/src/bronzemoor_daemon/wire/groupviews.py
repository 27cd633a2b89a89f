"""Describes groups to proxies."""

from collections.abc import Callable

from bronzemoor_core.messages import GroupView, MemberView
from bronzemoor_core.wire.records import LeaderRecord, MemberRecord


def no_shares(member: str) -> dict[str, int]:
    """Returns the shares of zones in a member's connections, which are equal."""
    return {}


def make_group_view(
    record: LeaderRecord,
    members: list[MemberRecord],
    usable: bool,
    connections: int,
    shared: bool,
    shares: Callable[[str], dict[str, int]],
) -> GroupView:
    """Returns what proxies learn of a group; without a primary if it is not usable.

    A member goes by the recorded primary, whatever it says of itself.
    """
    views = [
        MemberView(
            item.member,
            item.address,
            item.zone,
            item.leaving,
            item.member == record.primary,
            shares(item.member),
        )
        for item in sorted(members, key=lambda item: item.member)
    ]
    primary = record.primary if usable else ""
    return GroupView(record.group, record.term, primary, views, connections, shared)
