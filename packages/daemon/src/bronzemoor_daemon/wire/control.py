"""A control daemon: the replicated log on the event loop, and the leader's work."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from itertools import count
from random import SystemRandom
from typing import Any

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
    AdminCommand,
    PeerMessageReceived,
    StorageFailed,
    Tick,
)
from bronzemoor_core.exceptions import CorruptStorage, StorageError
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
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.leader import Leader
from bronzemoor_daemon.wire.links import Links
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import (
    DocumentReader,
    PromotionExecutor,
    StatementCodec,
)
from bronzemoor_daemon.wire.settings import WireSettings

TICK_INTERVAL = 0.025  # seconds
# Election time-outs cover two syncs of a slow disk and round trips between regions.
TIMERS = ControlSettings(
    election_timeout_min=0.6,
    election_timeout_max=1.0,
    heartbeat_interval=0.12,
    snapshot_entries=200,
    stale_after=2.0,
)
# A failed data folder is opened again after this, seconds.
STORAGE_RETRY = 0.5
JOIN_INTERVAL = 0.5  # seconds
# Proxies that asked longer ago are not told of a new leader, seconds.
PROXY_MEMORY = 3.0
# An answer to an operator or a member comes within this, seconds.
PROPOSAL_LIMIT = 2.5

CONTROLLERS: tuple[type[Controller], ...] = (Consensus, StateMachine)


class ControlDaemon:
    """Drives the log with events of the loop; leads the proxies while elected."""

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
        self._local: deque[PeerMessageReceived] = deque()
        self._tickets = count(1)
        self._waiting: dict[int, asyncio.Future[AdminReply]] = {}
        self._leader: Leader | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._applied = -1
        self._known_leader = ""
        # Proxies that asked here, and when: they are told of a new leader.
        self._proxies: dict[str, float] = {}
        self._join_number = 0
        self._handling = False
        self._storage: StorageThread | None = None
        self._storage_number = 0
        self.seeds = list(settings.seeds)
        self.links = Links(settings.peer, self._on_message, report)
        self._node = self._make_node()

    # --- life cycle

    async def start(self) -> None:
        """Opens the data folder and joins the control group; raises ``OSError``."""
        await self.links.start()
        await self._open_storage()
        self.spawn(self._tick_forever())
        self.spawn(self._join_forever())

    async def stop(self) -> None:
        """Ends the leader's work and releases the data folder."""
        if self._leader is not None:
            self._leader.close()
        for task in self._tasks:
            task.cancel()
        self.links.close()
        if self._storage is not None:
            await asyncio.to_thread(self._storage.stop)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def log(self) -> Any:
        return self._node.blackboard.log

    @property
    def records(self) -> WireRecords:
        """The replicated records as applied here."""
        records: WireRecords = self._node.blackboard.state.wire
        return records

    @property
    def leader_name(self) -> str:
        name: str = self.log.leader
        return name

    # --- what operators and members ask for

    async def propose(self, command: dict[str, Any]) -> AdminReply:
        """Commits a command, or answers a query; the code is ok or an error code."""
        ticket = next(self._tickets)
        return await self._ask(ticket, CommandProposed(command, ("state", ticket)))

    async def _ask(self, ticket: int, event: object) -> AdminReply:
        future: asyncio.Future[AdminReply] = self._loop.create_future()
        self._waiting[ticket] = future
        try:
            self._handle(event)
            async with asyncio.timeout(PROPOSAL_LIMIT):
                return await future
        except TimeoutError:
            return AdminReply(ticket, "unknown", {"message": "no answer in time"})
        finally:
            self._waiting.pop(ticket, None)

    async def change_group(self, change: dict[str, Any]) -> AdminReply:
        """Describes or changes the control group."""
        ticket = next(self._tickets)
        return await self._ask(ticket, AdminCommand(ticket, change["type"], change))

    async def announce(self, record: MemberRecord) -> bool:
        """Takes a member's announcement; False if it is not recorded."""
        known = self.records.members.get(record.member)
        if known is not None and known.born == record.born:
            same = (
                known.address == record.address
                and known.leaving == record.leaving
                and known.primary == record.primary
            )
            if same or record.sequence < known.sequence:
                return True
        body = {name: getattr(record, name) for name in MemberRecord.__slots__}
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

    async def leave(self, member: str) -> bool:
        """A member is gone for good; False if that is not recorded."""
        reply = await self.propose({"type": "member.drop", "member": member})
        self._report("info", "member_left", member=member, outcome=reply.code)
        return reply.code == "ok"

    async def put_deployment(self, version: int, document: str) -> str:
        """Stores a checked document; returns ``ok`` or an error code."""
        if version <= self.records.version:
            code = "ok"
        else:
            command = {
                "type": "deployment.put",
                "version": version,
                "document": pack_document(document),
            }
            code = (await self.propose(command)).code
        self._metrics.changes.labels(code).inc()
        self._report(
            "info",
            "deployment_change",
            version=version,
            current=self.records.version,
            outcome=code,
        )
        return code

    async def get_deployment(self) -> str | None:
        """The newest document, confirmed by a quorum; None without one."""
        reply = await self.propose({"type": "deployment.get", "query": True})
        if reply.code != "ok":
            self._report("info", "deployment_read_refused", outcome=reply.code)
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
                    if self._storage is not None:
                        self._storage.put(action)
                case AdminReply():
                    future = self._waiting.get(action.ticket)
                    if future is not None and not future.done():
                        future.set_result(action)
                case EmitLog():
                    self._report(action.level, action.event, **action.fields)
        while self._local and not self._handling:
            self._handling = True
            try:
                self._handle(self._local.popleft())
            finally:
                self._handling = False
        self._follow_log()

    def _send(self, recipient: str, message: Any) -> None:
        if recipient == self._settings.peer:
            self._local.append(PeerMessageReceived(recipient, message))
        else:
            self.links.send(recipient, message)

    def _follow_log(self) -> None:
        """Starts or ends the leader's work and tells it of new records."""
        leads = self.log.established
        if self.leader_name != self._known_leader:
            self._known_leader = self.leader_name
            self._announce_leader()
        if leads and self._leader is None:
            self._report("info", "leading", term=self.log.term)
            self._leader = Leader(
                self, self._settings, self._codec, self._read_document,
                self._execute_promotion, self._report, self._metrics,
            )  # fmt: skip
        elif not leads and self._leader is not None:
            self._leader.close()
            self._leader = None
        if self.log.applied_index != self._applied:
            self._applied = self.log.applied_index
            if self._leader is not None:
                self._leader.records_changed()

    def _on_message(self, sender: str, message: Any) -> None:
        match message:
            case ProxyReport():
                self._on_report(sender, message)
            case JoinRequest():
                self._on_join(sender, message)
            case _:
                self._handle(PeerMessageReceived(sender, message))

    def _on_report(self, sender: str, message: ProxyReport) -> None:
        now = boottime()
        if self._leader is not None:
            self._leader.on_report(now, sender, message)
            return
        self._proxies[sender] = now
        self._send_leader(sender, message.sequence)

    def _announce_leader(self) -> None:
        """Tells the proxies that wait here who leads now."""
        now = boottime()
        waiting, self._proxies = self._proxies, {}
        for proxy, asked_at in waiting.items():
            if self.leader_name and now - asked_at < PROXY_MEMORY:
                self._send_leader(proxy, 0)

    def _send_leader(self, proxy: str, sequence: int) -> None:
        grant = ProxyGrant(sequence, self.leader_name, 0, 0, b"", 0, [], self.controls)
        self.links.send(proxy, grant)

    def _on_join(self, sender: str, message: JoinRequest) -> None:
        reply = HeartbeatReply(0, self.leader_name, [], {}, 0)
        self.links.send(sender, reply)
        if self._leader is not None:
            self._leader.on_join(boottime(), sender)

    @property
    def controls(self) -> list[str]:
        """Control daemons that proxies may ask."""
        return [*self.log.voters, *self.log.learners] or self.seeds

    # --- storage

    def _make_node(self) -> Node:
        settings = self._settings
        first = settings.first_start and settings.peer in settings.seeds
        node_settings = NodeSettings(
            settings.peer,
            settings.zone,
            control=True,
            peers=dict.fromkeys(settings.seeds, ""),
            control_members=tuple(settings.seeds) if first else (),
            timers=TIMERS,
        )
        # A name that is never this daemon's keeps it from founding a group alone.
        node_settings.peers.setdefault("another", "")
        names = [cls.name for cls in CONTROLLERS]
        return Node(node_settings, SystemRandom(), names)

    async def _open_storage(self) -> None:
        """Reads the data folder and starts writing to it."""
        self._storage_number += 1
        number = self._storage_number

        def handle(event: object) -> None:
            self._loop.call_soon_threadsafe(self._on_storage, number, event)

        try:
            folder = DataFolder(self._settings.data_folder)
            self._storage = StorageThread(folder, handle)
            await asyncio.to_thread(self._storage.start)
        except CorruptStorage as error:
            # The log cannot be continued: this daemon joins again like a new one.
            self._report("error", "storage_corrupt", error=str(error))
            await asyncio.to_thread(clear_folder, self._settings.data_folder)
            self._loop.call_later(STORAGE_RETRY, self._reopen)
        except (OSError, StorageError) as error:
            self._report("error", "storage_unreadable", error=str(error))
            self._loop.call_later(STORAGE_RETRY, self._reopen)

    def _on_storage(self, number: int, event: object) -> None:
        if number != self._storage_number:
            return
        self._handle(event)
        if isinstance(event, StorageFailed):
            # What was not synced was never acknowledged, so the log may be read again.
            self._loop.call_later(STORAGE_RETRY, self._reopen)

    def _reopen(self) -> None:
        self.spawn(self._reopen_storage())

    async def _reopen_storage(self) -> None:
        if self._leader is not None:
            self._leader.close()
            self._leader = None
        storage, self._storage = self._storage, None
        if storage is not None:
            await asyncio.to_thread(storage.stop)
        self._node = self._make_node()
        self._applied = -1
        await self._open_storage()

    # --- timers

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL)
            self._handle(Tick())

    async def _join_forever(self) -> None:
        """Asks the leader for membership while outside the control group."""
        while True:
            await asyncio.sleep(JOIN_INTERVAL)
            members = (*self.log.voters, *self.log.learners)
            if self._settings.peer in members:
                continue
            others = [
                name
                for name in dict.fromkeys((self.leader_name, *self.seeds))
                if name and name != self._settings.peer
            ]
            if others:
                self._join_number += 1
                target = others[self._join_number % len(others)]
                self.links.send(target, JoinRequest("", 0))
