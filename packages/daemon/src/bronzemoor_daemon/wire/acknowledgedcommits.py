"""Collects what is known of a group's acknowledged commits, at the control leader."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.acknowledgements import (
    acknowledged_position,
    reported_position,
)
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import MemberStatus
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.grouporders import STEP_INTERVAL_SECONDS, GroupOrders

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader

# How long a primary that is busy is asked for its final position.
FINAL_POSITION_TIMEOUT_SECONDS = 0.5


class AcknowledgedCommits:
    """Asks proxies' reports and the primary, for one group."""

    __slots__ = ("_group", "_leader", "_orders")

    def __init__(self, leader: "Leader", group: str, orders: GroupOrders) -> None:
        self._leader = leader
        self._group = group
        self._orders = orders

    def reported(self) -> Position:
        """Returns the newest commit that a proxy has reported as acknowledged."""
        return reported_position(self._leader.evidence.get(self._group, {}))

    def confirmed(self, now: float, version: int, term: int) -> Position | None:
        """Returns what covers the commits of all proxies, None if that is unknown.

        ``version`` is that of a topology in which ``term`` has no primary any more.
        """
        leases = self._leader.leases
        leases.forget_lost(now)
        if (
            not leases.holders
            or leases.waiting_for(now, version)
            or not leases.all_confirmed(version)
        ):
            return None
        evidence = self._leader.evidence.get(self._group, {})
        sample = self._leader.samples.newest_sample(self._group)
        covered = self._leader.covered_position(self._group)
        return acknowledged_position(evidence, sample, term, leases.lost_until, covered)

    async def final(self, primary: MemberRecord, term: int) -> Position | None:
        """Returns the position of the primary of ``term``, None if it does not answer.

        It covers all acknowledged commits if no proxy can use the primary any more:
        proxies treat a commit that it confirms later as in doubt.
        """
        deadline = boottime() + FINAL_POSITION_TIMEOUT_SECONDS
        while True:
            status = await self._orders.status(primary)
            if isinstance(status, MemberStatus):
                leads = status.primary and status.term == term
                return status.position if leads else None
            if boottime() >= deadline:
                return None
            await asyncio.sleep(STEP_INTERVAL_SECONDS)

    async def newest(self, primary: MemberRecord) -> Position:
        """Returns the newest position that a successor must reach, as known so far."""
        status = await self._orders.status(primary)
        position = status.position if isinstance(status, MemberStatus) else ZERO
        return max(position, self.reported())
