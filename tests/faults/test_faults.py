"""A short run of the fault bench with a fixed seed, and what its faults rely on."""

import asyncio
import socket
import struct

import pytest
from faultbench import run_seed
from faultchecks import Attempt, Checker, Statement
from faultmembers import FaultGroup, FaultMember
from faultnet import Network
from faultschedule import make_schedule

DURATION_SECONDS = 6.0
SIZES = (5, 3, 2)
CALLER, CALLED = "127.0.0.7", "127.0.0.8"


def test_a_short_run_of_faults_breaks_no_rule():
    """Guards against orders and commits that act beyond their leader or primary."""
    broken, text = run_seed(1, DURATION_SECONDS, SIZES)
    assert broken == {}, text


def test_a_seed_gives_the_same_faults_again():
    """Guards against a failed seed that cannot be repeated."""
    assert make_schedule(4, 60.0, *SIZES) == make_schedule(4, 60.0, *SIZES)
    assert make_schedule(4, 60.0, *SIZES) != make_schedule(5, 60.0, *SIZES)


@pytest.mark.parametrize(
    ("resets", "keeps_bytes", "delivered"),
    [(False, False, b"order"), (True, False, b""), (True, True, b"order")],
)
def test_a_cut_link_delivers_what_the_kernel_would(resets, keeps_bytes, delivered):
    """Guards against a bench that delivers reset orders, or loses closed ones."""
    assert asyncio.run(send_over_cut_link(resets, keeps_bytes)) == delivered


async def send_over_cut_link(resets: bool, keeps_bytes: bool) -> bytes:
    """Sends over a cut link and closes; returns what arrives once it heals."""
    received: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        received.set_result(await reader.read())
        writer.close()

    server = await asyncio.start_server(serve, CALLED, 0)
    port = server.sockets[0].getsockname()[1]
    network = Network(peer_port=1, keeps_bytes=keeps_bytes)
    await network.start("127.0.0.1")
    host, _, relay_port = network.relay.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(relay_port))
    writer.write(f"{CALLER} {CALLED}:{port}\n".encode())
    assert await reader.readexactly(1) == b"+"
    network.block([(CALLER, CALLED)])
    writer.write(b"order")
    await asyncio.sleep(0.1)
    if resets:
        linger = struct.pack("ii", 1, 0)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
    else:
        writer.close()
    await asyncio.sleep(0.2)
    assert not received.done()
    network.unblock([(CALLER, CALLED)])
    async with asyncio.timeout(2):
        result = await received
    network.stop()
    server.close()
    return result


@pytest.mark.parametrize(
    ("deaf", "promoted_first", "broken"),
    [
        (set(), False, {}),
        ({"c"}, False, {"LOST": 1}),
        ({"c"}, True, {"ONE": 1}),
    ],
)
def test_the_checker_sees_a_commit_that_is_lost(tmp_path, deaf, promoted_first, broken):
    """Guards against a bench that finds nothing because it is blind."""
    checker = asyncio.run(commit_and_promote(tmp_path, deaf, promoted_first))
    assert checker.violations == broken


async def commit_and_promote(folder, deaf, promoted_first) -> Checker:
    """Commits at ``a`` and promotes ``c``; a client is told of the commit."""
    network = Network(peer_port=1)
    checker = Checker(folder, network)
    group = FaultGroup("ledger", network, checker)
    for number, name in enumerate("abc"):
        address = f"127.0.0.{number + 1}:1"
        group.members[name] = FaultMember(group, name, "north", address)
        group.members[name].up = True
    group.members["a"].primary, group.deaf = True, deaf
    attempt = Attempt("session", "127.0.0.9", False, "done", ["w"])
    checker.statements["w"] = Statement(attempt, "STORE", {})
    commit = asyncio.ensure_future(group.commit(group.members["a"], ("w",)))
    await asyncio.sleep(0)
    if promoted_first:
        group.promote("c")
    group._send_log(group.members["a"])
    await commit
    group.promote("c")
    checker.finish([group])
    return checker


def test_the_checker_sees_a_lower_fence_of_another_holder(tmp_path):
    """Guards against a bench that misses an order of an earlier leader."""
    checker = Checker(tmp_path, Network(peer_port=1))
    call = {"service": "ledger", "member": "a"}
    for holder, fence in (("one", 2), ("one", 1), ("two", 3), ("one", 2), ("one", 3)):
        checker.record("promotion_call", **call, holder=holder, fence=fence)
    assert checker.violations == {"ONE": 2}
