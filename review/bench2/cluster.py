"""Starts the system's programs as the deploy file does, on loopback addresses.

Each machine has a loopback address of its own, so that all daemons can use the same
internal port.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
METRICS_PORT = 9464
ZONES = ("tunis-a", "sfax-a", "sousse-a")
REGIONS = {zone: zone.partition("-")[0] for zone in ZONES}
# The bounds of the site toile-sahel.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 15000,
    "recovery_s": 12,
    "require_fence": False,
    "thaw_ms": 300,
}


class CannotRun(Exception):
    """The case could not be set up."""


def free_network() -> str:
    """Returns the first three bytes of loopback addresses that nobody uses."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.1", METRICS_PORT))
                return prefix
            except OSError:
                continue
    raise CannotRun("no free loopback addresses")


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class Daemon:
    """One process of the system."""

    def __init__(self, cluster: "Cluster", name: str, ip: str, zone: str) -> None:
        self.cluster = cluster
        self.name = name
        self.ip = ip
        self.zone = zone
        self.is_core = name.startswith("core")
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = cluster.folder / f"{name}.log"
        self.settings_path = cluster.folder / f"{name}.json"
        self.data_folder = cluster.folder / name
        if self.is_core:
            self.data_folder.mkdir()

    @property
    def control(self) -> str:
        return f"{self.ip}:{self.cluster.control_port}"

    @property
    def front(self) -> str:
        return f"{self.ip}:{self.cluster.front_port}"

    @property
    def readiness(self) -> str:
        return f"{self.ip}:{self.cluster.ready_port}"

    def write_settings(self, bootstrap: bool) -> None:
        cluster = self.cluster
        port = cluster.peer_port
        listen = {"front": self.front, "readiness": self.readiness}
        if self.is_core:
            listen = {"control": self.control}
        body = {
            "node_name": self.name,
            "role": "control" if self.is_core else "proxy",
            "machine_class": "core" if self.is_core else "edge",
            "serves": ["control_plane"] if self.is_core else ["edge"],
            "ip": self.ip,
            "zone": self.zone,
            "region": REGIONS[self.zone],
            "zones": REGIONS,
            "listen_addrs": listen,
            "internal_port_range": [port, port + 15],
            "seeds": [core.control for core in cluster.cores],
            "bootstrap": bootstrap,
            "counts_toward_loss": self.is_core,
            "limits": {
                "cpu_share": 0.645 if self.is_core else 0.537,
                "cores": 1 if self.is_core else 2,
                "memory_mb": 296 if self.is_core else 300,
                "max_fds": 4096 if self.is_core else 4300,
                "link_mbps": 1000.0,
                "disk_mb": 128 if self.is_core else 0,
            },
            "data_dir": str(self.data_folder) if self.is_core else None,
            "discovery": "registry",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": cluster.contracts,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud_api": {
                "address": cluster.platform,
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }
        self.settings_path.write_text(json.dumps(body))

    def start(self, bootstrap: bool = False) -> None:
        self.write_settings(bootstrap)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BRONZEMOOR_NODE_FILE"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.cluster.command(self.is_core),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def lose_disk(self) -> None:
        """Empties the disk of a daemon that does not run."""
        shutil.rmtree(self.data_folder)
        self.data_folder.mkdir()

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def log_lines(self, event: str) -> list[str]:
        text = self.log_path.read_text(errors="replace")
        return [line for line in text.splitlines() if f"event={event} " in line]


class Cluster:
    """Three control daemons and some proxies; a context manager."""

    def __init__(
        self, proxies: int = 3, contracts: tuple[str, ...] = ("base", "drain", "sql")
    ) -> None:
        if not (ROOT / "target" / "app").is_dir():
            raise CannotRun("the system is not built: sh deploy/build.sh")
        self.contracts = list(contracts)
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        network = free_network()
        host = f"{network}.1"
        self.network = network
        self.peer_port, self.control_port = free_port(host), free_port(host)
        self.front_port, self.ready_port = free_port(host), free_port(host)
        # The stand-ins of the platform and of the members use this address.
        self.outside = f"{network}.1"
        self.platform = f"{self.outside}:{free_port(self.outside)}"
        self.cores = [
            Daemon(self, f"core-{zone}-1", f"{network}.{11 + index}", zone)
            for index, zone in enumerate(ZONES)
        ]
        self.proxies = [
            Daemon(self, f"edge-{index}", f"{network}.{31 + index}", ZONES[index % 3])
            for index in range(proxies)
        ]

        self._added: list[Daemon] = []
        self._roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]

    def __enter__(self) -> "Cluster":
        return self

    def start(self) -> None:
        for daemon in (*self.cores, *self.proxies):
            daemon.start(bootstrap=True)

    def __exit__(self, *error: object) -> None:
        for daemon in (*self.cores, *self._added, *self.proxies):
            if daemon.is_running:
                daemon.send(signal.SIGCONT)
            daemon.kill()
        self._folder.cleanup()

    def add_core(self, name: str, number: int, zone: str) -> Daemon:
        """Adds a control daemon at an address of its own, with an empty disk."""
        daemon = Daemon(self, name, f"{self.network}.{number}", zone)
        self._added.append(daemon)
        return daemon

    def command(self, is_core: bool) -> list[str]:
        """Returns the program and arguments of the role in the deploy file."""
        serves = "control_plane" if is_core else "edge"
        role = next(r for r in self._roles.values() if serves in r["serves"])
        return str(role["run"]).split()

    @property
    def controls(self) -> list[str]:
        return [core.control for core in self.cores]

    def leader(self) -> Daemon | None:
        """Returns the control daemon that began to lead last, from the logs."""
        newest: tuple[int, Daemon] | None = None
        for core in self.cores:
            for line in core.log_lines("leading"):
                term = int(line.partition("term=")[2].split()[0].strip('"'))
                if newest is None or term > newest[0]:
                    newest = (term, core)
        return newest[1] if newest else None


class Record:
    """Writes what is sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()
