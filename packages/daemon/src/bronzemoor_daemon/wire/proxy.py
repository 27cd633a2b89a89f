"""The proxy, which routes client statements to database groups."""

import asyncio
from collections.abc import Callable, Collection, Coroutine
from typing import Any, cast

from bronzemoor_core.messages import (
    ProxyGrant,
    ProxyReport,
    RelayAnswer,
    RelayClose,
    RelayOpen,
    RelayStatement,
    RelayStatus,
)
from bronzemoor_core.wire.clientbudget import derive_limits
from bronzemoor_core.wire.deployment import Deployment
from bronzemoor_core.wire.leadersearch import LeaderSearch
from bronzemoor_core.wire.leases import HeldLease
from bronzemoor_core.wire.removedgroups import RemovedGroups
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.wire.clientguard import ClientGuard
from bronzemoor_daemon.wire.clientsession import ClientSession
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.execution import Attempt
from bronzemoor_daemon.wire.grants import DeploymentDecoder, GrantApplier
from bronzemoor_daemon.wire.groups import Group
from bronzemoor_daemon.wire.idlesessions import close_idle_sessions
from bronzemoor_daemon.wire.links import Link, Links
from bronzemoor_daemon.wire.memberloads import MemberLoads
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import DocumentReader, StatementCodec
from bronzemoor_daemon.wire.quotagate import make_quota_gate
from bronzemoor_daemon.wire.relays import RelayClient
from bronzemoor_daemon.wire.relayserver import RelayServer
from bronzemoor_daemon.wire.settings import WireSettings
from bronzemoor_daemon.wire.statementlog import StatementLog
from bronzemoor_daemon.wire.tasks import Tasks

REPORT_INTERVAL_SECONDS = 0.5
# Interval at which idle member connections are closed.
TRIM_INTERVAL_SECONDS = 0.1
# Minimum interval between the extra reports sent while attempts fail.
URGENT_REPORT_INTERVAL_SECONDS = 0.1
# A proxy without a lease for this long closes its idle sessions. Shorter outages end
# before the clients could reconnect elsewhere.
LEASE_LOSS_GRACE_SECONDS = 1.5
# Only sessions idle for longer than this are closed then. A session that has just been
# opened or answered is likely to have a statement on its way, which would be lost.
MIN_IDLE_BEFORE_CLOSE_SECONDS = 0.5
# Number of latest reports whose answers can still renew the lease.
MAX_OUTSTANDING_REPORTS = 32
# Stages of a stop, as fractions of the grace period: close idle sessions, roll back
# open transactions, exit.
CLOSE_IDLE_FRACTION = 0.40
ROLL_BACK_FRACTION = 0.60
EXIT_FRACTION = 0.85
LISTEN_BACKLOG = 512


class Proxy:
    """Serves client sessions under the control leader's topology and deployment."""

    def __init__(
        self,
        settings: WireSettings,
        codec: StatementCodec,
        read_document: DocumentReader,
        report: Callable[..., None],
        metrics: WireMetrics,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._groups: dict[str, Group] = {}
        self._removed_groups = RemovedGroups()
        self._lease = HeldLease()
        self._had_lease = False
        # Time of the last change of lease validity, initially of the start.
        self._without_lease_since = boottime()
        self._search = LeaderSearch(list(settings.seeds))
        # Differs from that of an earlier process at the same address; never 0.
        self._incarnation = 1 + int(boottime() * 1_000)
        self._sequence = 0
        self._report_times: dict[int, float] = {}
        # Number and arrival time of the leader's last grant.
        self._grant_number, self._granted_at = 0, float("-inf")
        self._topology_version = 0
        self._reported_at = float("-inf")
        self._server: asyncio.Server | None = None
        self._tasks = Tasks(report)
        self.codec = codec
        self.report = report
        self.deployment: Deployment | None = None
        self._decoder = DeploymentDecoder(read_document, report)
        limits = derive_limits(settings.memory_limit, settings.max_descriptors)
        self.guard = ClientGuard(limits, report, metrics)
        self.sessions = cast(Collection[ClientSession], self.guard.sessions)
        self.stopping = False
        # Whether idle sessions are closed because the proxy is stopping.
        self.closing = False
        self.deployment_received = asyncio.Event()
        self.quotas = make_quota_gate(
            settings.quota, self._send_quota_report, report, metrics
        )
        self.links = Links(
            settings.peer,
            self.on_message,
            report,
            metrics.sent_bytes,
            self._link_lost,
        )
        self._relays = RelayClient(settings.peer, codec, self.links)
        self._relay_server = RelayServer(
            codec, self.links, self._find_pool, self._is_current_primary, report
        )
        self._proxies_version = 0
        self._loads = MemberLoads(report, metrics)
        self._grants = GrantApplier(
            self._groups, self._lease, self._loads, self.quotas, self._send_quota_report
        )
        # Sessions and transactions record their results at the proxy.
        self._statement_log = log = StatementLog(self, self._lease, metrics)
        self.record_refusal = log.record_refusal
        self.record_ended_transaction = log.record_ended_transaction
        self.record_refused_begin = log.record_refused_begin
        self.record_answer = log.record_answer
        self.record_refused_key = log.record_refused_key

    # --- life cycle

    async def start(self) -> None:
        """Starts listening and looking for the leader; may raise ``OSError``."""
        await self.links.start()
        host, port = split_address(self._settings.listen_clients)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientSession(self),
            host,
            port,
            backlog=min(LISTEN_BACKLOG, self.guard.backlog),
        )
        self._tasks.repeat(self._report_loop, "report")
        self._tasks.repeat(self._trim_loop, "trim")

    async def stop(self) -> None:
        """Drains sessions and transactions in stages within the grace period."""
        self.stopping = True
        grace, started = self._settings.stop_grace, boottime()
        self._send_report()
        while True:
            await asyncio.sleep(0.05)
            elapsed = (boottime() - started) / grace
            if elapsed >= CLOSE_IDLE_FRACTION:
                self.closing = True
                for session in [s for s in self.sessions if s.is_idle]:
                    session.close()
            if elapsed >= ROLL_BACK_FRACTION:
                for session in [s for s in self.sessions if s.in_transaction]:
                    session.end_transaction()
            in_use = self.sessions or self._relay_server.in_use
            if elapsed >= EXIT_FRACTION or (
                elapsed >= CLOSE_IDLE_FRACTION and not in_use
            ):
                break
        self.report("info", "proxy_stopped", sessions=len(self.sessions))
        self.links.close()

    @property
    def is_ready(self) -> bool:
        """Returns whether the proxy can accept new client connections."""
        return (
            not self.stopping
            and self.deployment is not None
            and bool(self._groups)
            and self._lease.valid(boottime())
        )

    @property
    def has_lease(self) -> bool:
        return self._lease.valid(boottime())

    @property
    def deployment_version(self) -> int:
        """Returns the version of the deployment in force, 0 without one."""
        return self.deployment.version if self.deployment else 0

    @property
    def topology_version(self) -> int:
        """Returns the version of the topology in force, 0 without one."""
        return self._topology_version

    def add_controls(self, seeds: tuple[str, ...]) -> None:
        """Adds control daemons to contact when the leader is unreachable."""
        self._search.add_controls(seeds)

    def group(self, name: str) -> Group:
        """Returns the group, created without members if it is not known yet."""
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = Group(
                name,
                self.codec,
                self._settings.name,
                self._settings.zone,
                self._lease,
                self.report,
                self._relays,
                self._metrics,
            )
            group.by_organisation = self._has_organisations
            group.acknowledged = self._removed_groups.take(name)
        return group

    @property
    def _has_organisations(self) -> bool:
        return self.deployment is not None and bool(self.deployment.organisations)

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> None:
        self._tasks.start(coroutine, name)

    # --- statement results

    def record_failed_attempt(self, attempt: Attempt, member: str, reason: str) -> None:
        """Logs a failed attempt and reports to the leader without delay."""
        self._statement_log.record_failed_attempt(attempt, member, reason)
        if boottime() - self._reported_at >= URGENT_REPORT_INTERVAL_SECONDS:
            self._send_report()

    # --- control group

    async def _trim_loop(self) -> None:
        while True:
            await asyncio.sleep(TRIM_INTERVAL_SECONDS)
            now = boottime()
            for group in self._groups.values():
                group.trim(now)
            self._loads.update(now, self._groups)
            self._relay_server.trim(now)
            self.guard.sweep()

    async def _report_loop(self) -> None:
        while True:
            self._send_report()
            self._metrics.sessions.value = len(self.sessions)
            now = boottime()
            self._track_lease(now)
            if (
                not self._had_lease
                and now - self._without_lease_since > LEASE_LOSS_GRACE_SECONDS
            ):
                close_idle_sessions(
                    self.sessions, MIN_IDLE_BEFORE_CLOSE_SECONDS, self.report
                )
            known = self._search.is_answering(boottime())
            await asyncio.sleep(
                REPORT_INTERVAL_SECONDS if known else REPORT_INTERVAL_SECONDS / 2
            )

    def _track_lease(self, now: float) -> None:
        """Logs when the lease is lost or regained."""
        valid = self._lease.valid(now)
        if valid != self._had_lease:
            self._had_lease = valid
            self._without_lease_since = now
            event = "lease_gained" if valid else "lease_lost"
            level = "info" if valid else "warning"
            self.report(level, event, leader=self._search.leader)

    def _send_report(self) -> None:
        now = boottime()
        self._reported_at = now
        if lost := self._search.lose_silent_leader(now):
            self.report("warning", "leader_silent", leader=lost)
        if target := self._search.next_target():
            self._send_report_to(target, now)

    def _send_quota_report(self) -> None:
        """Asks a known leader for tokens, without other observations."""
        now = boottime()
        if self._search.leader and self._search.is_answering(now):
            self._send_report_to(self._search.leader, now, quotas_only=True)

    def _send_report_to(
        self, target: str, now: float, quotas_only: bool = False
    ) -> None:
        self._sequence += 1
        self._report_times[self._sequence] = now
        self._report_times.pop(self._sequence - MAX_OUTSTANDING_REPORTS, None)
        self.links.send(
            target,
            ProxyReport(
                self._incarnation,
                self._sequence,
                self.deployment_version,
                self._topology_version,
                self.stopping,
                []
                if quotas_only
                else [
                    g.build_report(now, self._granted_at) for g in self._groups.values()
                ],
                self._grant_number,
                self._settings.zone,
                self._proxies_version,
                self.quotas.build_report(now, self._sequence),
                accepts_deltas=self._decoder.accepts_deltas,
                checks_keys=True,
            ),
        )

    def on_message(self, sender: str, message: Any) -> None:
        """Handles a message from a control daemon or another proxy."""
        link = self.links.current
        assert link is not None
        match message:
            case ProxyGrant():
                self._on_grant(sender, message)
            case RelayOpen():
                self._relay_server.on_open(link, message)
            case RelayStatement():
                self._relay_server.on_statement(link, message)
            case RelayClose():
                self._relay_server.on_close(link, message)
            case RelayStatus():
                self._relays.on_status(sender, message)
            case RelayAnswer():
                self._relays.on_answer(message)

    def _link_lost(self, peer: str, link: Link | None) -> None:
        if link is not None:
            self._relay_server.link_lost(link)
        if link is None or link.is_dialed:
            self._relays.link_lost(peer)

    def _find_pool(self, group: str, member: str) -> MemberPool | None:
        known = self._groups.get(group)
        return known.pools.get(member) if known is not None else None

    def _is_current_primary(self, now: float, pool: MemberPool, term: int) -> bool:
        return self.group(pool.group).is_current_primary(now, pool.member, term)

    def _on_grant(self, sender: str, message: ProxyGrant) -> None:
        """Handles a grant or an announcement of the control leader."""
        now = boottime()
        self._search.set_controls(message.controls)
        if message.leader != sender:
            if self._search.name_leader(now, message.leader):
                self._reported_at = now
                self._send_report_to(message.leader, now)
            return
        if message.topology_version < self._topology_version:
            # The sender was replaced as leader and has not learned of it yet.
            return
        if self._search.record_answer(now, sender):
            self.report("info", "leader_found", leader=sender)
        self._apply_deployment(message)
        if message.proxies:
            self._relays.set_proxies(message.proxies)
            self._proxies_version = message.proxies_version
        is_newer = message.topology_version > self._topology_version
        # An announcement that was meant for the process before this one leaves out the
        # groups that only that process had.
        changed = is_newer and (
            bool(message.groups) or message.sequence in self._report_times
        )
        if changed:
            self._topology_version = message.topology_version
            names = {view.group for view in message.groups}
            for name in set(self._groups) - names:
                group = self._groups.pop(name)
                group.close()
                self._removed_groups.add(name, group.acknowledged)
            for view in message.groups:
                self.group(view.group).apply_topology(view)
            self._loads.set_topology(message.groups)
        self._grant_number, self._granted_at = message.number, now
        sent_at = self._report_times.pop(message.sequence, None)
        if sent_at is not None:
            self._grants.apply(now, sent_at, message, self._topology_version)
        if changed and message.sequence == 0:
            # Confirms the announced topology before the next regular report.
            self._send_report()

    def _apply_deployment(self, message: ProxyGrant) -> None:
        deployment = self._decoder.decode(message, self.deployment)
        if deployment is None:
            return
        self.deployment = deployment
        for group in self._groups.values():
            group.by_organisation = self._has_organisations
        self.quotas.set_deployment(deployment)
        self.deployment_received.set()
        self.report(
            "info",
            "deployment_in_force",
            version=deployment.version,
            routes=len(deployment.routes),
        )
