"""Entry point: ``python -m bronzemoor_standin endpoint --config member.yaml``."""

import argparse
import signal
import sys
import threading

from bronzemoor_standin.member import Member
from bronzemoor_standin.settings import InvalidSettings, load_settings


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns the exit status."""
    parser = argparse.ArgumentParser(prog="bronzemoor_standin", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    endpoint = commands.add_parser("endpoint", help="run one member of a group")
    endpoint.add_argument("--config", required=True, help="settings in YAML")
    options = parser.parse_args(arguments)
    return _run_endpoint(options.config)


def _run_endpoint(config: str) -> int:
    try:
        member = Member(load_settings(config))
    except (InvalidSettings, OSError) as error:
        print(f"event=refused_to_start error={error}", file=sys.stderr)
        return 1
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    member.start()
    print(f"event=started member={member.settings.member} address={member.address}")
    sys.stdout.flush()
    stopped.wait()
    member.stop()
    return 0
