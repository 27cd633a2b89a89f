"""Hands over from a primary that can still be reached to one of its replicas."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import MemberStatus
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.grouporders import STEP_INTERVAL_SECONDS, GroupOrders

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader

# Limit for the successor to catch up.
CATCH_UP_TIMEOUT_SECONDS = 1.5
# Delay before a postponed handover is attempted again.
HANDOVER_RETRY_SECONDS = 1.5


class Handover:
    """Runs on the control leader for one group."""

    def __init__(self, leader: "Leader", orders: GroupOrders) -> None:
        self._leader = leader
        self._orders = orders
        self._next_at = float("-inf")

    async def run(self, reason: str) -> bool:
        """Promotes a replica that has every commit of the primary.

        Returns whether that was attempted.

        While the other replicas are paused, only the successor can acknowledge commits,
        so it has all that the primary acknowledges from then on. If one of them is
        unreachable or has departed, the primary is revoked first and its final position
        is read.
        """
        started_at = boottime()
        if (
            started_at < self._next_at
            or not self._leader.leases.predecessor_leases_expired(started_at)
        ):
            # The promotion would wait until an earlier leader's unknown leases have
            # expired, and proxies would have no primary meanwhile.
            return False
        members = self._orders.members
        old, term = members[self._orders.leader_record.primary], self._orders.term
        replicas = self._orders.replicas
        staying = {m: r for m, r in replicas.items() if not r.leaving}
        if not staying:
            return False
        self._orders.report(
            "info",
            "handing_over",
            reason=reason,
            primary=old.member,
            term=term,
        )
        statuses = await self._orders.statuses(replicas)
        ready = {m: s.position for m, s in statuses.items() if m in staying}
        if not ready:
            return False
        successor = max(ready, key=lambda m: (ready[m], m))
        others = {m: r for m, r in replicas.items() if m != successor}
        try:
            required = await self._position_to_reach(others, old, term)
            if await self._await_catch_up(members[successor], required):
                await self._orders.wait_for_orders(successor)
                await self._orders.wait_for_leases(self._orders.revoke())
                # A replica that joined meanwhile may have acknowledged commits.
                others = {
                    m: r for m, r in self._orders.replicas.items() if m != successor
                }
                if await self._is_still_ahead(members[successor], others, old, term):
                    await self._orders.promote(successor, started_at)
                    return True
            self._next_at = boottime() + HANDOVER_RETRY_SECONDS
            self._orders.report("info", "handover_put_off", successor=successor)
            return True
        finally:
            self._orders.restore()
            current = self._orders.leader_record
            if current.primary == old.member and not current.candidate:
                await self._orders.resume(others)

    async def _is_still_ahead(
        self,
        successor: MemberRecord,
        others: dict[str, MemberRecord],
        primary: MemberRecord,
        term: int,
    ) -> bool:
        """Returns whether the successor has all that was acknowledged until now.

        A replica that was released since it was paused may have acknowledged commits.
        """
        status, required = await asyncio.gather(
            self._orders.status(successor),
            self._position_to_reach(others, primary, term),
        )
        if (
            isinstance(status, MemberStatus)
            and required is not None
            and status.position >= required
        ):
            return True
        return await self._await_catch_up(successor, required)

    async def _position_to_reach(
        self, others: dict[str, MemberRecord], primary: MemberRecord, term: int
    ) -> Position | None:
        """Pauses all replicas but the successor and returns what it has to reach.

        The position is None if that of the primary is needed, which is silent.
        """
        paused = await self._orders.pause(others, term + 1)
        silent = set(others) - set(paused)
        departed = bool(self._orders.departure)
        if silent or departed:
            self._orders.report(
                "info", "handover_stops_writes", silent=len(silent), departed=departed
            )
            return await self._final_position(primary)
        return max((s.position for s in paused.values()), default=ZERO)

    async def _final_position(self, primary: MemberRecord) -> Position | None:
        """Revokes the primary and returns its position once no proxy uses it.

        Returns None if leases remain too long or the primary does not answer. Proxies
        treat a commit that it acknowledges later as in doubt.
        """
        version = self._orders.revoke()
        deadline = boottime() + CATCH_UP_TIMEOUT_SECONDS
        while self._leader.leases.waiting_for(boottime(), version):
            if boottime() > deadline:
                return None
            await asyncio.sleep(STEP_INTERVAL_SECONDS)
        status = await self._orders.status(primary)
        return status.position if isinstance(status, MemberStatus) else None

    async def _await_catch_up(
        self, member: MemberRecord, required: Position | None
    ) -> bool:
        """Returns whether a member reaches ``required`` in time; None is unknown."""
        if required is None:
            return False
        deadline = boottime() + CATCH_UP_TIMEOUT_SECONDS
        while boottime() < deadline:
            status = await self._orders.status(member)
            if isinstance(status, MemberStatus) and status.position >= required:
                return True
            await asyncio.sleep(STEP_INTERVAL_SECONDS)
        return False
