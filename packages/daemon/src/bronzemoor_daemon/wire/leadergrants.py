"""Builds grants and announcements and sends them to proxies, at the control leader."""

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from msgspec import Struct

from bronzemoor_core.messages import PositionSample, ProxyGrant, QuotaGrant
from bronzemoor_core.wire.documentdeltas import DocumentEncoder
from bronzemoor_core.wire.loadexchange import LoadExchange
from bronzemoor_core.wire.zoneproxies import ZoneProxies
from bronzemoor_daemon.wire.clock import boottime

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon
    from bronzemoor_daemon.wire.leader import Leader

# Changes are not announced to proxies whose last report is older.
PROXY_TIMEOUT_SECONDS = 5.0
# Minimum time between announcements of deployments and connection shares, since each
# announcement goes to every proxy.
ANNOUNCE_INTERVAL_SECONDS = 0.2
# Older position samples cannot prove the freshness of any read.
SAMPLE_MAX_AGE_SECONDS = 5.0


class KnownVersions(Struct, frozen=True):
    """Versions that a proxy has, according to its last report."""

    deployment: int = 0
    topology: int = 0
    # Version of the list of its zone's proxies.
    proxies: int = 0
    accepts_deltas: bool = False


class LeaderGrants:
    """Sends each proxy what is newer than the versions that it reported last."""

    __slots__ = (
        "_announce_timer",
        "_announced_at",
        "_control",
        "_document",
        "_grant_count",
        "_last_report_at",
        "_leader",
        "_loads",
        "_peer",
        "_zone_proxies",
        "reported_versions",
    )

    def __init__(
        self,
        leader: "Leader",
        control: "ControlDaemon",
        peer: str,
        zone_proxies: ZoneProxies,
        loads: LoadExchange,
    ) -> None:
        self._leader = leader
        self._control = control
        self._peer = peer
        self._zone_proxies = zone_proxies
        self._loads = loads
        self._document = DocumentEncoder()
        self._last_report_at: dict[str, float] = {}
        self._grant_count = 0
        self._announced_at = float("-inf")
        self._announce_timer: asyncio.TimerHandle | None = None
        self.reported_versions: dict[str, KnownVersions] = {}

    def set_document(self, version: int, document: str) -> None:
        """Sets the document of the deployment as proxies get it."""
        self._document.set_document(version, document)

    def on_report(self, now: float, proxy: str, known: KnownVersions) -> None:
        """Records the versions that the proxy has; later ones are announced to it."""
        self._last_report_at[proxy] = now
        self.reported_versions[proxy] = known

    def schedule_announcement(self) -> None:
        """Schedules one announcement for deployments that follow each other closely."""
        if self._announce_timer is None:
            delay = self._announced_at + ANNOUNCE_INTERVAL_SECONDS - boottime()
            loop = asyncio.get_running_loop()
            self._announce_timer = loop.call_later(
                max(0.0, delay), self.send_announcement
            )

    def send_announcement(self) -> None:
        """Sends every proxy that still reports what is newer than it has."""
        if self._announce_timer is not None:
            self._announce_timer.cancel()
            self._announce_timer = None
        if self._leader.is_closed:
            return
        now = self._announced_at = boottime()
        for proxy, reported_at in list(self._last_report_at.items()):
            if now - reported_at < PROXY_TIMEOUT_SECONDS:
                self.send_grant(proxy, 0, 0.0, self.reported_versions[proxy])
            else:
                del self._last_report_at[proxy], self.reported_versions[proxy]
                self._zone_proxies.remove(proxy)

    def send_grant(
        self,
        proxy: str,
        sequence: int,
        lease: float,
        known: KnownVersions,
        with_samples: bool = False,
        quotas: Sequence[QuotaGrant] = (),
    ) -> None:
        """Sends what is newer than ``known``; an announcement without news is left out.

        An announcement has sequence 0.
        """
        leader = self._leader
        version = leader.deployment.version if leader.deployment else 0
        now = boottime()
        proxies: list[str] = []
        proxies_version = known.proxies
        if leader.has_shared_connections:
            owners = self._zone_proxies.owners(now, self._zone_proxies.zone(proxy))
            if owners.version != known.proxies:
                proxies, proxies_version = owners.proxies, owners.version
        newest = KnownVersions(
            version, leader.topology_version, proxies_version, known.accepts_deltas
        )
        if not sequence and newest == known:
            return
        document, base = b"", 0
        if known.deployment < version:
            document, base = self._document.encode(
                known.deployment, known.accepts_deltas
            )
        self._grant_count += 1
        leader.samples.granted(now, proxy, self._grant_count)
        self._control.links.send(
            proxy,
            ProxyGrant(
                sequence,
                self._peer,
                int(lease * 1_000),
                version,
                document,
                leader.topology_version,
                leader.views if known.topology < leader.topology_version else [],
                self._control.controls,
                self._newest_samples(now) if with_samples else [],
                self._grant_count,
                proxies,
                proxies_version,
                self._other_loads(now, proxy) if sequence else [],
                list(quotas),
                base,
            ),
        )

    def _other_loads(self, now: float, proxy: str) -> list[int]:
        """Returns the loads that other zones than the proxy's have on members."""
        leader = self._leader
        if not leader.has_shared_connections:
            return []
        sizes = {view.group: len(view.members) for view in leader.views}
        zone = self._zone_proxies.zone(proxy)
        return self._loads.others(now, zone, leader.topology_version, sizes)

    def _newest_samples(self, now: float) -> list[PositionSample]:
        samples = []
        for group in self._leader.groups:
            newest = self._leader.samples.newest(now, group)
            if newest is not None and newest[0] < SAMPLE_MAX_AGE_SECONDS:
                age, position = newest
                age_ms = int(age * 1_000) + 1
                samples.append(
                    PositionSample(group, position.term, position.offset, age_ms)
                )
        return samples
