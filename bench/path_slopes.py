"""Slopes of a daemon process's processor time with the rate of its HTTP requests.

They include the web server, the threads and the connections to endpoints, unlike the
slopes of the core.
"""

import json
import os
from collections.abc import Callable
from functools import cache
from itertools import count

from bench.fit import slope
from bench.http import read_request
from bench.load import encode_request, open_loop
from bench.processes import ChildProcess, daemon_and_group
from bench.scale import make_announcement

LOAD_SECONDS = 1.5
CONNECTIONS = 16
RATES = (100, 200, 400, 800)


def cpu_seconds(child: ChildProcess) -> float:
    with open(f"/proc/{child.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    # utime and stime, the 14th and 15th fields, in clock ticks.
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def cpu_percent_by_rate(make_request: Callable[[], bytes]) -> dict[int, float]:
    """Returns the processor use of one daemon, in percent of a core, by rate."""
    percents = {}
    with daemon_and_group() as (daemon, _):
        open_loop(daemon.host_port, make_request, CONNECTIONS, 0.5, max(RATES))
        for rate in RATES:
            before = cpu_seconds(daemon)
            open_loop(daemon.host_port, make_request, CONNECTIONS, LOAD_SECONDS, rate)
            percents[rate] = (cpu_seconds(daemon) - before) / LOAD_SECONDS * 100
    return percents


@cache
def read_cpu_percents() -> dict[int, float]:
    """Reads at a daemon with one database that is its own control leader."""
    request = read_request()
    return cpu_percent_by_rate(lambda: request)


@cache
def announcement_cpu_percents() -> dict[int, float]:
    """Announcements over HTTP by a member of another database."""
    message = make_announcement("stock-00001", "m1").announcement
    body = {name: getattr(message, name) for name in message.__slots__}
    offsets = count(10)

    def make_request() -> bytes:
        data = json.dumps({**body, "offset": next(offsets)}).encode()
        return encode_request("/v1/announcements", data)

    return cpu_percent_by_rate(make_request)


@slope("path.read", "% of a core", "statements/s", RATES)
def read_path(rate: int) -> float:
    return read_cpu_percents()[rate]


@slope("path.announcement", "% of a core", "announcements/s", RATES)
def announcement_path(rate: int) -> float:
    return announcement_cpu_percents()[rate]
