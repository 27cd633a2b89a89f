"""Command line: one endpoint, a load run, or the check of a recorded history."""

import argparse
import json
import signal
import sys
import threading
from dataclasses import asdict
from pathlib import Path

import yaml

from bronzemoor_standin.history import check
from bronzemoor_standin.load import Load, parse_load_settings
from bronzemoor_standin.member import Member
from bronzemoor_standin.records import decode, encode
from bronzemoor_standin.report import as_text, make_report, plot
from bronzemoor_standin.settings import InvalidSettings, load_settings
from bronzemoor_standin.tables import NoPrimary

EXIT_FAILURE = 1


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns the exit status."""
    parser = argparse.ArgumentParser(prog="bronzemoor_standin", description=__doc__)
    commands = parser.add_subparsers(required=True)
    endpoint = commands.add_parser("endpoint", help="run one member of a group")
    endpoint.add_argument("--config", required=True, help="settings in YAML")
    endpoint.set_defaults(run=_run_endpoint)
    load = commands.add_parser("load", help="send load to daemons and report")
    load.add_argument("--config", required=True, help="settings in YAML")
    load.add_argument("--rate", type=float, help="operations per second")
    load.add_argument("--duration", type=float, help="seconds")
    load.add_argument("--out", default="build/load", help="directory of the results")
    load.set_defaults(run=_run_load)
    check_command = commands.add_parser("check", help="check a recorded history again")
    check_command.add_argument("directory", help="results of an earlier load run")
    check_command.set_defaults(run=_run_check)
    options = parser.parse_args(arguments)
    try:
        status: int = options.run(options)
    except (InvalidSettings, NoPrimary, OSError, yaml.YAMLError) as error:
        print(f"event=failed error={str(error)!r}", file=sys.stderr)
        return EXIT_FAILURE
    return status


def _run_endpoint(options: argparse.Namespace) -> int:
    member = Member(load_settings(options.config))
    stopped = threading.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stopped.set())
    member.start()
    control = member.control.address if member.control else ""
    print(
        f"event=started member={member.settings.member} address={member.address}"
        f" control={control}",
        flush=True,
    )
    stopped.wait()
    member.leave()
    member.stop()
    return 0


def _run_load(options: argparse.Namespace) -> int:
    """Returns 1 if a guarantee is violated."""
    settings = parse_load_settings(yaml.safe_load(Path(options.config).read_text()))
    settings.rate = options.rate or settings.rate
    settings.duration_s = options.duration or settings.duration_s
    directory = Path(options.out)
    directory.mkdir(parents=True, exist_ok=True)
    load = Load(settings)
    history = load.run()
    lines = "\n".join(encode(history)) + "\n"
    (directory / "history.jsonl").write_text(lines)
    tables = load.read_tables()
    (directory / "tables.json").write_text(json.dumps(tables))
    report = make_report(history, tables)
    (directory / "report.json").write_text(json.dumps(asdict(report), indent=1))
    (directory / "report.txt").write_text(as_text(report))
    plot(report, str(directory / "report.png"))
    print(as_text(report), end="")
    return EXIT_FAILURE if report.violations else 0


def _run_check(options: argparse.Namespace) -> int:
    directory = Path(options.directory)
    history = decode((directory / "history.jsonl").read_text().splitlines())
    tables = json.loads((directory / "tables.json").read_text())
    found = check(history, tables)
    for violation in found:
        print(f"{violation.guarantee} {violation.subject}: {violation.message}")
    return EXIT_FAILURE if found else 0
