"""Commands that show the state of the system: status, watch, explain, database list."""

from time import sleep
from typing import Any, ClassVar

from cleo.helpers import argument, option

from bronzemoor_client import exitcodes
from bronzemoor_client.base import AdminCommand, register

WATCH_INTERVAL_S = 2.0


@register
class StatusCommand(AdminCommand):
    name = "status"
    description = "Tells whether everything is all right and, if not, what to do."

    def execute_command(self) -> int:
        answer = self.query("status")
        status = self.finish(answer, self.show)
        if status == exitcodes.OK and answer.get("overall", "ok") != "ok":
            return exitcodes.UNHEALTHY
        return status

    def show(self, answer: dict[str, Any]) -> None:
        self.line(f"overall: {answer.get('overall', 'unknown')}")
        for problem in answer.get("problems", []):
            self.line(f"- {problem.get('what')}")
            self.line(f"    effect: {problem.get('effect')}")
            self.line(f"    next:   {problem.get('next_step')}")
        self.line("")
        show_databases(self, answer)
        show_control(self, answer)


@register
class WatchCommand(StatusCommand):
    name = "watch"
    description = "Shows the status again and again until interrupted."
    options: ClassVar[list[Any]] = [
        option(
            "interval", None, "Seconds between two answers", flag=False, default="2"
        ),
        option("count", None, "Stop after so many answers", flag=False, default="0"),
    ]

    def execute_command(self) -> int:
        interval = float(self.option("interval") or WATCH_INTERVAL_S)
        remaining = int(self.option("count") or 0)
        while True:
            status = super().execute_command()
            remaining -= 1
            if remaining == 0:
                return status
            sleep(interval)


@register
class DatabaseListCommand(AdminCommand):
    name = "database list"
    description = "Lists the databases with their primaries and members."

    def execute_command(self) -> int:
        return self.finish(
            self.query("database.list"), lambda answer: show_databases(self, answer)
        )


@register
class ExplainCommand(AdminCommand):
    name = "explain"
    description = "Tells why a request went where it went."
    arguments: ClassVar[list[Any]] = [
        argument("trace", "The trace_id of the request's answer")
    ]

    def execute_command(self) -> int:
        answer = self.query("explain", trace_id=self.argument("trace"))
        return self.finish(answer, self.show)

    def show(self, answer: dict[str, Any]) -> None:
        rows = [
            [
                span.get("name", ""),
                f"{float(span.get('duration_ms', 0.0)):.2f}",
                " ".join(
                    f"{key}={value}"
                    for key, value in sorted(span.get("attributes", {}).items())
                ),
            ]
            for span in answer.get("spans", [])
        ]
        self.print_table(["step", "ms", "details"], rows)


def show_databases(command: AdminCommand, answer: dict[str, Any]) -> None:
    """Prints a row for each database."""
    rows = []
    for database in answer.get("databases", []):
        members = database.get("members", [])
        rows.append(
            [
                database.get("database", database.get("name", "")),
                database.get("term", ""),
                database.get("primary") or "none",
                " ".join(describe_member(member) for member in members),
            ]
        )
    command.print_table(["database", "term", "primary", "members"], rows)


def describe_member(member: dict[str, Any] | str) -> str:
    """Name, role and lag of one member in a few characters."""
    if isinstance(member, str):
        return member
    state = " leaving" if member.get("leaving") else ""
    lag = member.get("lag")
    lag_text = f" lag={lag}" if lag else ""
    name = member.get("member", member.get("name"))
    return f"{name}({member.get('role')}{lag_text}{state})"


def show_control(command: AdminCommand, answer: dict[str, Any]) -> None:
    """Prints the control group and how many losses it can still tolerate."""
    control = answer.get("control")
    if not control:
        return
    command.line("")
    command.line(
        f"control leader: {control.get('leader') or 'none'}  "
        f"tolerated losses: {control.get('tolerated_losses', 'unknown')}"
    )
