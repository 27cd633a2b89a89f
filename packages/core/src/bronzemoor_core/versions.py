"""Tracks the configuration versions in force, committed and confirmed."""

from typing import Any

from bronzemoor_core.commands import current_entry
from bronzemoor_core.heartbeats import heartbeat_part, reply_part
from bronzemoor_core.records import KeyRecord

# Entry of the key ring's serial in version maps; never a valid organisation name.
KEYS_KEY = "@keys"


@heartbeat_part
def report_versions(now: float, blackboard: Any, settings: Any, heartbeat: Any) -> None:
    """Adds the versions in force here to a heartbeat."""
    heartbeat.versions = versions_in_force(blackboard)


@reply_part
def answer_versions(
    now: float, blackboard: Any, settings: Any, heartbeat: Any, reply: Any
) -> None:
    """Adds the committed versions of the daemon's subscriptions to a reply."""
    reply.versions = committed_versions(blackboard, heartbeat.subscriptions)


def versions_in_force(blackboard: Any) -> dict[str, int]:
    """Returns the versions in force here, for heartbeats and acknowledgements."""
    configuration = blackboard.configuration
    versions = {name: t.version for name, t in configuration.templates.items()}
    if configuration.keys:
        versions[KEYS_KEY] = configuration.keys[0].serial
    return versions


def committed_versions(blackboard: Any, subscriptions: Any = ()) -> dict[str, int]:
    """Returns committed versions of the subscriptions, or of all if there are none."""
    state = blackboard.state
    templates = state.templates
    names = [n for n in subscriptions if n in templates] if subscriptions else templates
    versions = {name: templates[name][-1].version for name in names}
    if state.keys:
        versions[KEYS_KEY] = state.keys[0].serial
    return versions


def covers(current: dict[str, int], needed: dict[str, int]) -> bool:
    """Returns whether ``current`` has every needed version or a later one."""
    return all(current.get(name, 0) >= version for name, version in needed.items())


def write_key(key: KeyRecord) -> str:
    """Encodes a key for a ``ConfigurationUpdate``."""
    return f"{key.serial}:{key.key_id}:{key.secret}"


def read_key(text: str) -> KeyRecord:
    """Decodes a key from a ``ConfigurationUpdate``."""
    serial, key_id, secret = text.split(":")
    return KeyRecord(int(serial), key_id, secret, 0.0)


def is_subscribed(subscriptions: Any, organisation: str) -> bool:
    """Returns whether subscriptions, all if empty, include an organisation."""
    return not subscriptions or organisation in subscriptions


def confirmation(blackboard: Any, organisation: str) -> dict[str, Any]:
    """Reports, on the leader, where the current version of a template is in force.

    A daemon whose lease expired counts as not confirmed, whatever it confirmed before.
    """
    entry = current_entry(blackboard.state, organisation)
    version = entry.version if entry else 0
    confirmed, behind, lost = [], [], []
    configuration, topology = blackboard.configuration, blackboard.topology
    for name, daemon in sorted(topology.daemons.items()):
        if entry is None or not is_subscribed(daemon.subscriptions, organisation):
            continue
        current = configuration.confirmations.get(name, {}).get(organisation, 0)
        if daemon.lost:
            lost.append(name)
        elif current >= version:
            confirmed.append(name)
        else:
            behind.append(name)
    return {
        "version": version,
        "in_force_everywhere": not behind and not lost,
        "confirmed": confirmed,
        "behind": behind,
        "not_confirmed": lost,
    }
