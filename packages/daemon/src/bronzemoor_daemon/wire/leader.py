"""The control leader: topology, leases, joins and a supervisor for each group."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from msgspec.structs import replace

from bronzemoor_core.exceptions import BronzemoorError
from bronzemoor_core.messages import GroupView, ProxyReport
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.acknowledgements import Evidence
from bronzemoor_core.wire.authority import order_deadline
from bronzemoor_core.wire.deployment import Deployment
from bronzemoor_core.wire.freshness import SampleExchange
from bronzemoor_core.wire.leases import UNKNOWN_PROCESS, LeaseTable, process_name
from bronzemoor_core.wire.loadexchange import LoadExchange
from bronzemoor_core.wire.quotasettings import TERM_SHIFT_BITS
from bronzemoor_core.wire.records import (
    LeaderRecord,
    MemberRecord,
    is_usable,
    unpack_document,
)
from bronzemoor_core.wire.reportorder import ReportAge, ReportOrder
from bronzemoor_core.wire.zoneproxies import ZoneProxies
from bronzemoor_core.wire.zoneshares import ZoneShares
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.connectiondivision import ConnectionDivision
from bronzemoor_daemon.wire.controlmembers import ControlMembers
from bronzemoor_daemon.wire.groupviews import make_group_view, no_shares
from bronzemoor_daemon.wire.leadergrants import (
    ANNOUNCE_INTERVAL_SECONDS,
    KnownVersions,
    LeaderGrants,
)
from bronzemoor_daemon.wire.leaderquotas import LeaderQuotas
from bronzemoor_daemon.wire.leaseholders import LeaseHolders
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import (
    DocumentReader,
    PromotionExecutor,
    StatementCodec,
)
from bronzemoor_daemon.wire.settings import WireSettings
from bronzemoor_daemon.wire.straymembers import StrayMembers
from bronzemoor_daemon.wire.supervisor import Supervisor

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon


class Leader:
    """Exists from the first committed entry of a term until leadership is lost.

    Members of the control group are lost after ``silent_after`` seconds of silence.
    """

    def __init__(
        self,
        control: "ControlDaemon",
        settings: WireSettings,
        silent_after: float,
        codec: StatementCodec,
        read_document: DocumentReader,
        execute_promotion: PromotionExecutor,
        report: Callable[..., None],
        metrics: WireMetrics,
    ) -> None:
        self._control = control
        self._settings = settings
        self._read_document = read_document
        self._supervisors: dict[str, Supervisor] = {}
        # The term is above this bit and a counter below.
        self._topology_version = control.log.term << TERM_SHIFT_BITS
        self._views: list[GroupView] = []
        self._refresh_scheduled = False
        self._closed = False
        self._strays = StrayMembers(control, self._spawn_commit, report)
        self.codec = codec
        self.execute_promotion = execute_promotion
        self.report = report
        self.metrics = metrics
        self.control_members = ControlMembers(
            control, settings, silent_after, report, metrics
        )
        self.deployment: Deployment | None = None
        recorded = control.records.lease_holders or [UNKNOWN_PROCESS]
        self.leases = LeaseTable(boottime(), recorded)
        self._holders = LeaseHolders(self.leases, recorded, self._spawn_commit)
        self._report_order = ReportOrder()
        self._zone_proxies = ZoneProxies(self.leases)
        self.samples = SampleExchange()
        self._loads = LoadExchange()
        self._shares = ZoneShares()
        self._division = ConnectionDivision(
            control, self.leases, self._zone_proxies, self._shares, self.commit
        )
        self._grants = LeaderGrants(
            self, control, settings.peer, self._zone_proxies, self._loads
        )
        self.evidence: dict[str, dict[str, Evidence]] = {}
        self._quotas = LeaderQuotas(
            settings.quota,
            control.log.term,
            control.records.quota_holders,
            control.records.quota_marks,
            self._spawn_commit,
            report,
        )
        self.records_changed()

    @property
    def name(self) -> str:
        return self._settings.name

    @property
    def topology_version(self) -> int:
        """Version of the topology that is announced to proxies."""
        return self._topology_version

    @property
    def views(self) -> list[GroupView]:
        """The topology that is announced to proxies."""
        return self._views

    @property
    def groups(self) -> list[str]:
        """Names of the deployment's groups."""
        return list(self._supervisors)

    @property
    def has_shared_connections(self) -> bool:
        """Whether the proxies of a zone share the connections to any group."""
        return any(view.shared for view in self._views)

    @property
    def is_closed(self) -> bool:
        return self._closed

    def close(self) -> None:
        """Stops all supervisors; a new leader resumes promotions in progress."""
        self._closed = True
        self.control_members.close()
        for supervisor in self._supervisors.values():
            supervisor.close()

    @property
    def order_deadline(self) -> float:
        """When orders that are given now must have left; past once this has closed."""
        if self._closed:
            return float("-inf")
        return order_deadline(self._control.log.confirmed_at)

    def authority_fields(self, now: float) -> dict[str, object]:
        """Returns log fields that say under which leadership an order was given."""
        log = self._control.log
        return {
            "control_term": log.term,
            "confirmed_ms": logged_ms(max(0.0, now - log.confirmed_at)),
            "closed": self._closed,
        }

    # --- records

    def members(self, group: str) -> list[MemberRecord]:
        """Returns the usable records of a group's members."""
        records = self._control.records.members.values()
        return [r for r in records if r.group == group and is_usable(r)]

    def leader_record(self, group: str) -> LeaderRecord:
        """The committed record of the group's primary."""
        record = self._control.records.leaders.get(group)
        return record if record is not None else LeaderRecord(group)

    def needs_replicas(self, group: str) -> bool:
        """Whether a commit of the group is acknowledged once a replica has it."""
        spec = self.deployment.groups.get(group) if self.deployment else None
        return spec is not None and spec.acknowledging_replicas > 0

    def departure(self, group: str) -> int:
        """Number of the newest departure that the group's commits may depend on, or 0.

        Commits of a group without acknowledging replicas depend on its primary only.
        """
        if not self.needs_replicas(group):
            return 0
        return self._control.records.departures.get(group, 0)

    def lingering(self, group: str) -> int:
        """Number of the newest departure whose replica may still run, or 0."""
        if not self.needs_replicas(group):
            return 0
        return self._control.records.lingering.get(group, 0)

    async def commit(self, command: dict[str, object]) -> dict[str, object] | None:
        """Commits a command; None if the commit is not confirmed."""
        reply = await self._control.propose(command, leader_only=True)
        if reply.code != "ok":
            self.report(
                "warning", "command_failed", type=command["type"], outcome=reply.code
            )
            return None
        return reply.body

    def _spawn_commit(
        self, command: dict[str, object], done: Callable[[bool], None]
    ) -> None:
        """Commits a command in the background; ``done`` is told whether it is."""

        async def commit() -> None:
            done(await self.commit(command) is not None)

        self._control.spawn(commit(), "commit")

    def records_changed(self) -> None:
        """Applies changes of the replicated records and announces them to proxies."""
        records = self._control.records
        version = self.deployment.version if self.deployment else 0
        newer = records.version > version
        if newer:
            try:
                document = unpack_document(records.document)
                self.deployment = self._read_document(document)
            except (BronzemoorError, ValueError) as error:
                self.report("error", "deployment_unreadable", error=str(error))
                return
            self._quotas.set_organisations(self.deployment.organisations)
            # Proxies get digests in place of keys.
            self._grants.set_document(
                self.deployment.version, self.deployment.redacted or document
            )
        groups = self.deployment.groups if self.deployment else {}
        for name in groups:
            if name not in self._supervisors:
                self._supervisors[name] = Supervisor(self, name)
        for name in set(self._supervisors) - set(groups):
            self._supervisors.pop(name).close()
        if self.deployment is not None:
            self._strays.drop(groups)
        changed = self.refresh_topology()
        if newer and not changed:
            self._grants.schedule_announcement()
        for supervisor in self._supervisors.values():
            supervisor.wake()

    # --- topology

    def refresh_topology(self) -> bool:
        """Recomputes the topology; announces it under a new version if it changed."""
        views = [self._group_view(name) for name in self._supervisors]
        if views == self._views:
            return False
        self._views = views
        self._topology_version += 1
        self._grants.send_announcement()
        return True

    def _schedule_refresh(self) -> None:
        """Schedules one refresh of the shares for proxies that come or go together."""
        if not self._refresh_scheduled:
            self._refresh_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(ANNOUNCE_INTERVAL_SECONDS, self._run_scheduled_refresh)

    def _run_scheduled_refresh(self) -> None:
        self._refresh_scheduled = False
        if (
            not self._closed
            and not self.refresh_topology()
            and self.has_shared_connections
        ):
            # The topology is the same, but the list of a zone's proxies changed.
            self._grants.send_announcement()

    @property
    def _has_organisations(self) -> bool:
        return self.deployment is not None and bool(self.deployment.organisations)

    def _primary_samples(self) -> dict[str, tuple[float, Position]]:
        """Returns the newest sample of each group's primary, in its present term.

        A group without a usable primary counts as one that was never asked.
        """
        samples = {}
        for group in self._supervisors:
            record = self.leader_record(group)
            time, position = self.samples.newest_sample(group)
            if position.term != record.term or record.candidate:
                time, position = float("-inf"), ZERO
            if record.primary:
                samples[group] = time, position
        return samples

    def covered_position(self, group: str) -> Position:
        """The position that covers the commits of proxies that are not recorded."""
        return Position(*self._control.records.covered.get(group, (0, 0)))

    def _group_view(self, group: str) -> GroupView:
        spec = self.deployment.groups.get(group) if self.deployment else None
        connections, shared = self._division.equal_share(
            spec.max_connections if spec else 0
        )
        by_demand = shared and self._has_organisations
        record = self.leader_record(group)
        usable = not record.candidate and not self._supervisors[group].revoked
        shares = self._shares.shares if by_demand else no_shares
        return make_group_view(
            record, self.members(group), usable, connections, shared, shares
        )

    # --- proxies

    def on_report(self, now: float, proxy: str, report: ProxyReport) -> None:
        """Processes a proxy's report and replies with a lease.

        A process that is not recorded yet gets its reply once it is.
        """
        age = self._report_order.classify(proxy, report.incarnation, report.sequence)
        if age is ReportAge.LATE:
            return
        process = process_name(proxy, report.incarnation)
        self.leases.hear(now, proxy, process)
        if age is ReportAge.NEW_PROCESS:
            self._quotas.process_ended(proxy)
            self.report("info", "proxy_restarted", peer=proxy)
        if not report.checks_keys and self._has_organisations:
            # Its lease ends, and without leases and samples it serves nobody.
            self.report("warning", "proxy_refused", peer=proxy, reason="checks no keys")
            return
        if self._holders.has_recorded(process):
            self._take_report(now, proxy, report)
        else:
            self._holders.record(
                process, partial(self._take_recorded_report, proxy, report)
            )

    def _take_recorded_report(self, proxy: str, report: ProxyReport) -> None:
        if not self._closed:
            self._take_report(boottime(), proxy, report)

    def _take_report(self, now: float, proxy: str, report: ProxyReport) -> None:
        known = KnownVersions(
            report.deployment_version,
            report.topology_version,
            report.proxies_version,
            report.accepts_deltas,
        )
        # A proxy of an earlier build applies an announcement without groups.
        self._grants.on_report(
            now, proxy, known if report.incarnation else replace(known, topology=0)
        )
        if not report.draining:
            self._zone_proxies.add(proxy, report.zone)
        elif self._zone_proxies.remove(proxy):
            self._schedule_refresh()
        # A report that only asks for tokens says nothing of commits.
        tells_commits = bool(report.groups) or not report.topology_version
        if tells_commits:
            self.leases.confirm(proxy, report.topology_version)
        for item in report.groups:
            evidence = self.evidence.setdefault(item.group, {})
            evidence[proxy] = Evidence(now, item)
            self._loads.record(
                now, proxy, report.zone, item.group, report.topology_version, item.loads
            )
            self.samples.add_sample(
                proxy,
                report.last_grant,
                item.group,
                item.sample_after_ms / 1_000,
                Position(item.sample_term, item.sample_offset),
            )
            supervisor = self._supervisors.get(item.group)
            if supervisor is not None:
                supervisor.on_group_report(item)
        if report.topology_version == self._topology_version:
            self._division.record_uses(now, report, self._views)
        if self._division.divide(
            now, self.deployment, self._views, self._topology_version
        ):
            self.refresh_topology()
        self._division.record_sharing(self.has_shared_connections)
        if self._holders.is_removal_due(now):
            self._holders.remove_covered(now, self._primary_samples())
        held = self.leases.holds(now, proxy)
        lease = self.leases.grant(now, proxy, self._control.log.confirmed_at)
        if tells_commits:
            self.leases.tell(now, proxy)
        if self.leases.holds(now, proxy) != held:
            self.report("info", "proxies_changed", proxies=self.leases.active(now))
            self._schedule_refresh()
        sent_after = self.samples.granted_at(proxy, report.last_grant)
        quotas = self._quotas.on_report(now, proxy, sent_after, report, lease > 0)
        # Reports that only ask for tokens have no groups and need no samples.
        with_samples = bool(report.groups) or not report.quotas
        self._grants.send_grant(
            proxy, report.sequence, lease, known, with_samples, quotas
        )
