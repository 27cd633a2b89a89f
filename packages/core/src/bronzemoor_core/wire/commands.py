"""Commands that change or read the statement protocol's replicated records."""

from typing import Any

from bronzemoor_core.commands import command, query
from bronzemoor_core.records import State
from bronzemoor_core.wire.records import LeaderRecord, MemberRecord

# Members that left whose late announcements are still recognised.
MAX_DEPARTED_MEMBERS = 1_000
# Prefixes, before the dot, of the names of commands that change records.
CHANGE_KINDS = ("deployment", "lease", "member", "primary", "quota", "sharing")


@command("deployment.put")
def _put_deployment(state: State, body: dict[str, Any]) -> dict[str, Any]:
    """Stores the document if its version is newer than the stored one."""
    wire = state.wire
    changed = body["version"] > wire.version
    if changed:
        wire.version, wire.document = body["version"], body["document"]
    return {"code": "ok", "version": wire.version, "changed": changed}


@query("deployment.get")
def _get_deployment(state: State, body: dict[str, Any]) -> dict[str, Any]:
    wire = state.wire
    return {"code": "ok", "version": wire.version, "document": wire.document}


@command("quota.holders")
def _change_quota_holders(state: State, body: dict[str, Any]) -> dict[str, Any]:
    added, removed = set(body["add"]), set(body["remove"])
    holders = (set(state.wire.quota_holders) | added) - removed
    state.wire.quota_holders = sorted(holders)
    return {"code": "ok"}


@command("quota.marks")
def _change_quota_marks(state: State, body: dict[str, Any]) -> dict[str, Any]:
    marks = (set(state.wire.quota_marks) | set(body["add"])) - set(body["remove"])
    state.wire.quota_marks = sorted(marks)
    return {"code": "ok"}


@command("lease.holders")
def _change_lease_holders(state: State, body: dict[str, Any]) -> dict[str, Any]:
    """Changes who may hold a lease; ``covered`` has all that removed ones know."""
    wire = state.wire
    covered = {group: (item[0], item[1]) for group, item in body["covered"].items()}
    holders = (set(wire.lease_holders) | set(body["add"])) - set(body["remove"])
    wire.lease_holders = sorted(holders)
    for group, position in covered.items():
        wire.covered[group] = max(position, wire.covered.get(group, position))
    return {"code": "ok"}


@command("sharing.set")
def _set_sharing(state: State, body: dict[str, Any]) -> dict[str, Any]:
    state.wire.sharing = body["sharing"]
    return {"code": "ok"}


@command("member.put")
def _put_member(state: State, body: dict[str, Any]) -> dict[str, Any]:
    wire = state.wire
    record = MemberRecord(**body["member"])
    known = wire.members.get(record.member)
    last = known.order if known else wire.departed.get(record.member, (-1, -1))
    if record.order < last or (known is None and record.order == last):
        return {"code": "ok", "changed": False}
    if known is not None and known.born == record.born:
        record.leaving = record.leaving or known.leaving
    elif known is not None:
        # What the earlier process had acknowledged is gone with it.
        _record_departure(state, known)
    wire.members[record.member] = record
    for other in list(wire.members.values()):
        # Only the member whose process started last keeps an address.
        if other.member != record.member and other.address == record.address:
            _remove_member(state, other if other.born <= record.born else record)
    return {"code": "ok", "changed": True}


@command("member.drop")
def _drop_member(state: State, body: dict[str, Any]) -> dict[str, Any]:
    record = state.wire.members.get(body["member"])
    if record is None or record.born > body.get("born", record.born):
        return {"code": "ok", "changed": False}
    # With ``covered``, another replica is known to have all that this one may have.
    _remove_member(state, record, body.get("covered", False))
    return {"code": "ok", "changed": True}


@command("member.settle")
def _settle_departure(state: State, body: dict[str, Any]) -> dict[str, Any]:
    """Records that another replica has what departed ones had acknowledged.

    They may still run. Nothing changes if there was a departure since.
    """
    wire, group = state.wire, body["group"]
    settled = wire.departures.get(group) == body["departure"]
    if settled:
        wire.lingering[group] = wire.departures.pop(group)
    return {"code": "ok", "settled": settled}


@command("member.ended")
def _forget_lingering(state: State, body: dict[str, Any]) -> dict[str, Any]:
    """Forgets departed and removed replicas, unless there was another one since.

    Without ``covered`` they may have been the only ones to acknowledge a commit.
    """
    wire, group = state.wire, body["group"]
    ended = wire.lingering.get(group) == body["departure"]
    if ended:
        number = wire.lingering.pop(group)
        if not body["covered"]:
            wire.departures[group] = max(number, wire.departures.get(group, 0))
    return {"code": "ok", "ended": ended}


def _record_departure(
    state: State, record: MemberRecord, covered: bool = False
) -> None:
    """Records that a replica which may acknowledge commits is not on record any more.

    With ``covered``, another has all that it had acknowledged until then.
    """
    wire = state.wire
    leader = wire.leaders.get(record.group)
    if leader is not None and leader.primary != record.member:
        wire.last_departure += 1
        departures = wire.lingering if covered else wire.departures
        departures[record.group] = wire.last_departure


def _remove_member(state: State, record: MemberRecord, covered: bool = False) -> None:
    wire = state.wire
    _record_departure(state, record, covered)
    wire.members.pop(record.member, None)
    wire.departed[record.member] = record.order
    while len(wire.departed) > MAX_DEPARTED_MEMBERS:
        del wire.departed[next(iter(wire.departed))]


@command("primary.plan")
def _plan_primary(state: State, body: dict[str, Any]) -> dict[str, Any]:
    """Starts a promotion and assigns it a new fencing number."""
    wire = state.wire
    record = wire.leaders.setdefault(body["group"], LeaderRecord(body["group"]))
    wire.last_fence += 1
    record.fence = wire.last_fence
    record.candidate = body["member"]
    return {"code": "ok", "fence": record.fence}


@command("primary.set")
def _set_primary(state: State, body: dict[str, Any]) -> dict[str, Any]:
    """Records the member that was observed as the primary of ``term``."""
    record = state.wire.leaders.setdefault(body["group"], LeaderRecord(body["group"]))
    if body["term"] < record.term or body.get("fence", record.fence) != record.fence:
        return {"code": "term_conflict", "current_term": record.term}
    departure = state.wire.departures.get(body["group"])
    if body["term"] > record.term and departure is not None:
        # The new primary has every commit that was acknowledged before its term. A
        # departed replica that still runs may acknowledge later ones.
        del state.wire.departures[body["group"]]
        state.wire.lingering[body["group"]] = departure
    record.term, record.primary, record.candidate = body["term"], body["member"], ""
    return {"code": "ok"}
