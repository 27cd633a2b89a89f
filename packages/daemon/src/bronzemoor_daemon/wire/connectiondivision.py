"""Divides the connections to members among proxies, at the control leader."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import TYPE_CHECKING, Any

from bronzemoor_core.messages import GroupView, ProxyReport
from bronzemoor_core.wire.deployment import Deployment
from bronzemoor_core.wire.leases import LeaseTable
from bronzemoor_core.wire.zoneproxies import ZoneProxies
from bronzemoor_core.wire.zoneshares import ZoneShares, decode_uses
from bronzemoor_daemon.wire.clock import boottime

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon

# Connections to each member that are reserved for the control leader's orders.
RESERVED_CONNECTIONS = 1
DEFAULT_CONNECTIONS = 8
# If each proxy would get fewer connections to a member, the proxies of a zone share.
MIN_PROXY_SHARE = 3
# More connections from a zone to a member only add statements that wait at the member.
MAX_ZONE_SHARE = 12

# Commits a command; None if the commit is not confirmed.
Commit = Callable[[dict[str, object]], Coroutine[Any, Any, dict[str, object] | None]]


class ConnectionDivision:
    """Equal shares of proxies or zones, and shares of zones by demand."""

    __slots__ = (
        "_commit",
        "_control",
        "_leases",
        "_recording",
        "_shares",
        "_zone_proxies",
    )

    def __init__(
        self,
        control: "ControlDaemon",
        leases: LeaseTable,
        zone_proxies: ZoneProxies,
        shares: ZoneShares,
        commit: Commit,
    ) -> None:
        self._control = control
        self._leases = leases
        self._zone_proxies = zone_proxies
        self._shares = shares
        self._commit = commit
        self._recording: asyncio.Task[Any] | None = None

    def equal_share(self, limit: int) -> tuple[int, bool]:
        """Connections to each member for a proxy, or for a zone if they are shared.

        ``limit`` is the number of connections that each member accepts; 0 if unknown.
        """
        if not limit:
            return DEFAULT_CONNECTIONS, False
        now = boottime()
        share = (limit - RESERVED_CONNECTIONS) // max(1, self._leases.active(now))
        # A new leader has not had a report from every proxy yet.
        sharing = (
            self._control.records.sharing
            and not self._leases.predecessor_leases_expired(now)
        )
        if share >= MIN_PROXY_SHARE and not sharing:
            return share, False
        zones = max(1, self._zone_proxies.zone_count)
        share = (limit - RESERVED_CONNECTIONS) // zones
        return max(1, min(share, MAX_ZONE_SHARE)), True

    def record_uses(
        self, now: float, report: ProxyReport, views: Sequence[GroupView]
    ) -> None:
        """Records which members' connections the proxy's data centre uses.

        The report must be of the topology that ``views`` describe.
        """
        members = {view.group: view.members for view in views}
        for item in report.groups:
            known = members.get(item.group, [])
            for index, uses in decode_uses(item.uses, len(known)).items():
                self._shares.record_use(now, known[index].member, report.zone, uses)

    def divide(
        self,
        now: float,
        deployment: Deployment | None,
        views: Sequence[GroupView],
        topology_version: int,
    ) -> bool:
        """Moves connections of members to the data centres that use them.

        Only where members have connections by organisation: others can be used by any
        statement, so that few suffice. Returns whether the topology must be refreshed.
        """
        if deployment is None or not deployment.organisations:
            return False
        if self._shares.is_changing:
            if self._leases.waiting_for(now, topology_version):
                return False
            self._shares.confirmed()
            return True
        limits = {
            member.member: deployment.groups[view.group].max_connections
            - RESERVED_CONNECTIONS
            for view in views
            if view.shared and view.group in deployment.groups
            for member in view.members
        }
        return self._shares.divide(now, limits, self._zone_proxies.zones)

    def record_sharing(self, shared: bool) -> None:
        """Commits whether connections are shared, so that the next leader knows."""
        known = self._leases.predecessor_leases_expired(boottime())
        in_progress = self._recording is not None and not self._recording.done()
        if known and shared != self._control.records.sharing and not in_progress:
            command: dict[str, object] = {"type": "sharing.set", "sharing": shared}
            self._recording = self._control.spawn(
                self._commit(command), "record-sharing"
            )
