"""Runs the replicated log of a control daemon and the duties of its leader."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from itertools import count
from random import SystemRandom
from typing import Any

from msgspec.structs import asdict

from bronzemoor_core.actions import (
    AdminReply,
    EmitLog,
    PersistLog,
    PersistSnapshot,
    SendPeerMessage,
)
from bronzemoor_core.consensus import Consensus
from bronzemoor_core.controllers import Controller
from bronzemoor_core.events import (
    PeerMessageReceived,
    StorageFailed,
    Tick,
)
from bronzemoor_core.internal_events import CommandProposed
from bronzemoor_core.messages import (
    HeartbeatReply,
    JoinRequest,
    ProxyGrant,
    ProxyReport,
)
from bronzemoor_core.node import Node
from bronzemoor_core.settings import ControlSettings, NodeSettings
from bronzemoor_core.state import StateMachine
from bronzemoor_core.wire.records import (
    MemberRecord,
    WireRecords,
    pack_document,
    unpack_document,
)
from bronzemoor_daemon.datafolder import DataFolder, clear_folder
from bronzemoor_daemon.storagethread import StorageThread
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.groupnames import GroupNames
from bronzemoor_daemon.wire.joinrequests import JoinRequests
from bronzemoor_daemon.wire.leader import Leader
from bronzemoor_daemon.wire.links import Links
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import (
    DocumentReader,
    PromotionExecutor,
    StatementCodec,
)
from bronzemoor_daemon.wire.settings import WireSettings
from bronzemoor_daemon.wire.tasks import Tasks

TICK_INTERVAL_SECONDS = 0.025
# Election timeouts cover two syncs of a slow disk and round trips between regions.
CONTROL_TIMERS = ControlSettings(
    election_timeout_min=0.6,
    election_timeout_max=1.0,
    heartbeat_interval=0.12,
    snapshot_entries=200,
    stale_after=2.0,
)
# Proxies whose last report is older are not notified of a new leader.
PROXY_REQUEST_MAX_AGE_SECONDS = 3.0
# Operators and members get an answer within this time.
PROPOSAL_TIMEOUT_SECONDS = 2.5

CONTROLLERS: tuple[type[Controller], ...] = (Consensus, StateMachine)


class ControlDaemon:
    """Passes events of the loop to the log and runs a ``Leader`` while elected."""

    def __init__(
        self,
        settings: WireSettings,
        codec: StatementCodec,
        read_document: DocumentReader,
        execute_promotion: PromotionExecutor,
        report: Callable[..., None],
        metrics: WireMetrics,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._read_document = read_document
        self._execute_promotion = execute_promotion
        self._report = report
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._own_messages: deque[PeerMessageReceived] = deque()
        self._group_names = GroupNames(read_document)
        self._tickets = count(1)
        self._pending_replies: dict[int, asyncio.Future[AdminReply]] = {}
        self._leader: Leader | None = None
        self._tasks = Tasks(report)
        self._applied_index = -1
        self._known_leader = ""
        # Time of the last report of each proxy that is to be notified of a new leader.
        self._waiting_proxies: dict[str, float] = {}
        self._handling_own_messages = False
        self._storage = StorageThread(
            lambda: DataFolder(settings.data_folder),
            self._queue_storage_event,
            report,
            lambda: clear_folder(settings.data_folder),
        )
        self.seeds = list(settings.seeds)
        self.links = Links(settings.peer, self._on_message, report, metrics.sent_bytes)
        self._joins = JoinRequests(self, settings, CONTROL_TIMERS.stale_after, report)
        self._node = self._make_node()

    # --- life cycle

    async def start(self) -> None:
        """Opens the data folder and joins the control group; raises ``OSError``."""
        await self.links.start()
        await asyncio.to_thread(self._storage.start, required=False)
        self._tasks.repeat(self._tick_forever, "tick")
        self._tasks.repeat(self._joins.repeat, "join")

    async def stop(self) -> None:
        """Stops the leader and releases the data folder."""
        if self._leader is not None:
            self._leader.close()
        self._tasks.cancel()
        self.links.close()
        await asyncio.to_thread(self._storage.stop)

    def spawn(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> "asyncio.Task[Any]":
        return self._tasks.start(coroutine, name)

    @property
    def log(self) -> Any:
        return self._node.blackboard.log

    @property
    def records(self) -> WireRecords:
        """The replicated records as applied on this daemon."""
        records: WireRecords = self._node.blackboard.state.wire
        return records

    @property
    def leader_name(self) -> str:
        name: str = self.log.leader
        return name

    # --- requests of operators and members

    async def propose(
        self, command: dict[str, Any], leader_only: bool = False
    ) -> AdminReply:
        """Commits a command or answers a query; the code is ``ok`` or an error code.

        A ``leader_only`` command is not passed on to another leader.
        """
        ticket = next(self._tickets)
        event = CommandProposed(command, ("state", ticket), leader_only)
        future: asyncio.Future[AdminReply] = self._loop.create_future()
        self._pending_replies[ticket] = future
        try:
            self._handle(event)
            async with asyncio.timeout(PROPOSAL_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            return AdminReply(ticket, "unknown", {"message": "no answer in time"})
        finally:
            self._pending_replies.pop(ticket, None)

    async def announce(self, record: MemberRecord) -> bool:
        """Records a member's announcement; False if that is not confirmed.

        Raises ``UnknownGroup`` if the deployment does not name its group.
        """
        known = self.records.members.get(record.member)
        if known is not None and known.born == record.born:
            unchanged = (
                known.address == record.address
                and known.leaving == record.leaving
                and known.primary == record.primary
            )
            if unchanged or record.sequence < known.sequence:
                return True
        await self._group_names.require(record.group, self.records)
        body = asdict(record)
        reply = await self.propose({"type": "member.put", "member": body})
        self._report(
            "info",
            "member_announced",
            member=record.member,
            group=record.group,
            leaving=record.leaving,
            primary=record.primary,
            sequence=record.sequence,
            outcome=reply.code,
        )
        return reply.code == "ok"

    async def refuse_announcement(self, member: str, reason: str) -> None:
        """Logs and counts an announcement that names no member to use."""
        self._metrics.refused_announcements.add()
        self._report(
            "warning", "announcement_refused", member=member[:200], reason=reason
        )

    async def remove_member(self, member: str) -> bool:
        """Removes a member that has left for good; False if that is not confirmed."""
        reply = await self.propose({"type": "member.drop", "member": member})
        self._report("info", "member_left", member=member, outcome=reply.code)
        return reply.code == "ok"

    async def put_deployment(self, version: int, document: str) -> str:
        """Stores a validated document; returns ``ok`` or an error code."""
        if version <= self.records.version:
            code = "ok"
        else:
            command = {
                "type": "deployment.put",
                "version": version,
                "document": pack_document(document),
            }
            code = (await self.propose(command)).code
        self._metrics.changes.add(code)
        self._report(
            "info",
            "deployment_change",
            version=version,
            current=self.records.version,
            outcome=code,
        )
        return code

    async def get_deployment(self) -> str | None:
        """Returns the newest document, confirmed by a quorum, or None."""
        reply = await self.propose({"type": "deployment.get", "query": True})
        if reply.code != "ok":
            log, now = self.log, boottime()
            self._report(
                "info",
                "deployment_read_refused",
                outcome=reply.code,
                leader=self.leader_name,
                role=log.role,
                term=log.term,
                contact_ms=logged_ms(now - log.last_contact),
                in_group=self._settings.peer in log.voters,
            )
            return None
        packed = str(reply.body.get("document", ""))
        return unpack_document(packed) if packed else None

    # --- events

    def _handle(self, event: object) -> None:
        actions = self._node.handle(boottime(), event)
        for action in actions:
            match action:
                case SendPeerMessage():
                    self._send(action.recipient, action.message)
                case PersistLog() | PersistSnapshot():
                    self._storage.put(action)
                case AdminReply():
                    future = self._pending_replies.get(action.ticket)
                    if future is not None and not future.done():
                        future.set_result(action)
                case EmitLog():
                    self._report(action.level, action.event, **action.fields)
        while self._own_messages and not self._handling_own_messages:
            self._handling_own_messages = True
            try:
                self._handle(self._own_messages.popleft())
            finally:
                self._handling_own_messages = False
        self._update_leadership()

    def _send(self, recipient: str, message: Any) -> None:
        if recipient == self._settings.peer:
            self._own_messages.append(PeerMessageReceived(recipient, message))
        else:
            self.links.send(recipient, message)

    def _update_leadership(self) -> None:
        """Starts or stops the leader when the role changes; forwards record changes."""
        is_leader = self.log.established
        if self.leader_name != self._known_leader:
            self._report(
                "info",
                "control_leader_changed",
                leader=self.leader_name,
                previous=self._known_leader,
                role=self.log.role,
                term=self.log.term,
            )
            self._known_leader = self.leader_name
            if self.leader_name:
                self._notify_waiting_proxies()
        if is_leader and self._leader is None:
            self._report("info", "leading", term=self.log.term)
            self._leader = Leader(
                self, self._settings, CONTROL_TIMERS.stale_after, self._codec,
                self._read_document, self._execute_promotion, self._report,
                self._metrics,
            )  # fmt: skip
        elif not is_leader and self._leader is not None:
            fields = self._leader.authority_fields(boottime())
            self._report("warning", "leading_ended", **fields)
            self._leader.close()
            self._leader = None
        if self.log.applied_index != self._applied_index:
            self._applied_index = self.log.applied_index
            if self._leader is not None:
                self._leader.records_changed()

    def _on_message(self, sender: str, message: Any) -> None:
        match message:
            case ProxyReport():
                self._on_proxy_report(sender, message)
            case JoinRequest():
                self._joins.on_request(boottime(), sender, self._leader)
            case HeartbeatReply():
                self._handle(PeerMessageReceived(sender, message))
                self._joins.on_answer(boottime(), sender, message.leader)
            case _:
                self._handle(PeerMessageReceived(sender, message))

    def _on_proxy_report(self, sender: str, message: ProxyReport) -> None:
        now = boottime()
        if self._leader is not None:
            self._leader.on_report(now, sender, message)
            return
        self._waiting_proxies[sender] = now
        self._send_leader_name(sender, message.sequence)

    def _notify_waiting_proxies(self) -> None:
        """Sends the current leader's name to the proxies that wait for one."""
        now = boottime()
        waiting, self._waiting_proxies = self._waiting_proxies, {}
        for proxy, requested_at in waiting.items():
            if now - requested_at < PROXY_REQUEST_MAX_AGE_SECONDS:
                self._send_leader_name(proxy, 0)

    def _send_leader_name(self, proxy: str, sequence: int) -> None:
        leader, controls = self._joins.leader, self.controls
        self.links.send(proxy, ProxyGrant(sequence, leader, 0, 0, b"", 0, [], controls))

    @property
    def controls(self) -> list[str]:
        """Control daemons that proxies may contact; empty outside the group.

        The log of a daemon outside may name members that left long ago.
        """
        if not self._joins.is_member(boottime()):
            return []
        return [*self.log.voters, *self.log.learners]

    # --- storage

    def _make_node(self) -> Node:
        settings = self._settings
        is_first_start = settings.first_start and settings.peer in settings.seeds
        node_settings = NodeSettings(
            settings.peer,
            settings.zone,
            control=True,
            peers=dict.fromkeys(settings.seeds, ""),
            control_members=tuple(settings.seeds) if is_first_start else (),
            timers=CONTROL_TIMERS,
        )
        # A name that no daemon has; a node without peers would form a group alone.
        node_settings.peers.setdefault("another", "")
        names = [cls.name for cls in CONTROLLERS]
        return Node(node_settings, SystemRandom(), names)

    def _queue_storage_event(self, event: object) -> None:
        self._loop.call_soon_threadsafe(self._on_storage_event, event)

    def _on_storage_event(self, event: object) -> None:
        self._handle(event)
        if isinstance(event, StorageFailed):
            # Unsynced entries were never acknowledged, so re-reading the log is safe.
            self._storage.reopen()

    # --- timers

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self._handle(Tick())
            if self._leader is not None:
                self._leader.control_members.check(boottime())
