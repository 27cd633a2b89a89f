"""Starts the project's programs on loopback addresses, with stand-ins around them."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from members3 import Member, Service, call, text_of

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = {"tunis-a": "tunis", "sfax-a": "sfax", "sousse-a": "sousse"}
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 5000, "ack_ms": 6000,
    "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 15000,
    "recovery_s": 12, "require_fence": False, "thaw_ms": 300,
}  # fmt: skip
FRONT, READINESS, CONTROL, MEMBER, PLATFORM, INTERNAL = range(6)
METRICS_PORT = 9464
DATABASE = "lepu270"
SERVICES = ("dele69a", "kafi81c")
LIMIT_SECONDS = 110.0


class CannotRun(Exception):
    """The case could not be played."""


def run_line(kind: str) -> list[str]:
    """Returns the command of the deploy file for a class of machines."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    roles = deploy["roles"].values()
    return next(role["run"].split() for role in roles if role["on"] == kind)


class Machine:
    """A machine with one process of the project."""

    def __init__(self, system: "System", name: str, kind: str, zone: str, ip: str):
        self.system, self.name, self.kind, self.zone, self.ip = (
            system, name, kind, zone, ip,
        )  # fmt: skip
        self.process: asyncio.subprocess.Process | None = None
        self._starts = 0

    def address(self, port: int) -> str:
        return f"{self.ip}:{self.system.ports[port]}"

    def _write_settings(self) -> Path:
        ports, is_edge = self.system.ports, self.kind == "edge"
        listen = {"control": self.address(CONTROL)}
        if is_edge:
            listen = {
                "front": self.address(FRONT),
                "readiness": self.address(READINESS),
            }
        data = self.system.folder / self.name
        data.mkdir(exist_ok=True)
        settings = {
            "node_name": self.name, "role": "proxy" if is_edge else "control",
            "machine_class": self.kind,
            "serves": ["edge"] if is_edge else ["control_plane"], "ip": self.ip,
            "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
            "listen_addrs": listen,
            "internal_port_range": [ports[INTERNAL], ports[INTERNAL] + 15],
            "seeds": [m.address(CONTROL) for m in self.system.controls],
            "bootstrap": self._starts == 0, "counts_toward_loss": not is_edge,
            "limits": {
                "cpu_share": 0.537 if is_edge else 0.645, "cores": 2 if is_edge else 1,
                "memory_mb": 300, "max_fds": 4300, "link_mbps": 1000.0,
                "disk_mb": 0 if is_edge else 128,
            },
            "data_dir": None if is_edge else str(data),
            "discovery": "registry", "entry": "virtual_ip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest",
            "cloud_api": {
                "address": self.system.platform_address, "rate_per_s": 50.0,
                "duties": ["failover"], "duty_per_s": 50.0,
            },
        }  # fmt: skip
        path = self.system.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        return path

    async def start(self) -> None:
        path = self._write_settings()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        log = open(self.system.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *run_line(self.kind),
                cwd=ROOT, stdout=log, stderr=log, start_new_session=True,
                env={
                    **kept, "BRONZEMOOR_NODE_FILE": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
            )  # fmt: skip
        self._starts += 1

    async def kill(self) -> None:
        """Sends SIGKILL, as a failure of the process."""
        self.system.record(f"process {self.name} is killed")
        await self.end()

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.system.record(f"process {self.name} gets {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        process, self.process = self.process, None
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    def led_at(self) -> str:
        """Returns the time at which the process began to lead last, for the choice of
        whom to disrupt."""
        log = self.system.folder / f"{self.name}.log"
        lines = [x for x in log.read_text().splitlines() if " event=leading " in x]
        return lines[-1].split(" ")[0] if lines else ""

    async def lose_disk(self) -> None:
        """Kills the process and empties its disk."""
        await self.kill()
        self.system.record(f"machine {self.name} loses its disk")
        shutil.rmtree(self.system.folder / self.name)

    async def restart(self) -> None:
        self.system.record(f"process {self.name} starts again")
        await self.start()


class System:
    """Three control daemons, some proxies, services of three members each."""

    def __init__(
        self, folder: Path, record_path: Path, edges: int, services: int
    ) -> None:
        self.folder = folder
        self._record = open(record_path, "w")  # noqa: SIM115
        self._started_at = time.monotonic()
        prefix, self.ports = free_addresses()
        zones = list(ZONES)
        self.platform_address = f"{prefix}.200:{self.ports[PLATFORM]}"
        self.controls = [
            Machine(self, f"core-{zone}-1", "core", zone, f"{prefix}.{10 + i}")
            for i, zone in enumerate(zones)
        ]
        self.edges = [
            Machine(
                self, f"edge-{zones[i % 3]}-{1 + i // 3}", "edge", zones[i % 3],
                f"{prefix}.{30 + i}",
            )
            for i in range(edges)
        ]  # fmt: skip
        self.services: dict[str, Service] = {}
        for number, name in enumerate(SERVICES[:services]):
            service = self.services[name] = Service(name, self.record)
            for i, zone in enumerate(zones):
                member = f"i-{number + 1}{i + 1}a7"
                address = f"{prefix}.{50 + 10 * number + i}:{self.ports[MEMBER]}"
                service.members[member] = Member(service, member, address, zone)
            next(iter(service.members.values())).primary = True
        # The kind of the route in the first configuration.
        self.kind = "primary"
        # The only service of most cases.
        self.service = self.services[SERVICES[0]]
        # Answers to orders of promotion are held back for so long.
        self.promotion_delay = 0.0
        self.promotions: list[tuple[str, str, int]] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._platform: asyncio.Server | None = None

    @property
    def machines(self) -> list[Machine]:
        return [*self.controls, *self.edges]

    @property
    def control_addresses(self) -> list[str]:
        return [machine.address(CONTROL) for machine in self.controls]

    def record(self, text: str) -> None:
        seconds = time.monotonic() - self._started_at
        self._record.write(f"{seconds:8.3f} s  {text}\n")
        self._record.flush()

    def run(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def start(self) -> None:
        """Starts everything and waits until every proxy is ready."""
        host, port = self.platform_address.split(":")
        self._platform = await asyncio.start_server(self._serve_platform, host, port)
        for member in self.members:
            await member.start()
        for machine in self.machines:
            await machine.start()
        for service in self.services.values():
            self.run(service.replicate())
        for i, member in enumerate(self.members):
            i %= len(self.controls)
            controls = self.control_addresses[i:] + self.control_addresses[:i]
            self.run(member.send_heartbeats(controls))
        await self.until(
            lambda: self.put_config(kind=self.kind), 30.0, "the first configuration"
        )
        for edge in self.edges:
            await self.until(
                lambda e=edge: self.is_ready(e), 30.0, f"{edge.name} ready"
            )

    @property
    def members(self) -> list[Member]:
        return [m for s in self.services.values() for m in s.members.values()]

    async def put_config(
        self, version: int = 7, service: str = SERVICES[0], kind: str = "primary"
    ) -> bool:
        """Sends a configuration with one route, to ``service``."""
        body = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{service}", "database": DATABASE, "path_prefix": "/",
                    "route_type": kind, "timeout_ms": 800, "target_latency_ms": 800,
                    "priority": 2, "service": service, "max_attempts": 2,
                    "max_staleness_ms": 2500,
                },
            ],
            "services": [
                {
                    "name": name, "health_path": "/health", "max_conns": 38,
                    "protocol": "h1", "tls": False, "sync_replicas": 1,
                }
                for name in self.services
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                "tx_idle_ms": 3000,
            },
        }  # fmt: skip
        for address in self.control_addresses:
            status, _ = await call(address, "PUT", "/bronzemoor/config", body)
            if status == 200:
                self.record(f"configuration {version} acknowledged: {service}, {kind}")
                return True
        return False

    async def is_ready(self, edge: Machine) -> bool:
        address = edge.address(READINESS)
        return (await call(address, "GET", "/bronzemoor/ready"))[0] == 200

    async def until(
        self, check: Callable[[], Awaitable[bool]], limit: float, what: str
    ) -> None:
        deadline = time.monotonic() + limit
        while not await check():
            if time.monotonic() > deadline:
                raise CannotRun(f"not reached in {limit:.0f} s: {what}")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for machine in self.machines:
            await machine.end()
        for task in self._tasks:
            task.cancel()
        for member in self.members:
            await member.crash()
        if self._platform is not None:
            self._platform.close()
        self._record.close()

    # --- the platform

    async def _serve_platform(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(
                line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            headers = {name.lower(): value for name, value in fields.items()}
            body = json.loads(await reader.readexactly(int(headers["content-length"])))
            member, fence = body["instance_id"], int(headers["x-fence-token"])
            holder = headers["x-duty-holder"]
            self.promotions.append((member, holder, fence))
            self.record(f"order to promote {member}, fence {fence}, from {holder}")
            await asyncio.sleep(self.promotion_delay)
            status = self.service.promote(member)
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
            )
            await writer.drain()
        except (OSError, ValueError, KeyError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Client:
    """A client's session at one proxy."""

    def __init__(self, system: System, name: str) -> None:
        self.system, self.name = system, name
        self._number = 0
        # Id of the last statement.
        self.last_id = ""

    async def open(self, edge: Machine) -> None:
        host, port = edge.address(FRONT).split(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._writer.write(f"START {DATABASE} {self.name}\r\n".encode())
        async with asyncio.timeout(2.0):
            answer = (await self._reader.readline()).decode().strip()
        if not answer.startswith("READY"):
            raise CannotRun(f"{edge.name} answers {answer}")

    async def call(self, text: str) -> str:
        """Sends a statement; returns the line of its result, empty without one."""
        self._number += 1
        query_id = self.last_id = f"{self.name}{self._number:04x}"
        self.system.record(f"{self.name} sends {query_id} {text}")
        result = ""
        try:
            self._writer.write(f"QUERY {query_id} {text}\r\n".encode())
            async with asyncio.timeout(4.0):
                while line := (await self._reader.readline()).decode().strip():
                    if line.startswith("READY"):
                        break
                    if not line.startswith("ROW"):
                        result = line
        except (OSError, TimeoutError):
            result = ""
        self.system.record(f"{self.name} gets for {query_id}: {result or 'nothing'}")
        return result

    async def store(self, item: str, data: str, service: str = SERVICES[0]) -> bool:
        """Writes an item; returns whether that was acknowledged."""
        done = (await self.call(f"STORE {item} {data}")).startswith("COMPLETE")
        if done:
            self.system.services[service].acknowledged.add(f"{item} {data}")
        return done


async def count_served(system: System, name: str, writes: int) -> int:
    """Returns how many of some writes are served, each tried at all proxies."""
    served = 0
    for number in range(writes):
        turn = number % len(system.edges)
        for edge in system.edges[turn:] + system.edges[:turn]:
            client = Client(system, f"{name}{number}x")
            try:
                await client.open(edge)
                done = await client.store(f"{name}{number}", "data")
            except (CannotRun, OSError, TimeoutError):
                done = False
            if done:
                served += 1
                break
    return served


async def replace_member(system: System, lost: Member) -> None:
    """Starts a member at another address, which receives the log of the primary."""
    service = system.service
    address = f"{lost.address.rpartition('.')[0]}.70:{system.ports[MEMBER]}"
    member = Member(service, "i-14a7", address, lost.zone)
    service.members[member.name] = member
    await member.start()
    system.run(member.send_heartbeats(system.control_addresses))
    system.record(f"member {member.name} starts in the place of {lost.name}")


def record_logs(system: System) -> None:
    """Records which members run, and what their logs lack."""
    service = system.service
    for member in service.members.values():
        held = {write for entry in member.log for write in entry[2]}
        if member.up:
            system.record(
                f"member {member.name} is up at {text_of(member.position)}, lacks"
                f" {len(service.acknowledged - held)} acknowledged writes"
            )


def free_addresses() -> tuple[str, list[int]]:
    """Returns the prefix of unused loopback addresses, and a port for each use."""
    for number in range(1, 200):
        prefix = f"127.{90 + number % 100}.{os.getpid() % 250}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{prefix}.30", METRICS_PORT))
            ports = []
            for _ in range(5):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.30", 0))
                    ports.append(probe.getsockname()[1])
            for base in range(7440, 9000, 40):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.30", base))
                return prefix, [*ports, base]
        except OSError:
            continue
    raise CannotRun("no free addresses")


def main(
    edges: int,
    play: Callable[[System], Awaitable[int]],
    services: int = 1,
    kind: str = "primary",
) -> None:
    """Plays a case; exits with 1 if the rule was broken, 0 if not, 2 if not run.

    The first argument of the program is the path of the record.
    """
    record_path = Path(sys.argv[1]).resolve()
    temporary = Path(tempfile.mkdtemp(prefix="bronzemoor-review-"))

    async def run() -> int:
        system = System(temporary, record_path, edges, services)
        system.kind = kind
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                await system.start()
                result = await play(system)
        except Exception as error:  # nothing else may look like a broken rule
            system.record(f"the case could not run: {error!r}")
            result = NOT_RUN
        finally:
            await system.stop()
        return result

    try:
        result = asyncio.run(run())
    finally:
        if kept := os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(result)
