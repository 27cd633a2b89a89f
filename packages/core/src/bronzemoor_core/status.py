"""Summary of a daemon's view for operators: what is wrong and what to do next."""

from collections.abc import Callable, Iterator
from typing import Any

from bronzemoor_core.candidates import majority
from bronzemoor_core.operations import list_databases
from bronzemoor_core.versions import confirmation, held_versions

OK, DEGRADED, FAILING = "ok", "degraded", "failing"

# A replica this many records behind the primary is reported.
LAG_REPORTED = 1_000

Problem = dict[str, str]
Check = Callable[[float, Any], Iterator[Problem]]

CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Registers a check, which yields the problems that it finds."""
    CHECKS.append(function)
    return function


def summarize(now: float, blackboard: Any) -> dict[str, Any]:
    """Returns the whole status; the control leader's covers all daemons."""
    problems = [problem for function in CHECKS for problem in function(now, blackboard)]
    levels = {problem.pop("level") for problem in problems}
    overall = next((level for level in (FAILING, DEGRADED) if level in levels), OK)
    return {
        "overall": overall,
        "problems": problems,
        "databases": list_databases(now, blackboard),
        "configuration": _configuration(now, blackboard),
        "control": _control(blackboard),
        "daemons": _daemons(now, blackboard),
        "pools": _pools(blackboard),
        "shares": _shares(now, blackboard),
        "drain": {"stage": blackboard.drain.stage},
    }


def _problem(level: str, what: str, effect: str, next_step: str) -> Problem:
    return {"level": level, "what": what, "effect": effect, "next_step": next_step}


# --- checks


@check
def _databases(now: float, board: Any) -> Iterator[Problem]:
    for name, database in sorted(board.topology.databases.items()):
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
def _lag(now: float, board: Any) -> Iterator[Problem]:
    for name, database in sorted(board.topology.databases.items()):
        primary = database.members.get(database.primary)
        for member in database.members.values() if primary else ():
            behind = primary.position.offset - member.position.offset
            if behind > LAG_REPORTED:
                yield _problem(
                    DEGRADED,
                    f"{name}: {member.name} is {behind} records behind",
                    "it serves fewer reads and cannot take over in a handover",
                    "check the load and the network of the member",
                )


@check
def _suspicions(now: float, board: Any) -> Iterator[Problem]:
    for name, found in sorted(board.failover.investigations.items()):
        yield _problem(
            DEGRADED,
            f"{name}: primary {found.member} is suspected",
            "a failover follows if a second vantage point agrees",
            f"check {found.member} and its network",
        )


@check
def _control_group(now: float, board: Any) -> Iterator[Problem]:
    log = board.log
    if not log.leader and not board.topology.leader:
        yield _problem(
            DEGRADED,
            "no control leader is known",
            "no failover and no change of configuration; requests go on",
            "start control members until a majority runs",
        )


@check
def _stale(now: float, board: Any) -> Iterator[Problem]:
    configuration = board.configuration
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
def _confirmations(now: float, board: Any) -> Iterator[Problem]:
    if not board.topology.is_leader:
        return
    for organisation in sorted(board.state.templates):
        report = confirmation(board, organisation)
        late = report["behind"] + report["not_confirmed"]
        if late:
            yield _problem(
                DEGRADED,
                f"{organisation}: version {report['version']} is not confirmed by "
                + ", ".join(late),
                "these daemons may still use an older version",
                "check them, or their network to the control leader",
            )


@check
def _lost_daemons(now: float, board: Any) -> Iterator[Problem]:
    for name, daemon in sorted(board.topology.daemons.items()):
        if daemon.lost:
            yield _problem(
                DEGRADED,
                f"{name}: no heartbeat for {now - daemon.last_heard:.0f} s",
                "its shares return after their lease; others carry its load",
                "restart the daemon or repair its network",
            )


# --- sections


def _configuration(now: float, board: Any) -> dict[str, Any]:
    configuration = board.configuration
    names = sorted(board.state.templates) if board.topology.is_leader else ()
    return {
        "versions": held_versions(board),
        "ready": configuration.ready,
        "stale": configuration.stale,
        "confirmed_ago_ms": round((now - configuration.confirmed_at) * 1000),
        "confirmation": {name: confirmation(board, name) for name in names},
    }


def _control(board: Any) -> dict[str, Any]:
    log = board.log
    voters = list(log.voters)
    return {
        "leader": log.leader or board.topology.leader,
        "role": log.role,
        "term": log.term,
        "commit_index": log.commit_index,
        "members": voters,
        "learners": list(log.learners),
        "tolerated_losses": max(0, (len(voters) - 1) // 2),
    }


def _daemons(now: float, board: Any) -> list[dict[str, Any]]:
    return [
        {
            "daemon": name,
            "data_centre": daemon.data_centre,
            "age_ms": round((now - daemon.last_heard) * 1000),
            "draining": daemon.draining,
            "lost": daemon.lost,
        }
        for name, daemon in sorted(board.topology.daemons.items())
    ]


def _shares(now: float, board: Any) -> dict[str, Any]:
    shares = board.limits.shares
    return {
        name: {
            "connections": share.connections,
            "valid_ms": round((share.valid_until - now) * 1000),
        }
        for name, share in sorted(shares.items())
    }


def _pools(board: Any) -> dict[str, Any]:
    """Connections of this daemon by database, member and state."""
    rows: dict[str, Any] = {}
    for name, pool in sorted(board.pools.databases.items()):
        members: dict[str, dict[str, int]] = {}
        for connection in pool.connections.values():
            states = members.setdefault(connection.member, {})
            state = connection.state.value
            states[state] = states.get(state, 0) + 1
        rows[name] = {"total": pool.total, "share": pool.share, "members": members}
    return rows
