"""A relay between all VMs that cuts, delays and drops what is sent between them.

A VM is named by its IP address. Faults hold for one direction each: (source, target),
where ``*`` stands for all VMs. A relay acknowledges bytes that the target never reads,
so it also stands for the sender's kernel, which holds and retransmits them:

* Bytes sent over a cut link are held and delivered once it heals, also those of a
  connection that was closed in the meantime (FIN).
* Those of a connection that its sender resets (SO_LINGER 0) are discarded, as a kernel
  does; and so are those held for longer than the connection's TCP_USER_TIMEOUT.
* What is on its way when a link is cut or a VM stands still is held as well: it counts
  as lost at first and then retransmitted.
* With ``keeps_bytes`` both are delivered after all, as by a network that holds bytes.
"""

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable

TICK_SECONDS = 0.01
# TCP_USER_TIMEOUT of the daemons' connections among themselves and to members; members
# drop a connection whose other end is unreachable for as long as the latter. A closed
# connection without such a timeout is retransmitted for about this time.
PEER_TIMEOUT_SECONDS = 1.5
MEMBER_TIMEOUT_SECONDS = 3.0
ORPHAN_TIMEOUT_SECONDS = 100.0

Way = tuple[str, str]


class Network:
    """The links between all VMs, with the faults in force."""

    def __init__(self, peer_port: int, keeps_bytes: bool = False) -> None:
        self.keeps_bytes = keeps_bytes
        self.member_vms: set[str] = set()
        self.connections: set[Connection] = set()
        self.relay = ""
        # Called once with the sender's VM, before bytes to the VM are forwarded.
        self.armed: dict[str, Callable[[str], None]] = {}
        self._peer_port = peer_port
        self._blocks: Counter[Way] = Counter()
        self._lags: dict[str, float] = {}
        # Start and end of each block, times of ``time.monotonic``.
        self._history: list[tuple[Way, list[float]]] = []
        self._server: asyncio.Server | None = None
        self._watch: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.relay = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._watch = asyncio.get_running_loop().create_task(self._expire())

    def stop(self) -> None:
        if self._server is not None and self._watch is not None:
            self._server.close()
            self._watch.cancel()
        for connection in self.connections:
            connection.abort()

    # --- faults

    def block(self, ways: list[Way]) -> None:
        for way in ways:
            self._blocks[way] += 1
            self._history.append((way, [time.monotonic(), float("inf")]))

    def unblock(self, ways: list[Way]) -> None:
        for way in ways:
            self._blocks[way] -= 1
            spans = (s for w, s in self._history if w == way and s[1] == float("inf"))
            next(spans)[1] = time.monotonic()

    def drop(self, vm: str) -> None:
        """Makes the VM's connections dead: their bytes are lost, without a reset."""
        for connection in self.connections:
            connection.is_dead |= vm in connection.ends

    def set_lag(self, vm: str, seconds: float) -> None:
        """Delays all that is sent to the VM."""
        self._lags[vm] = seconds

    def lag(self, vm: str) -> float:
        return self._lags.get(vm, 0.0)

    def blocked(self, source: str, target: str) -> bool:
        ways = ((source, target), (source, "*"), ("*", target))
        return source != target and any(self._blocks[way] > 0 for way in ways)

    def reachable(self, source: str, target: str) -> bool:
        return not (self.blocked(source, target) or self.blocked(target, source))

    def disrupted(self, ends: Way, at: float, within: float) -> bool:
        """Whether a link of the two VMs was blocked in the seconds before ``at``."""
        return any(
            set(way) <= {*ends, "*"} and start <= at and end >= at - within
            for way, (start, end) in self._history
        )

    # --- connections

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            source, address = (await reader.readline()).decode().split()
            target, _, port = address.rpartition(":")
            if source == "timeout-ms":
                self._set_timeout(int(target), int(port) / 1_000)
                writer.write(b"+")
                return writer.close()
            await asyncio.sleep(self.lag(target))
            while not self.reachable(source, target):
                if reader.at_eof() or reader.exception():
                    return writer.close()
                await asyncio.sleep(TICK_SECONDS)
            other = await asyncio.open_connection(target, int(port))
        except (OSError, ValueError):
            return writer.close()
        timeout = ORPHAN_TIMEOUT_SECONDS
        if target in self.member_vms:
            timeout = MEMBER_TIMEOUT_SECONDS
        elif int(port) == self._peer_port:
            timeout = PEER_TIMEOUT_SECONDS
        writer.write(b"+")
        ends = (source, target)
        connection = Connection(self, ends, timeout, (reader, writer), other)
        connection.port = writer.get_extra_info("peername")[1]
        self.connections.add(connection)
        await connection.run()
        self.connections.discard(connection)
        return None

    def _set_timeout(self, port: int, seconds: float) -> None:
        """Takes the TCP_USER_TIMEOUT of the caller's socket at the port."""
        for connection in self.connections:
            if connection.port == port:
                connection.timeout = seconds

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for connection in list(self.connections):
                connection.expire(time.monotonic())


class Connection:
    """A relayed connection; ``ends`` are the VMs of the caller and of the called."""

    def __init__(
        self, network: Network, ends: Way, timeout: float, caller: tuple, called: tuple
    ) -> None:
        self.network = network
        self.ends = ends
        self.is_dead = False
        self.port = 0
        self.timeout = timeout
        self._blocked_since = 0.0
        self._pipes = (
            Pipe(self, ends, caller[0], called[1]),
            Pipe(self, ends[::-1], called[0], caller[1]),
        )

    async def run(self) -> None:
        tasks = [task for pipe in self._pipes for task in (pipe.receive, pipe.deliver)]
        await asyncio.gather(*(task() for task in tasks))

    def abort(self) -> None:
        for pipe in self._pipes:
            pipe.writer.transport.abort()

    def expire(self, now: float) -> None:
        """Breaks the connection if its timeout has passed without an acknowledgement.

        The sender's end ends at once, the other one when the link heals.
        """
        if self.network.reachable(*self.ends):
            self._blocked_since = 0.0
            return
        self._blocked_since = self._blocked_since or now
        out, back = self._pipes
        to_member = self.ends[1] in self.network.member_vms
        if to_member and now - self._blocked_since > self.timeout:
            out.writer.transport.abort()
        if self.network.keeps_bytes or self.is_dead:
            return
        for pipe, reverse in ((out, back), (back, out)):
            if pipe.held_since and now - pipe.held_since > self.timeout:
                reverse.writer.transport.abort()
                pipe.reset()


class Pipe:
    """One direction of a connection; ``way`` names the VMs."""

    def __init__(
        self,
        connection: Connection,
        way: Way,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writer = writer
        self._connection = connection
        self._network = connection.network
        self._way = way
        self._reader = reader
        # Time of arrival and bytes; none means a close, None a reset.
        self._held: deque[tuple[float, bytes | None]] = deque()
        self._arrived = asyncio.Event()

    @property
    def held_since(self) -> float:
        return self._held[0][0] if self._held else 0.0

    async def receive(self) -> None:
        try:
            while data := await self._reader.read(65_536):
                if armed := self._network.armed.pop(self._way[1], None):
                    armed(self._way[0])
                self._hold(data)
            self._hold(b"")
        except OSError:
            self.reset()

    def reset(self) -> None:
        """Takes a reset by the sender, which also ends what is held."""
        if not self._network.keeps_bytes:
            self._held.clear()
        self._hold(None)

    async def deliver(self) -> None:
        """Delivers in order until the connection ends."""
        while True:
            await self._arrived.wait()
            if not self._held:
                self._arrived.clear()
                continue
            while self._must_wait():
                await asyncio.sleep(TICK_SECONDS)
            if not self._held:
                continue
            _, data = self._held.popleft()
            if not data:
                if data is None:
                    self.writer.transport.abort()
                elif not self._connection.is_dead:
                    self.writer.close()
                return
            if not (self._connection.is_dead or self.writer.is_closing()):
                self.writer.write(data)

    def _must_wait(self) -> bool:
        if not self._held or self._connection.is_dead:
            return False
        due = self._held[0][0] + self._network.lag(self._way[1])
        return time.monotonic() < due or self._network.blocked(*self._way)

    def _hold(self, data: bytes | None) -> None:
        self._held.append((time.monotonic(), data))
        self._arrived.set()
