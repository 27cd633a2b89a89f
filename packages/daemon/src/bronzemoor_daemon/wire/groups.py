"""A database group as seen by a proxy, with connection pools for its members."""

import asyncio
from collections.abc import Callable
from random import Random

from bronzemoor_core.messages import GroupReport, GroupView
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.deployment import PRIMARY, Route
from bronzemoor_core.wire.freshness import PositionSamples
from bronzemoor_core.wire.leases import HeldLease
from bronzemoor_core.wire.loadbalance import WriteShare, choose_by_load
from bronzemoor_core.wire.loadexchange import MIN_REPORTED_LOAD, encode_load
from bronzemoor_core.wire.placement import (
    Target,
    required_position,
    sort_by_expected_delay,
)
from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.zoneshares import MIN_ZONE_SHARE, encode_uses
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import StatementCodec
from bronzemoor_daemon.wire.relays import RelayClient

# Connections that are opened to each member in advance.
WARM_CONNECTIONS = 1
# How long a leaving member still gets new statements; a primary gets them for longer,
# since no other member can serve writes. Leaving members wait 7 s.
LEAVING_REPLICA_USE_SECONDS = 3.0
LEAVING_PRIMARY_USE_SECONDS = 4.5


class Group:
    """Members, primary and position samples of one group."""

    def __init__(
        self,
        name: str,
        codec: StatementCodec,
        caller: str,
        zone: str,
        lease: HeldLease,
        report: Callable[..., None],
        relays: RelayClient,
        metrics: WireMetrics,
    ) -> None:
        self._name = name
        self._codec = codec
        self._caller = caller
        self._zone = zone
        self._lease = lease
        self._report = report
        self._relays = relays
        self._metrics = metrics
        self._primary_changed: asyncio.Future[None] | None = None
        self._pools: dict[str, MemberPool] = {}
        self._by_organisation = False
        self._shared = False
        # Members in the order of the topology, by which loads name them.
        self._members: list[str] = []
        self._random = Random()
        self._write_share = WriteShare()
        self.term = 0
        self.primary = ""
        self.samples = PositionSamples()
        # Newest commit that was acknowledged to a client.
        self.acknowledged: Position = ZERO
        # When the oldest unanswered commit was sent, None if there is none.
        self.stalled_since: float | None = None
        self._committed_at = float("-inf")

    @property
    def name(self) -> str:
        return self._name

    @property
    def pools(self) -> dict[str, MemberPool]:
        return self._pools

    @property
    def shared(self) -> bool:
        """Whether the proxies of a zone share the connections to members."""
        return self._shared

    @property
    def by_organisation(self) -> bool:
        """Whether connections to members are opened for organisations."""
        return self._by_organisation

    @by_organisation.setter
    def by_organisation(self, value: bool) -> None:
        self._by_organisation = value
        for pool in self._pools.values():
            pool.by_organisation = value

    def apply_topology(self, view: GroupView) -> None:
        """Applies a topology update."""
        members = {item.member: item for item in view.members}
        self._members, self._shared = list(members), view.shared
        self._close_pools(set(self._pools) - set(members))
        for member, item in members.items():
            pool = self._pools.get(member)
            if pool is not None and pool.address != item.address:
                pool.close()
                pool = None
            if pool is None:
                pool = self._pools[member] = MemberPool(
                    self._codec,
                    self._name,
                    self._caller,
                    member,
                    item.address,
                    item.zone == self._zone,
                    view.connections,
                    self._report,
                    self._relays,
                    self._metrics,
                )
            if item.leaving and not pool.leaving:
                pool.leaving_since = boottime()
            pool.leaving = item.leaving
            pool.is_primary = item.primary
            pool.by_organisation = self.by_organisation
            limit = view.connections
            if item.shares:
                limit = item.shares.get(self._zone, MIN_ZONE_SHARE)
            pool.set_limit(limit, view.shared)
            if not self.by_organisation:
                pool.warm(WARM_CONNECTIONS)
        if (view.term, view.primary) != (self.term, self.primary):
            self._report(
                "info",
                "primary_changed",
                group=self._name,
                term=view.term,
                primary=view.primary,
            )
            self.term, self.primary = view.term, view.primary
            self.stalled_since = None
            if view.primary:
                self.samples.start_term(view.term)
            self.notify_waiters()

    def close(self) -> None:
        """Ends the use of a group that the topology does not name any more.

        The control leader may replace its primary without telling, so that the outcome
        of what is in progress there is in doubt.
        """
        self.primary = ""
        self._close_pools(set(self._pools))
        self.notify_waiters()

    def _close_pools(self, members: set[str]) -> None:
        for member in members:
            self._pools.pop(member).close()

    def notify_waiters(self) -> None:
        """Wakes up statements that wait for a usable primary."""
        if self._primary_changed is not None and not self._primary_changed.done():
            self._primary_changed.set_result(None)
        self._primary_changed = None

    async def wait_primary_change(self, timeout: float) -> None:
        """Waits up to ``timeout`` seconds for a change of the primary."""
        if self._primary_changed is None:
            self._primary_changed = asyncio.get_running_loop().create_future()
        await asyncio.wait((self._primary_changed,), timeout=timeout)

    def primary_pool(self, now: float) -> MemberPool | None:
        """Returns the pool of the primary, None without a usable primary or a lease."""
        if not self.primary or not self._lease.valid(now):
            return None
        pool = self._pools.get(self.primary)
        return pool if pool is not None and _accepts_work(now, pool) else None

    def choose_member(
        self, now: float, route: Route, session: SessionState, tried: set[str]
    ) -> Target | None:
        """Returns the best member for a read that is not in ``tried``, or None."""
        pools, required = self._readable_pools(now, route, session, tried)
        if not pools:
            return None
        if self._shared:
            for pool in pools:
                pool.note_failures()
            share = self._write_share
            share.record_read()
            best = choose_by_load(now, pools, self._random, share.value)
        else:
            best = sort_by_expected_delay(now, pools)[0]
        if best.member == self.primary:
            return Target(best.member)
        assert required is not None
        if self._shared:
            best.lag.claim(now, required)
        return Target(best.member, required)

    def can_serve(
        self, now: float, route: Route, session: SessionState, tried: set[str]
    ) -> bool:
        """Returns whether a member that is not in ``tried`` can serve a read."""
        return bool(self._readable_pools(now, route, session, tried)[0])

    def _readable_pools(
        self, now: float, route: Route, session: SessionState, tried: set[str]
    ) -> tuple[list[MemberPool], Position | None]:
        """Returns who can serve a read, and the position required of replicas."""
        primary = self.primary_pool(now)
        pools = [] if primary is None or primary.member in tried else [primary]
        required: Position | None = None
        own = session.last_commit(self._name)
        if route.read_policy != PRIMARY:
            required = required_position(now, route, self.samples, own.position)
        if required is not None:
            pools += [
                pool
                for pool in self._pools.values()
                if pool.member != self.primary
                and pool.member not in tried
                and self._may_have(now, pool, required)
                and (
                    required != own.position
                    or now - own.answered_at >= pool.replication_delay
                )
                and _accepts_work(now, pool)
            ]
        return pools, required

    def _may_have(self, now: float, pool: MemberPool, required: Position) -> bool:
        if self._shared:
            return pool.lag.may_ask(now, required)
        return now >= pool.lagging_until

    def is_current_primary(self, now: float, member: str, term: int) -> bool:
        """Returns whether ``member`` is the primary of ``term`` under a valid lease."""
        return not self.why_not_primary(now, member, term)

    def why_not_primary(self, now: float, member: str, term: int) -> str:
        """Returns why ``member`` must not be used as the primary of ``term``.

        The result is empty if it may be used.
        """
        if term != self.term or (self.primary and member != self.primary):
            return "the primary was replaced"
        if not self.primary:
            return "the primary is being replaced"
        if not self._lease.valid(now):
            return "the proxy's lease has ended"
        return ""

    def record_commit(self, now: float, sent_at: float, position: Position) -> None:
        """Records a commit that is acknowledged to a client."""
        self._write_share.record_write()
        self.acknowledged = max(self.acknowledged, position)
        self.stalled_since = None
        self._committed_at = now
        self.samples.record(sent_at, position)

    def record_unanswered_commit(self, sent_at: float) -> None:
        if self.stalled_since is None:
            self.stalled_since = sent_at

    def trim(self, now: float) -> None:
        """Closes idle connections and evicts idle transactions."""
        for pool in self._pools.values():
            pool.trim(now)
            pool.average_load.sample(pool.load)

    def record_sample(self, sent_at: float, position: Position) -> None:
        """Records another proxy's sample; ``sent_at`` is on this proxy's clock."""
        self.samples.record(sent_at, position)

    def build_report(self, now: float, granted_at: float) -> GroupReport:
        """Builds the report to the leader, whose last grant came at ``granted_at``."""
        sampled_at, sample = self.samples.newest
        sample_after_ms = (
            int((sampled_at - granted_at) * 1_000) if sample != ZERO else -1
        )

        def age(since: float | None) -> int:
            if since is None or since == float("-inf"):
                return -1
            return int((now - since) * 1_000)

        pool = self._pools.get(self.primary)
        return GroupReport(
            self._name,
            self.primary,
            self.term,
            max(-1, int(pool.failing_for(now) * 1_000)) if pool else -1,
            age(pool.succeeded_at) if pool else -1,
            age(self.stalled_since),
            self.acknowledged.term,
            self.acknowledged.offset,
            [p.member for p in self._pools.values() if p.failing_for(now) >= 0],
            sample.term,
            sample.offset,
            max(-1, sample_after_ms),
            age(self._committed_at),
            age(pool.refused_at) if pool else -1,
            self._owned_loads() if self._shared else [],
            self._collect_uses() if self._shared and self._by_organisation else [],
        )

    def _owned_loads(self) -> list[int]:
        """Returns the loads of members whose connections this proxy owns."""
        return [
            encode_load(index, load)
            for index, member in enumerate(self._members)
            if (load := self._pools[member].owned_load) >= MIN_REPORTED_LOAD
        ]

    def _collect_uses(self) -> list[int]:
        """Returns how often each member's connections were used since the last call."""
        return [
            encode_uses(index, uses)
            for index, member in enumerate(self._members)
            if (uses := self._pools[member].collect_uses())
        ]


def _accepts_work(now: float, pool: MemberPool) -> bool:
    use_seconds = (
        LEAVING_PRIMARY_USE_SECONDS if pool.is_primary else LEAVING_REPLICA_USE_SECONDS
    )
    return not pool.leaving or now - pool.leaving_since < use_seconds
