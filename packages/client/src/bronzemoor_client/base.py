"""Base class of all commands: common options, connection, output and exit codes."""

import json
from os import environ
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from bronzemoor_client import exitcodes
from bronzemoor_client.connection import AnswerLost, Connection, DaemonUnreachable
from bronzemoor_core.exceptions import BronzemoorError

DEFAULT_DAEMON = "127.0.0.1:7480"

COMMANDS: list[type["AdminCommand"]] = []

COMMON_OPTIONS = [
    option(
        "daemon",
        "d",
        "Address of a daemon, repeatable [env: BRONZEMOOR_DAEMONS, comma-separated]",
        flag=False,
        multiple=True,
    ),
    option("ca", None, "File with the CA certificate of the daemons", flag=False),
    option("json", None, "Print the answer as JSON"),
]

YES_OPTION = option("yes", "y", "Do not ask for confirmation")
CHANGE_ID_OPTION = option(
    "change-id", None, "Identifies the change and makes a resend safe", flag=False
)

# Advice printed after an error, by error code.
HINTS = {
    "version_conflict": "another change was applied first: see `template get` and "
    "`template diff`, then apply again with the new --expect-version",
    "change_id_reused": "the change id belongs to another change: use a new one",
    "no_leader": "no control leader is known: see `status` and `control members`",
    "unreachable": "pass a running daemon with --daemon host:port",
    "unknown": "run the same command again with the same --change-id",
    "unauthorized": "set BRONZEMOOR_TOKEN to an operator token",
    "unknown_organisation": "see `template list` for the organisations",
    "unknown_database": "see `database list` for the databases",
}


def register(cls: type["AdminCommand"]) -> type["AdminCommand"]:
    """Registers a command class and adds the common options."""
    cls.options = [*cls.options, *COMMON_OPTIONS]
    COMMANDS.append(cls)
    return cls


class AdminCommand(Command):
    """A command that sends requests to the administration interface."""

    options: ClassVar[list[Any]] = []

    def connection(self) -> Connection:
        addresses = self.option("daemon") or environ.get(
            "BRONZEMOOR_DAEMONS", ""
        ).split(",")
        daemons = [daemon.strip() for daemon in addresses if daemon.strip()]
        return Connection(
            daemons or [DEFAULT_DAEMON],
            token=environ.get("BRONZEMOOR_TOKEN", ""),
            ca=self.option("ca") or "",
        )

    def handle(self) -> int:
        try:
            return self.execute_command()
        except DaemonUnreachable as error:
            return self.print_error("unreachable", error.message, exitcodes.UNREACHABLE)
        except AnswerLost as error:
            return self.print_error("unknown", error.message, exitcodes.UNKNOWN)
        except BronzemoorError as error:
            return self.print_error(error.code, error.message, exitcodes.USAGE)

    def execute_command(self) -> int:
        raise NotImplementedError

    def send_query(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Sends a read-only command."""
        return self.connection().send(command, arguments, repeatable=True)

    def send_change(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Sends a change; a change id allows a resend to another daemon."""
        given = {key: value for key, value in arguments.items() if value is not None}
        return self.connection().send(
            command, given, repeatable=bool(given.get("change_id"))
        )

    def ask_confirmation(self, question: str) -> bool:
        """Returns whether the change is confirmed; without a terminal only by --yes."""
        if self.option("yes"):
            return True
        if not self.io.is_interactive():
            self.line_error("not confirmed: pass --yes")
            return False
        return bool(self.confirm(question, False))

    def print_answer(self, answer: dict[str, Any], show: Any = None) -> int:
        """Prints the answer as JSON or with ``show``; returns its exit code."""
        code = str(answer.get("code", "ok"))
        if self.option("json"):
            self.line(json.dumps(answer, indent=2, sort_keys=True))
            return exitcodes.exit_code(code)
        if code != "ok":
            return self.print_error(
                code, format_problems(answer), exitcodes.exit_code(code)
            )
        if show is not None:
            show(answer)
        return exitcodes.OK

    def print_error(self, code: str, message: str, status: int) -> int:
        """Prints an error and its hint, and returns ``status``."""
        if self.option("json"):
            self.line(json.dumps({"code": code, "message": message}, sort_keys=True))
            return status
        self.line_error(f"error: {code}: {message}")
        if code in HINTS:
            self.line_error(f"hint: {HINTS[code]}")
        return status

    def print_table(self, headers: list[str], rows: list[list[Any]]) -> None:
        """Prints a table, or ``none`` if it has no rows."""
        if not rows:
            self.line("none")
            return
        table = self.table(style="compact")
        table.set_headers(headers)
        for row in rows:
            table.add_row([str(cell) for cell in row])
        table.render()


def format_problems(answer: dict[str, Any]) -> str:
    """Returns the error message of an answer, with one line per problem."""
    problems = answer.get("problems")
    if problems:
        return "\n  ".join(["", *[str(problem) for problem in problems]])
    return str(answer.get("message", "no details"))
