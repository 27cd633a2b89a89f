"""Command line of the daemon.

Exit status: 0 success, 1 the stop cut off work in progress, 2 invalid settings, 3 the
daemon cannot start (an address is in use or the data folder cannot be read).
"""

import sys

from cleo.application import Application as ConsoleApplication
from cleo.commands.command import Command
from cleo.helpers import option

from bronzemoor_core.exceptions import BronzemoorError, InvalidSettings
from bronzemoor_daemon.application import make_application
from bronzemoor_daemon.lifecycle import run_until_stopped
from bronzemoor_daemon.logs import configure_logs
from bronzemoor_daemon.settings import DaemonSettings, load_settings
from bronzemoor_daemon.tls import TlsContexts, exposure_problems

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_START = 3

CONFIG_OPTION = option("config", "c", "YAML file with the settings", flag=False)


def _load_settings(command: Command) -> DaemonSettings | None:
    """Loads and validates the settings; prints every problem and returns None."""
    try:
        settings = load_settings(str(command.option("config") or ""))
        listen = settings.listen
        problems = [] if listen.insecure else exposure_problems(listen)
        if listen.tls is not None:
            TlsContexts(listen.tls)
    except InvalidSettings as error:
        problems = error.problems
    except OSError as error:
        problems = [str(error)]
    for problem in problems:
        command.line_error(f"error: {problem}")
    return None if problems else settings


class CheckCommand(Command):
    name = "check"
    description = "Checks the settings and prints every problem."
    options = [CONFIG_OPTION]  # noqa: RUF012

    def handle(self) -> int:
        if _load_settings(self) is None:
            return EXIT_INVALID_SETTINGS
        self.line("the settings are valid")
        return 0


class RunCommand(Command):
    name = "run"
    description = "Runs the daemon until it gets SIGTERM or SIGINT."
    options = [CONFIG_OPTION]  # noqa: RUF012

    def handle(self) -> int:
        settings = _load_settings(self)
        if settings is None:
            return EXIT_INVALID_SETTINGS
        configure_logs(settings.listen.log_level)
        try:
            application = make_application(settings)
            return run_until_stopped(application)
        except (BronzemoorError, OSError) as error:
            self.line_error(f"error: {error}")
            return EXIT_CANNOT_START


def make_console() -> ConsoleApplication:
    """Builds the command line."""
    console = ConsoleApplication("bronzemoord")
    console.add(RunCommand())
    console.add(CheckCommand())
    return console


def main() -> None:
    """Entry point of ``bronzemoord``."""
    sys.exit(make_console().run())
