"""Sends orders to the members of one group and promotes them through the executor."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.positions import text_of
from bronzemoor_core.wire.acknowledgements import LingeringReplicas, covers_primary
from bronzemoor_core.wire.authority import PromotionOrder, may_order
from bronzemoor_core.wire.records import LeaderRecord, MemberRecord
from bronzemoor_core.wire.statements import MemberStatus
from bronzemoor_core.wire.succession import newest_primary, primary_of
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.memberorders import (
    NO_DEADLINE,
    send_order,
    send_order_to_all,
)
from bronzemoor_daemon.wire.tasks import Tasks

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader

STEP_INTERVAL_SECONDS = 0.05  # between the steps of a promotion
# A promotion that has not taken effect after this time is ordered again.
EFFECT_TIMEOUT_SECONDS = 2.5
# An order that may not have reached the executor is retried after this time.
ORDER_RETRY_SECONDS = 0.3
# The old primary is ordered to step down at this interval, until the timeout.
STEP_DOWN_INTERVAL_SECONDS = 0.5
STEP_DOWN_TIMEOUT_SECONDS = 20.0


class GroupOrders:
    """Carries out a supervisor's decisions on the members of its group."""

    def __init__(self, leader: "Leader", group: str) -> None:
        self._leader = leader
        self._group = group
        self._tasks = Tasks(self.report)
        # Until when orders whose outcome is unknown may arrive, by the ordered member.
        self._arrives_until: dict[str, float] = {}
        self._revoked = False
        self._lingering = LingeringReplicas(boottime(), leader.lingering(group))

    def close(self) -> None:
        self._tasks.cancel()

    @property
    def revoked(self) -> bool:
        """Whether the topology names no primary, so that no proxy uses it."""
        return self._revoked

    def revoke(self) -> int:
        """Withdraws the primary; returns the version of the topology without it."""
        self._revoked = True
        self._leader.refresh_topology()
        return self._leader.topology_version

    def restore(self) -> None:
        """Announces the recorded primary again."""
        self._revoked = False
        self._leader.refresh_topology()

    @property
    def leader_record(self) -> LeaderRecord:
        """The committed record of the group's primary."""
        return self._leader.leader_record(self._group)

    @property
    def members(self) -> dict[str, MemberRecord]:
        return {item.member: item for item in self._leader.members(self._group)}

    @property
    def term(self) -> int:
        """The term of the recorded primary."""
        return self.leader_record.term

    @property
    def replicas(self) -> dict[str, MemberRecord]:
        """All members but the recorded primary."""
        primary = self.leader_record.primary
        return {m: r for m, r in self.members.items() if m != primary}

    @property
    def needs_replicas(self) -> bool:
        """Whether a commit is acknowledged once a replica has it."""
        return self._leader.needs_replicas(self._group)

    @property
    def departure(self) -> int:
        """Number of the newest departure that commits may depend on, or 0."""
        return self._leader.departure(self._group)

    def others_may_acknowledge(self, now: float) -> bool:
        """Returns whether replicas that are not on record may have acknowledged more.

        Those that departed may have until another is seen to have as much, and these
        and removed ones may go on with it for a while.
        """
        self._lingering.update(now, self._leader.lingering(self._group))
        return bool(self.departure) or self._lingering.may_acknowledge(now)

    async def forget_lingering(self, now: float) -> None:
        """Records that departed and removed replicas do not run any more.

        What they acknowledged since is settled anew unless another has it.
        """
        self._lingering.update(now, self._leader.lingering(self._group))
        number = self._lingering.ended(now)
        covered = await self.is_covered() if number else None
        if covered is None:
            return
        command = {
            "type": "member.ended",
            "group": self._group,
            "departure": number,
            "covered": covered,
        }
        done = await self._leader.commit(command) is not None
        event = "departure_forgotten" if covered else "departure_resumed"
        self.report("info", event, departure=number, done=done)

    async def record_primary(self, member: str, term: int) -> bool:
        command = {
            "type": "primary.set",
            "group": self._group,
            "member": member,
            "term": term,
            "fence": self.leader_record.fence,
        }
        done = await self._leader.commit(command) is not None
        self.report("info", "primary_recorded", member=member, term=term, done=done)
        return done

    async def is_covered(self, without: str = "") -> bool | None:
        """Returns whether a replica, not counting one, has all that the primary has.

        Then no acknowledged commit depends on that one, or on those that departed. None
        if the primary does not answer.
        """
        term, primary = self.term, self.members.get(self.leader_record.primary)
        if primary is None:
            return None
        status = await self.status(primary)
        if not isinstance(status, MemberStatus):
            return None
        others = {m: r for m, r in self.replicas.items() if m != without}
        replicas = await self.statuses(others)
        return covers_primary(status, list(replicas.values()), term)

    async def settle_departure(self, departure: int) -> None:
        """Records that no commit depends on departed replicas any more."""
        command = {
            "type": "member.settle",
            "group": self._group,
            "departure": departure,
        }
        done = await self._leader.commit(command) is not None
        self.report("info", "departure_settled", departure=departure, done=done)

    async def wait_for_leases(self, version: int) -> None:
        """Waits until no proxy can use an older topology than ``version``."""
        reported_count = 0
        while waiting := self._leader.leases.waiting_for(boottime(), version):
            if len(waiting) != reported_count:
                reported_count = len(waiting)
                self.report("info", "waiting_for_leases", proxies=reported_count)
            await asyncio.sleep(STEP_INTERVAL_SECONDS)

    async def wait_for_orders(self, member: str) -> bool:
        """Waits until only orders for ``member`` may arrive; False without a wait."""
        others = [t for m, t in self._arrives_until.items() if m != member]
        remaining = max(others, default=0.0) - boottime()
        if remaining <= 0:
            return False
        self.report("info", "waiting_for_orders", wait_ms=round(remaining * 1_000))
        await asyncio.sleep(remaining)
        return True

    async def promote(self, member: str, started_at: float) -> bool:
        """Orders the promotion; no proxy may be able to use the old primary any more.

        Returns whether it took effect.
        """
        leader = self._leader
        old_term = self.leader_record.term
        # An unanswered order has a lower fence than the next one.
        await self.wait_for_orders("")
        fence = await self._plan(member)
        if fence is None:
            return False
        ordered_at = float("-inf")
        deadline = boottime() + 2 * EFFECT_TIMEOUT_SECONDS
        while boottime() < deadline:
            if boottime() - ordered_at > EFFECT_TIMEOUT_SECONDS and may_order(
                boottime(), leader.order_deadline
            ):
                outcome = await self._execute(member, fence, started_at)
                if outcome == "refused":
                    return False
                if outcome != "expired":
                    ordered_at = boottime()
                if outcome == "failed":
                    # Its effect is unknown, so it is retried sooner.
                    ordered_at += ORDER_RETRY_SECONDS - EFFECT_TIMEOUT_SECONDS
            record = self.members.get(member)
            if record is None:
                return False
            status = await self.status(record)
            if (
                isinstance(status, MemberStatus)
                and status.primary
                and status.term > old_term
            ):
                await self.complete_promotion(member, status.term, started_at)
                return True
            await asyncio.sleep(STEP_INTERVAL_SECONDS)
        return False

    async def reinstate(self, member: str, started_at: float) -> bool:
        """Goes on with the recorded term's primary although another was planned.

        The platform carries out orders as they come. Once it has answered one for the
        present primary, which changes nothing, it holds none of an earlier plan.
        Returns whether ``member`` still leads its term after that.
        """
        term = self.term
        fence = await self._plan(member)
        if fence is None or not may_order(boottime(), self._leader.order_deadline):
            return False
        if await self._execute(member, fence, started_at) != "done":
            return False
        await asyncio.sleep(EFFECT_TIMEOUT_SECONDS)
        statuses = await self.statuses(self.members)
        return primary_of(statuses, term) == member and not newest_primary(
            statuses, term
        )

    async def _plan(self, member: str) -> int | None:
        """Commits a promotion; returns its fence, or None if it is not confirmed."""
        planned = await self._leader.commit(
            {"type": "primary.plan", "group": self._group, "member": member}
        )
        if planned is None:
            return None
        fence = int(str(planned["fence"]))
        self.report(
            "info",
            "promotion_planned",
            member=member,
            fence=fence,
            term=self.term,
            **self._leader.authority_fields(boottime()),
        )
        return fence

    async def _execute(self, member: str, fence: int, started_at: float) -> str:
        """Passes an order to the executor and returns its outcome."""
        leader, sent_at = self._leader, boottime()
        order = PromotionOrder(
            self._group, member, leader.name, fence, leader.order_deadline
        )
        outcome = await asyncio.to_thread(leader.execute_promotion, order)
        now = boottime()
        if outcome == "failed":
            self._arrives_until[member] = order.arrives_until
        leader.metrics.promotions.add(outcome)
        self.report(
            "info",
            "promotion_ordered",
            member=member,
            fence=fence,
            outcome=outcome,
            answered_ms=round((now - sent_at) * 1_000),
            after_ms=round((now - started_at) * 1_000),
            **leader.authority_fields(now),
        )
        return outcome

    async def complete_promotion(
        self, member: str, term: int, started_at: float
    ) -> None:
        """Records the new primary and orders the old one to step down."""
        old = self.members.get(self.leader_record.primary)
        while not await self.record_primary(member, term):
            await asyncio.sleep(STEP_INTERVAL_SECONDS)
        self.report(
            "info",
            "primary_replaced",
            member=member,
            term=term,
            after_ms=round((boottime() - started_at) * 1_000),
        )
        if old is not None and old.member != member:
            self._tasks.cancel()
            self._tasks.start(self._step_down(old, term), "step-down")

    async def _step_down(self, old: MemberRecord, term: int) -> None:
        text = self._leader.codec.step_down_text(term)
        self.report("info", "primary_stepping_down", member=old.member, term=term)
        deadline = boottime() + STEP_DOWN_TIMEOUT_SECONDS
        while boottime() < deadline and old.member in self.members:
            leader = self._leader
            status = await send_order(
                leader.codec, leader.name, old, text, leader.order_deadline
            )
            if isinstance(status, MemberStatus) and not status.primary:
                return
            await asyncio.sleep(STEP_DOWN_INTERVAL_SECONDS)

    async def status(self, record: MemberRecord) -> MemberStatus | str:
        return await send_order(
            self._leader.codec,
            self._leader.name,
            record,
            self._leader.codec.status_text,
            NO_DEADLINE,
        )

    async def statuses(
        self, members: dict[str, MemberRecord]
    ) -> dict[str, MemberStatus]:
        """Returns the status of each member that answers."""
        text = self._leader.codec.status_text
        return await self._send_to_all(members, text, NO_DEADLINE)

    async def pause(
        self, members: dict[str, MemberRecord], term: int
    ) -> dict[str, MemberStatus]:
        """Stops replicas from receiving; returns the status of each that answers."""
        text = self._leader.codec.pause_text(term)
        deadline = self._leader.order_deadline
        statuses = await self._send_to_all(members, text, deadline)
        self._report_order("replicas_paused", members, statuses, term=term)
        return statuses

    async def resume(self, members: dict[str, MemberRecord]) -> set[str]:
        """Lets paused replicas receive again; returns those that answered."""
        leader = self._leader
        statuses = await self._send_to_all(
            members, leader.codec.resume_text, leader.order_deadline
        )
        self._report_order("replicas_resumed", members, statuses)
        return set(statuses)

    async def _send_to_all(
        self, members: dict[str, MemberRecord], text: bytes, deadline: float
    ) -> dict[str, MemberStatus]:
        leader, records = self._leader, list(members.values())
        return await send_order_to_all(
            leader.codec, leader.name, records, text, deadline
        )

    def _report_order(
        self,
        event: str,
        members: dict[str, MemberRecord],
        statuses: dict[str, MemberStatus],
        **fields: object,
    ) -> None:
        """Logs an order with the positions of the members that answered."""
        self.report(
            "info",
            event,
            **fields,
            positions={m: text_of(s.position) for m, s in statuses.items()},
            silent=sorted(set(members) - set(statuses)),
            **self._leader.authority_fields(boottime()),
        )

    def report(self, level: str, event: str, **fields: object) -> None:
        self._leader.report(level, event, group=self._group, **fields)
