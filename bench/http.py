"""Throughput, latency and idle connections of one daemon, measured over HTTP."""

import json
import socket
from collections.abc import Callable, Iterator
from itertools import count
from statistics import median
from time import perf_counter, sleep

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated

from bench.load import LoadResult, closed_loop, encode_request, open_loop
from bench.processes import (
    DATABASE,
    INSERT,
    SELECT,
    ChildProcess,
    daemon_and_group,
    request_body,
    running_child,
)
from bench.registry import Result, at_least, at_most, benchmark
from bronzemoor_daemon.framing import FramedTransport, connect
from bronzemoor_daemon.gen.endpoint import Endpoint, ttypes

LOAD_SECONDS = 4.0
CONNECTIONS = 16
# Requests per second for which the added latency has a target.
TARGET_RATE = 378
IDLE_CONNECTIONS = 10_000
ROUNDS = 24

_request_numbers = count(1)


def read_request(statements: int = 1) -> bytes:
    body = request_body("read", SELECT, ["seed"], statements)
    return encode_request("/v1/statements", json.dumps(body).encode())


def write_request() -> bytes:
    number = next(_request_numbers)
    body = request_body("write", INSERT, [f"c{number % 500}"], request_id=f"w{number}")
    return encode_request("/v1/statements", json.dumps(body).encode())


def measure_throughput(
    daemon: ChildProcess, make_request: Callable[[], bytes], connections: int
) -> LoadResult:
    return closed_loop(daemon.host_port, make_request, connections, LOAD_SECONDS)


@benchmark
def floor() -> Iterator[Result]:
    """Baseline: the web server alone, without parsing, core or endpoint."""
    request = read_request()
    for kind in ("cherrypy", "wsgi"):
        with running_child("floor", kind=kind) as child:
            for connections in (1, CONNECTIONS):
                result = measure_throughput(child, lambda: request, connections)
                name = f"floor.{kind}.{connections}_connections"
                yield Result(name, result.rate, "requests/s")


@benchmark
def statements() -> Iterator[Result]:
    """Statements per second through HTTP, the core and stand-in endpoints."""
    with daemon_and_group() as (daemon, _):
        read, batch = read_request(), read_request(10)
        for connections in (1, CONNECTIONS, 64):
            result = measure_throughput(daemon, lambda: read, connections)
            name = f"http.reads.{connections}_connections"
            yield at_least(name, result.rate, "statements/s", 1_000)
            yield at_most(f"{name}.failures", result.failures, "requests", 0)
        result = measure_throughput(daemon, lambda: batch, CONNECTIONS)
        yield at_least("http.reads.batch_10", result.rate * 10, "statements/s", 1_000)
        # Limited by the stand-in group, whose three members share one process.
        result = measure_throughput(daemon, write_request, CONNECTIONS)
        yield Result("http.writes.16_connections", result.rate, "statements/s")


def direct_latency(address: str) -> float:
    """Median milliseconds of the same read sent to the endpoint at ``TARGET_RATE``."""
    transport = FramedTransport(connect(address, 2))
    client = Endpoint.Client(TBinaryProtocolAccelerated(transport))
    client.hello(ttypes.Hello(1, "bench", DATABASE))
    zero = ttypes.Position(0, 0)
    latencies = []
    for number in range(2, int(TARGET_RATE * LOAD_SECONDS)):
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
        sleep(1 / TARGET_RATE)
    transport.close()
    return median(latencies) * 1000


@benchmark
def added_latency() -> Iterator[Result]:
    """Latency at the target rate, minus the median of the endpoint itself."""
    with daemon_and_group() as (daemon, group):
        direct = direct_latency(group.address)
        yield Result("endpoint.direct.median", direct, "ms")
        request = read_request()
        result = open_loop(
            daemon.host_port,
            lambda: request,
            CONNECTIONS,
            3 * LOAD_SECONDS,
            TARGET_RATE,
        )
        yield at_least("http.378.rate", result.rate, "statements/s", 0.99 * TARGET_RATE)
        added = result.quantile(0.5) - direct
        yield at_most("http.378.added_median", added, "ms", 2)
        added = result.quantile(0.99) - direct
        yield at_most("http.378.added_p99", added, "ms", 10)


@benchmark
def idle_connections() -> Iterator[Result]:
    """Memory and latency with many idle client connections."""
    with daemon_and_group(backlog=4096) as (daemon, _):
        request = read_request()
        open_loop(daemon.host_port, lambda: request, CONNECTIONS, 1, TARGET_RATE)
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
            result = open_loop(
                daemon.host_port,
                lambda: request,
                CONNECTIONS,
                LOAD_SECONDS,
                TARGET_RATE,
            )
            yield at_most("idle.failures", result.failures, "requests", 0)
            yield Result("idle.378.median", result.quantile(0.5), "ms")
            yield Result("idle.378.p99", result.quantile(0.99), "ms")
        finally:
            for connection in idle:
                connection.close()


@benchmark
def observability() -> Iterator[Result]:
    """Throughput with metrics and sampled traces, compared with neither.

    One daemon is switched between both modes in alternating order, because two
    processes differ by more than the cost to be measured.
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
                    daemon.set_observability(mode)
                    result = closed_loop(daemon.host_port, lambda: request, 1, 0.5)
                    rates[mode].append(result.rate)
    yield Result("observability.off", median(rates["off"]), "statements/s")
    yield Result("observability.on", median(rates["on"]), "statements/s")
    pairs = zip(rates["off"], rates["on"], strict=True)
    cost = median(1 - on / off for off, on in pairs)
    yield at_most("observability.cost", cost * 100, "%", 5)
