"""HTTP load from one thread: closed loop for throughput, open loop for latency."""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from time import perf_counter, sleep

Address = tuple[str, int]


@dataclass(slots=True)
class Measured:
    """Seconds from the intended send time to the whole answer, by request."""

    seconds: float
    latencies: list[float] = field(default_factory=list)
    failures: int = 0

    @property
    def rate(self) -> float:
        """Answers per second."""
        return len(self.latencies) / self.seconds

    def quantile(self, share: float) -> float:
        """Latency in milliseconds below which ``share`` of the answers lie."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


def encode_request(path: str, body: bytes) -> bytes:
    """A whole HTTP/1.1 POST request."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class _Connection:
    __slots__ = ("_expected", "_received", "due", "socket")

    def __init__(self, address: Address) -> None:
        self.socket = socket.create_connection(address, 5)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.due = 0.0
        self._received = b""
        self._expected = -1

    def receive(self) -> int:
        """Reads what is there; returns the status of a whole answer, or 0."""
        chunk = self.socket.recv(65_536)
        if not chunk:
            raise ConnectionError("closed by the server")
        self._received += chunk
        if self._expected < 0:
            head, separator, _ = self._received.partition(b"\r\n\r\n")
            if not separator:
                return 0
            length = head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
            self._expected = len(head) + 4 + int(length)
        if len(self._received) < self._expected:
            return 0
        status = int(self._received[9:12])
        self._received, self._expected = b"", -1
        return status


def closed_loop(
    address: Address, make: Callable[[], bytes], connections: int, seconds: float
) -> Measured:
    """Sends the next request on each connection as soon as it has its answer."""
    return _run(address, make, connections, seconds, 0.0)


def open_loop(
    address: Address,
    make: Callable[[], bytes],
    connections: int,
    seconds: float,
    rate: float,
) -> Measured:
    """Sends ``rate`` requests a second regardless of answers; waiting counts."""
    return _run(address, make, connections, seconds, rate)


def _run(
    address: Address,
    make: Callable[[], bytes],
    connections: int,
    seconds: float,
    rate: float,
) -> Measured:
    measured = Measured(seconds)
    poll = select.poll()
    idle = [_Connection(address) for _ in range(connections)]
    by_file = {item.socket.fileno(): item for item in idle}
    for number in by_file:
        poll.register(number, select.POLLIN)
    start = perf_counter()
    end, due = start + seconds, start
    while (now := perf_counter()) < end:
        while idle and (not rate or due <= now):
            item = idle.pop()
            item.due = due if rate else now
            item.socket.sendall(make())
            if rate:
                due += 1 / rate
        wait = 100.0 if not rate or not idle else max(0.0, (due - now) * 1000)
        if 0 < wait < 1.5:
            # poll() rounds up to whole milliseconds, which would delay the next send.
            sleep(min(wait / 1000, 0.0002))
            wait = 0
        for number, _ in poll.poll(wait):
            item = by_file[number]
            status = item.receive()
            if status:
                measured.latencies.append(perf_counter() - item.due)
                measured.failures += status != 200
                idle.append(item)
    for item in by_file.values():
        item.socket.close()
    return measured
