"""Base of all commands: options, the connection, output and exit codes."""

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
        "Address of a daemon, may be repeated [env: BRONZEMOOR_DAEMONS, by commas]",
        flag=False,
        multiple=True,
    ),
    option("ca", None, "Certificate authority of the daemons", flag=False),
    option("json", None, "Print the answer as JSON, for programs"),
]

YES = option("yes", "y", "Do not ask for confirmation")
CHANGE_ID = option(
    "change-id", None, "Identifies the change, so that a resend is safe", flag=False
)

# What to try next, by error code.
HINTS = {
    "version_conflict": "somebody changed it first: look at `template get` and "
    "`template diff`, then apply again with the new --expect-version",
    "change_id_reused": "the change id belongs to another change: choose a new one",
    "no_leader": "no control leader is known: see `status`, `control members`",
    "unreachable": "name a running daemon with --daemon host:port",
    "unknown": "run the same command again with the same --change-id",
    "unauthorized": "set BRONZEMOOR_TOKEN to an operator's token",
    "unknown_organisation": "see `template list` for the organisations",
    "unknown_database": "see `database list` for the databases",
}


def register(cls: type["AdminCommand"]) -> type["AdminCommand"]:
    """Adds a command to the application."""
    cls.options = [*cls.options, *COMMON_OPTIONS]
    COMMANDS.append(cls)
    return cls


class AdminCommand(Command):
    """A command that talks to the administration interface."""

    options: ClassVar[list[Any]] = []

    def connection(self) -> Connection:
        named = self.option("daemon") or environ.get("BRONZEMOOR_DAEMONS", "").split(
            ","
        )
        daemons = [daemon.strip() for daemon in named if daemon.strip()]
        return Connection(
            daemons or [DEFAULT_DAEMON],
            token=environ.get("BRONZEMOOR_TOKEN", ""),
            ca=self.option("ca") or "",
        )

    def handle(self) -> int:
        try:
            return self.execute_command()
        except DaemonUnreachable as error:
            return self.fail("unreachable", error.message, exitcodes.UNREACHABLE)
        except AnswerLost as error:
            return self.fail("unknown", error.message, exitcodes.UNKNOWN)
        except BronzemoorError as error:
            return self.fail(error.code, error.message, exitcodes.USAGE)

    def execute_command(self) -> int:
        raise NotImplementedError

    def query(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Sends a command that changes nothing."""
        return self.connection().send(command, arguments, repeatable=True)

    def change(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Sends a change; with a change id it may be resent to another daemon."""
        given = {key: value for key, value in arguments.items() if value is not None}
        return self.connection().send(
            command, given, repeatable=bool(given.get("change_id"))
        )

    def confirmed(self, question: str) -> bool:
        """Asks before a change by hand; without a terminal only --yes confirms."""
        if self.option("yes"):
            return True
        if not self.io.is_interactive():
            self.line_error("not confirmed: pass --yes")
            return False
        return bool(self.confirm(question, False))

    def finish(self, answer: dict[str, Any], show: Any = None) -> int:
        """Prints the answer and returns its exit code."""
        code = str(answer.get("code", "ok"))
        if self.option("json"):
            self.line(json.dumps(answer, indent=2, sort_keys=True))
            return exitcodes.exit_code(code)
        if code != "ok":
            return self.fail(code, problems_of(answer), exitcodes.exit_code(code))
        if show is not None:
            show(answer)
        return exitcodes.OK

    def fail(self, code: str, message: str, status: int) -> int:
        """Prints an error with what to try next and returns ``status``."""
        if self.option("json"):
            self.line(json.dumps({"code": code, "message": message}, sort_keys=True))
            return status
        self.line_error(f"error: {code}: {message}")
        if code in HINTS:
            self.line_error(f"hint: {HINTS[code]}")
        return status

    def print_table(self, headers: list[str], rows: list[list[Any]]) -> None:
        """Prints rows under headers, or says that there are none."""
        if not rows:
            self.line("none")
            return
        table = self.table(style="compact")
        table.set_headers(headers)
        for row in rows:
            table.add_row([str(cell) for cell in row])
        table.render()


def problems_of(answer: dict[str, Any]) -> str:
    """The error text of an answer, one problem a line."""
    problems = answer.get("problems")
    if problems:
        return "\n  ".join(["", *[str(problem) for problem in problems]])
    return str(answer.get("message", "no details"))
