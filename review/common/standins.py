"""Stand-ins for the members of database groups, the platform and clients.

They follow PROTOCOL.md of the users' pages. All run on one event loop; the project's
programs run beside them as processes of their own.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

STATEMENT_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.2
CALL_TIMEOUT_SECONDS = 1.0
PROMOTE_SECONDS = 0.6

Record = Callable[..., None]
Position = tuple[int, int]


async def http_exchange(
    address: str,
    method: str,
    path: str,
    data: bytes = b"",
    timeout: float = CALL_TIMEOUT_SECONDS,
) -> tuple[int, bytes]:
    """Sends one request; returns status and body, status 0 without a response."""
    host, port = address.rsplit(":", 1)
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            line = await reader.readline()
            _, _, body = (await reader.read()).partition(b"\r\n\r\n")
            return int(line.split()[1]), body
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def http_call(address: str, method: str, path: str, body: Any = None) -> int:
    """Sends one request with a JSON body; returns the status, 0 without a response."""
    data = b"" if body is None else json.dumps(body).encode()
    return (await http_exchange(address, method, path, data))[0]


class Member:
    """One member of a group; ``log`` holds the ids of the writes of each commit."""

    def __init__(self, group: "Group", name: str, zone: str, address: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.address = address
        self.primary = False
        self.term = 1
        self.held_term = 0
        # Entries are (term, number, ids of the writes).
        self.log: list[tuple[int, int, tuple[str, ...]]] = []
        # Whether the links between this member and the others are cut.
        self.is_cut = False
        self.up = False
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        self.connections: set[MemberConnection] = set()
        # Reads, writes and commits that may run at once; more are refused with BUSY.
        self.slots = 1_000
        self.running = 0
        self.work_seconds = STATEMENT_SECONDS
        self._server: asyncio.Server | None = None

    @property
    def position(self) -> Position:
        return (self.log[-1][0], self.log[-1][1]) if self.log else (self.term, 0)

    async def start(self) -> None:
        host, port = self.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: MemberConnection(self), host, int(port)
        )
        self.up = True

    def crash(self) -> None:
        """Ends like a killed process: no answer, no heartbeat, no listener."""
        self.up = False
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def restart(self) -> None:
        """Comes back with its log, as a replica if another member was promoted."""
        newest = self.group.newest_primary()
        if newest is not None and newest is not self:
            self.primary = False
        self.held_term, self.sequence = 0, 0
        self.born = int(time.time() * 1_000)
        await self.start()

    async def beat_forever(self, controls: list[str]) -> None:
        """Reports to the control daemons, to the next one after a failure."""
        index = 0
        while True:
            if self.up:
                self.sequence += 1
                body = {
                    "service": self.group.name,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 3,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "db_role": "primary" if self.primary else "replica",
                    "born": self.born,
                    "sequence": self.sequence,
                }
                path = f"/bronzemoor/instances/{self.name}"
                target = controls[index % len(controls)]
                status = await http_call(target, "PUT", path, body)
                if not 200 <= status < 300:
                    index += 1
                    await asyncio.sleep(0.1)
                    continue
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def status_row(self) -> str:
        role = "primary" if self.primary else "replica"
        term, number = self.position
        return (
            f"ROW {role} {self.term} {term}.{number} {self.held_term} 0 0"
            f" {len(self.connections)}"
        )

    def step_down(self, term: int) -> None:
        """Becomes a replica; ends the connections whose commit still waits."""
        if self.primary and self.term < term:
            self.primary = False
            self.group.record("stepped_down", member=self.name, term=term)
            for commit in self.group.waiting_commits(self):
                commit.future.set_result(False)


class Commit:
    """A commit that waits until a replica has received it."""

    def __init__(self, member: Member, position: Position) -> None:
        self.member = member
        self.position = position
        self.future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class Group:
    """A service with one primary and replicas; ``sync_replicas`` is 1."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.members: dict[str, Member] = {}
        self._commits: list[Commit] = []

    def waiting_commits(self, member: Member) -> list[Commit]:
        return [
            commit
            for commit in self._commits
            if commit.member is member and not commit.future.done()
        ]

    def newest_primary(self) -> Member | None:
        primaries = [m for m in self.members.values() if m.primary]
        return max(primaries, key=lambda m: m.term, default=None)

    async def replicate_forever(self) -> None:
        """Sends the log of each primary to the replicas that can receive it."""
        while True:
            await asyncio.sleep(0.005)
            for source in list(self.members.values()):
                if source.primary and source.up:
                    self._send_log(source)

    def _send_log(self, source: Member) -> None:
        for replica in self.members.values():
            reachable = replica.up and not replica.is_cut and not source.is_cut
            if replica is source or not reachable or replica.term > source.term:
                continue
            if replica.primary:
                # The old primary learns of the new one.
                replica.step_down(source.term)
            if replica.held_term:
                continue
            if replica.log != source.log or replica.term != source.term:
                replica.log, replica.term = list(source.log), source.term
            for commit in self.waiting_commits(source):
                if commit.position <= replica.position:
                    commit.future.set_result(True)
        self._commits = [c for c in self._commits if not c.future.done()]

    async def commit(self, member: Member, writes: tuple[str, ...]) -> bool:
        """Appends a commit; returns whether it is acknowledged."""
        number = member.position[1] + 1
        member.log.append((member.term, number, writes))
        commit = Commit(member, (member.term, number))
        self._commits.append(commit)
        return await commit.future

    def promote(self, name: str) -> None:
        """Makes a member the primary of the next term."""
        target = self.members[name]
        if target.primary or not target.up:
            return
        target.term = 1 + max(m.term for m in self.members.values())
        target.primary = True
        for member in self.members.values():
            member.held_term = 0
        self.record("promoted", service=self.name, member=name, term=target.term)


class MemberConnection(asyncio.Protocol):
    """One connection to a member; its statements run one at a time."""

    transport: asyncio.Transport

    def __init__(self, member: Member) -> None:
        self.member = member
        self.caller = ""
        self.state = "I"
        # Whether the open transaction only reads, and what it has written.
        self.read_only = False
        self.writes: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self._buffer = b""
        self._lines: list[str] = []
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.member.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.member.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        self._lines += [line.decode() for line in lines]
        if self._task is None and self._lines:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        try:
            while self._lines:
                await self._on_line(self._lines.pop(0))
        finally:
            self._task = None

    async def _on_line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if word == "START":
            service, self.caller, *expected = rest.split(" ")
            wrong = expected and expected[0] != self.member.name
            if service != self.member.group.name or wrong:
                self._send("ERROR WRONGNODE -")
                self.transport.close()
            else:
                self._ready()
        elif word == "QUERY":
            query_id, _, text = rest.partition(" ")
            answer = await self._query(query_id, text)
            refused = answer.startswith("ERROR") and not answer.startswith("ERROR BUSY")
            if refused and self.state == "T":
                self.state = "E"
            if answer:
                self._send(answer)
                self._ready()
        else:
            self.transport.close()

    async def _query(self, query_id: str, text: str) -> str:
        member = self.member
        word, *rest = text.split(" ")
        if word == "WAITLSN":
            term, number = (int(part) for part in rest[0].split("."))
            if member.position < (term, number):
                return "ERROR LAGGING -"
            word, *rest = rest[1:]
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return "COMPLETE -"
        if self.state == "E":
            return "ERROR MALFORMED the transaction failed"
        if word in ("FETCH", "STORE", "EXECUTE", "COMMIT"):
            if member.running >= member.slots:
                member.group.record("busy", id=query_id, kind=word)
                return "ERROR BUSY -"
            member.running += 1
            try:
                return await self._run_checked(query_id, word, rest)
            finally:
                member.running -= 1
        return await self._run_checked(query_id, word, rest)

    async def _run_checked(self, query_id: str, word: str, rest: list[str]) -> str:
        """Runs a statement unless the member has lost the lead."""
        member = self.member
        lost_lead = self.state == "T" and not self.read_only and not member.primary
        if lost_lead and (word != "COMMIT" or self.writes):
            return f"ERROR READONLY {member.name}"
        return await self._run(query_id, word, rest)

    async def _run(self, query_id: str, word: str, rest: list[str]) -> str:
        member = self.member
        match word:
            case "STATUS":
                return f"{member.status_row()}\r\nCOMPLETE -"
            case "PAUSE":
                if int(rest[0]) > member.term and not member.primary:
                    member.held_term = int(rest[0])
                return f"{member.status_row()}\r\nCOMPLETE -"
            case "RESUME":
                member.held_term = 0
                return f"{member.status_row()}\r\nCOMPLETE -"
            case "STEPDOWN":
                member.step_down(int(rest[0]))
                return f"{member.status_row()}\r\nCOMPLETE -"
            case "SET":
                self.values[rest[0]] = " ".join(rest[1:])
            case "RESET":
                self.values, self.prepared = {}, {}
            case "PREPARE":
                self.prepared[rest[0]] = (rest[1], rest[2])
            case "BEGIN":
                if not rest and not member.primary:
                    self.state = "E"
                    return f"ERROR READONLY {member.name}"
                self.state, self.read_only = "T", bool(rest)
            case "COMMIT":
                return await self._commit(query_id)
            case "FETCH" | "STORE" | "EXECUTE":
                return await self._statement(query_id, word, rest)
            case _:
                return "ERROR MALFORMED unknown"
        return "COMPLETE -"

    async def _statement(self, query_id: str, word: str, rest: list[str]) -> str:
        member, shape = self.member, ""
        if word == "EXECUTE":
            if rest[0] not in self.prepared:
                member.group.record(
                    "no_such_prepared", id=query_id, member=member.name, name=rest[0]
                )
                return f"ERROR NOPREPARED {rest[0]}"
            (word, shape), rest = self.prepared[rest[0]], rest[1:]
        if word == "STORE" and not member.primary:
            return f"ERROR READONLY {member.name}"
        await asyncio.sleep(member.work_seconds)
        member.group.record(
            "ran", id=query_id, member=member.name, kind=word, shape=shape,
            values=dict(self.values),
        )  # fmt: skip
        if word == "FETCH":
            return f"ROW {rest[0]}\r\nCOMPLETE {member.name}.{query_id}"
        self.writes.append(query_id)
        if self.state == "T":
            return f"COMPLETE {member.name}.{query_id}"
        return await self._commit(query_id)

    async def _commit(self, query_id: str) -> str:
        if self.state == "I" and not self.writes:
            return "ERROR MALFORMED no transaction"
        self.state = "I"
        writes, self.writes = tuple(self.writes), []
        if writes and not await self.member.group.commit(self.member, writes):
            self.transport.abort()
            return ""
        return f"COMPLETE {self.member.name}.{query_id}"

    def _ready(self) -> None:
        term, number = self.member.position
        self._send(f"READY {self.state} {term}.{number}")

    def _send(self, text: str) -> None:
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"\r\n")


class Platform:
    """Serves ``POST /promotions`` and records the calls as they arrive."""

    def __init__(self, groups: dict[str, Group], record: Record) -> None:
        self._groups = groups
        self._record = record
        self._server: asyncio.Server | None = None
        self.calls: list[dict[str, Any]] = []

    async def start(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {
                name.lower(): value.strip()
                for name, _, value in (
                    line.partition(":") for line in head.split("\r\n")[1:]
                )
            }
            body = json.loads(
                await reader.readexactly(int(headers.get("content-length", "0")))
            )
            status = self._promote(headers, body)
            writer.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 2\r\n"
                "Connection: close\r\n\r\n{}".encode()
            )
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _promote(self, headers: dict[str, str], body: dict[str, Any]) -> str:
        group = self._groups[body["service"]]
        member = group.members[body["instance_id"]]
        call = {
            "service": group.name,
            "member": member.name,
            "holder": headers["x-duty-holder"],
            "fence": int(headers["x-fence-token"]),
        }
        self.calls.append(call)
        self._record("promotion_call", **call)
        if not member.up:
            return "409 Conflict"
        if group.newest_primary() is not member:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_SECONDS, group.promote, member.name)
        return "200 OK"


class ClientClosed(Exception):
    """The session ended."""


class Client:
    """A client session; ``call`` returns the lines of an answer."""

    numbers = 0

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: str, database: str) -> bool:
        host, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(2):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
                self._writer.write(f"START {database} {self.name}\r\n".encode())
                return (await self._line()).startswith("READY")
        except (OSError, TimeoutError, ClientClosed):
            return False

    async def call(self, text: str, timeout: float = 8.0) -> tuple[str, list[str]]:
        """Sends a statement; returns its id and the lines of the answer."""
        Client.numbers += 1
        query_id = f"{self.name}-{Client.numbers}"
        assert self._writer is not None
        self._record("sent", id=query_id, text=text)
        self._writer.write(f"QUERY {query_id} {text}\r\n".encode())
        lines = []
        try:
            async with asyncio.timeout(timeout):
                while not lines or not lines[-1].startswith("READY"):
                    lines.append(await self._line())
        except (OSError, TimeoutError, ClientClosed) as error:
            self._record("no_answer", id=query_id, error=type(error).__name__)
            raise ClientClosed from error
        self._record("answered", id=query_id, lines=lines)
        return query_id, lines

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()

    async def _line(self) -> str:
        assert self._reader is not None
        line = await self._reader.readline()
        if not line.endswith(b"\r\n"):
            raise ClientClosed
        return line.decode().rstrip("\r\n")
