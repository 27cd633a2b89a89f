"""Versions of the configuration: held, committed and confirmed."""

from typing import Any
from zlib import crc32

from bronzemoor_core.commands import current_entry
from bronzemoor_core.heartbeats import heartbeat_part, reply_part
from bronzemoor_core.records import TemplateEntry

# Key of the key ring's digest in version maps; it cannot be an organisation's name.
KEYS_KEY = "@keys"


def held_versions(blackboard: Any) -> dict[str, int]:
    """Returns the versions in force here, for heartbeats and acknowledgements."""
    configuration = blackboard.configuration
    versions = {name: t.version for name, t in configuration.templates.items()}
    if configuration.keys:
        versions[KEYS_KEY] = keys_digest(configuration.keys)
    return versions


@heartbeat_part
def report_versions(now: float, blackboard: Any, settings: Any, heartbeat: Any) -> None:
    """Fills a heartbeat with the versions in force here."""
    heartbeat.versions = held_versions(blackboard)


@reply_part
def answer_versions(
    now: float, blackboard: Any, settings: Any, heartbeat: Any, reply: Any
) -> None:
    """Fills a reply with the committed versions of what the daemon serves."""
    reply.versions = committed_versions(blackboard, heartbeat.subscriptions)


def committed_versions(blackboard: Any, subscriptions: Any = ()) -> dict[str, int]:
    """Returns the committed versions of the subscribed organisations (none: all)."""
    state = blackboard.state
    versions = {
        name: entries[-1].version
        for name, entries in state.templates.items()
        if wanted(subscriptions, name, entries[-1])
    }
    keys = committed_keys(state)
    if keys:
        versions[KEYS_KEY] = keys_digest(keys)
    return versions


def wanted(subscriptions: Any, organisation: str, entry: TemplateEntry) -> bool:
    """Tells whether a daemon's subscriptions include a template."""
    names = {organisation, *entry.body["databases"]}
    return not subscriptions or not names.isdisjoint(subscriptions)


def committed_keys(state: Any) -> tuple[str, ...]:
    """Returns the committed token keys as ``id:hex``, the signing one first."""
    return tuple(f"{key.key_id}:{key.secret}" for key in state.keys)


def keys_digest(keys: tuple[str, ...]) -> int:
    """Returns a checksum of a key ring."""
    return crc32("\n".join(keys).encode())


def confirmation(blackboard: Any, organisation: str) -> dict[str, Any]:
    """Reports, on the leader, where the current version of a template is in force.

    A daemon whose lease ran out is not confirmed, whatever it said before.
    """
    entry = current_entry(blackboard.state, organisation)
    version = entry.version if entry else 0
    confirmed, behind, silent = [], [], []
    configuration, topology = blackboard.configuration, blackboard.topology
    for name, daemon in sorted(topology.daemons.items()):
        if entry is None or not wanted(daemon.subscriptions, organisation, entry):
            continue
        held = configuration.confirmations.get(name, {}).get(organisation, 0)
        if daemon.lost:
            silent.append(name)
        elif held >= version:
            confirmed.append(name)
        else:
            behind.append(name)
    return {
        "version": version,
        "in_force_everywhere": not behind and not silent,
        "confirmed": confirmed,
        "behind": behind,
        "not_confirmed": silent,
    }
