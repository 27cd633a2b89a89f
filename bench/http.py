"""Throughput, latency and connections of one daemon over its whole HTTP path."""

import json
import socket
from collections.abc import Callable, Iterator
from itertools import count
from statistics import median
from time import perf_counter, sleep

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated

from bench.load import Measured, closed_loop, encode_request, open_loop
from bench.processes import (
    DATABASE,
    INSERT,
    SELECT,
    Child,
    daemon_and_group,
    started,
    statement,
)
from bench.registry import Result, at_least, at_most, benchmark
from bronzemoor_daemon.framing import FramedTransport, connect
from bronzemoor_daemon.gen.endpoint import Endpoint, ttypes

SECONDS = 4.0
CONNECTIONS = 16
# The rate at which the added latency has a target, requests per second.
RATE = 378
IDLE_CONNECTIONS = 10_000
ROUNDS = 24

_numbers = count(1)


def read_request(statements: int = 1) -> bytes:
    body = statement("read", SELECT, ["seed"], statements)
    return encode_request("/v1/statements", json.dumps(body).encode())


def write_request() -> bytes:
    number = next(_numbers)
    body = statement("write", INSERT, [f"c{number % 500}"], request_id=f"w{number}")
    return encode_request("/v1/statements", json.dumps(body).encode())


def throughput(daemon: Child, make: Callable[[], bytes], connections: int) -> Measured:
    return closed_loop(daemon.host_port, make, connections, SECONDS)


@benchmark
def floor() -> Iterator[Result]:
    """The web server alone, without parsing, core or endpoint."""
    request = read_request()
    for kind in ("cherrypy", "wsgi"):
        with started("floor", kind=kind) as child:
            for connections in (1, CONNECTIONS):
                measured = throughput(child, lambda: request, connections)
                name = f"floor.{kind}.{connections}_connections"
                yield Result(name, measured.rate, "requests/s")


@benchmark
def statements() -> Iterator[Result]:
    """Statements per second through HTTP, core and stand-in endpoints."""
    with daemon_and_group() as (daemon, _):
        read, batch = read_request(), read_request(10)
        for connections in (1, CONNECTIONS, 64):
            measured = throughput(daemon, lambda: read, connections)
            name = f"http.reads.{connections}_connections"
            yield at_least(name, measured.rate, "statements/s", 1_000)
            yield at_most(f"{name}.failures", measured.failures, "requests", 0)
        measured = throughput(daemon, lambda: batch, CONNECTIONS)
        yield at_least("http.reads.batch_10", measured.rate * 10, "statements/s", 1_000)
        # Limited by the stand-in group, whose three members share one process.
        measured = throughput(daemon, write_request, CONNECTIONS)
        yield Result("http.writes.16_connections", measured.rate, "statements/s")


def direct_latency(address: str) -> float:
    """Median milliseconds of the same read straight at the endpoint, at ``RATE``."""
    transport = FramedTransport(connect(address, 2))
    client = Endpoint.Client(TBinaryProtocolAccelerated(transport))
    client.hello(ttypes.Hello(1, "bench", DATABASE))
    zero = ttypes.Position(0, 0)
    latencies = []
    for number in range(2, int(RATE * SECONDS)):
        call = ttypes.Execute(
            correlation_id=number,
            request_id="",
            digest="",
            statements=[ttypes.Statement(SELECT, b'["seed"]')],
            read_only=True,
            recorded=False,
            min_position=zero,
            wait_ms=1,
            deadline_ms=1000,
        )
        before = perf_counter()
        client.execute(call)
        latencies.append(perf_counter() - before)
        sleep(1 / RATE)
    transport.close()
    return median(latencies) * 1000


@benchmark
def added_latency() -> Iterator[Result]:
    """Latency at the rate of the target, less the endpoint's own median."""
    with daemon_and_group() as (daemon, group):
        direct = direct_latency(group.address)
        yield Result("endpoint.direct.median", direct, "ms")
        request = read_request()
        measured = open_loop(
            daemon.host_port, lambda: request, CONNECTIONS, 3 * SECONDS, RATE
        )
        yield at_least("http.378.rate", measured.rate, "statements/s", 0.99 * RATE)
        added = measured.quantile(0.5) - direct
        yield at_most("http.378.added_median", added, "ms", 2)
        added = measured.quantile(0.99) - direct
        yield at_most("http.378.added_p99", added, "ms", 10)


@benchmark
def idle_connections() -> Iterator[Result]:
    """Memory and service with many idle client connections."""
    with daemon_and_group(backlog=4096) as (daemon, _):
        request = read_request()
        open_loop(daemon.host_port, lambda: request, CONNECTIONS, 1, RATE)
        before = daemon.resident_bytes
        idle = []
        try:
            for _ in range(IDLE_CONNECTIONS):
                connection = socket.create_connection(daemon.host_port, 5)
                idle.append(connection)
                connection.sendall(b"GET /live HTTP/1.1\r\nHost: bench\r\n\r\n")
                connection.recv(4096)
            used = daemon.resident_bytes - before
            yield at_least("idle.connections", len(idle), "connections", 10_000)
            yield Result("idle.bytes_each", used / len(idle), "bytes")
            measured = open_loop(
                daemon.host_port, lambda: request, CONNECTIONS, SECONDS, RATE
            )
            yield at_most("idle.failures", measured.failures, "requests", 0)
            yield Result("idle.378.median", measured.quantile(0.5), "ms")
            yield Result("idle.378.p99", measured.quantile(0.99), "ms")
        finally:
            for connection in idle:
                connection.close()


@benchmark
def observability() -> Iterator[Result]:
    """Throughput with metrics and sampled traces against none.

    One daemon is switched between both, in changing order: two processes differ by
    more than the cost that is looked for.
    """
    request = read_request()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as statsd:
        statsd.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{statsd.getsockname()[1]}"
        with daemon_and_group(statsd=address, trace_ratio=0.01) as (daemon, _):
            rates: dict[str, list[float]] = {"off": [], "on": []}
            for number in range(ROUNDS):
                order = ("off", "on") if number % 2 else ("on", "off")
                for mode in order:
                    daemon.switch(mode)
                    measured = closed_loop(daemon.host_port, lambda: request, 1, 0.5)
                    rates[mode].append(measured.rate)
    yield Result("observability.off", median(rates["off"]), "statements/s")
    yield Result("observability.on", median(rates["on"]), "statements/s")
    pairs = zip(rates["off"], rates["on"], strict=True)
    cost = median(1 - on / off for off, on in pairs)
    yield at_most("observability.cost", cost * 100, "%", 5)
