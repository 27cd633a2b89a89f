"""Summarizes a daemon's state for operators: problems and next steps."""

from collections.abc import Callable, Iterator
from typing import Any

from bronzemoor_core.candidates import majority
from bronzemoor_core.operations import list_databases
from bronzemoor_core.versions import confirmation, versions_in_force

OK = "ok"
DEGRADED = "degraded"
FAILING = "failing"

# A replica that lags by more than this many records is reported.
REPORTED_LAG_RECORDS = 1_000

Problem = dict[str, str]
Check = Callable[[float, Any], Iterator[Problem]]

CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Registers a check, a function that yields the problems it finds."""
    CHECKS.append(function)
    return function


def summarize(now: float, blackboard: Any) -> dict[str, Any]:
    """Returns the full status; on the control leader it covers all daemons."""
    problems = [problem for function in CHECKS for problem in function(now, blackboard)]
    levels = {problem.pop("level") for problem in problems}
    overall = next((level for level in (FAILING, DEGRADED) if level in levels), OK)
    return {
        "overall": overall,
        "problems": problems,
        "databases": list_databases(now, blackboard),
        "configuration": _configuration_section(now, blackboard),
        "control": _control_section(blackboard),
        "daemons": _daemons_section(now, blackboard),
        "pools": _pools_section(blackboard),
        "shares": _shares_section(now, blackboard),
        "drain": {"stage": blackboard.drain.stage},
    }


def _problem(level: str, what: str, effect: str, next_step: str) -> Problem:
    return {"level": level, "what": what, "effect": effect, "next_step": next_step}


# --- checks


@check
def _check_databases(now: float, blackboard: Any) -> Iterator[Problem]:
    for name, database in sorted(blackboard.topology.databases.items()):
        if database.fenced:
            yield _problem(
                DEGRADED,
                f"{name}: a new primary is being appointed",
                "writes wait",
                f"none if it ends within 5 s; otherwise see failover.plan {name}",
            )
        elif not database.primary:
            yield _problem(
                FAILING,
                f"{name}: no primary",
                "writes are rejected as not run",
                "start members until a majority of the group announces itself",
            )
        missing = sorted(set(database.group) - set(database.members))
        alive = len(database.group) - len(missing)
        if missing and alive < majority(database.group):
            yield _problem(
                FAILING,
                f"{name}: only {alive} of {len(database.group)} members are heard",
                "writes cannot be confirmed and no failover is possible",
                f"restore one of {', '.join(missing)}",
            )
        elif missing:
            yield _problem(
                DEGRADED,
                f"{name}: {', '.join(missing)} not heard",
                "fewer reads by replicas and fewer losses can be tolerated",
                "restore the member or its network",
            )


@check
def _check_lag(now: float, blackboard: Any) -> Iterator[Problem]:
    for name, database in sorted(blackboard.topology.databases.items()):
        primary = database.members.get(database.primary)
        for member in database.members.values() if primary else ():
            lag = primary.position.offset - member.position.offset
            if lag > REPORTED_LAG_RECORDS:
                yield _problem(
                    DEGRADED,
                    f"{name}: {member.name} is {lag} records behind",
                    "it serves fewer reads and cannot take over in a handover",
                    "check the load and the network of the member",
                )


@check
def _check_suspicions(now: float, blackboard: Any) -> Iterator[Problem]:
    for name, investigation in sorted(blackboard.failover.investigations.items()):
        yield _problem(
            DEGRADED,
            f"{name}: primary {investigation.member} is suspected",
            "a failover follows if a second vantage point agrees",
            f"check {investigation.member} and its network",
        )


@check
def _check_control_group(now: float, blackboard: Any) -> Iterator[Problem]:
    log = blackboard.log
    if not log.leader and not blackboard.topology.leader:
        yield _problem(
            DEGRADED,
            "no control leader is known",
            "no failover and no change of configuration; requests go on",
            "start control members until a majority runs",
        )


@check
def _check_configuration(now: float, blackboard: Any) -> Iterator[Problem]:
    configuration = blackboard.configuration
    if configuration.stale:
        age = round(now - configuration.confirmed_at, 1)
        yield _problem(
            DEGRADED,
            f"configuration_stale: not confirmed for {age} s",
            "requests go on with the last known configuration",
            "check the network between this daemon and the control members",
        )
    elif not configuration.ready:
        yield _problem(
            DEGRADED,
            "the current configuration was not yet confirmed since the start",
            "this daemon is not ready and gets no requests",
            "check that a control leader exists and can be reached",
        )


@check
def _check_confirmations(now: float, blackboard: Any) -> Iterator[Problem]:
    if not blackboard.topology.is_leader:
        return
    for organisation in sorted(blackboard.state.templates):
        report = confirmation(blackboard, organisation)
        unconfirmed = report["behind"] + report["not_confirmed"]
        if unconfirmed:
            yield _problem(
                DEGRADED,
                f"{organisation}: version {report['version']} is not confirmed by "
                + ", ".join(unconfirmed),
                "these daemons may still use an older version",
                "check them, or their network to the control leader",
            )


@check
def _check_lost_daemons(now: float, blackboard: Any) -> Iterator[Problem]:
    for name, daemon in sorted(blackboard.topology.daemons.items()):
        if daemon.lost:
            yield _problem(
                DEGRADED,
                f"{name}: no heartbeat for {now - daemon.last_contact_at:.0f} s",
                "its shares return after their lease; others carry its load",
                "restart the daemon or repair its network",
            )


# --- sections


def _configuration_section(now: float, blackboard: Any) -> dict[str, Any]:
    configuration = blackboard.configuration
    names = sorted(blackboard.state.templates) if blackboard.topology.is_leader else ()
    return {
        "versions": versions_in_force(blackboard),
        "ready": configuration.ready,
        "stale": configuration.stale,
        "confirmed_ago_ms": round((now - configuration.confirmed_at) * 1000),
        "confirmation": {name: confirmation(blackboard, name) for name in names},
    }


def _control_section(blackboard: Any) -> dict[str, Any]:
    log = blackboard.log
    voters = list(log.voters)
    return {
        "leader": log.leader or blackboard.topology.leader,
        "role": log.role,
        "term": log.term,
        "commit_index": log.commit_index,
        "members": voters,
        "learners": list(log.learners),
        "tolerated_losses": max(0, (len(voters) - 1) // 2),
    }


def _daemons_section(now: float, blackboard: Any) -> list[dict[str, Any]]:
    return [
        {
            "daemon": name,
            "data_centre": daemon.data_centre,
            "age_ms": round((now - daemon.last_contact_at) * 1000),
            "draining": daemon.draining,
            "lost": daemon.lost,
        }
        for name, daemon in sorted(blackboard.topology.daemons.items())
    ]


def _shares_section(now: float, blackboard: Any) -> dict[str, Any]:
    shares = blackboard.limits.shares
    return {
        name: {
            "connections": share.connections,
            "valid_ms": round((share.valid_until - now) * 1000),
        }
        for name, share in sorted(shares.items())
    }


def _pools_section(blackboard: Any) -> dict[str, Any]:
    """Returns this daemon's connection counts by database, member and state."""
    rows: dict[str, Any] = {}
    for name, pool in sorted(blackboard.pools.databases.items()):
        members: dict[str, dict[str, int]] = {}
        for connection in pool.connections.values():
            states = members.setdefault(connection.member, {})
            state = connection.state.value
            states[state] = states.get(state, 0) + 1
        rows[name] = {"total": pool.total, "share": pool.share, "members": members}
    return rows
