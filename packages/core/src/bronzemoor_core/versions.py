"""Versions of the configuration: held, committed and confirmed."""

from typing import Any

from bronzemoor_core.commands import current_entry
from bronzemoor_core.heartbeats import heartbeat_part, reply_part
from bronzemoor_core.records import KeyRecord

# Key of the key ring's serial in version maps; it cannot be an organisation's name.
KEYS_KEY = "@keys"


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


def held_versions(blackboard: Any) -> dict[str, int]:
    """Returns the versions in force here, for heartbeats and acknowledgements."""
    configuration = blackboard.configuration
    versions = {name: t.version for name, t in configuration.templates.items()}
    if configuration.keys:
        versions[KEYS_KEY] = configuration.keys[0].serial
    return versions


def committed_versions(blackboard: Any, subscriptions: Any = ()) -> dict[str, int]:
    """Returns the committed versions of the subscribed organisations (none: all)."""
    state = blackboard.state
    templates = state.templates
    names = [n for n in subscriptions if n in templates] if subscriptions else templates
    versions = {name: templates[name][-1].version for name in names}
    if state.keys:
        versions[KEYS_KEY] = state.keys[0].serial
    return versions


def covers(held: dict[str, int], needed: dict[str, int]) -> bool:
    """Tells whether every needed version, or a later one, is held."""
    return all(held.get(name, 0) >= version for name, version in needed.items())


def write_key(key: KeyRecord) -> str:
    """Returns a key as ``ConfigurationUpdate`` carries it."""
    return f"{key.serial}:{key.key_id}:{key.secret}"


def read_key(text: str) -> KeyRecord:
    """Reads a key of a ``ConfigurationUpdate``."""
    serial, key_id, secret = text.split(":")
    return KeyRecord(int(serial), key_id, secret, 0.0)


def wanted(subscriptions: Any, organisation: str) -> bool:
    """Tells whether subscriptions include an organisation; none means all."""
    return not subscriptions or organisation in subscriptions


def confirmation(blackboard: Any, organisation: str) -> dict[str, Any]:
    """Reports, on the leader, where the current version of a template is in force.

    A daemon whose lease ran out is not confirmed, whatever it said before.
    """
    entry = current_entry(blackboard.state, organisation)
    version = entry.version if entry else 0
    confirmed, behind, silent = [], [], []
    configuration, topology = blackboard.configuration, blackboard.topology
    for name, daemon in sorted(topology.daemons.items()):
        if entry is None or not wanted(daemon.subscriptions, organisation):
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
