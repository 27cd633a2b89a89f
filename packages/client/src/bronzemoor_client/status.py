"""Commands that show the system's state: status, watch, explain, database list."""

from time import sleep
from typing import Any, ClassVar

from cleo.helpers import argument, option

from bronzemoor_client import exitcodes
from bronzemoor_client.base import AdminCommand, register

WATCH_INTERVAL_SECONDS = 2.0


@register
class StatusCommand(AdminCommand):
    name = "status"
    description = "Shows the health of the system and the next step for each problem."

    def execute_command(self) -> int:
        answer = self.send_query("status")
        status = self.print_answer(answer, self.show)
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
    description = "Shows the status repeatedly until interrupted."
    options: ClassVar[list[Any]] = [
        option(
            "interval", None, "Seconds between two queries", flag=False, default="2"
        ),
        option(
            "count", None, "Number of queries, 0 for no limit", flag=False, default="0"
        ),
    ]

    def execute_command(self) -> int:
        interval = float(self.option("interval") or WATCH_INTERVAL_SECONDS)
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
        return self.print_answer(
            self.send_query("database.list"),
            lambda answer: show_databases(self, answer),
        )


@register
class ExplainCommand(AdminCommand):
    name = "explain"
    description = "Shows the traced steps of a request and how it was routed."
    arguments: ClassVar[list[Any]] = [
        argument("trace", "Value of trace_id in the answer to the request")
    ]

    def execute_command(self) -> int:
        answer = self.send_query("explain", trace_id=self.argument("trace"))
        return self.print_answer(answer, self.show)

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
    """Prints a table of the databases."""
    rows = []
    for database in answer.get("databases", []):
        members = database.get("members", [])
        rows.append(
            [
                database.get("database", database.get("name", "")),
                database.get("term", ""),
                database.get("primary") or "none",
                " ".join(format_member(member) for member in members),
            ]
        )
    command.print_table(["database", "term", "primary", "members"], rows)


def format_member(member: dict[str, Any] | str) -> str:
    """Returns the name, role, lag and leaving state of a member, in short form."""
    if isinstance(member, str):
        return member
    state = " leaving" if member.get("leaving") else ""
    lag = member.get("lag")
    lag_text = f" lag={lag}" if lag else ""
    name = member.get("member", member.get("name"))
    return f"{name}({member.get('role')}{lag_text}{state})"


def show_control(command: AdminCommand, answer: dict[str, Any]) -> None:
    """Prints the control leader and how many more member losses are tolerated."""
    control = answer.get("control")
    if not control:
        return
    command.line("")
    command.line(
        f"control leader: {control.get('leader') or 'none'}  "
        f"tolerated losses: {control.get('tolerated_losses', 'unknown')}"
    )
