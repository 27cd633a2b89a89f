"""Replaces a lost primary by a replica that has every acknowledged commit."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.positions import ZERO, Position, text_of
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.succession import (
    choose_successor,
    newest_primary,
    primary_of,
)
from bronzemoor_daemon.wire.acknowledgedcommits import AcknowledgedCommits
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.grouporders import STEP_INTERVAL_SECONDS, GroupOrders

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader


class Failover:
    """Runs on the control leader for one group."""

    def __init__(
        self, leader: "Leader", orders: GroupOrders, commits: AcknowledgedCommits
    ) -> None:
        self._leader = leader
        self._orders = orders
        self._commits = commits

    async def run(self, reason: str) -> None:
        """Promotes a replica that has every acknowledged commit."""
        started_at = boottime()
        record, leader = self._orders.leader_record, self._leader
        old_term = record.term
        resumed = bool(record.candidate)
        self._orders.report(
            "warning",
            "replacing_primary",
            reason=reason,
            primary=record.primary,
            term=old_term,
            topology=leader.topology_version,
        )
        version = self._orders.revoke()
        try:
            if resumed and await self._complete_planned(old_term, started_at):
                return
            while not await self._attempt(old_term, version, reason, started_at):
                await asyncio.sleep(STEP_INTERVAL_SECONDS)
        finally:
            self._orders.restore()

    async def _attempt(
        self, term: int, version: int, reason: str, started_at: float
    ) -> bool:
        """Returns whether the group has a primary of ``term`` or a later one."""
        # A replica that is released or restarted may acknowledge commits until then, so
        # its position is read afterwards.
        await self._orders.wait_for_leases(version)
        members = self._orders.replicas
        departed = self._orders.others_may_acknowledge(boottime())
        paused = await self._orders.pause(members, term + 1)
        newest = newest_primary(paused, term)
        if newest and await self._orders.wait_for_orders(newest):
            return False
        planned = self._orders.leader_record.candidate
        if newest and planned in ("", *paused):
            # An earlier promotion order took effect.
            await self._orders.complete_promotion(
                newest, paused[newest].term, started_at
            )
            return True
        # A primary that came back under another name is no replica: it has acknowledged
        # nothing of another's.
        returned = primary_of(paused, term)
        replicas = {m: r for m, r in members.items() if m != returned}
        held = {m: s.position for m, s in paused.items() if m in replicas}
        # A planned member that is silent may lead a newer term, so an older primary is
        # promoted again.
        successor = newest or self._choose_successor(
            held, replicas, version, term, departed
        )
        if successor and await self._orders.wait_for_orders(successor):
            return False
        if successor and await self._orders.promote(successor, started_at):
            return True
        return await self._keep_primary(returned, term, reason, started_at)

    async def _complete_planned(self, term: int, started_at: float) -> bool:
        """Completes an earlier leader's promotion that has taken effect as planned.

        That of another member could still be replaced by an order for the planned one.
        """
        planned = self._orders.leader_record.candidate
        statuses = await self._orders.statuses(self._orders.replicas)
        if newest_primary(statuses, term) != planned:
            return False
        await self._orders.complete_promotion(
            planned, statuses[planned].term, started_at
        )
        return True

    def _choose_successor(
        self,
        held: dict[str, Position],
        replicas: dict[str, MemberRecord],
        version: int,
        term: int,
        departed: bool,
    ) -> str:
        now = boottime()
        reported = self._commits.reported()
        acknowledged = self._commits.confirmed(now, version, term)
        leaving = {member for member, record in replicas.items() if record.leaving}
        planned = self._orders.leader_record.candidate
        successor = choose_successor(
            held,
            set(replicas),
            acknowledged,
            leaving,
            planned,
            departed,
            reported if self._orders.needs_replicas else ZERO,
        )
        self._orders.report(
            "info",
            "successor",
            successor=successor,
            planned=planned,
            held={m: text_of(position) for m, position in held.items()},
            expected=len(replicas),
            leaving=len(leaving),
            departed=departed,
            acknowledged=text_of(acknowledged),
            reported=text_of(reported),
            # Proxies that may still acknowledge commits of the old primary.
            leases=len(self._leader.leases.waiting_for(now, version)),
            # Those that may have acknowledged commits of which nobody has reported.
            unheard=self._leader.leases.unheard,
            lost=self._leader.leases.lost,
        )
        return successor

    async def _keep_primary(
        self, returned: str, term: int, reason: str, started_at: float
    ) -> bool:
        """Goes on with the primary of ``term`` if it is back and no order can follow.

        Returns whether it does.
        """
        if reason == "unreachable_from_proxies":
            return False
        member = returned or await self._recorded_primary(term)
        if not member:
            return False
        planned = self._orders.leader_record.candidate
        if planned and not await self._orders.reinstate(member, started_at):
            return False
        if not await self._orders.record_primary(member, term):
            return False
        await self._orders.resume(self._orders.replicas)
        self._orders.report("info", "replacement_cancelled", term=term, primary=member)
        return True

    async def _recorded_primary(self, term: int) -> str:
        """Returns the recorded primary if it still leads ``term``."""
        recorded = self._orders.leader_record.primary
        members = {m: r for m, r in self._orders.members.items() if m == recorded}
        return primary_of(await self._orders.statuses(members), term)
