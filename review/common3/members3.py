"""Stand-in members of one service, which speak the wire protocol of PROTOCOL.md."""

import asyncio
import json
import time
from collections.abc import Callable
from itertools import count

Entry = tuple[int, int, tuple[str, ...]]
SLOTS = 3
# Statements that wait for a slot; others are answered BUSY.
QUEUE = 24
WORK_SECONDS = 0.006
REPLICATION_SECONDS = 0.003
PROMOTE_SECONDS = 0.6
# The old primary steps down so long after it can reach the new one.
STEP_DOWN_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.2
SIGNATURES = count(1)


class Member:
    """A member; ``log`` holds term, number and writes of each commit."""

    def __init__(self, service: "Service", name: str, address: str, zone: str) -> None:
        self.service, self.name, self.address, self.zone = service, name, address, zone
        self.log: list[Entry] = []
        self.term, self.held, self.primary = 1, 0, False
        # Whether the process runs, and whether the log of the primary reaches it.
        self.up, self.deaf = False, False
        self.state = "ready"
        # Whether control daemons cannot reach it, nor it them, and names of proxies
        # that cannot.
        self.cut = False
        self.cut_from: set[str] = set()
        self.born, self.sequence = int(time.time() * 1_000), 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting, self.work_seconds = 0, WORK_SECONDS
        # When the log of the primary last reached it.
        self.received_at = time.monotonic()
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    @property
    def position(self) -> tuple[int, int]:
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    async def start(self) -> None:
        host, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), host, port)
        self.up = True

    async def crash(self) -> None:
        """Ends the process; the log stays."""
        self.up = False
        self.service.record(f"member {self.name} crashes at {text_of(self.position)}")
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def cut_off(self, caller: str) -> None:
        """Lets a caller's connections go silent, and those that it opens."""
        self.cut_from.add(caller)

    async def come_back(self) -> None:
        """Starts again with its log, as a replica if another member was promoted."""
        newest = max(m.term for m in self.service.members.values())
        if newest > self.term:
            self.primary = False
        self.held = 0
        await self.start()
        self.service.record(f"member {self.name} is back at {text_of(self.position)}")

    async def send_heartbeats(self, controls: list[str]) -> None:
        """Calls the next control daemon after a failure, the same one otherwise."""
        index = 0
        while True:
            if not self.up or self.cut:
                await asyncio.sleep(0.1)
                continue
            role = "primary" if self.primary else "replica"
            self.sequence += 1
            body = {
                "service": self.service.name, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": SLOTS,
                "state": self.state, "cold_remaining_ms": 0, "db_role": role,
                "born": self.born, "sequence": self.sequence,
            }  # fmt: skip
            path = f"/bronzemoor/instances/{self.name}"
            status, _ = await call(controls[index % len(controls)], "PUT", path, body)
            if not 200 <= status < 300:
                index += 1
                await asyncio.sleep(0.1)
                continue
            due = time.monotonic() + HEARTBEAT_SECONDS
            said = role, self.state
            while time.monotonic() < due and self.up:
                if said != ("primary" if self.primary else "replica", self.state):
                    break
                await asyncio.sleep(0.02)


class Service:
    """Members of which a commit needs one replica; carries out promotions."""

    def __init__(self, name: str, record: Callable[[str], None]) -> None:
        self.name, self.record = name, record
        self.members: dict[str, Member] = {}
        # Commits of which a client has got COMPLETE, by what they wrote.
        self.acknowledged: set[str] = set()
        # What was in the log at which a read ran, by its id.
        self.reads: dict[str, set[str]] = {}
        # Acknowledged writes that a promoted member lacks.
        self.lost: list[str] = []
        self._received: dict[str, asyncio.Event] = {}

    async def replicate(self) -> None:
        """Brings replicas up to date with the newest primary they can reach."""
        while True:
            await asyncio.sleep(REPLICATION_SECONDS)
            leaders = [m for m in self.members.values() if m.up and m.primary]
            for source in leaders:
                for replica in self.members.values():
                    follows = replica is not source and not replica.primary
                    reached = replica.up and not replica.deaf and not replica.held
                    if follows and reached and replica.term <= source.term:
                        replica.log, replica.term = list(source.log), source.term
                        replica.received_at = time.monotonic()
                        for entry in source.log:
                            self._event(entry).set()

    def _event(self, entry: Entry) -> asyncio.Event:
        return self._received.setdefault(repr(entry), asyncio.Event())

    async def commit(self, member: Member, writes: tuple[str, ...]) -> None:
        """Returns once a replica has received the commit."""
        entry = (member.term, member.position[1] + 1, writes)
        member.log.append(entry)
        await self._event(entry).wait()

    def promote(self, name: str) -> int:
        """Takes an order; returns the status of the answer."""
        target = self.members.get(name)
        if target is None or not target.up:
            return 409
        if not target.primary:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_SECONDS, self._take_effect, target)
        return 200

    def _take_effect(self, target: Member) -> None:
        if not target.up or target.primary:
            return
        olds = [m for m in self.members.values() if m.primary]
        target.primary, target.held = True, 0
        target.term = 1 + max(m.term for m in self.members.values())
        self.record(
            f"member {target.name} leads term {target.term}"
            f" with its log up to {text_of(target.position)}"
        )
        held = {write for entry in target.log for write in entry[2]}
        lost = sorted(self.acknowledged - held)
        self.lost += lost
        for write in lost:
            self.record(f"ACKNOWLEDGED WRITE LOST: {write}")
        for member in self.members.values():
            member.held = 0
        loop = asyncio.get_running_loop()
        for old in olds:
            loop.call_later(STEP_DOWN_SECONDS, self._step_down, old, target)

    def _step_down(self, old: Member, new: Member) -> None:
        if old.up and new.up:
            old.primary = False


class Connection(asyncio.Protocol):
    """A connection to a member; statements run one after another."""

    transport: asyncio.Transport

    def __init__(self, member: Member) -> None:
        self.member = member
        self.buffer = b""
        self.state, self.reads_only = "I", False
        self.caller = ""
        self.writes: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.lines: asyncio.Queue[str] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.member.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, error: Exception | None) -> None:
        self.member.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.lines.put_nowait(line.decode())

    async def _serve(self) -> None:
        while True:
            word, _, rest = (await self.lines.get()).partition(" ")
            caller = rest.split(" ")[1] if word == "START" else self.caller
            if caller in self.member.cut_from:
                # A silent cut: nothing comes back.
                await asyncio.Event().wait()
            if word == "START":
                fields = rest.split(" ")
                self.caller = fields[1]
                if self.member.cut and self.caller.startswith("core-"):
                    # A silent cut: nothing comes back.
                    await asyncio.Event().wait()
                expected = fields[2] if len(fields) > 2 else self.member.name
                if (fields[0], expected) != (
                    self.member.service.name,
                    self.member.name,
                ):
                    self._send("ERROR WRONGNODE -")
                    self.transport.close()
                    return
                self._send(f"READY I {text_of(self.member.position)}")
            elif word == "QUERY":
                query_id, _, text = rest.partition(" ")
                answer = await self._run(query_id, text)
                if answer.startswith("ERROR") and "BUSY" not in answer:
                    self.state = "E" if self.state == "T" else self.state
                position = text_of(self.member.position)
                self._send(f"{answer}\r\nREADY {self.state} {position}")
            else:
                self.transport.close()
                return

    def _send(self, text: str) -> None:
        self.transport.write(text.encode() + b"\r\n")

    async def _run(self, query_id: str, text: str) -> str:
        member = self.member
        if text.startswith("WAITLSN "):
            _, required, text = text.split(" ", 2)
            term, _, number = required.partition(".")
            if member.position < (int(term), int(number)):
                return "ERROR LAGGING -"
        word, *rest = text.split(" ", 2)
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._order(word, int(rest[0]) if rest else 0)
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return "ERROR MALFORMED -"
        lost_lead = self.state == "T" and not self.reads_only and not member.primary
        if lost_lead and word != "ROLLBACK" and (word != "COMMIT" or self.writes):
            return "ERROR READONLY -"
        match word:
            case "SET":
                self.values[rest[0]] = rest[1]
            case "RESET":
                self.values, self.prepared = {}, {}
            case "PREPARE":
                kind, shape = rest[1].split(" ")
                self.prepared[rest[0]] = (kind, shape)
            case "DEALLOC":
                self.prepared.pop(rest[0], None)
            case "BEGIN":
                if not rest and not member.primary:
                    return "ERROR READONLY -"
                self.state, self.reads_only, self.writes = "T", bool(rest), []
            case "ROLLBACK":
                self.state, self.writes = "I", []
            case "COMMIT" if self.state == "E":
                self.state, self.writes = "I", []
                return "ERROR ABORTED -"
            case "FETCH" | "STORE" | "EXECUTE" | "COMMIT":
                return await self._statement(query_id, word, rest)
            case _:
                return "ERROR MALFORMED -"
        return "COMPLETE -"

    def _order(self, word: str, term: int) -> str:
        member = self.member
        if member.waiting >= QUEUE:
            return "ERROR BUSY -"
        if word == "PAUSE" and not member.primary and term > member.term:
            member.held = term
        elif word == "RESUME":
            member.held = 0
        elif word == "STEPDOWN" and member.term < term:
            member.primary = False
        if word != "STATUS":
            member.service.record(f"order {word} {term} at {member.name}")
        role = "primary" if member.primary else "replica"
        position = text_of(member.position)
        lag = (
            0
            if member.primary
            else int(1_000 * (time.monotonic() - member.received_at))
        )
        return (
            f"ROW {role} {member.term} {position} {member.held} {lag} 0"
            f" {len(member.connections)}\r\nCOMPLETE -"
        )

    async def _statement(self, query_id: str, word: str, rest: list[str]) -> str:
        member = self.member
        if word == "EXECUTE":
            if rest[0] not in self.prepared:
                return "ERROR NOPREPARED -"
            word, shape = self.prepared[rest[0]]
            rest = [f"{shape}:{rest[1]}"]
        if member.waiting >= QUEUE:
            return "ERROR BUSY -"
        member.waiting += 1
        try:
            await member.slots.acquire()
        finally:
            member.waiting -= 1
        try:
            await asyncio.sleep(member.work_seconds)
            if word == "STORE" and not member.primary:
                return "ERROR READONLY -"
            signature = f"COMPLETE {member.term}.{next(SIGNATURES):x}.{query_id}"
            if word == "FETCH":
                position = text_of(member.position)
                member.service.record(f"{member.name} reads at {position} {query_id}")
                member.service.reads[query_id] = {w for e in member.log for w in e[2]}
                return f"ROW {rest[0]}\r\n{signature}"
            if word == "STORE":
                self.writes.append(" ".join(rest))
                if self.state == "T":
                    return signature
            writes, self.writes, self.state = tuple(self.writes), [], "I"
            if writes:
                if not member.primary:
                    return "ERROR READONLY -"
                member.service.record(f"{member.name} commits {writes} for {query_id}")
                await member.service.commit(member, writes)
            return signature
        finally:
            member.slots.release()


def text_of(position: tuple[int, int]) -> str:
    return f"{position[0]}.{position[1]}"


async def call(
    address: str, method: str, path: str, body: object = None, timeout: float = 1.0
) -> tuple[int, bytes]:
    """Makes one HTTP call; returns status and body, status 0 without a response."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            answer = await reader.read()
        start, _, rest = answer.partition(b"\r\n\r\n")
        return int(start.split(b" ")[1]), rest
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
