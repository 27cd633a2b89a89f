"""Members of a database group, as PROTOCOL.md describes them."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count

from web import call

HEARTBEAT_SECONDS = 1.2
# The time in which a replica receives a commit, and in which a promotion takes effect.
RECEIVE_SECONDS = 0.008
PROMOTE_SECONDS = 1.0
DRAIN_SECONDS = 7.0
# The old primary steps down so long after it can reach the new one.
DISCOVERY_SECONDS = 1.0

Entry = tuple[int, int, str]


class Member:
    """One member; its log holds term, number and id of each commit that writes."""

    def __init__(
        self, group: "Group", name: str, address: str, zone: str, born: int
    ) -> None:
        self.group = group
        self.name = name
        self.address = address
        self.zone = zone
        self.born = born
        self.log: list[Entry] = []
        self.term = 1
        self.held_term = 0
        self.primary = False
        self.up = False
        self.deaf = False
        self.leaving = False
        self.sequence = 0
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def position(self) -> str:
        return f"{self.term}.{len(self.log)}"

    def status(self) -> str:
        role = "primary" if self.primary else "replica"
        return (
            f"ROW {role} {self.term} {self.position} {self.held_term} 0 0"
            f" {len(self.connections)}"
        )

    async def start(self, controls: list[str]) -> None:
        host, port = self.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, int(port)
        )
        self.up = True
        self._tasks.append(loop.create_task(self._report(controls)))
        self._tasks.append(loop.create_task(self._receive()))

    def stop(self) -> None:
        """Ends the process: connections are reset and nothing is reported."""
        self.up = False
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        for task in self._tasks:
            task.cancel()

    def successor(self) -> "Member":
        """Returns the process that starts next under this member's id.

        It holds and knows nothing of before.
        """
        process = Member(
            self.group, self.name, self.address, self.zone, self.born + 60_000
        )
        process.term = 0
        self.group.members[self.name] = process
        return process

    async def _receive(self) -> None:
        """Receives the primary's log, unless deaf or paused."""
        while True:
            await asyncio.sleep(RECEIVE_SECONDS)
            source = self.group.newest_primary()
            if source is None or source is self or self.primary or self.deaf:
                continue
            if self.held_term or self.term > source.term:
                continue
            if self.log != source.log:
                self.log, self.term = list(source.log), source.term
            self.term = source.term
            self.group.received(source, self)

    async def _report(self, controls: list[str]) -> None:
        """Sends heartbeats, to the next daemon after a failure."""
        index = sum(self.name.encode()) % len(controls)
        while True:
            self.sequence += 1
            status = await self.announce(controls[index % len(controls)])
            if not 200 <= status < 300:
                index += 1
                await asyncio.sleep(0.1)
                continue
            role, waited = (self.primary, self.leaving), 0.0
            while waited < HEARTBEAT_SECONDS and role == (self.primary, self.leaving):
                await asyncio.sleep(0.05)
                waited += 0.05

    async def announce(self, control: str) -> int:
        body = {
            "service": self.group.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": "draining" if self.leaving else "ready",
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.primary else "replica",
            "born": self.born,
            "sequence": self.sequence,
        }
        path = f"/bronzemoor/instances/{self.name}"
        return (await call(control, "PUT", path, body))[0]

    async def leave(self, controls: list[str], record: Callable[[str], None]) -> None:
        """Drains for the promised time, says that it is gone, and exits."""
        self.leaving = True
        record(f"member {self.name} begins to drain")
        await asyncio.sleep(DRAIN_SECONDS + HEARTBEAT_SECONDS)
        for control in controls:
            path = f"/bronzemoor/instances/{self.name}"
            if 200 <= (await call(control, "DELETE", path))[0] < 300:
                break
        record(f"member {self.name} is gone at {self.position}")
        self.stop()
        self.group.members.pop(self.name, None)


class Group:
    """The members of one service; a commit is acknowledged once a replica has it."""

    def __init__(self, name: str, record: Callable[[str], None]) -> None:
        self.name = name
        self.record = record
        self.members: dict[str, Member] = {}
        # Ids of the writes that were acknowledged to clients.
        self.acknowledged: set[str] = set()
        # Acknowledged writes that a promoted member lacked.
        self.lost: list[str] = []
        # Writes that were acknowledged before a read was sent, by the read's id.
        self.known_at_read: dict[str, set[str]] = {}
        # Reads that ran on a log without some of them.
        self.stale: dict[str, list[str]] = {}
        self.promotions: list[tuple[str, str, int]] = []
        self._waiting: list[tuple[Member, int, int, asyncio.Future[bool]]] = []

    def sends_read(self, query_id: str) -> None:
        """Notes what a read that a client is about to send has to see."""
        self.known_at_read[query_id] = set(self.acknowledged)

    def ran_read(self, member: Member, query_id: str) -> None:
        have = {write for _, _, write in member.log}
        missing = sorted(self.known_at_read.get(query_id, set()) - have)
        if missing:
            self.stale[query_id] = missing
            self.record(
                f"member {member.name} runs read {query_id} at {member.position}"
                f" without {len(missing)} acknowledged writes"
            )

    def newest_primary(self) -> Member | None:
        leading = [m for m in self.members.values() if m.primary and m.up]
        return max(leading, key=lambda member: member.term, default=None)

    def received(self, source: Member, replica: Member) -> None:
        """Acknowledges the commits that a replica has received."""
        for item in list(self._waiting):
            member, term, number, future = item
            is_current = member is source and source.term == term
            if is_current and len(replica.log) >= number and not future.done():
                future.set_result(True)
                self._waiting.remove(item)

    async def commit(self, member: Member, write: str) -> bool:
        """Appends a write; waits until one replica has received it."""
        number = len(member.log) + 1
        member.log.append((member.term, number, write))
        self.record(f"member {member.name} commits {write} at {member.position}")
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append((member, member.term, number, future))
        return await future

    def promote(self, name: str, holder: str, fence: int) -> int:
        """Handles an order; the member leads some time later."""
        self.record(f"platform gets promote {name} from {holder}, fence {fence}")
        self.promotions.append((name, holder, fence))
        target = self.members.get(name)
        if target is None or not target.up:
            return 409
        if not target.primary:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_SECONDS, self._take_lead, target)
        return 200

    def _take_lead(self, target: Member) -> None:
        if not target.up or target.primary:
            return
        old = [m for m in self.members.values() if m.primary]
        target.term = max(m.term for m in self.members.values()) + 1
        target.primary, target.held_term = True, 0
        have = {write for _, _, write in target.log}
        missing = sorted(self.acknowledged - have)
        self.lost += missing
        self.record(
            f"member {target.name} leads term {target.term} at {target.position};"
            f" acknowledged writes that it lacks: {missing}"
        )
        for member in self.members.values():
            member.held_term = 0
        loop = asyncio.get_running_loop()
        for member in old:
            loop.call_later(DISCOVERY_SECONDS, member.group.step_down, member)

    def step_down(self, member: Member) -> None:
        newest = self.newest_primary()
        if newest is not None and newest is not member and member.primary:
            member.primary = False
            self.record(f"member {member.name} steps down")


class Connection(asyncio.Protocol):
    """A connection to a member; statements run one after the other."""

    signatures = count(1)

    def __init__(self, member: Member) -> None:
        self.member = member
        self.buffer = b""
        self.state = "I"
        self.read_only = False
        self.writes: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.lines: asyncio.Queue[str] = asyncio.Queue()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.member.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, error: Exception | None) -> None:
        self.member.connections.discard(self)
        self.task.cancel()

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.lines.put_nowait(line.decode())

    async def _serve(self) -> None:
        with suppress(asyncio.CancelledError):
            while True:
                word, _, rest = (await self.lines.get()).partition(" ")
                if word == "START":
                    group, _, expected = (rest.split() + ["", ""])[:3]
                    known = group == self.member.group.name
                    if not known or expected not in ("", self.member.name):
                        self.send("ERROR WRONGNODE -")
                        self.transport.close()
                        return
                    self.ready()
                elif word == "QUERY":
                    query_id, _, text = rest.partition(" ")
                    self.send(await self._query(query_id, text))
                    self.ready()
                else:
                    self.transport.close()
                    return

    async def _query(self, query_id: str, text: str) -> str:
        member = self.member
        if text.startswith("WAITLSN "):
            _, position, text = text.split(" ", 2)
            term, number = (int(part) for part in position.split("."))
            if (member.term, len(member.log)) < (term, number):
                return self._error("LAGGING")
        word, *rest = text.split(" ")
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return "ERROR MALFORMED -"
        lost_lead = self.state == "T" and not self.read_only and not member.primary
        if lost_lead and word != "ROLLBACK" and (word != "COMMIT" or self.writes):
            return self._error("READONLY")
        if word in ("FETCH", "STORE", "EXECUTE", "COMMIT") and query_id != "-":
            member.group.record(f"member {member.name} gets {query_id} {text}")
        return await self._run(query_id, word, rest)

    async def _run(self, query_id: str, word: str, rest: list[str]) -> str:
        member = self.member
        match word:
            case "STATUS":
                return member.status() + "\r\nCOMPLETE -"
            case "PAUSE":
                if not member.primary:
                    member.held_term = int(rest[0])
                return member.status() + "\r\nCOMPLETE -"
            case "RESUME":
                member.held_term = 0
                return member.status() + "\r\nCOMPLETE -"
            case "STEPDOWN":
                if member.primary and member.term < int(rest[0]):
                    member.primary = False
                return member.status() + "\r\nCOMPLETE -"
            case "SET":
                self.values[rest[0]] = rest[1]
            case "RESET":
                self.values, self.prepared = {}, {}
            case "PREPARE":
                self.prepared[rest[0]] = (rest[1], rest[2])
            case "BEGIN":
                if not rest and not member.primary:
                    return "ERROR READONLY -"
                self.state, self.read_only = "T", bool(rest)
            case "ROLLBACK":
                self.state, self.writes = "I", []
            case "COMMIT":
                failed, self.state = self.state == "E", "I"
                writes, self.writes = self.writes, []
                if failed:
                    return "ERROR ABORTED -"
                if writes and not await member.group.commit(member, writes[-1]):
                    return "ERROR TIMEOUT -"
                return self._signature()
            case "EXECUTE":
                if rest[0] not in self.prepared:
                    return self._error("NOPREPARED")
                return await self._run(query_id, self.prepared[rest[0]][0], rest[1:])
            case "FETCH":
                member.group.ran_read(member, query_id)
                return f"ROW {rest[0]}\r\n" + self._signature()
            case "STORE":
                if not member.primary:
                    return self._error("READONLY")
                if self.state == "T":
                    self.writes.append(query_id)
                elif not await member.group.commit(member, query_id):
                    return "ERROR TIMEOUT -"
                return self._signature()
        return "COMPLETE -"

    def _signature(self) -> str:
        return f"COMPLETE {self.member.name}.{next(self.signatures)}"

    def _error(self, code: str) -> str:
        if self.state == "T":
            self.state = "E"
        return f"ERROR {code} -"

    def ready(self) -> None:
        self.send(f"READY {self.state} {self.member.position}")

    def send(self, text: str) -> None:
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"\r\n")
