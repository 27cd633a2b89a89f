"""Plans handovers: which member would take over, why, and whether it is safe now."""

from dataclasses import dataclass, field
from typing import Any

from bronzemoor_core.actions import Answer, SendOrder
from bronzemoor_core.candidates import majority
from bronzemoor_core.promotion import is_accepted, make_order

# Records that a target may lack when a handover starts; it receives them while writes
# are stopped, well within the time that a handover waits.
MAX_START_LAG_RECORDS = 100
# How long a plan waits for the members' answers.
SURVEY_TIMEOUT_SECONDS = 0.2


@dataclass(slots=True)
class Survey:
    """Pings to all members of a group for a plan; ``origin`` gets the answer."""

    database: str
    target: str
    started_at: float
    origin: Any
    command: dict[str, Any]
    answers: dict[str, Answer] = field(default_factory=dict)

    def is_complete(self, now: float, group: tuple[str, ...]) -> bool:
        """Returns whether all members answered or the survey timed out."""
        return (
            len(self.answers) >= len(group)
            or now - self.started_at > SURVEY_TIMEOUT_SECONDS
        )


def survey_orders(
    database: Any, record: Any, addresses: dict[str, str]
) -> list[SendOrder]:
    """Returns pings to all members of a group."""
    return [
        SendOrder(
            make_order("ping", record, name, addresses, record.term),
            SURVEY_TIMEOUT_SECONDS,
        )
        for name in record.group
        if name in addresses
    ]


def plan_handover(
    database: Any, record: Any, survey: Survey, repeated: bool
) -> dict[str, Any]:
    """Returns the plan of a handover as shown to operators.

    ``repeated`` means that the change id was used before, so that the recorded result
    of that change applies.
    """
    rows = [
        _member_row(name, database, record, survey.answers) for name in record.group
    ]
    blockers = []
    if record.plan is not None:
        blockers.append(
            f"a {record.plan.kind} to term {record.plan.new_term} is in progress"
        )
    reached = [row for row in rows if row["reachable"]]
    if len(reached) < majority(record.group):
        blockers.append(f"only {len(reached)} of {len(rows)} members answer")
    if not any(row["member"] == record.primary for row in reached):
        blockers.append("the primary does not answer")
    candidate, reason = _choose_candidate(rows, record, survey.target, blockers)
    return {
        "code": "ok",
        "repeated": repeated,
        "database": record.name,
        "term": record.term,
        "highest_term": record.highest_term,
        "primary": record.primary,
        "candidate": candidate,
        "reason": reason,
        "safe_now": not blockers,
        "blockers": blockers,
        "members": rows,
    }


def _member_row(
    name: str, database: Any, record: Any, answers: dict[str, Answer]
) -> dict[str, Any]:
    member, answer = database.members.get(name), answers.get(name)
    reachable = answer is not None and is_accepted(answer)
    primary = answers.get(record.primary)
    offset = answer.offset if answer else (member.position.offset if member else 0)
    return {
        "member": name,
        "data_centre": member.data_centre if member else "",
        "role": answer.role if answer else (member.role if member else "unknown"),
        "term": answer.term if answer else (member.position.term if member else 0),
        "offset": offset,
        "behind": max(0, primary.offset - offset) if primary else None,
        "reachable": reachable,
        "leaving": bool(name in record.draining or (member and member.leaving)),
    }


def _choose_candidate(
    rows: list[dict[str, Any]], record: Any, target: str, blockers: list[str]
) -> tuple[str, str]:
    primary_data_centre = next(
        (r["data_centre"] for r in rows if r["member"] == record.primary), ""
    )
    eligible = [
        row
        for row in rows
        if row["member"] != record.primary
        and row["reachable"]
        and not row["leaving"]
        and target in ("", row["member"])
    ]
    if not eligible:
        blockers.append(f"{target or 'no other member'} cannot take over now")
        return "", "no member can take over"
    eligible.sort(
        key=lambda r: (
            -r["offset"],
            r["data_centre"] != primary_data_centre,
            r["member"],
        )
    )
    best = eligible[0]
    if best["behind"] is not None and best["behind"] > MAX_START_LAG_RECORDS:
        blockers.append(f"{best['member']} is {best['behind']} records behind")
    reason = "named by the operator" if target else "highest position"
    if not target and best["data_centre"] == primary_data_centre:
        reason += ", in the primary's data centre"
    return best["member"], reason
