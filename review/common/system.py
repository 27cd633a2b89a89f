"""Runs the project's programs as the deploy file says, beside the stand-ins."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from standins import Group, Member, Platform, http_call

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
ZONE_NAMES = tuple(ZONES)
METRICS_PORT = 9464
DEPS = ROOT / "target" / "deps"
# The longest time that a script may take.
LIMIT_SECONDS = 115
CONFIG_TIMEOUT_SECONDS = 20
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 5000, "ack_ms": 6000,
    "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 15000,
    "recovery_s": 12, "require_fence": False, "thaw_ms": 300,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be set up."""


class Recorder:
    """Writes ``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()
        self.events: list[dict[str, Any]] = []

    @property
    def now(self) -> float:
        return round(time.monotonic() - self._started, 4)

    def write(self, event: str, **fields: Any) -> None:
        item = {"at": self.now, "event": event, **fields}
        self.events.append(item)
        self._file.write(json.dumps(item) + "\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Daemon:
    """One process of the project."""

    def __init__(
        self, command: list[str], settings: dict[str, Any], folder: Path
    ) -> None:
        self.name = str(settings["node_name"])
        self.settings = settings
        self._command = command
        self._file = folder / f"{self.name}.json"
        self._file.write_text(json.dumps(settings))
        self._log = folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, first_start: bool = True) -> None:
        if not first_start:
            self._file.write_text(json.dumps({**self.settings, "bootstrap": False}))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }  # fmt: skip
        environment["PYTHONPATH"] = str(DEPS)
        environment["BRONZEMOOR_NODE_FILE"] = str(self._file)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for it."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    def log_lines(self) -> list[str]:
        return self._log.read_text(errors="replace").splitlines()

    def logged(self, event: str) -> bool:
        return any(f" event={event} " in line for line in self.log_lines())


def _free_prefix() -> str:
    """Returns three bytes of loopback addresses that nobody listens on."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        try:
            for last in (1, 21, 31):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", METRICS_PORT))
        except OSError:
            continue
        return prefix
    raise CannotRun("no free loopback addresses")


class System:
    """A small deployment: three control daemons, proxies, groups of three members."""

    def __init__(
        self, recorder: Recorder, edge_zones: list[str], services: list[str]
    ) -> None:
        if not (ROOT / "target" / "app").is_dir() or not DEPS.is_dir():
            raise CannotRun("run the build of the deploy file first")
        self.recorder = recorder
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = _free_prefix()
        self.groups: dict[str, Group] = {}
        self._platform_address = f"{self._prefix}.60:8783"
        self.control_addresses = [f"{self._prefix}.{n}:8782" for n in (21, 22, 23)]
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        by_class = {role["on"]: str(role["run"]).split() for role in roles.values()}
        self.controls = [
            Daemon(by_class["core"], self._control_settings(n), self.folder)
            for n in range(3)
        ]
        self.edges = [
            Daemon(by_class["edge"], self._edge_settings(n, zone), self.folder)
            for n, zone in enumerate(edge_zones)
        ]
        for number, service in enumerate(services):
            self._add_group(number, service)
        self.platform = Platform(self.groups, recorder.write)
        self._tasks: list[asyncio.Task[Any]] = []

    def _add_group(self, number: int, service: str) -> None:
        group = Group(service, self.recorder.write)
        for index, zone in enumerate(ZONE_NAMES):
            name = f"i-{service}-{index}"
            address = f"{self._prefix}.{100 + 10 * number + index}:8149"
            group.members[name] = Member(group, name, zone, address)
        group.members[f"i-{service}-0"].primary = True
        self.groups[service] = group

    @property
    def daemons(self) -> list[Daemon]:
        return [*self.controls, *self.edges]

    def front(self, number: int) -> str:
        return str(self.edges[number].settings["listen_addrs"]["front"])

    def leader(self) -> Daemon | None:
        """Returns the control daemon that logged last that it leads."""
        newest, leader = 0, None
        for control in self.controls:
            for line in control.log_lines():
                if " event=leading " in line:
                    term = int(line.rsplit("term=", 1)[1].split()[0])
                    if term > newest:
                        newest, leader = term, control
        return leader

    # --- life cycle

    async def start(self, config: dict[str, Any]) -> None:
        """Starts everything and waits until the edges are ready."""
        for group in self.groups.values():
            for member in group.members.values():
                await member.start()
            self.spawn(group.replicate_forever())
        await self.platform.start(self._platform_address)
        for daemon in self.daemons:
            daemon.start()
        deadline = time.monotonic() + CONFIG_TIMEOUT_SECONDS
        for step in range(10_000):
            address = self.control_addresses[step % 3]
            status = await http_call(address, "PUT", "/bronzemoor/config", config)
            if status == 200:
                break
            if time.monotonic() > deadline:
                raise CannotRun("the configuration was not accepted")
            await asyncio.sleep(0.2)
        self.recorder.write("config_acknowledged", version=config["version"])
        for number, group in enumerate(self.groups.values()):
            for index, member in enumerate(group.members.values()):
                controls = self.control_addresses
                shift = (number + index) % 3
                self.spawn(member.beat_forever(controls[shift:] + controls[:shift]))
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Waits until all edges are ready."""
        deadline = time.monotonic() + CONFIG_TIMEOUT_SECONDS
        while not await self._all_ready():
            if time.monotonic() > deadline:
                raise CannotRun("the edges did not become ready")
            await asyncio.sleep(0.2)

    async def _all_ready(self) -> bool:
        for edge in self.edges:
            address = edge.settings["listen_addrs"]["readiness"]
            if await http_call(address, "GET", "/bronzemoor/ready") != 200:
                return False
        return True

    def spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for group in self.groups.values():
            for member in group.members.values():
                member.crash()
        shutil.rmtree(self.folder, ignore_errors=True)

    # --- settings

    def _settings(
        self, name: str, role: str, machine: str, last: int, zone: str
    ) -> dict[str, Any]:
        return {
            "node_name": name,
            "role": role,
            "machine_class": machine,
            "ip": f"{self._prefix}.{last}",
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "internal_port_range": [7440, 7455],
            "seeds": self.control_addresses,
            "bootstrap": True,
            "counts_toward_loss": machine == "core",
            "limits": {
                "cpu_share": 0.5, "cores": 2, "memory_mb": 300, "max_fds": 4300,
                "link_mbps": 1000.0, "disk_mb": 128 if machine == "core" else 0,
            },
            "data_dir": None,
            "discovery": "registry",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud_api": {
                "address": self._platform_address, "rate_per_s": 50.0,
                "duties": ["failover"], "duty_per_s": 50.0,
            },
        }  # fmt: skip

    def _control_settings(self, number: int) -> dict[str, Any]:
        zone = ZONE_NAMES[number]
        name = f"core-{zone}-1"
        settings = self._settings(name, "control", "core", 21 + number, zone)
        settings["serves"] = ["control_plane"]
        settings["listen_addrs"] = {"control": self.control_addresses[number]}
        folder = self.folder / f"data-{number}"
        folder.mkdir()
        return {**settings, "data_dir": str(folder)}

    def _edge_settings(self, number: int, zone: str) -> dict[str, Any]:
        name = f"edge-{zone}-{number + 1}"
        settings = self._settings(name, "proxy", "edge", 31 + number, zone)
        settings["serves"] = ["edge"]
        ip = settings["ip"]
        settings["listen_addrs"] = {"front": f"{ip}:8784", "readiness": f"{ip}:8785"}
        return settings


def make_config(
    version: int, services: list[str], max_conns: int = 38
) -> dict[str, Any]:
    """Returns a configuration with a route of each type to every service."""
    routes = []
    for service in services:
        for kind in ("primary", "bounded_staleness", "read_your_writes"):
            route = {
                "name": f"r-{service}-{kind}",
                "database": f"{kind}-{service}",
                "path_prefix": "/",
                "route_type": kind,
                "timeout_ms": 2000 if kind == "bounded_staleness" else 800,
                "target_latency_ms": 800,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            }
            if kind != "primary":
                route["max_staleness_ms"] = 2500
            routes.append(route)
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": max_conns,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": 1,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000,
        },
    }  # fmt: skip


def run_case(
    folder: Path,
    edge_zones: list[str],
    services: list[str],
    scenario: Any,
    max_conns: int = 38,
) -> None:
    """Runs ``scenario(system, with_trouble)``, which returns what broke the rule.

    Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
    """
    recorder = Recorder(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        system = System(recorder, edge_zones, services)
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                await system.start(make_config(7, services, max_conns))
                broken: list[str] = await scenario(system, with_trouble)
                return broken
        finally:
            if os.environ.get("KEEP_LOGS"):
                for daemon in system.daemons:
                    target = Path(os.environ["KEEP_LOGS"]) / f"{daemon.name}.log"
                    target.write_text("\n".join(daemon.log_lines()))
            await system.stop()

    try:
        broken = asyncio.run(main())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        recorder.write("cannot_run", error=repr(error))
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    finally:
        for item in locals().get("broken", []):
            recorder.write("rule_broken", what=item)
        recorder.close()
    for item in broken:
        print(item)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
