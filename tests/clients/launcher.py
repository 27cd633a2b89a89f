"""Starts a daemon with a lower limit of descriptors, given as the first argument."""

import resource
import sys

from bronzemoor_daemon.wire.runner import run
from bronzemoor_platform.adapter import Adapter


def main() -> None:
    limit = int(sys.argv[1])
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    run(Adapter())
