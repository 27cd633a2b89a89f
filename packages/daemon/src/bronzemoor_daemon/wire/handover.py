"""Hands over from a primary that can still be reached to one of its replicas."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.positions import Position, text_of
from bronzemoor_core.wire.acknowledgements import Acknowledgements
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import MemberStatus
from bronzemoor_daemon.wire.acknowledgedcommits import AcknowledgedCommits
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

    def __init__(
        self, leader: "Leader", orders: GroupOrders, commits: AcknowledgedCommits
    ) -> None:
        self._leader = leader
        self._orders = orders
        self._commits = commits
        self._next_at = float("-inf")

    async def run(self, reason: str) -> bool:
        """Promotes a replica that has every commit of the primary.

        Returns whether that was attempted.

        The other replicas are paused, so that the successor has what the primary
        acknowledges from then on. Replicas that are not on record may acknowledge
        commits, too, so the successor also needs all that the primary has once no proxy
        can use it.
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
            if await self._is_close(members[successor], others, old, term):
                await self._orders.wait_for_orders(successor)
                version = self._orders.revoke()
                await self._orders.wait_for_leases(version)
                required = await self._position_to_reach(old, term, version)
                if await self._await_catch_up(members[successor], required):
                    await self._orders.promote(successor, started_at)
                    return True
            self._next_at = boottime() + HANDOVER_RETRY_SECONDS
            self._orders.report(
                "info",
                "handover_put_off",
                successor=successor,
                writes_stopped=self._orders.revoked,
            )
            return True
        finally:
            self._orders.restore()
            current = self._orders.leader_record
            if current.primary == old.member and not current.candidate:
                await self._orders.resume(others)

    async def _is_close(
        self,
        successor: MemberRecord,
        others: dict[str, MemberRecord],
        primary: MemberRecord,
        term: int,
    ) -> bool:
        """Pauses the other replicas; returns whether the successor reaches the primary.

        Writes go on meanwhile, so that a replica which receives nothing stops none.
        """
        paused = await self._orders.pause(others, term + 1)
        newest = await self._commits.newest(primary)
        positions = [newest, *(status.position for status in paused.values())]
        return await self._await_catch_up(successor, max(positions))

    async def _position_to_reach(
        self, primary: MemberRecord, term: int, version: int
    ) -> Position | None:
        """Returns what covers all acknowledged commits, None if that is unknown.

        No proxy can use the primary since the topology of ``version``. Only if it does
        not answer, what the proxies know has to do.
        """
        final = await self._commits.final(primary, term)
        confirmed = None
        if final is None:
            confirmed = self._commits.confirmed(boottime(), version, term)
        commits = Acknowledgements(final, confirmed, reported=self._commits.reported())
        self._orders.report(
            "info",
            "handover_requires",
            final=text_of(final),
            confirmed=text_of(confirmed),
            reported=text_of(commits.reported),
        )
        return commits.required

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
