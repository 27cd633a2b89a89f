"""Commands that operate the system: failover, drain, control members and keys."""

from time import sleep
from typing import Any, ClassVar
from uuid import uuid4

from cleo.helpers import argument, option

from bronzemoor_client import exitcodes
from bronzemoor_client.base import CHANGE_ID_OPTION, YES_OPTION, AdminCommand, register
from bronzemoor_client.connection import Connection, DaemonUnreachable

DATABASE_ARGUMENT = argument("database", "Name of the database")
PROGRESS_INTERVAL_SECONDS = 0.5
MAX_PROGRESS_POLLS = 240


class ChangeCommand(AdminCommand):
    """A command that asks for confirmation and carries a change id."""

    options: ClassVar[list[Any]] = [CHANGE_ID_OPTION, YES_OPTION]

    def run_change(self, question: str, command: str, **arguments: Any) -> int:
        """Sends the change if confirmed and prints its answer."""
        if not self.ask_confirmation(question):
            return exitcodes.REFUSED
        change_id = str(self.option("change-id") or uuid4())
        self.line_error(f"change id: {change_id}")
        answer = self.send_change(command, change_id=change_id, **arguments)
        return self.print_answer(answer, self.show)

    def show(self, answer: dict[str, Any]) -> None:
        for key, value in sorted(answer.items()):
            if key != "code":
                self.line(f"{key}: {value}")


def show_plan(command: AdminCommand, database: str) -> int:
    """Queries the plan of a handover and prints it."""

    def show(answer: dict[str, Any]) -> None:
        safe = "yes" if answer.get("safe_now") else "no"
        command.line(f"primary: {answer.get('primary') or 'none'}")
        command.line(f"candidate: {answer.get('candidate') or 'none'}")
        command.line(f"reason: {answer.get('reason', '')}")
        command.line(f"safe now: {safe}")
        for blocker in answer.get("blockers", []):
            command.line(f"- {blocker}")
        columns = ["member", "data_centre", "role", "term", "offset", "behind"]
        rows = [
            [member.get(column, "") for column in columns]
            for member in answer.get("members", [])
        ]
        command.print_table(columns, rows)

    return command.print_answer(
        command.send_query("failover.plan", database=database), show
    )


@register
class PromoteCommand(ChangeCommand):
    name = "promote"
    description = "Hands a database over to another primary."
    arguments: ClassVar[list[Any]] = [
        DATABASE_ARGUMENT,
        argument(
            "member", "Member to promote; defaults to the best replica", optional=True
        ),
    ]
    options: ClassVar[list[Any]] = [
        option("dry-run", None, "Print the plan without changing anything"),
        CHANGE_ID_OPTION,
        YES_OPTION,
    ]

    def execute_command(self) -> int:
        database, member = self.argument("database"), self.argument("member")
        if self.option("dry-run"):
            return self.print_answer(
                self.send_query("failover.plan", database=database), self.show
            )
        question = f"Hand {database} over to {member or 'the best replica'}?"
        return self.run_change(
            question, "failover.run", database=database, target=member or None
        )


@register
class FailoverPlanCommand(ChangeCommand):
    name = "failover plan"
    description = "Shows which member would be promoted and whether it is safe now."
    arguments: ClassVar[list[Any]] = [DATABASE_ARGUMENT]
    options: ClassVar[list[Any]] = []

    def execute_command(self) -> int:
        return show_plan(self, self.argument("database"))


@register
class FailoverRunCommand(PromoteCommand):
    name = "failover run"
    description = "Hands a database over to another primary; same as promote."


@register
class DrainEndpointCommand(ChangeCommand):
    name = "drain endpoint"
    description = (
        "Stops sending new work to an endpoint; a primary is handed over first."
    )
    arguments: ClassVar[list[Any]] = [
        DATABASE_ARGUMENT,
        argument("member", "Member to drain"),
    ]

    def execute_command(self) -> int:
        database, member = self.argument("database"), self.argument("member")
        return self.run_change(
            f"Drain {member} of {database}?",
            "endpoint.drain",
            database=database,
            member=member,
        )


@register
class DrainDaemonCommand(ChangeCommand):
    name = "drain daemon"
    description = (
        "Gracefully stops the first daemon that answers and shows its progress."
    )
    options: ClassVar[list[Any]] = [YES_OPTION]

    def execute_command(self) -> int:
        connection = self.connection()
        unreachable = []
        for daemon in connection.daemons:
            # Each is confirmed by its address, and nothing is sent to another one.
            if not self.ask_confirmation(f"Stop the daemon at {daemon}?"):
                return exitcodes.REFUSED
            chosen = connection.only(daemon)
            try:
                answer = chosen.send("drain.daemon", {}, repeatable=False)
            except DaemonUnreachable as error:
                unreachable.append(error.message)
                continue
            if answer.get("code") != "ok" or self.option("json"):
                return self.print_answer(answer, self.show)
            return self.follow_progress(chosen)
        raise DaemonUnreachable("; ".join(unreachable), step="connect")

    def follow_progress(self, connection: Connection) -> int:
        """Prints the drain stage until the daemon no longer answers."""
        for _ in range(MAX_PROGRESS_POLLS):
            try:
                answer = connection.send("status", {}, repeatable=True)
                drain = answer.get("drain", {})
            except Exception:
                self.line("stopped")
                return exitcodes.OK
            self.line(
                f"stage={drain.get('stage')} in_progress={drain.get('in_progress')}"
            )
            sleep(PROGRESS_INTERVAL_SECONDS)
        return self.print_error(
            "unknown", "the daemon is still running", exitcodes.UNKNOWN
        )


@register
class ControlMembersCommand(AdminCommand):
    name = "control members"
    description = "Lists the control group and how many member losses it tolerates."

    def execute_command(self) -> int:
        return self.print_answer(self.send_query("control.members"), self.show)

    def show(self, answer: dict[str, Any]) -> None:
        rows = [
            [
                member.get("name"),
                member.get("role"),
                member.get("match_index", ""),
                member.get("identity", ""),
            ]
            for member in answer.get("members", [])
        ]
        self.print_table(["member", "role", "match index", "identity"], rows)
        self.line(f"tolerated losses: {answer.get('tolerated_losses', 'unknown')}")


@register
class ControlAddCommand(ChangeCommand):
    name = "control add"
    description = "Adds a member to the control group; it votes once it has caught up."
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the daemon")]

    def execute_command(self) -> int:
        name = self.argument("name")
        return self.run_change(
            f"Add {name} to the control group?", "control.add", name=name
        )


@register
class ControlRemoveCommand(ChangeCommand):
    name = "control remove"
    description = "Removes a member from the control group."
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the daemon")]

    def execute_command(self) -> int:
        name = self.argument("name")
        return self.run_change(
            f"Remove {name} from the control group?", "control.remove", name=name
        )


@register
class ControlReplaceCommand(ChangeCommand):
    name = "control replace"
    description = "Replaces a lost member; the new one votes once it has caught up."
    arguments: ClassVar[list[Any]] = [
        argument("lost", "Name of the lost member"),
        argument("replacement", "Name of the new member"),
    ]

    def execute_command(self) -> int:
        lost, replacement = self.argument("lost"), self.argument("replacement")
        return self.run_change(
            f"Replace {lost} by {replacement}?",
            "control.replace",
            name=lost,
            replacement=replacement,
        )


@register
class KeysRotateCommand(ChangeCommand):
    name = "keys rotate"
    description = "Signs new session tokens with a new key; current tokens stay valid."

    def execute_command(self) -> int:
        return self.run_change("Rotate the session token keys?", "keys.rotate")
