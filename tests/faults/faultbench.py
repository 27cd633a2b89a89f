"""Runs the real daemons with members, a platform, an operator and faults."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import uvloop
from faultchecks import Checker
from faultclients import Session
from faultmembers import FaultGroup, FaultMember
from faultnet import Network, Way
from faultschedule import Fault, make_schedule
from standins import Platform, http_call

ROOT = Path(__file__).resolve().parents[2]
SOURCES = ("packages/core/src", "packages/daemon/src", "platform", "tests/faults")
ZONES = ("north", "south", "west")
START_TIMEOUT_SECONDS = 30.0
# After the last fault, until the logs are compared.
SETTLE_SECONDS = 5.0
MAX_FAULTY_CONTROLS = 2
PLATFORM_LAG_SECONDS = (0.2, 0.9)
DEPLOY_INTERVAL_SECONDS = 4.0
SESSIONS_PER_PROXY = 3


class Daemon:
    """A process of the system under test."""

    def __init__(self, folder: Path, settings: dict[str, Any], relay: str) -> None:
        self.name = str(settings["node_name"])
        self.vm = str(settings["ip"])
        self.log = folder / f"{self.name}.log"
        self._file = folder / f"{self.name}.json"
        self._settings = settings
        self._relay = relay
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self._file.write_text(json.dumps(self._settings))
        self._settings["bootstrap"] = False
        environment = {
            "PATH": os.environ["PATH"],
            "BRONZEMOOR_NODE_FILE": str(self._file),
            "FAULT_RELAY": self._relay,
            "FAULT_VM": self.vm,
            "PYTHONPATH": os.pathsep.join(str(ROOT / path) for path in SOURCES),
        }
        with self.log.open("a") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", "import launcher; launcher.main()"],
                cwd=self.log.parent, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def end(self) -> None:
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def led_term(self) -> int:
        """Returns the newest term in which it logged that it leads, or 0."""
        lines = self.log.read_text(errors="replace").splitlines()
        leading = [line for line in lines if " event=leading " in line]
        terms = [int(line.rsplit("term=", 1)[1].split()[0]) for line in leading]
        return max(terms, default=0)


class Bench:
    """One run with one seed."""

    def __init__(
        self, seed: int, sizes: tuple[int, int, int], folder: Path, keeps: bool
    ):
        self.random = Random(f"run {seed}")
        self.folder = folder
        pid = os.getpid()
        self.prefix = f"127.{1 + (pid >> 8) % 250}.{pid % 256}"
        self.ports = [20_000 + 4 * (seed % 1_000) + i for i in range(4)]
        self.network = Network(self.ports[0], keeps)
        self.checker = Checker(folder, self.network)
        self.platform_vm = f"{self.prefix}.2"
        self.sizes = sizes
        self.schedule_seed = seed
        self.controls: list[Daemon] = []
        self.proxies: list[Daemon] = []
        self.groups: list[FaultGroup] = []
        self.faulty: set[str] = set()
        self.max_pause = 0.0
        self._tasks: list[asyncio.Task[Any]] = []

    async def run(self, seconds: float) -> None:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await self._start()
            await self._inject(seconds)
            await asyncio.sleep(SETTLE_SECONDS)
            for daemon in (*self.controls, *self.proxies):
                if not daemon.running:
                    self.checker.violate("ENDED", f"{daemon.name} ended by itself")
            self.checker.finish(self.groups)
        finally:
            for daemon in (*self.controls, *self.proxies):
                daemon.end()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            self.network.stop()
            for group in self.groups:
                for member in group.members.values():
                    member.crash()

    # --- start

    async def _start(self) -> None:
        control_count, proxy_count, group_count = self.sizes
        await self.network.start(f"{self.prefix}.3")
        for number in range(group_count):
            await self._add_group(number)
        groups = {group.name: group for group in self.groups}
        platform = Platform(groups, self.checker.record)
        await platform.start(f"{self.platform_vm}:{self.ports[1]}")
        for number in range(control_count):
            self.controls.append(self._make_daemon("control", 11 + number))
        for number in range(proxy_count):
            self.proxies.append(self._make_daemon("edge", 31 + number))
        for daemon in (*self.controls, *self.proxies):
            daemon.start()
        self._spawn(self._measure_pauses())
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await self._deploy(1):
                await asyncio.sleep(0.2)
            controls = [f"{daemon.vm}:{self.ports[1]}" for daemon in self.controls]
            for group in self.groups:
                for member in group.members.values():
                    order = self.random.sample(controls, len(controls))
                    self._spawn(member.report_forever(order))
            await self._until_ready()
        self._spawn(self._deploy_forever())
        services = [group.name for group in self.groups]
        for daemon in self.proxies:
            for number in range(SESSIONS_PER_PROXY):
                front = f"{daemon.vm}:{self.ports[2]}"
                name = f"{daemon.name.replace('-', '')}x{number}"
                session = Session(name, front, services, self.checker)
                self._spawn(session.run_forever())

    async def _add_group(self, number: int) -> None:
        group = FaultGroup(f"ledger{number}", self.network, self.checker)
        for index, zone in enumerate(ZONES):
            vm = f"{self.prefix}.{100 + 10 * number + index}"
            name = f"i-{number}{'abc'[index]}"
            member = FaultMember(group, name, zone, f"{vm}:{self.ports[1]}")
            group.members[name] = member
            self.network.member_vms.add(vm)
            await member.start()
        group.members[f"i-{number}a"].primary = True
        self.groups.append(group)
        self._spawn(group.replicate_forever())

    def _make_daemon(self, role: str, last: int) -> Daemon:
        ip, name = f"{self.prefix}.{last}", f"{role}-{last}"
        listen = {"control": f"{ip}:{self.ports[1]}"}
        if role == "edge":
            listen = {"front": f"{ip}:{self.ports[2]}"}
            listen["readiness"] = f"{ip}:{self.ports[3]}"
        (self.folder / name).mkdir()
        settings = {
            "node_name": name,
            "ip": ip,
            "zone": ZONES[last % len(ZONES)],
            "serves": ["edge" if role == "edge" else "control_plane"],
            "listen_addrs": listen,
            "internal_port_range": [self.ports[0], self.ports[0]],
            "seeds": [f"{self.prefix}.{11 + n}:1" for n in range(self.sizes[0])],
            "bootstrap": True,
            "data_dir": str(self.folder / name),
            "cloud_api": {"address": f"{self.platform_vm}:{self.ports[1]}"},
            "fault_tolerance": {"machines": MAX_FAULTY_CONTROLS},
        }
        return Daemon(self.folder, settings, self.network.relay)

    async def _until_ready(self) -> None:
        for daemon in self.proxies:
            address = f"{daemon.vm}:{self.ports[3]}"
            while await http_call(address, "GET", "/bronzemoor/ready") != 200:
                await asyncio.sleep(0.2)

    async def _deploy(self, version: int) -> bool:
        names = [group.name for group in self.groups]
        routes = [
            {
                "name": f"r-{kind}-{name}", "database": f"{kind}-{name}",
                "path_prefix": "/", "route_type": kind, "timeout_ms": 800,
                "target_latency_ms": 400, "priority": 1, "service": name,
                "max_attempts": 2, "max_staleness_ms": 2_000,
            }
            for name in names for kind in ("primary", "read_your_writes")
        ]  # fmt: skip
        services = [{"name": n, "max_conns": 38, "sync_replicas": 1} for n in names]
        body = {"version": version, "routes": routes, "services": services}
        body["limits"] = {"tx_idle_ms": 3_000}
        control = self.random.choice(self.controls)
        address = f"{control.vm}:{self.ports[1]}"
        return await http_call(address, "PUT", "/bronzemoor/config", body) == 200

    async def _deploy_forever(self) -> None:
        version = 1
        while True:
            await asyncio.sleep(DEPLOY_INTERVAL_SECONDS)
            version += 1
            await self._deploy(version)

    async def _measure_pauses(self) -> None:
        """Measures how long the bench itself stood still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.max_pause = max(self.max_pause, time.monotonic() - before - 0.01)

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    # --- faults

    async def _inject(self, seconds: float) -> None:
        start, running = time.monotonic(), []
        for fault in make_schedule(self.schedule_seed, seconds, *self.sizes):
            await asyncio.sleep(start + fault.at - time.monotonic())
            if fault.target == "orderer":
                self._arm(fault, running)
            else:
                running.append(asyncio.create_task(self._apply(fault)))
        self.network.armed.clear()
        await asyncio.gather(*running)

    def _arm(self, fault: Fault, running: list[asyncio.Task[None]]) -> None:
        """Applies the fault to the daemon that next sends to the platform."""

        def apply(vm: str) -> None:
            number = [daemon.vm for daemon in self.controls].index(vm)
            found = replace(fault, target=f"control:{number}")
            running.append(asyncio.create_task(self._apply(found)))

        self.network.armed[self.platform_vm] = apply

    async def _apply(self, fault: Fault) -> None:
        """Applies the fault unless its target has one already."""
        target = self._find(fault.target)
        name = target.name if target is not None else "platform"
        is_control = target in self.controls
        busy = sum(daemon.name in self.faulty for daemon in self.controls)
        if name in self.faulty or (is_control and busy >= MAX_FAULTY_CONTROLS):
            return
        self.faulty.add(name)
        self.checker.record("fault", kind=fault.kind, on=name, s=fault.seconds)
        try:
            await getattr(self, f"_{fault.kind}", self._links)(target, fault)
        finally:
            self.faulty.discard(name)
            self.checker.record("fault_ended", kind=fault.kind, on=name)

    def _find(self, target: str) -> Any:
        role, *numbers = target.split(":")
        if role == "platform":
            return None
        if role == "leader":
            return max(self.controls, key=Daemon.led_term)
        if role in ("control", "edge"):
            daemons = self.controls if role == "control" else self.proxies
            return daemons[int(numbers[0])]
        group = self.groups[int(numbers[0])]
        primary = group.newest_primary()
        if role == "primary":
            return primary
        return [m for m in group.members.values() if m is not primary][int(numbers[1])]

    async def _links(self, target: Any, fault: Fault) -> None:
        """Blocks links of the target's VM, in the directions of the fault's kind."""
        vm, controls = target.vm, [daemon.vm for daemon in self.controls]
        match fault.kind:
            case "pair":
                ways = _both_ways(vm, [self._find(fault.other).vm])
            case "isolate":
                ways = _both_ways(vm, [m.vm for m in target.group.members.values()])
            case "hide":
                ways = _both_ways(vm, controls)
            case "cut_out":
                ways = [(vm, "*")]
            case "cut_in":
                ways = [("*", vm)]
            case _:
                ways = _both_ways(vm, ["*"])
        if fault.kind == "drop":
            self.network.drop(vm)
        self.network.block(ways)
        await asyncio.sleep(fault.seconds)
        self.network.unblock(ways)

    async def _freeze(self, target: Any, fault: Fault) -> None:
        """The whole VM stands still: the process and its links."""
        target.send(signal.SIGSTOP)
        await self._links(target, fault)
        target.send(signal.SIGCONT)

    async def _kill(self, target: Any, fault: Fault) -> None:
        target.end()
        await asyncio.sleep(fault.seconds)
        target.start()

    async def _crash(self, target: Any, fault: Fault) -> None:
        target.crash()
        await asyncio.sleep(fault.seconds)
        await target.restart()

    async def _deaf(self, target: Any, fault: Fault) -> None:
        target.group.deaf.add(target.name)
        await asyncio.sleep(fault.seconds)
        target.group.deaf.discard(target.name)

    async def _lag(self, target: Any, fault: Fault) -> None:
        lag = self.random.uniform(*PLATFORM_LAG_SECONDS)
        self.network.set_lag(self.platform_vm, lag)
        await asyncio.sleep(fault.seconds)
        self.network.set_lag(self.platform_vm, 0.0)


def _both_ways(vm: str, others: list[str]) -> list[Way]:
    return [way for other in others for way in ((vm, other), (other, vm))]


def run_seed(
    seed: int, seconds: float, sizes: tuple[int, int, int], keeps: bool = False
) -> tuple[dict[str, int], str]:
    """Runs one seed; returns the violations by rule, and a line about the run.

    ``sizes`` are the numbers of control daemons, proxies and groups. The folder of
    the logs is kept if a rule was broken.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
    bench = Bench(seed, sizes, folder, keeps)
    try:
        uvloop.run(bench.run(seconds))
    except TimeoutError:
        bench.checker.violate("START", "the system did not become ready")
    broken = dict(sorted(bench.checker.violations.items()))
    text = (
        f"{len(bench.checker.commits)} commits, longest pause {bench.max_pause:.2f} s"
    )
    if broken:
        text += f", logs in {folder}"
    else:
        shutil.rmtree(folder)
    return broken, text
