"""Relays member summaries and selects the topology that a daemon subscribes to."""

from collections.abc import Iterable
from typing import Any
from zlib import crc32

from bronzemoor_core.commands import current_entry
from bronzemoor_core.events import Announcement
from bronzemoor_core.heartbeats import heartbeat_part, reply_part
from bronzemoor_core.messages import DatabaseState, MemberSummary
from bronzemoor_core.topology import topology_digest

# Entry of the topology digest in ``ConfigurationAcknowledged.versions``; never a valid
# organisation name.
TOPOLOGY_KEY = "@topology"
# A change is sent in this many heartbeats, so that one lost message has no effect.
CHANGE_REPEAT_HEARTBEATS = 2


def summarize_announcement(announcement: Announcement) -> MemberSummary:
    """Returns the summary of an announcement that a relay forwards."""
    a = announcement
    return MemberSummary(
        database=a.database,
        member=a.member,
        address=a.address,
        data_centre=a.data_centre,
        role=a.role,
        term=a.term,
        offset=a.offset,
        incarnation=a.incarnation,
        members=list(a.members),
        leaving=a.leaving,
        slots=a.slots,
        connections=a.connections,
        history=dict(a.history),
        unreachable=list(a.unreachable),
        age_ms=0,
    )


def summarize_member(now: float, database: Any, member: Any) -> MemberSummary:
    """Returns a member as known here; ``age_ms`` is the time since the last contact."""
    return MemberSummary(
        database=database.name,
        member=member.name,
        address=member.address,
        data_centre=member.data_centre,
        role=member.role,
        term=member.position.term,
        offset=member.position.offset,
        incarnation=member.incarnation,
        members=list(member.group),
        leaving=member.leaving,
        slots=member.slots,
        connections=member.connections,
        history=dict(member.history),
        unreachable=list(member.unreachable),
        age_ms=round(max(0.0, now - member.last_contact_at) * 1000),
    )


def member_summaries(now: float, blackboard: Any, timers: Any) -> list[MemberSummary]:
    """Returns the summaries that the next heartbeat forwards to the control members.

    A member that announces here is included when anything but its position changed,
    and otherwise once per half lease, which coalesces positions.
    """
    repeat_period = CHANGE_REPEAT_HEARTBEATS * timers.daemon_heartbeat_interval
    refresh = timers.announcement_lease / 2
    interval = timers.daemon_heartbeat_interval
    summaries = []
    for database in blackboard.topology.databases.values():
        for member in database.members.values():
            if now - member.announced_at > timers.announcement_lease:
                continue
            phase = crc32(f"{database.name}/{member.name}".encode()) / 2**32 * refresh
            due = (now + phase) % refresh < interval
            if due or now - member.changed_at <= repeat_period:
                summaries.append(summarize_member(now, database, member))
    return summaries


@heartbeat_part
def report_members(now: float, blackboard: Any, settings: Any, heartbeat: Any) -> None:
    """Adds member summaries and the organisations served here to a heartbeat."""
    heartbeat.members = member_summaries(now, blackboard, settings.timers)
    heartbeat.subscriptions = list(settings.organisations)


def served_databases(
    organisations: Iterable[str], blackboard: Any
) -> frozenset[str] | None:
    """Returns the databases of the organisations served here; None means all."""
    names: set[str] = set()
    for name in organisations:
        template = blackboard.configuration.templates.get(name)
        names.update(template.databases if template else (name,))
    return frozenset(names) if names else None


@reply_part
def answer_digest(
    now: float, blackboard: Any, settings: Any, heartbeat: Any, reply: Any
) -> None:
    """Adds the subscriptions' topology digest to one reply per digest interval."""
    timers = settings.timers
    period = round(timers.digest_interval / timers.daemon_heartbeat_interval)
    if heartbeat.sequence % max(1, period):
        return
    names = subscribed_databases(heartbeat.subscriptions, blackboard)
    reply.topology_digest = topology_digest(blackboard.topology.databases, names)


def database_state(database: Any) -> DatabaseState:
    """Returns the committed state of a database for subscribers."""
    return DatabaseState(
        database=database.name,
        term=database.term,
        primary=database.committed_primary,
        fenced=database.fenced,
        history=dict(database.history.start_offsets),
        version=database.version,
    )


def subscribed_databases(
    subscriptions: Iterable[str], blackboard: Any
) -> frozenset[str] | None:
    """Returns the databases of the subscribed organisations; None means all.

    A name that is not an organisation with a template counts as a database.
    """
    names: set[str] = set()
    for name in subscriptions:
        entry = current_entry(blackboard.state, name)
        names.update(entry.body["databases"] if entry else (name,))
    return frozenset(names) if names else None
