"""The control leader: topology, leases, joins and a supervisor for each group."""

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from msgspec import Struct
from msgspec.structs import replace

from bronzemoor_core.exceptions import BronzemoorError
from bronzemoor_core.messages import (
    GroupView,
    MemberView,
    PositionSample,
    ProxyGrant,
    ProxyReport,
    QuotaGrant,
)
from bronzemoor_core.positions import Position
from bronzemoor_core.wire.authority import order_deadline
from bronzemoor_core.wire.deployment import Deployment
from bronzemoor_core.wire.documentdeltas import DocumentEncoder
from bronzemoor_core.wire.freshness import SampleExchange
from bronzemoor_core.wire.leases import LeaseTable
from bronzemoor_core.wire.loadexchange import LoadExchange
from bronzemoor_core.wire.quotasettings import TERM_SHIFT_BITS
from bronzemoor_core.wire.records import (
    LeaderRecord,
    MemberRecord,
    is_usable,
    unpack_document,
)
from bronzemoor_core.wire.reportorder import ReportAge, ReportOrder
from bronzemoor_core.wire.succession import Evidence
from bronzemoor_core.wire.zoneproxies import ZoneProxies
from bronzemoor_core.wire.zoneshares import ZoneShares, decode_uses
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.leaderquotas import LeaderQuotas
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import (
    DocumentReader,
    PromotionExecutor,
    StatementCodec,
)
from bronzemoor_daemon.wire.settings import WireSettings
from bronzemoor_daemon.wire.supervisor import Supervisor

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.control import ControlDaemon

# Connections to each member that are reserved for the control leader's orders.
RESERVED_CONNECTIONS = 1
# Minimum time between membership changes of the control group.
GROUP_CHANGE_INTERVAL_SECONDS = 1.0
# Changes are not announced to proxies whose last report is older.
PROXY_TIMEOUT_SECONDS = 5.0
DEFAULT_CONNECTIONS = 8
# If each proxy would get fewer connections to a member, the proxies of a zone share.
MIN_PROXY_SHARE = 3
# More connections from a zone to a member only add statements that wait at the member.
MAX_ZONE_SHARE = 12
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


class Leader:
    """Exists from the first committed entry of a term until leadership is lost."""

    def __init__(
        self,
        control: "ControlDaemon",
        settings: WireSettings,
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
        self._last_report_at: dict[str, float] = {}
        self._reported_versions: dict[str, KnownVersions] = {}
        # The term is above this bit and a counter below.
        self._topology_version = control.log.term << TERM_SHIFT_BITS
        self._views: list[GroupView] = []
        self._document = DocumentEncoder()
        self._group_changed_at = float("-inf")
        self._grant_count = 0
        self._announced_at = float("-inf")
        self._announce_timer: asyncio.TimerHandle | None = None
        self._refresh_scheduled = False
        self._sharing_task: asyncio.Task[Any] | None = None
        self._closed = False
        self.codec = codec
        self.execute_promotion = execute_promotion
        self.report = report
        self.metrics = metrics
        self.deployment: Deployment | None = None
        self.leases = LeaseTable(boottime())
        self._report_order = ReportOrder()
        self._zone_proxies = ZoneProxies(self.leases)
        self.samples = SampleExchange()
        self._loads = LoadExchange()
        self._shares = ZoneShares()
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

    def close(self) -> None:
        """Stops all supervisors; a new leader resumes promotions in progress."""
        self._closed = True
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
            self._document.set_document(
                self.deployment.version, self.deployment.redacted or document
            )
        groups = self.deployment.groups if self.deployment else {}
        for name in groups:
            if name not in self._supervisors:
                self._supervisors[name] = Supervisor(self, name)
        for name in set(self._supervisors) - set(groups):
            self._supervisors.pop(name).close()
        changed = self.refresh_topology()
        if newer and not changed:
            self._schedule_announcement()
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
        self._send_announcement()
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
            and self._has_shared_connections
        ):
            # The topology is the same, but the list of a zone's proxies changed.
            self._send_announcement()

    @property
    def _has_organisations(self) -> bool:
        return self.deployment is not None and bool(self.deployment.organisations)

    @property
    def _has_shared_connections(self) -> bool:
        return any(view.shared for view in self._views)

    def _record_sharing(self) -> None:
        """Commits whether connections are shared, so that the next leader knows."""
        known, shares = (
            self.leases.predecessor_leases_expired(boottime()),
            self._has_shared_connections,
        )
        in_progress = self._sharing_task is not None and not self._sharing_task.done()
        if known and shares != self._control.records.sharing and not in_progress:
            command: dict[str, object] = {"type": "sharing.set", "sharing": shares}
            self._sharing_task = self._control.spawn(
                self.commit(command), "record-sharing"
            )

    def _group_view(self, group: str) -> GroupView:
        connections, shared = self._connection_share(group)
        by_demand = shared and self._has_organisations
        record = self.leader_record(group)
        usable = not record.candidate and not self._supervisors[group].revoked
        members = [
            MemberView(
                item.member,
                item.address,
                item.zone,
                item.leaving,
                item.primary,
                self._shares.shares(item.member) if by_demand else {},
            )
            for item in self.members(group)
        ]
        for view in members:
            view.primary = view.member == record.primary
        members.sort(key=lambda item: item.member)
        return GroupView(
            group,
            record.term,
            record.primary if usable else "",
            members,
            connections,
            shared,
        )

    def _connection_share(self, group: str) -> tuple[int, bool]:
        """Connections to each member for a proxy, or for a zone if they are shared."""
        spec = self.deployment.groups.get(group) if self.deployment else None
        limit = spec.max_connections if spec else 0
        if not limit:
            return DEFAULT_CONNECTIONS, False
        now = boottime()
        share = (limit - RESERVED_CONNECTIONS) // max(1, self.leases.active(now))
        # A new leader has not had a report from every proxy yet.
        sharing = (
            self._control.records.sharing
            and not self.leases.predecessor_leases_expired(now)
        )
        if share >= MIN_PROXY_SHARE and not sharing:
            return share, False
        zones = max(1, self._zone_proxies.zone_count)
        share = (limit - RESERVED_CONNECTIONS) // zones
        return max(1, min(share, MAX_ZONE_SHARE)), True

    def _record_uses(self, now: float, report: ProxyReport) -> None:
        """Records which members' connections the proxy's data centre uses."""
        if report.topology_version != self._topology_version:
            return
        members = {view.group: view.members for view in self._views}
        for item in report.groups:
            known = members.get(item.group, [])
            for index, uses in decode_uses(item.uses, len(known)).items():
                self._shares.record_use(now, known[index].member, report.zone, uses)

    def _divide_connections(self, now: float) -> None:
        """Moves connections of members to the data centres that use them.

        Only where members have connections by organisation: others can be used by any
        statement, so that few suffice.
        """
        if self.deployment is None or not self._has_organisations:
            return
        if self._shares.is_changing:
            if self.leases.waiting_for(now, self._topology_version):
                return
            self._shares.confirmed()
            self.refresh_topology()
            return
        limits = {
            member.member: self.deployment.groups[view.group].max_connections
            - RESERVED_CONNECTIONS
            for view in self._views
            if view.shared and view.group in self.deployment.groups
            for member in view.members
        }
        if self._shares.divide(now, limits, self._zone_proxies.zones):
            self.refresh_topology()

    def _schedule_announcement(self) -> None:
        """Schedules one announcement for deployments that follow each other closely."""
        if self._announce_timer is None:
            delay = self._announced_at + ANNOUNCE_INTERVAL_SECONDS - boottime()
            loop = asyncio.get_running_loop()
            self._announce_timer = loop.call_later(
                max(0.0, delay), self._send_announcement
            )

    def _send_announcement(self) -> None:
        if self._announce_timer is not None:
            self._announce_timer.cancel()
            self._announce_timer = None
        if self._closed:
            return
        now = self._announced_at = boottime()
        for proxy, reported_at in list(self._last_report_at.items()):
            if now - reported_at < PROXY_TIMEOUT_SECONDS:
                self._send_grant(proxy, 0, 0.0, self._reported_versions[proxy])
            else:
                del self._last_report_at[proxy], self._reported_versions[proxy]
                self._zone_proxies.remove(proxy)

    def _send_grant(
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
        version = self.deployment.version if self.deployment else 0
        now = boottime()
        proxies: list[str] = []
        proxies_version = known.proxies
        if self._has_shared_connections:
            owners = self._zone_proxies.owners(now, self._zone_proxies.zone(proxy))
            if owners.version != known.proxies:
                proxies, proxies_version = owners.proxies, owners.version
        newest = KnownVersions(
            version, self._topology_version, proxies_version, known.accepts_deltas
        )
        if not sequence and newest == known:
            return
        document, base = b"", 0
        if known.deployment < version:
            document, base = self._document.encode(
                known.deployment, known.accepts_deltas
            )
        self._grant_count += 1
        self.samples.granted(now, proxy, self._grant_count)
        self._control.links.send(
            proxy,
            ProxyGrant(
                sequence,
                self._settings.peer,
                int(lease * 1_000),
                version,
                document,
                self._topology_version,
                self._views if known.topology < self._topology_version else [],
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
        if not self._has_shared_connections:
            return []
        sizes = {view.group: len(view.members) for view in self._views}
        zone = self._zone_proxies.zone(proxy)
        return self._loads.others(now, zone, self._topology_version, sizes)

    def _newest_samples(self, now: float) -> list[PositionSample]:
        samples = []
        for group in self._supervisors:
            newest = self.samples.newest(now, group)
            if newest is not None and newest[0] < SAMPLE_MAX_AGE_SECONDS:
                age, position = newest
                age_ms = int(age * 1_000) + 1
                samples.append(
                    PositionSample(group, position.term, position.offset, age_ms)
                )
        return samples

    # --- proxies

    def on_report(self, now: float, proxy: str, report: ProxyReport) -> None:
        """Processes a proxy's report and replies with a lease."""
        age = self._report_order.classify(proxy, report.incarnation, report.sequence)
        if age is ReportAge.LATE:
            return
        if age is ReportAge.NEW_PROCESS:
            self.leases.process_ended(now, proxy)
            self._quotas.process_ended(proxy)
            self.report("info", "proxy_restarted", peer=proxy)
        if not report.checks_keys and self._has_organisations:
            # Its lease ends, and without leases and samples it serves nobody.
            self.report("warning", "proxy_refused", peer=proxy, reason="checks no keys")
            return
        self._last_report_at[proxy] = now
        known = KnownVersions(
            report.deployment_version,
            report.topology_version,
            report.proxies_version,
            report.accepts_deltas,
        )
        # A proxy of an earlier build applies an announcement without groups.
        self._reported_versions[proxy] = (
            known if report.incarnation else replace(known, topology=0)
        )
        if not report.draining:
            self._zone_proxies.add(proxy, report.zone)
        elif self._zone_proxies.remove(proxy):
            self._schedule_refresh()
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
        self._record_uses(now, report)
        self._divide_connections(now)
        self._record_sharing()
        held = self.leases.holds(now, proxy)
        lease = self.leases.grant(now, proxy, self._control.log.confirmed_at)
        if self.leases.holds(now, proxy) != held:
            self.report("info", "proxies_changed", proxies=self.leases.active(now))
            self._schedule_refresh()
        sent_after = self.samples.granted_at(proxy, report.last_grant)
        quotas = self._quotas.on_report(now, proxy, sent_after, report, lease > 0)
        # Reports that only ask for tokens have no groups and need no samples.
        with_samples = bool(report.groups) or not report.quotas
        self._send_grant(proxy, report.sequence, lease, known, with_samples, quotas)

    # --- control group

    def on_join(self, now: float, sender: str) -> None:
        """Adds a daemon to the control group, or replaces an unreachable one by it."""
        log = self._control.log
        if now - self._group_changed_at < GROUP_CHANGE_INTERVAL_SECONDS or sender in (
            *log.voters,
            *log.learners,
        ):
            return
        self._group_changed_at = now
        self._control.spawn(self._join(sender), "add-voter")

    async def _join(self, sender: str) -> None:
        described = await self._control.describe_control_group()
        members = described.body.get("members", [])
        unreachable = [
            item["name"]
            for item in members
            if not item["reachable"] and item["name"] != sender
        ]
        voters = [item for item in members if item["role"] != "learner"]
        wanted = 2 * self._settings.tolerated_losses + 1
        if unreachable:
            change = {"type": "control.replace", "name": unreachable[0]}
            change["replacement"] = sender
        elif len(voters) < wanted:
            change = {"type": "control.add", "name": sender}
        else:
            return
        outcome = await self._control.propose(change, leader_only=True)
        self.report(
            "info",
            "join",
            peer=sender,
            change=change["type"],
            outcome=outcome.code,
            message=outcome.body.get("message", ""),
        )
