"""Single-threaded HTTP load: closed loop for throughput, open loop for latency."""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from time import perf_counter, sleep

Address = tuple[str, int]


@dataclass(slots=True)
class LoadResult:
    """Latencies in seconds, each from the intended send time to the whole answer."""

    seconds: float
    latencies: list[float] = field(default_factory=list)
    failures: int = 0

    @property
    def rate(self) -> float:
        """Answers per second."""
        return len(self.latencies) / self.seconds

    def quantile(self, fraction: float) -> float:
        """Returns the latency quantile for ``fraction``, in milliseconds."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000


def encode_request(path: str, body: bytes) -> bytes:
    """Returns a complete HTTP/1.1 POST request."""
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
        """Reads available data; returns the status of a complete answer, or else 0."""
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
    address: Address,
    make_request: Callable[[], bytes],
    connections: int,
    seconds: float,
) -> LoadResult:
    """Sends the next request on each connection once the previous one is answered."""
    return _run(address, make_request, connections, seconds, 0.0)


def open_loop(
    address: Address,
    make_request: Callable[[], bytes],
    connections: int,
    seconds: float,
    rate: float,
) -> LoadResult:
    """Sends ``rate`` requests per second; waiting for a connection adds to latency."""
    return _run(address, make_request, connections, seconds, rate)


def _run(
    address: Address,
    make_request: Callable[[], bytes],
    connections: int,
    seconds: float,
    rate: float,
) -> LoadResult:
    result = LoadResult(seconds)
    poller = select.poll()
    idle = [_Connection(address) for _ in range(connections)]
    by_descriptor = {connection.socket.fileno(): connection for connection in idle}
    for descriptor in by_descriptor:
        poller.register(descriptor, select.POLLIN)
    start = perf_counter()
    end, due = start + seconds, start
    while (now := perf_counter()) < end:
        while idle and (not rate or due <= now):
            connection = idle.pop()
            connection.due = due if rate else now
            connection.socket.sendall(make_request())
            if rate:
                due += 1 / rate
        wait_ms = 100.0 if not rate or not idle else max(0.0, (due - now) * 1000)
        if 0 < wait_ms < 1.5:
            # poll() rounds up to whole milliseconds, which would delay the next send.
            sleep(min(wait_ms / 1000, 0.0002))
            wait_ms = 0
        for descriptor, _ in poller.poll(wait_ms):
            connection = by_descriptor[descriptor]
            status = connection.receive()
            if status:
                result.latencies.append(perf_counter() - connection.due)
                result.failures += status != 200
                idle.append(connection)
    for connection in by_descriptor.values():
        connection.socket.close()
    return result
