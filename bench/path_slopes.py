"""Processor time of a whole daemon process by the rate of its HTTP requests.

These include the web server, the threads and the connections to endpoints, which the
slopes of the core alone leave out.
"""

import json
import os
from collections.abc import Callable
from functools import cache
from itertools import count

from bench.fit import slope
from bench.http import read_request
from bench.load import encode_request, open_loop
from bench.processes import Child, daemon_and_group
from bench.scale import announcement

SECONDS = 1.5
CONNECTIONS = 16
RATES = (100, 200, 400, 800)


def processor_seconds(child: Child) -> float:
    with open(f"/proc/{child.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    # utime and stime, the 14th and 15th fields, in clock ticks.
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def percent_of_core(make: Callable[[], bytes]) -> dict[int, float]:
    """Percent of a core by rate, of one daemon."""
    found = {}
    with daemon_and_group() as (daemon, _):
        open_loop(daemon.host_port, make, CONNECTIONS, 0.5, max(RATES))
        for rate in RATES:
            before = processor_seconds(daemon)
            open_loop(daemon.host_port, make, CONNECTIONS, SECONDS, rate)
            found[rate] = (processor_seconds(daemon) - before) / SECONDS * 100
    return found


@cache
def reads() -> dict[int, float]:
    """A daemon with one database that is also its own control leader."""
    request = read_request()
    return percent_of_core(lambda: request)


@cache
def announcements() -> dict[int, float]:
    """Announcements over HTTP of a member of another database."""
    said = announcement("stock-00001", "m1").announcement
    body = {name: getattr(said, name) for name in said.__slots__}
    offsets = count(10)

    def make() -> bytes:
        data = json.dumps({**body, "offset": next(offsets)}).encode()
        return encode_request("/v1/announcements", data)

    return percent_of_core(make)


@slope("path.read", "% of a core", "statements/s", RATES)
def read_path(rate: int) -> float:
    return reads()[rate]


@slope("path.announcement", "% of a core", "announcements/s", RATES)
def announcement_path(rate: int) -> float:
    return announcements()[rate]
