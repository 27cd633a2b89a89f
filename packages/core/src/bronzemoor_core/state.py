"""Replicated state machine of the control group and its operator commands."""

from collections.abc import Callable
from typing import Any

from bronzemoor_core.actions import AdminReply
from bronzemoor_core.commands import QUERIES, answer_query, apply_command
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import AdminCommand
from bronzemoor_core.internal_events import (
    CommandApplied,
    CommandCommitted,
    CommandCompleted,
    CommandProposed,
    QueryReady,
    SnapshotReady,
    SnapshotRequested,
    SnapshotRestored,
    StateChanged,
)
from bronzemoor_core.records import State, from_snapshot, to_snapshot
from bronzemoor_core.templates import template_problems
from bronzemoor_core.wire.commands import CHANGE_KINDS

KEY_BYTES = 32

# Arguments of the operator commands handled here: name, type, required.
ARGUMENTS: dict[str, tuple[tuple[str, type, bool], ...]] = {
    "template.list": (),
    "template.get": (("organisation", str, True), ("version", int, False)),
    "template.history": (("organisation", str, True),),
    "template.apply": (
        ("organisation", str, True),
        ("body", dict, True),
        ("expect_version", int, True),
        ("change_id", str, True),
    ),
    "template.rollback": (
        ("organisation", str, True),
        ("to_version", int, True),
        ("expect_version", int, True),
        ("change_id", str, True),
    ),
    "keys.rotate": (("change_id", str, True), ("key_id", str, False)),
}
QUERY_NAMES = ("template.list", "template.get", "template.history")


@controller("state")
class StateMachine(Controller):
    """Owns the state section."""

    _section: State

    @handles(CommandCommitted)
    def commit(self, now: float, event: CommandCommitted) -> list[object]:
        if event.index <= self._section.applied_index:
            return []
        self._section.applied_index = event.index
        result = apply_command(self._section, event.command)
        applied = CommandApplied(event.index, event.command, result, event.origin)
        changes = list(_state_changes(event.command)) if result["code"] == "ok" else []
        return [*changes, applied]

    @handles(QueryReady)
    def query(self, now: float, event: QueryReady) -> list[object]:
        if event.command.get("type") not in QUERIES:
            return []
        result = answer_query(self._section, event.command)
        index = self._section.applied_index
        return [CommandApplied(index, event.command, result, event.origin)]

    @handles(SnapshotRequested)
    def snapshot(self, now: float, event: SnapshotRequested) -> list[object]:
        return [SnapshotReady(self._section.applied_index, to_snapshot(self._section))]

    @handles(SnapshotRestored)
    def restore(self, now: float, event: SnapshotRestored) -> list[object]:
        if event.index <= self._section.applied_index:
            return []
        from_snapshot(self._section, event.index, event.data)
        return [StateChanged("all", "")]

    @handles(AdminCommand)
    def admin(self, now: float, event: AdminCommand) -> list[object]:
        if event.name not in ARGUMENTS:
            return []
        problems = argument_problems(ARGUMENTS[event.name], event.arguments)
        if not problems and event.name == "template.apply":
            arguments = event.arguments
            problems = template_problems(arguments["organisation"], arguments["body"])
        if problems:
            body = {"message": "; ".join(problems), "problems": problems}
            return [AdminReply(event.ticket, "invalid_request", body)]
        return [CommandProposed(self._make_command(event), ("state", event.ticket))]

    @handles(CommandCompleted)
    def complete(self, now: float, event: CommandCompleted) -> list[object]:
        ticket = ticket_of(event.origin, "state")
        return [] if ticket is None else [completion_reply(ticket, event)]

    def _make_command(self, event: AdminCommand) -> dict[str, Any]:
        names = [name for name, _, _ in ARGUMENTS[event.name]]
        command: dict[str, Any] = {"type": event.name}
        command |= {k: event.arguments[k] for k in names if k in event.arguments}
        if event.name in QUERY_NAMES:
            return {**command, "query": True}
        command |= {"operator": event.operator, "at": event.at}
        if event.name == "keys.rotate":
            # The driver passes the secret, or a random.SystemRandom to the node.
            secret = event.arguments.get("secret")
            command["secret"] = secret or self._random.randbytes(KEY_BYTES).hex()
            command.setdefault("key_id", f"key-{command['change_id']}")
        return command


def argument_problems(
    allowed: tuple[tuple[str, type, bool], ...], arguments: dict[str, Any]
) -> list[str]:
    """Returns all problems with an operator command's arguments."""
    problems = []
    for name, kind, required in allowed:
        value = arguments.get(name)
        if value is None:
            if required:
                problems.append(f"{name}: required argument is missing")
        elif not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            found = type(value).__name__
            problems.append(f"{name}: found {found}, allowed: {kind.__name__}")
        elif required and value == "":
            problems.append(f"{name}: found an empty string")
    return problems


def ticket_of(origin: Any, owner: str) -> int | None:
    """Returns the admin ticket of a command that ``owner`` proposed, or None."""
    if isinstance(origin, tuple | list) and len(origin) == 2 and origin[0] == owner:
        return int(origin[1])
    return None


def completion_reply(ticket: int, event: CommandCompleted) -> AdminReply:
    """Returns the reply to an operator with a completed command's result."""
    body = {k: v for k, v in event.result.items() if k != "code"}
    code = event.code if event.code != "ok" else event.result.get("code", "ok")
    if event.message:
        body.setdefault("message", event.message)
    return AdminReply(ticket, code, body)


def _state_changes(command: dict[str, Any]) -> list[StateChanged]:
    prefix, _, _ = command["type"].partition(".")
    kinds: dict[str, Callable[[], StateChanged]] = {
        "template": lambda: StateChanged("template", command["organisation"]),
        "failover": lambda: StateChanged("database", command["database"]),
        "endpoint": lambda: StateChanged("database", command["database"]),
        "keys": lambda: StateChanged("keys", ""),
    }
    if prefix in CHANGE_KINDS:
        return [StateChanged(prefix, "")]
    return [kinds[prefix]()] if prefix in kinds else []
