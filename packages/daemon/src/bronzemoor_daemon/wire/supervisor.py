"""Monitors one group: finds its primary and runs failovers and handovers."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.messages import GroupReport
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import BUSY, CONNECTION_LIMIT, MemberStatus
from bronzemoor_core.wire.succession import (
    acknowledged_position,
    choose_successor,
    is_overloaded,
    newest_primary,
    replacement_reason,
    should_replace_overloaded_primary,
)
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.grouporders import STEP_INTERVAL_SECONDS, GroupOrders

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader

WATCH_INTERVAL_SECONDS = 0.5  # while the primary is not suspected
PROBE_INTERVAL_SECONDS = 0.1  # while the primary is suspected
# Limit for the successor in a handover to catch up.
CATCH_UP_TIMEOUT_SECONDS = 1.5
# Delay before a postponed handover is attempted again.
HANDOVER_RETRY_SECONDS = 1.5
# Interval at which replicas that did not answer are asked whether they are paused.
RELEASE_INTERVAL_SECONDS = 5.0
# Age and position where no sample of a primary is known.
NO_SAMPLE = (float("inf"), ZERO)
# How long a primary must be overloaded before it is relieved.
RELIEF_AFTER_SECONDS = 0.5
# Minimum time between two reliefs.
RELIEF_INTERVAL_SECONDS = 10.0


def is_alive(status: MemberStatus | str) -> bool:
    """Returns whether a member answered, even with a connection limit or BUSY error."""
    return isinstance(status, MemberStatus) or status in (CONNECTION_LIMIT, BUSY)


class Supervisor:
    """Runs as a task on the control leader, one for each group."""

    def __init__(self, leader: "Leader", group: str) -> None:
        self._leader = leader
        self._group = group
        self._orders = GroupOrders(leader, group)
        self._wake_event = asyncio.Event()
        self._probe_failing_since: float | None = None
        self._suspected = False
        self._next_handover_at = float("-inf")
        self._overloaded_since: float | None = None
        self._last_relief_at = float("-inf")
        # When replicas that an earlier leader left paused are released.
        self._next_release_at = float("-inf")
        # While true, the topology names no primary, so that no proxy uses it.
        self.revoked = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        self._task.cancel()
        self._orders.close()

    def wake(self) -> None:
        """Ends the current wait because the records changed."""
        self._wake_event.set()

    def on_group_report(self, report: GroupReport) -> None:
        """Starts a check at once if a proxy reports failures of the primary."""
        failing = report.failing_ms >= 0 or report.stalled_ms >= 0
        if failing and report.member == self._orders.leader_record.primary:
            self._suspected = True
            self._wake_event.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except asyncio.CancelledError:
                raise
            except Exception as error:  # the next step starts from the current state
                self._orders.report("error", "supervisor_failed", error=repr(error))
            interval = (
                PROBE_INTERVAL_SECONDS if self._suspected else WATCH_INTERVAL_SECONDS
            )
            try:
                async with asyncio.timeout(interval):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
            else:
                # Reports come in bursts; one step handles them together.
                await asyncio.sleep(STEP_INTERVAL_SECONDS)
            self._wake_event.clear()

    async def _step(self) -> None:
        record, members = self._orders.leader_record, self._orders.members
        if not members:
            return
        if record.candidate:
            await self._fail_over("resumed")
            return
        primary = members.get(record.primary)
        if primary is None:
            await self._find_primary(members)
            return
        if primary.leaving:
            await self._hand_over("leaving")
            return
        if self._suspected:
            await self._check_primary(primary)
        if self._overload_persists(boottime()):
            await self._relieve(members)
        if not self._suspected:
            await self._release_paused(boottime())

    async def _release_paused(self, now: float) -> None:
        """Resumes replicas that an earlier leader paused for a promotion not planned.

        That leader may have ended in between, and gives no orders afterwards.
        """
        if (
            now < self._next_release_at
            or not self._leader.leases.predecessor_leases_expired(now)
        ):
            return
        replicas, term = self._replicas, self._term
        statuses = await self._orders.statuses(replicas)
        paused = {m: replicas[m] for m, s in statuses.items() if s.held_term > term}
        if paused:
            await self._orders.resume(paused)
        complete = set(statuses) == set(replicas)
        self._next_release_at = now + (
            float("inf") if complete else RELEASE_INTERVAL_SECONDS
        )

    def _overload_persists(self, now: float) -> bool:
        """Returns whether the primary has been overloaded long enough to relieve it."""
        evidence = self._leader.evidence.get(self._group, {})
        if not is_overloaded(now, self._orders.leader_record.primary, evidence):
            self._overloaded_since = None
            return False
        if self._overloaded_since is None:
            self._overloaded_since = now
        return (
            now - self._overloaded_since >= RELIEF_AFTER_SECONDS
            and now - self._last_relief_at >= RELIEF_INTERVAL_SECONDS
        )

    async def _relieve(self, members: dict[str, MemberRecord]) -> None:
        """Relieves an overloaded primary by a handover if its replicas lag too far."""
        self._overloaded_since = None
        primary = self._orders.leader_record.primary
        # Leaving replicas will soon get no work, so their lag does not count.
        staying = {m: r for m, r in members.items() if m != primary and not r.leaving}
        statuses = await self._orders.statuses(staying)
        lags = {member: status.lag for member, status in statuses.items()}
        relieves = should_replace_overloaded_primary(list(lags.values()))
        self._orders.report("info", "primary_overloaded", lags=lags, relieves=relieves)
        if relieves and await self._hand_over("overloaded"):
            self._last_relief_at = boottime()

    # --- finding the primary

    async def _find_primary(self, members: dict[str, MemberRecord]) -> None:
        """Records a member that is primary; fails over if the recorded one is gone."""
        record = self._orders.leader_record
        statuses = await self._orders.statuses(members)
        leading = {m: s for m, s in statuses.items() if s.primary}
        if leading:
            member = max(leading, key=lambda name: leading[name].term)
            if leading[member].term >= record.term:
                await self._orders.record_primary(member, leading[member].term)
                return
        if record.primary:
            await self._fail_over("primary_gone")

    # --- checking a suspected primary

    async def _check_primary(self, primary: MemberRecord) -> None:
        started_at = boottime()
        status = await self._orders.status(primary)
        now = boottime()
        healthy = is_alive(status)
        if isinstance(status, MemberStatus) and not status.primary:
            # It restarted as a replica, or another member is primary.
            await self._find_primary(self._orders.members)
            if self._orders.leader_record.primary == primary.member:
                await self._fail_over("primary_is_replica")
            return
        if healthy:
            self._probe_failing_since = None
        elif self._probe_failing_since is None:
            self._probe_failing_since = started_at
        since = self._probe_failing_since
        evidence = self._leader.evidence.get(self._group, {})
        reason = replacement_reason(
            now, primary.member, evidence, 0.0 if since is None else now - since
        )
        if reason:
            await self._fail_over(reason)
        elif healthy and not self._has_failure_reports(now):
            self._suspected = False

    def _has_failure_reports(self, now: float) -> bool:
        evidence = self._leader.evidence.get(self._group, {})
        return any(
            now - item.received < 1.0
            and (item.report.failing_ms >= 0 or item.report.stalled_ms >= 0)
            for item in evidence.values()
        )

    # --- failover

    async def _fail_over(self, reason: str) -> None:
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
        self._revoke()
        version = leader.topology_version
        try:
            if resumed and await self._complete_planned(old_term, started_at):
                return
            while True:
                # A replica that is released or restarted may acknowledge commits until
                # then, so its position is read afterwards.
                await self._orders.wait_for_leases(version)
                replicas = self._replicas
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
            self._suspected = False
            self._probe_failing_since = None
            self.revoked = False
            leader.refresh_topology()

    @property
    def _term(self) -> int:
        return self._orders.leader_record.term

    @property
    def _replicas(self) -> dict[str, MemberRecord]:
        """All members but the recorded primary."""
        primary = self._orders.leader_record.primary
        return {m: r for m, r in self._orders.members.items() if m != primary}

    async def _complete_planned(self, term: int, started_at: float) -> bool:
        """Completes an earlier leader's promotion that has taken effect as planned.

        That of another member could still be replaced by an order for the planned one.
        """
        planned = self._orders.leader_record.candidate
        statuses = await self._orders.statuses(self._replicas)
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

    # --- handover

    async def _hand_over(self, reason: str) -> bool:
        """Promotes a replica that has every commit of the primary.

        Returns whether that was attempted.

        While the other replicas are paused, only the successor can acknowledge commits,
        so it has all that the primary acknowledges from then on. If one of them is
        unreachable, the primary is revoked first and its final position is read.
        """
        started_at = boottime()
        if (
            started_at < self._next_handover_at
            or not self._leader.leases.predecessor_leases_expired(started_at)
        ):
            # The promotion would wait until an earlier leader's unknown leases have
            # expired, and proxies would have no primary meanwhile.
            return False
        leader, members = self._leader, self._orders.members
        old, term = members[self._orders.leader_record.primary], self._term
        replicas = self._replicas
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
                self._revoke()
                await self._orders.wait_for_leases(leader.topology_version)
                # One that was released meanwhile may have acknowledged commits.
                required = await self._position_to_reach(others, old, term)
                if await self._await_catch_up(members[successor], required):
                    await self._orders.promote(successor, started_at)
                    return True
            self._next_handover_at = boottime() + HANDOVER_RETRY_SECONDS
            self._orders.report("info", "handover_put_off", successor=successor)
            return True
        finally:
            self.revoked = False
            leader.refresh_topology()
            current = self._orders.leader_record
            if current.primary == old.member and not current.candidate:
                await self._orders.resume(others)

    async def _position_to_reach(
        self, others: dict[str, MemberRecord], primary: MemberRecord, term: int
    ) -> Position | None:
        """Pauses all replicas but the successor and returns what it has to reach.

        The position is None if some are silent and so is the primary.
        """
        paused = await self._orders.pause(others, term + 1)
        silent = set(others) - set(paused)
        if silent:
            self._orders.report("info", "handover_stops_writes", silent=len(silent))
            return await self._final_position(primary)
        return max((s.position for s in paused.values()), default=ZERO)

    async def _final_position(self, primary: MemberRecord) -> Position | None:
        """Revokes the primary and returns its position once no proxy uses it.

        Returns None if leases remain too long or the primary does not answer. Proxies
        treat a commit that it acknowledges later as in doubt.
        """
        self._revoke()
        version, deadline = (
            self._leader.topology_version,
            boottime() + CATCH_UP_TIMEOUT_SECONDS,
        )
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

    # --- helpers

    def _revoke(self) -> None:
        self.revoked = True
        self._leader.refresh_topology()
