"""Operator commands on databases: list, plan, handover and drain."""

from dataclasses import dataclass
from typing import Any

from bronzemoor_core.actions import AdminReply
from bronzemoor_core.events import AdminCommand
from bronzemoor_core.internal_events import CommandCompleted, CommandProposed
from bronzemoor_core.state import argument_problems, completion_reply

# How long an operator's command waits for its effect at this daemon; the upper bound of
# a failover.
EFFECT_TIMEOUT_SECONDS = 5.0

ARGUMENTS: dict[str, tuple[tuple[str, type, bool], ...]] = {
    "database.list": (),
    "failover.plan": (("database", str, True), ("target", str, False)),
    "failover.run": (
        ("database", str, True),
        ("target", str, False),
        ("change_id", str, True),
    ),
    "endpoint.drain": (
        ("database", str, True),
        ("member", str, True),
        ("draining", bool, False),
        ("change_id", str, False),
    ),
}


@dataclass(slots=True)
class PendingCommand:
    """A command in force here once ``term`` is reached and ``member`` is not primary.

    ``target`` is the member that a handover is to promote.
    """

    event: AdminCommand
    started_at: float
    completion: CommandCompleted
    term: int = 0
    member: str = ""
    target: str = ""


class Operations:
    """Answers each operator command once, when it has taken effect at this daemon."""

    def __init__(self, blackboard: Any) -> None:
        self._blackboard = blackboard
        # Proposed commands that are not completed yet.
        self._proposed: dict[int, tuple[AdminCommand, float]] = {}
        self._pending: dict[int, PendingCommand] = {}

    def admin(self, now: float, event: AdminCommand) -> list[object]:
        """Proposes the command; a handover is planned first."""
        if event.name not in ARGUMENTS:
            return []
        problems = argument_problems(ARGUMENTS[event.name], event.arguments)
        if problems:
            body = {"message": "; ".join(problems), "problems": problems}
            return [AdminReply(event.ticket, "invalid_request", body)]
        self._proposed[event.ticket] = (event, now)
        names = [name for name, _, _ in ARGUMENTS[event.name]]
        command = {k: event.arguments[k] for k in names if k in event.arguments}
        if event.name == "endpoint.drain":
            command |= {"operator": event.operator, "at": event.at}
        else:
            command["query"] = True
        kind = "failover.plan" if event.name == "failover.run" else event.name
        origin = ("operations", event.ticket)
        return [CommandProposed({**command, "type": kind}, origin)]

    def complete(self, now: float, event: CommandCompleted) -> list[object]:
        """Handles the completion of a proposal from this daemon."""
        origin = event.origin
        if not isinstance(origin, tuple | list) or len(origin) != 2:
            return []
        step, ticket = origin
        if step not in ("operations", "handover") or ticket not in self._proposed:
            return []
        command, started_at = self._proposed.pop(ticket)
        code = event.code if event.code != "ok" else event.result.get("code", "ok")
        if code != "ok" or command.name in ("database.list", "failover.plan"):
            return [completion_reply(ticket, event)]
        if command.name == "failover.run" and step == "operations":
            return self._start_handover(command, started_at, event)
        pending = PendingCommand(command, started_at, event)
        if command.name == "failover.run":
            pending.term = event.result["term"]
            pending.target = event.result["target"]
        elif command.arguments.get("draining", True):
            pending.member = command.arguments["member"]
        self._pending[ticket] = pending
        return self.check(now)

    def check(self, now: float) -> list[object]:
        """Answers commands that are in force here or have timed out."""
        out: list[object] = []
        for ticket, pending in tuple(self._pending.items()):
            name = pending.event.arguments["database"]
            database = self._blackboard.topology.databases.get(name)
            primary = database.primary if database else ""
            elapsed = now - pending.started_at
            if primary and primary != pending.member and database.term >= pending.term:
                reply = completion_reply(ticket, pending.completion)
                reply.body |= {"primary": primary, "took_ms": round(elapsed * 1000)}
                if (
                    pending.target not in ("", primary)
                    and database.term == pending.term
                ):
                    reply.code = "target_behind"
                    reply.body["message"] = f"{pending.target} was behind; try again"
                out.append(reply)
            elif elapsed > EFFECT_TIMEOUT_SECONDS:
                message = "accepted, but not in force yet; see the status"
                out.append(AdminReply(ticket, "unknown", {"message": message}))
            else:
                continue
            del self._pending[ticket]
        return out

    def _start_handover(
        self, command: AdminCommand, started_at: float, plan: CommandCompleted
    ) -> list[object]:
        """Starts a planned handover, unless its plan found it unsafe."""
        result, ticket = plan.result, command.ticket
        if not result["safe_now"] and not result.get("repeated"):
            body = {"message": "; ".join(result["blockers"]), "plan": result}
            return [AdminReply(ticket, "not_safe", body)]
        self._proposed[ticket] = (command, started_at)
        start = {
            "type": "failover.start",
            "kind": "handover",
            "database": command.arguments["database"],
            "wanted": command.arguments.get("target", ""),
            "target": result["candidate"],
            "old_term": result["highest_term"],
            "new_term": result["highest_term"] + 1,
            "reason": f"handover by {command.operator or 'an operator'}",
            "change_id": command.arguments["change_id"],
            "operator": command.operator,
            "at": command.at,
        }
        return [CommandProposed(start, ("handover", ticket))]


def _replica_lag(database: Any, member: Any) -> int | None:
    """Returns a member's lag behind the primary in records, None if unknown."""
    primary = database.members.get(database.committed_primary)
    if primary is None:
        return None
    return max(0, primary.position.offset - member.position.offset)


def list_databases(now: float, blackboard: Any) -> list[dict[str, Any]]:
    """Returns one row for each database with its members."""
    return [
        {
            "database": database.name,
            "term": database.term,
            "primary": database.committed_primary,
            "in_failover": database.fenced,
            "members": [
                {
                    "member": member.name,
                    "data_centre": member.data_centre,
                    "role": member.role,
                    "term": member.position.term,
                    "offset": member.position.offset,
                    "lag": _replica_lag(database, member),
                    "leaving": member.leaving,
                    "age_ms": round((now - member.last_contact_at) * 1000),
                }
                for _, member in sorted(database.members.items())
            ],
        }
        for _, database in sorted(blackboard.topology.databases.items())
    ]
