"""Replaces a lost primary by a replica that has every acknowledged commit."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import MemberStatus
from bronzemoor_core.wire.succession import (
    acknowledged_position,
    choose_successor,
    newest_primary,
)
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.grouporders import STEP_INTERVAL_SECONDS, GroupOrders

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader

# Age and position where no sample of a primary is known.
NO_SAMPLE = (float("inf"), ZERO)


class Failover:
    """Runs on the control leader for one group."""

    def __init__(self, leader: "Leader", group: str, orders: GroupOrders) -> None:
        self._leader = leader
        self._group = group
        self._orders = orders

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
            while True:
                # A replica that is released or restarted may acknowledge commits until
                # then, so its position is read afterwards.
                await self._orders.wait_for_leases(version)
                replicas = self._orders.replicas
                paused = await self._orders.pause(replicas, old_term + 1)
                newest = newest_primary(paused, old_term)
                if newest and await self._orders.wait_for_orders(newest):
                    continue
                if newest:
                    # An earlier promotion order took effect.
                    await self._orders.complete_promotion(
                        newest, paused[newest].term, started_at
                    )
                    return
                held = {m: s.position for m, s in paused.items() if not s.primary}
                successor = self._choose_successor(held, replicas, version, old_term)
                if successor and await self._orders.wait_for_orders(successor):
                    continue
                if successor and await self._orders.promote(successor, started_at):
                    return
                primary = self._orders.members.get(self._orders.leader_record.primary)
                if not resumed and await self._primary_recovered(
                    primary, old_term, reason
                ):
                    await self._orders.resume(replicas)
                    self._orders.report("info", "replacement_cancelled", term=old_term)
                    return
                await asyncio.sleep(STEP_INTERVAL_SECONDS)
        finally:
            self._orders.restore()

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
    ) -> str:
        now, leases = boottime(), self._leader.leases
        leases.forget_lost(now)
        acknowledged = None
        age, position = self._leader.samples.newest(now, self._group) or NO_SAMPLE
        if (
            leases.holders
            and not leases.waiting_for(now, version)
            and leases.all_confirmed(version)
        ):
            evidence = self._leader.evidence.get(self._group, {})
            sample = (now - age, position)
            acknowledged = acknowledged_position(
                evidence, sample, term, leases.lost_until
            )
        leaving = {member for member, record in replicas.items() if record.leaving}
        planned = self._orders.leader_record.candidate
        successor = choose_successor(
            held, set(replicas), acknowledged, leaving, planned
        )
        self._orders.report(
            "info",
            "successor",
            successor=successor,
            planned=planned,
            held={m: f"{p.term}.{p.offset}" for m, p in held.items()},
            expected=len(replicas),
            leaving=len(leaving),
            acknowledged=str(acknowledged),
            # Proxies that may still acknowledge commits of the old primary.
            leases=len(leases.waiting_for(now, version)),
        )
        return successor

    async def _primary_recovered(
        self, primary: MemberRecord | None, term: int, reason: str
    ) -> bool:
        """Returns whether the primary is back and no promotion has been planned."""
        if primary is None or reason not in ("unreachable", "commits_stalled"):
            return False
        if self._orders.leader_record.candidate:
            return False
        status = await self._orders.status(primary)
        return (
            isinstance(status, MemberStatus) and status.primary and status.term == term
        )
