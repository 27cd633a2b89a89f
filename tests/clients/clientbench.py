"""Runs a control daemon and a proxy as processes, for crowds of misbehaving clients.

Limits are a part of those of a VM, so that a small crowd exceeds them.
"""

import asyncio
import json
import os
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import fake_members
from loopback import own_host
from system import Client, make_document

ROOT = Path(__file__).resolve().parents[2]
SOURCES = ("packages/core/src", "packages/daemon/src", "platform", "tests/clients")
PROGRAM = "import launcher; launcher.main()"
MEMORY_MB = {"edge": 100, "control_plane": 128}
MAX_DESCRIPTORS = 260
PEER_PORT, CONTROL_PORT, CLIENT_PORT, READINESS_PORT = 21_001, 21_002, 21_003, 21_004
START_TIMEOUT_SECONDS = 20.0
# An ordinary request is repeated for this long until it is served.
REQUEST_TIMEOUT_SECONDS = 20.0
SAMPLE_INTERVAL_SECONDS = 0.05
LARGE_ROW_BYTES = 512 * 1024
RECEIVE_BUFFER_BYTES = 8_192

Crowd = Callable[["Bench"], Awaitable[None]]


class LargeRows(fake_members.FakeConnection):
    """Answers ``FETCH large`` with a row of ``LARGE_ROW_BYTES``."""

    def run(self, text: str) -> str:
        if text == "FETCH large":
            return f"ROW {'x' * LARGE_ROW_BYTES}\r\nCOMPLETE s.1"
        return super().run(text)


class Process:
    """A daemon process whose memory and descriptors are watched."""

    def __init__(self, folder: Path, role: str, host: str, seed: str) -> None:
        self.role = role
        self.log = folder / f"{role}.log"
        self.max_descriptors = 0
        self._file = folder / f"{role}.json"
        listen = {"control": f"{host}:{CONTROL_PORT}"}
        if role == "edge":
            listen = {"front": f"{host}:{CLIENT_PORT}"}
            listen["readiness"] = f"{host}:{READINESS_PORT}"
        settings = {
            "node_name": role, "ip": host, "zone": "one", "serves": [role],
            "listen_addrs": listen, "internal_port_range": [PEER_PORT, PEER_PORT],
            "seeds": [f"{seed}:1"], "bootstrap": True,
            "data_dir": str(folder / role), "cloud_api": {"address": f"{seed}:2"},
            "fault_tolerance": {"machines": 0},
            "limits": {"memory_mb": MEMORY_MB[role], "max_fds": MAX_DESCRIPTORS},
        }  # fmt: skip
        (folder / role).mkdir()
        self._file.write_text(json.dumps(settings))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {
            "PATH": os.environ["PATH"],
            "BRONZEMOOR_NODE_FILE": str(self._file),
            "PYTHONPATH": os.pathsep.join(str(ROOT / path) for path in SOURCES),
        }
        with self.log.open("a") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", PROGRAM, str(MAX_DESCRIPTORS),
                cwd=self.log.parent, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    async def end(self) -> None:
        if self._process is not None:
            with suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    @property
    def lives(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def peak_mb(self) -> float:
        """Returns the highest resident memory since the start."""
        assert self._process is not None
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise ValueError("no VmHWM")

    async def watch(self) -> None:
        """Records the highest number of open descriptors."""
        assert self._process is not None
        while True:
            with suppress(FileNotFoundError):
                number = len(os.listdir(f"/proc/{self._process.pid}/fd"))
                self.max_descriptors = max(self.max_descriptors, number)
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)


class Bench:
    """One control daemon, one proxy and a group of members in this process."""

    def __init__(self, folder: Path) -> None:
        base = own_host().rpartition(".")[0]
        self.proxy_host, self.control_host = f"{base}.12", f"{base}.11"
        self.proxy = Process(folder, "edge", self.proxy_host, self.control_host)
        self.control = Process(
            folder, "control_plane", self.control_host, self.control_host
        )
        self.group = fake_members.FakeGroup("ledger")
        self.writers: list[asyncio.StreamWriter] = []
        self.readers: list[asyncio.StreamReader] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._sequence = 0

    async def start(self) -> None:
        await self.group.start()
        for process in (self.control, self.proxy):
            await process.start()
            self.spawn(process.watch())
        self.spawn(self._announce_forever())
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            document = make_document(1).encode()
            while await self.request("PUT", "/bronzemoor/config", document) != 200:
                await asyncio.sleep(0.1)
            while not await self.serves_statement():
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        for process in (self.proxy, self.control):
            await process.end()
        await self.group.stop()

    def spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    # --- ordinary callers

    async def serves_statement(self) -> bool:
        """Returns whether a write through the proxy succeeds."""
        self._sequence += 1
        try:
            async with asyncio.timeout(3.0):
                address = f"{self.proxy_host}:{CLIENT_PORT}"
                client = await Client.open(address, "orders")
                try:
                    lines = await client.call(f"STORE ordinary{self._sequence} v")
                finally:
                    client.close()
                return lines[-2].startswith("COMPLETE")
        except (OSError, TimeoutError, IndexError):
            return False

    async def serves_control_requests(self) -> bool:
        """Returns whether a heartbeat and a read of the document succeed."""
        return (
            await self._send_heartbeat("ledger-a")
            and await self.request("GET", "/bronzemoor/config") == 200
        )

    async def request(self, method: str, path: str, body: bytes = b"") -> int:
        """Returns the status of an HTTP request, 0 without an answer."""
        head = f"{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer = None
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(
                    self.control_host, CONTROL_PORT
                )
                writer.write(head.encode() + body)
                return int((await reader.readline()).split()[1])
        except (OSError, TimeoutError, IndexError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def _send_heartbeat(self, name: str) -> bool:
        self._sequence += 1
        member = self.group.members[name]
        body = {
            "service": "ledger", "address": member.address, "zone": "one",
            "state": "ready", "db_role": "primary" if member.primary else "replica",
            "sequence": self._sequence,
        }  # fmt: skip
        path = f"/bronzemoor/instances/{name}"
        return await self.request("PUT", path, json.dumps(body).encode()) == 200

    async def _announce_forever(self) -> None:
        while True:
            for name in self.group.members:
                await self._send_heartbeat(name)
            await asyncio.sleep(0.4)

    # --- crowds

    async def connect(self, number: int, role: str = "edge") -> None:
        """Opens connections that read nothing unless the test does."""
        host, port = self.proxy_host, CLIENT_PORT
        if role == "control_plane":
            host, port = self.control_host, CONTROL_PORT
        loop = asyncio.get_running_loop()
        for _ in range(number):
            opened = socket.socket()
            opened.setblocking(False)
            # Keeps the kernel from taking what the client does not read.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            try:
                async with asyncio.timeout(1.0):
                    await loop.sock_connect(opened, (host, port))
                    reader, writer = await asyncio.open_connection(
                        sock=opened, limit=1_024
                    )
            except (OSError, TimeoutError):
                opened.close()
                continue
            self.readers.append(reader)
            self.writers.append(writer)

    async def open_sessions(self, number: int) -> None:
        await self.connect(number)
        await self.send_to_all(b"START orders crowd\r\n")

    async def send_to_all(self, data: bytes, piece: int = 0) -> None:
        """Sends the same data on each connection, one piece after the other."""
        piece = piece or len(data)
        for start in range(0, len(data), piece):
            for writer in self.writers:
                if not writer.is_closing():
                    writer.write(data[start : start + piece])
            await asyncio.sleep(0)
        with suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                await asyncio.gather(
                    *(writer.drain() for writer in self.writers),
                    return_exceptions=True,
                )


def run_crowd(crowd: Crowd, role: str = "edge") -> None:
    """Checks that a process withstands the crowd and serves an ordinary request.

    The crowd's connections stay open until the request is served.
    """

    async def main() -> None:
        with tempfile.TemporaryDirectory() as folder:
            bench = Bench(Path(folder))
            try:
                await bench.start()
                process = bench.proxy if role == "edge" else bench.control
                start_mb = process.peak_mb
                await crowd(bench)
                served = await _until_served(bench, role)
                assert process.lives, process.log.read_text()[-2_000:]
                peak, descriptors = process.peak_mb, process.max_descriptors
                print(f"start {start_mb:.0f} MB, peak {peak:.0f} MB, fds {descriptors}")
                found = {
                    "memory": peak <= MEMORY_MB[role],
                    "descriptors": descriptors < MAX_DESCRIPTORS,
                    "served": served,
                }
                assert all(found.values()), (found, round(peak), descriptors)
            finally:
                await bench.stop()

    fake_connection = fake_members.FakeConnection
    fake_members.FakeConnection = LargeRows
    try:
        asyncio.run(main())
    finally:
        fake_members.FakeConnection = fake_connection


async def _until_served(bench: Bench, role: str) -> bool:
    serves = bench.serves_statement if role == "edge" else bench.serves_control_requests
    with suppress(TimeoutError):
        async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
            while not await serves():
                await asyncio.sleep(0.2)
            return True
    return False
