"""Monitors one group: finds its primary and runs failovers and handovers."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.messages import GroupReport
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import MemberStatus
from bronzemoor_core.wire.succession import (
    is_alive,
    is_overloaded,
    replacement_reason,
    should_replace_overloaded_primary,
)
from bronzemoor_daemon.wire.acknowledgedcommits import AcknowledgedCommits
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.failover import Failover
from bronzemoor_daemon.wire.grouporders import STEP_INTERVAL_SECONDS, GroupOrders
from bronzemoor_daemon.wire.handover import Handover
from bronzemoor_daemon.wire.replicawatch import ReplicaWatch

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader

WATCH_INTERVAL_SECONDS = 0.5  # while the primary is not suspected
PROBE_INTERVAL_SECONDS = 0.1  # while the primary is suspected
# Interval at which replicas that did not answer are asked whether they are paused.
RELEASE_INTERVAL_SECONDS = 5.0
# How long a primary must be overloaded before it is relieved.
RELIEF_AFTER_SECONDS = 0.5
# Minimum time between two reliefs.
RELIEF_INTERVAL_SECONDS = 10.0
# A member that said it leaves usually ends within this time.
EXIT_SECONDS = 0.5


class Supervisor:
    """Runs as a task on the control leader, one for each group."""

    def __init__(self, leader: "Leader", group: str) -> None:
        self._leader = leader
        self._group = group
        self._orders = GroupOrders(leader, group)
        self._wake_event = asyncio.Event()
        self._probe_failing_since: float | None = None
        self._suspected = False
        self._overloaded_since: float | None = None
        self._last_relief_at = float("-inf")
        # When replicas that an earlier leader left paused are released.
        self._next_release_at = float("-inf")
        # The newest departure that is not settled, and when it was noticed.
        self._departure = 0
        self._departed_at = float("-inf")
        commits = AcknowledgedCommits(leader, group, self._orders)
        self._failover = Failover(leader, self._orders, commits)
        self._handover = Handover(leader, self._orders, commits)
        self._replica_watch = ReplicaWatch(leader, self._orders)
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def revoked(self) -> bool:
        """Whether the topology names no primary, so that no proxy uses it."""
        return self._orders.revoked

    def close(self) -> None:
        self._task.cancel()
        self._replica_watch.close()
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
            await self._replace("resumed")
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
            await self._settle_departure(boottime())
            await self._orders.forget_lingering(boottime())
            await self._sample_primary(boottime(), primary)

    async def _release_paused(self, now: float) -> None:
        """Resumes replicas that an earlier leader paused for a promotion not planned.

        That leader may have ended in between, and gives no orders afterwards.
        """
        if (
            now < self._next_release_at
            or not self._leader.leases.predecessor_leases_expired(now)
        ):
            return
        replicas, term = self._orders.replicas, self._orders.term
        statuses = await self._orders.statuses(replicas)
        paused = {m: replicas[m] for m, s in statuses.items() if s.held_term > term}
        resumed = await self._orders.resume(paused) if paused else set()
        complete = set(statuses) == set(replicas) and resumed == set(paused)
        self._next_release_at = now + (
            float("inf") if complete else RELEASE_INTERVAL_SECONDS
        )

    async def _settle_departure(self, now: float) -> None:
        """Settles departures once a replica has all that may be acknowledged."""
        departure = self._orders.departure
        if departure != self._departure:
            self._departure, self._departed_at = departure, now
            if departure:
                self._orders.report("info", "departure_noticed", departure=departure)
        if not departure or now - self._departed_at < EXIT_SECONDS:
            return
        if await self._orders.is_covered():
            await self._orders.settle_departure(departure)

    async def _sample_primary(self, now: float, primary: MemberRecord) -> None:
        """Asks the primary for its position if a lost proxy's commits need one.

        Statements give no sample while the group is idle.
        """
        sampled_at, _ = self._leader.samples.newest_sample(self._group)
        if sampled_at >= self._leader.leases.lost_until:
            return
        status = await self._orders.status(primary)
        if isinstance(status, MemberStatus) and status.primary:
            self._leader.samples.record(self._group, now, status.position)

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
            await self._replace("primary_gone")

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
                await self._replace("primary_is_replica")
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
            await self._replace(reason)
        elif healthy and not self._has_failure_reports(now):
            self._suspected = False

    def _has_failure_reports(self, now: float) -> bool:
        evidence = self._leader.evidence.get(self._group, {})
        return any(
            now - item.received < 1.0
            and (item.report.failing_ms >= 0 or item.report.stalled_ms >= 0)
            for item in evidence.values()
        )

    async def _hand_over(self, reason: str) -> bool:
        try:
            return await self._handover.run(reason)
        finally:
            self._next_release_at = float("-inf")

    async def _replace(self, reason: str) -> None:
        try:
            await self._failover.run(reason)
        finally:
            self._next_release_at = float("-inf")
            self._suspected = False
            self._probe_failing_since = None
