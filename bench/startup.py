"""Processor time that a daemon of the statement protocol takes until it listens."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from sysconfig import get_path
from tempfile import TemporaryDirectory

from bench.registry import Result, at_most, benchmark

ROOT = Path(__file__).resolve().parents[1]
SOURCES = ("packages/core/src", "packages/daemon/src", "platform")
PROGRAM = """
import gc, sys
gc.disable()
from bronzemoor_daemon.wire import runner
from bronzemoor_platform.adapter import Adapter

async def print_time(self):
    from time import process_time
    print("processor", process_time(), flush=True)
    self._stop_requested.set()

runner.Runner._start_when_serving = print_time
runner.run(Adapter())
"""
REPETITIONS = 10
# Bounds in processor seconds, by what the daemon serves.
BOUNDS = {"edge": 0.22, "control_plane": 0.28}
ADDRESS = "127.0.0.1"


def make_settings(folder: str, serves: str) -> dict[str, object]:
    """Returns the settings of a daemon that listens on any free ports."""
    listen = dict.fromkeys(("front", "readiness", "control"), f"{ADDRESS}:0")
    return {
        "node_name": "one",
        "ip": ADDRESS,
        "zone": "north",
        "serves": [serves],
        "listen_addrs": listen,
        "internal_port_range": [0, 0],
        "seeds": [f"{ADDRESS}:1"],
        "bootstrap": True,
        "data_dir": folder,
        "bounds": {"grace_s": 0.1},
    }


def measure_start(serves: str) -> float:
    """Starts one daemon; returns its processor seconds until it listens."""
    with TemporaryDirectory() as folder:
        file = Path(folder) / "settings.json"
        file.write_text(json.dumps(make_settings(folder, serves)))
        paths = [str(ROOT / path) for path in SOURCES] + [get_path("purelib")]
        environment = {
            **os.environ,
            "BRONZEMOOR_NODE_FILE": str(file),
            "PYTHONPATH": os.pathsep.join(paths),
        }
        run = subprocess.run(
            [sys.executable, "-S", "-c", PROGRAM],
            env=environment, capture_output=True, text=True, timeout=30, check=True,
        )  # fmt: skip
    for line in run.stdout.splitlines():
        if line.startswith("processor "):
            return float(line.split()[1])
    raise RuntimeError(f"the daemon did not listen: {run.stderr}")


@benchmark
def startup() -> Iterator[Result]:
    """After a loss of power nobody is served until the daemons have started."""
    for serves, bound in BOUNDS.items():
        best = min(measure_start(serves) for _ in range(REPETITIONS))
        yield at_most(f"startup.{serves}", best, "s", bound)
