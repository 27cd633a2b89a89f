"""Commands and queries of the replicated state; every function is deterministic."""

import json
import re
from collections.abc import Callable
from hashlib import sha256
from typing import Any

from bronzemoor_core.records import (
    ChangeRecord,
    DatabaseRecord,
    FailoverPlan,
    KeyRecord,
    State,
    TemplateEntry,
)
from bronzemoor_core.templates import diff_templates

CommandFunction = Callable[[State, dict[str, Any]], dict[str, Any]]

COMMANDS: dict[str, CommandFunction] = {}
QUERIES: dict[str, CommandFunction] = {}

# Versions kept per organisation for history and rollback. At 11,000 changes a day over
# all organisations, this holds several days of history.
VERSION_LIMIT = 100
# Change ids kept per organisation. Bounded by count, not by age, because the state has
# no clock; 10,000 cover about a day even if one organisation makes all changes.
CHANGE_LIMIT = 10_000
# Keys kept in the ring: tokens signed with the previous two stay valid.
KEY_LIMIT = 3
# Daemons exchange keys as serial:id:hex, so an id contains no colon.
KEY_ID = re.compile(r"[A-Za-z0-9_.-]{1,80}\Z")
KEY_SECRET = re.compile(r"([0-9a-fA-F]{2}){16,64}\Z")
# Prefix of change ids of the control leader's own proposals, whose terms make them
# idempotent.
AUTOMATIC_PREFIX = "auto:"
# Command fields that may differ when a change is resent, left out of its digest.
UNDIGESTED_FIELDS = (
    "at",
    "change_id",
    "new_term",
    "old_term",
    "operator",
    "reason",
    "secret",
    "target",
)


def command(name: str) -> Callable[[CommandFunction], CommandFunction]:
    """Registers the function that applies a committed command of type ``name``."""

    def register(function: CommandFunction) -> CommandFunction:
        COMMANDS[name] = function
        return function

    return register


def query(name: str) -> Callable[[CommandFunction], CommandFunction]:
    """Registers the function that answers a query of type ``name``."""

    def register(function: CommandFunction) -> CommandFunction:
        QUERIES[name] = function
        return function

    return register


def apply_command(state: State, body: dict[str, Any]) -> dict[str, Any]:
    """Applies a committed command once per change id; returns the recorded result."""
    name = str(body.get("type", ""))
    function = COMMANDS.get(name)
    if function is None:
        return _error("unknown_command", f"unknown command {name!r}")
    change_id = body.get("change_id", "")
    if not change_id or change_id.startswith(AUTOMATIC_PREFIX):
        return _run_checked(function, state, body)
    changes = state.changes.setdefault(body.get("organisation", ""), {})
    digest = _digest(body)
    if change_id in changes:
        first = changes[change_id]
        if first.digest == digest:
            return first.result
        return _error(
            "change_id_reused",
            f"change id {change_id!r} was used before for another change",
        )
    result = _run_checked(function, state, body)
    changes[change_id] = ChangeRecord(digest, result)
    while len(changes) > CHANGE_LIMIT:
        del changes[next(iter(changes))]
    return result


def _run_checked(
    function: CommandFunction, state: State, body: dict[str, Any]
) -> dict[str, Any]:
    """Runs a command; every member rejects a malformed one instead of crashing."""
    try:
        return function(state, body)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return _error("invalid_request", f"malformed command: {error!r}")


def answer_query(state: Any, body: dict[str, Any]) -> dict[str, Any]:
    """Answers a query from the applied state."""
    name = str(body.get("type", ""))
    function = QUERIES.get(name)
    if function is None:
        return _error("unknown_command", f"unknown query {name!r}")
    return _run_checked(function, state, body)


def current_entry(state: Any, organisation: str) -> TemplateEntry | None:
    """Returns the newest version of an organisation's template."""
    entries = state.templates.get(organisation)
    return entries[-1] if entries else None


# --- templates


@command("template.apply")
def _apply_template(state: State, body: dict[str, Any]) -> dict[str, Any]:
    return _append_version(state, body, body["body"])


@command("template.rollback")
def _rollback_template(state: State, body: dict[str, Any]) -> dict[str, Any]:
    for entry in state.templates.get(body["organisation"], ()):
        if entry.version == body["to_version"]:
            return _append_version(state, body, entry.body)
    return _error("version_not_found", f"version {body['to_version']} is not kept")


def _append_version(
    state: State, body: dict[str, Any], template: dict[str, Any]
) -> dict[str, Any]:
    organisation = body["organisation"]
    entries = state.templates.get(organisation, [])
    current = entries[-1].version if entries else 0
    if body["expect_version"] != current:
        message = f"expected version {body['expect_version']}, current is {current}"
        return _error("version_conflict", message, current_version=current)
    changed = diff_templates(entries[-1].body if entries else {}, template)
    entry = TemplateEntry(
        version=current + 1,
        body=template,
        operator=body.get("operator", ""),
        at=body.get("at", 0.0),
        change_id=body.get("change_id", ""),
    )
    state.templates[organisation] = [*entries, entry][-VERSION_LIMIT:]
    return {"code": "ok", "version": entry.version, "changed": changed}


@query("template.get")
def _get_template(state: Any, body: dict[str, Any]) -> dict[str, Any]:
    entries = state.templates.get(body["organisation"], [])
    requested = body.get("version") or (entries[-1].version if entries else 0)
    for entry in entries:
        if entry.version == requested:
            return {"code": "ok", **_describe_entry(entry), "body": entry.body}
    if entries:
        return _error("version_not_found", f"version {requested} is not kept")
    return _error("unknown_organisation", f"{body['organisation']} has no template")


@query("template.list")
def _list_templates(state: Any, body: dict[str, Any]) -> dict[str, Any]:
    rows = [
        {"organisation": organisation, **_describe_entry(entries[-1])}
        for organisation, entries in sorted(state.templates.items())
    ]
    return {"code": "ok", "templates": rows}


@query("configuration.versions")
def _current_versions(state: Any, body: dict[str, Any]) -> dict[str, Any]:
    serial = state.keys[0].serial if state.keys else 0
    return {"code": "ok", "versions": state.versions, "keys": serial}


@query("template.history")
def _template_history(state: Any, body: dict[str, Any]) -> dict[str, Any]:
    entries = state.templates.get(body["organisation"], [])
    previous = [{}, *(entry.body for entry in entries)]
    rows = [
        {**_describe_entry(entry), "changed": diff_templates(old, entry.body)}
        for old, entry in zip(previous, entries, strict=False)
    ]
    return {"code": "ok", "history": rows}


def _describe_entry(entry: TemplateEntry) -> dict[str, Any]:
    return {
        "version": entry.version,
        "operator": entry.operator,
        "at": entry.at,
        "change_id": entry.change_id,
    }


# --- databases


@command("failover.start")
def _start_failover(state: State, body: dict[str, Any]) -> dict[str, Any]:
    record = state.databases.get(body["database"]) or DatabaseRecord(body["database"])
    plan = record.plan
    if plan is not None and plan.change_id == body["change_id"]:
        return {"code": "ok", "term": plan.new_term, "target": plan.target}
    expected = record.highest_term
    first = expected == 0  # no term was committed yet: the members' terms decide
    if body["new_term"] <= body["old_term"] or not (
        first or body["old_term"] == expected
    ):
        message = f"expected term {body['old_term']}, current is {expected}"
        return _error("term_conflict", message, current_term=expected)
    state.databases[record.name] = record
    record.group = record.group or tuple(body.get("group", ()))
    record.plan = FailoverPlan(
        kind=body.get("kind", "failover"),
        old_term=body["old_term"],
        new_term=body["new_term"],
        change_id=body["change_id"],
        reason=body.get("reason", ""),
        target=body.get("target", ""),
        at=body.get("at", 0.0),
    )
    record.version += 1
    return {"code": "ok", "term": record.plan.new_term, "target": record.plan.target}


@command("failover.choose")
def _choose_primary(state: State, body: dict[str, Any]) -> dict[str, Any]:
    record = state.databases.get(body["database"])
    plan = record.plan if record else None
    if record is None or plan is None or plan.new_term != body["term"]:
        return _error("term_conflict", f"term {body['term']} is not in progress")
    if plan.step != "started":
        return {"code": "ok", "member": plan.chosen}
    plan.step = "chosen"
    plan.chosen = body["member"]
    plan.start_offset = body["start_offset"]
    record.version += 1
    # Terms above that of the chosen log's last record left no record in it.
    newest = body.get("position_term", plan.old_term)
    record.history = {t: s for t, s in record.history.items() if t <= newest}
    record.history[plan.new_term] = plan.start_offset
    return {"code": "ok", "member": plan.chosen}


@command("failover.done")
def _finish_failover(state: State, body: dict[str, Any]) -> dict[str, Any]:
    record = state.databases.get(body["database"])
    if record is not None and record.plan is None and record.term == body["term"]:
        return {"code": "ok", "primary": record.primary}
    plan = record.plan if record else None
    if record is None or plan is None or plan.new_term != body["term"]:
        return _error("term_conflict", f"term {body['term']} is not in progress")
    if plan.step != "chosen":
        return _error("step_conflict", "no member was chosen yet")
    record.term, record.primary, record.plan = plan.new_term, plan.chosen, None
    record.version += 1
    return {"code": "ok", "primary": record.primary}


@command("endpoint.drain")
def _drain_endpoint(state: State, body: dict[str, Any]) -> dict[str, Any]:
    record = state.databases.get(body["database"])
    if record is None or body["member"] not in record.group:
        code = "unknown_member" if record else "unknown_database"
        return _error(code, f"{body['database']} has no {body['member']}")
    draining = set(record.draining)
    if body.get("draining", True):
        draining.add(body["member"])
    else:
        draining.discard(body["member"])
    record.draining = tuple(sorted(draining))
    record.version += 1
    return {"code": "ok", "draining": list(record.draining)}


# --- token keys


@command("keys.rotate")
def _rotate_keys(state: State, body: dict[str, Any]) -> dict[str, Any]:
    if not KEY_ID.match(body["key_id"]) or not KEY_SECRET.match(body["secret"]):
        return _error("invalid_request", "a key needs a name and 16 or more bytes")
    if any(key.key_id == body["key_id"] for key in state.keys):
        return _error("key_id_reused", f"key {body['key_id']!r} exists already")
    serial = state.keys[0].serial + 1 if state.keys else 1
    key = KeyRecord(serial, body["key_id"], body["secret"], body.get("at", 0.0))
    state.keys = [key, *state.keys][:KEY_LIMIT]
    return {"code": "ok", "key_id": key.key_id, "keys": [k.key_id for k in state.keys]}


def _error(code: str, message: str, **fields: Any) -> dict[str, Any]:
    return {"code": code, "message": message, **fields}


def _digest(body: dict[str, Any]) -> str:
    digested = {k: v for k, v in body.items() if k not in UNDIGESTED_FIELDS}
    return sha256(json.dumps(digested, sort_keys=True).encode()).hexdigest()
