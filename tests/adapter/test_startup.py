"""Tests of what a program of the statement protocol loads before it serves."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import free_addresses

from bronzemoor_daemon.logs import LogWriter

ROOT = Path(__file__).resolve().parents[2]
SOURCES = ("packages/core/src", "packages/daemon/src", "platform")
# Starts a daemon, then prints the modules that it imported up to listening.
PROGRAM = """
import json, sys
from bronzemoor_daemon.wire import runner
from bronzemoor_platform.adapter import Adapter

async def print_modules(self):
    print(json.dumps(sorted(sys.modules)), flush=True)
    self._stop_requested.set()

runner.Runner._start_when_serving = print_modules
runner.run(Adapter())
"""
# Libraries that serving does not need, and that take long to import.
DEFERRED = {"cherrypy", "cheroot", "prometheus_client", "loguru", "jsonschema"}


def modules_at_start(folder: Path, serves: str) -> set[str]:
    peer, front, ready, control = free_addresses(4)
    host, port = peer.split(":")
    settings = {
        "node_name": "one",
        "ip": host,
        "zone": "north",
        "serves": [serves],
        "listen_addrs": {"front": front, "readiness": ready, "control": control},
        "internal_port_range": [int(port), int(port)],
        "seeds": [f"{host}:1"],
        "bootstrap": True,
        "data_dir": str(folder),
        "bounds": {"grace_s": 0.1},
    }
    file = folder / "settings.json"
    file.write_text(json.dumps(settings))
    environment = {
        **os.environ,
        "BRONZEMOOR_NODE_FILE": str(file),
        "PYTHONPATH": os.pathsep.join(str(ROOT / path) for path in SOURCES),
    }
    run = subprocess.run(
        [sys.executable, "-c", PROGRAM], env=environment, capture_output=True,
        text=True, timeout=30, check=True,
    )  # fmt: skip
    line = next(line for line in run.stdout.splitlines() if line.startswith("["))
    return set(json.loads(line))


@pytest.mark.parametrize(
    ("serves", "foreign"),
    [
        ("edge", {"bronzemoor_core.consensus", "bronzemoor_daemon.wire.control"}),
        ("control_plane", {"bronzemoor_daemon.wire.proxy"}),
    ],
)
def test_a_daemon_loads_only_what_its_role_serves_with(tmp_path, serves, foreign):
    """Guards against imports that delay the first statement after a loss of power."""
    modules = modules_at_start(tmp_path, serves)
    assert "bronzemoor_daemon.wire.runner" in modules
    assert not modules & (foreign | DEFERRED)


def test_lines_before_the_log_starts_are_written_with_their_time():
    """Guards against lost or wrongly dated lines of a start that goes wrong."""
    from loguru import logger

    records = []
    sink = logger.add(lambda message: records.append(message.record))
    writer = LogWriter("vm-1", configure=lambda: None)
    writer.write("info", "early", {})
    assert records == []
    writer.stop()
    logger.remove(sink)
    assert [record["message"] for record in records] == ['event=early vm="vm-1"']
    assert records[0]["extra"]["at"] <= records[0]["time"].isoformat()
