"""Applies the configuration at this daemon and distributes it to others."""

import json
from collections.abc import Iterable
from typing import Any

from bronzemoor_core.actions import AdminReply, EmitLog, EmitMetric, SendPeerMessage
from bronzemoor_core.blackboard import section
from bronzemoor_core.commands import KEY_LIMIT, current_entry
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import AdminCommand, PeerMessageReceived, Tick
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.internal_events import (
    CommandCompleted,
    CommandProposed,
    LeadershipChanged,
    StateChanged,
    TemplateChanged,
    TokenKeysChanged,
)
from bronzemoor_core.messages import (
    ConfigurationAcknowledged,
    ConfigurationUpdate,
    Heartbeat,
    HeartbeatReply,
    TemplateVersion,
)
from bronzemoor_core.records import KeyRecord
from bronzemoor_core.status import summarize
from bronzemoor_core.templates import Template, parse_template
from bronzemoor_core.topology import NEVER
from bronzemoor_core.versions import (
    KEYS_KEY,
    committed_versions,
    covers,
    is_subscribed,
    read_key,
    versions_in_force,
    write_key,
)

# Interval at which a daemon that is not ready asks a quorum for current versions.
VERSION_QUERY_INTERVAL_SECONDS = 0.5


@section("configuration")
class Configuration:
    """Templates in force by organisation; ``confirmed_at`` is when a control member
    last confirmed the versions, in seconds.

    ``keys`` are the replicated token keys, the signing key first. ``ready`` is set once
    all versions confirmed by a quorum since the start are in force. ``confirmations``
    holds, on the leader, the versions that each daemon confirmed.
    """

    __slots__ = (
        "confirmations",
        "confirmed_at",
        "keys",
        "ready",
        "stale",
        "templates",
    )

    def __init__(self) -> None:
        self.templates: dict[str, Template] = {}
        self.keys: tuple[KeyRecord, ...] = ()
        self.confirmed_at = 0.0
        self.ready = False
        self.stale = False
        self.confirmations: dict[str, dict[str, int]] = {}


@controller("configuration")
class Distribution(Controller):
    """Owns the configuration section."""

    _section: Configuration

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._queried_at = NEVER
        # Versions that a quorum confirmed since the start.
        self._required_versions: dict[str, int] | None = None
        # Time of the last update sent to each daemon, which delays repairs.
        self._repaired_at: dict[str, float] = {}

    # --- the leader

    @handles(StateChanged)
    def changed(self, now: float, event: StateChanged) -> list[object]:
        state = self._blackboard.state
        names = {"template": [event.name], "all": list(state.templates), "keys": []}
        if event.kind not in names:
            return []
        out: list[object] = []
        served = self._settings.organisations
        for name in names[event.kind]:
            entry = current_entry(state, name)
            if entry is not None and (not served or name in served):
                out += self._apply_template(name, entry.version, entry.body)
        out += self._apply_keys(list(state.keys))
        if self._blackboard.topology.is_leader:
            out += self._publish(now, names[event.kind], event.kind == "keys")
        return out

    @handles(LeadershipChanged)
    def on_leadership_changed(self, now: float, event: LeadershipChanged) -> None:
        if not event.is_leader:
            self._section.confirmations.clear()

    def _publish(self, now: float, names: list[str], keys: bool) -> list[object]:
        out: list[object] = []
        # Daemons that need the same templates share one message.
        updates: dict[tuple[str, ...], ConfigurationUpdate] = {}
        for daemon in self._blackboard.topology.daemons.values():
            organisations = tuple(
                n for n in names if is_subscribed(daemon.subscriptions, n)
            )
            is_remote = daemon.name != self._settings.name and not daemon.lost
            if is_remote and (organisations or keys):
                # Delays the repair of a lost update by one digest interval.
                self._repaired_at[daemon.name] = now
                if organisations not in updates:
                    updates[organisations] = self._make_update(organisations)
                out.append(SendPeerMessage(daemon.name, updates[organisations]))
        return out

    def _make_update(self, names: Iterable[str]) -> ConfigurationUpdate:
        state = self._blackboard.state
        templates = [
            TemplateVersion(name, entry.version, json.dumps(entry.body).encode())
            for name in names
            if (entry := current_entry(state, name)) is not None
        ]
        keys = [write_key(key) for key in state.keys]
        serial = state.keys[0].serial if state.keys else 0
        return ConfigurationUpdate(templates, serial, keys)

    def _record_confirmation(
        self, now: float, sender: str, versions: dict[str, int]
    ) -> list[object]:
        """Records the versions in force at a daemon and sends what it lacks."""
        daemon = self._blackboard.topology.daemons.get(sender)
        if daemon is None or not self._blackboard.topology.is_leader:
            return []
        self._section.confirmations[sender] = dict(versions)
        current = committed_versions(self._blackboard, daemon.subscriptions)
        if sender == self._settings.name or covers(versions, current):
            return []
        # An update may be in flight, so a repair waits for one digest interval.
        interval = self._settings.timers.digest_interval
        if now - self._repaired_at.get(sender, NEVER) < interval:
            return []
        self._repaired_at[sender] = now
        names = [n for n, version in current.items() if versions.get(n, 0) < version]
        return [SendPeerMessage(sender, self._make_update(names))]

    # --- every daemon

    @handles(PeerMessageReceived)
    def receive(self, now: float, event: PeerMessageReceived) -> list[object] | None:
        message = event.message
        if isinstance(message, Heartbeat):
            return self._record_confirmation(now, event.sender, message.versions)
        if isinstance(message, ConfigurationAcknowledged):
            if any(name.startswith("@topology") for name in message.versions):
                return None
            return self._record_confirmation(now, event.sender, message.versions)
        if isinstance(message, ConfigurationUpdate):
            return self._handle_update(event.sender, message)
        if isinstance(message, HeartbeatReply) and message.leader == event.sender:
            self._section.confirmed_at, self._section.stale = now, False
            return self._check_ready()
        return None

    def _handle_update(self, sender: str, message: ConfigurationUpdate) -> list[object]:
        out: list[object] = []
        for template in message.templates:
            body = json.loads(template.body)
            out += self._apply_template(template.organisation, template.version, body)
        out += self._apply_keys([read_key(text) for text in message.keys])
        reply = ConfigurationAcknowledged(versions_in_force(self._blackboard))
        return [*out, *self._check_ready(), SendPeerMessage(sender, reply)]

    def _apply_template(
        self, organisation: str, version: int, body: Any
    ) -> list[object]:
        """Applies a template version unless the same or a later one is in force."""
        current = self._section.templates.get(organisation)
        if current is not None and current.version >= version:
            return []
        try:
            template = parse_template(organisation, body, version)
        except InvalidSettings as error:
            fields = {"organisation": organisation, "problems": str(error)}
            return [
                EmitLog("error", "template_invalid", fields),
                EmitMetric("counter", "distribution.template_invalid"),
            ]
        self._section.templates[organisation] = template
        return [TemplateChanged(organisation, version)]

    def _apply_keys(self, keys: list[KeyRecord]) -> list[object]:
        """Applies a key ring unless the same or a later one is in force.

        Keys from the settings stay valid for tokens signed before the first rotation,
        until as many rotations withdraw them as any other key.
        """
        current = self._section.keys[0].serial if self._section.keys else 0
        if not keys or keys[0].serial <= current:
            return []
        self._section.keys = tuple(keys)
        pairs = {key.key_id: bytes.fromhex(key.secret) for key in keys}
        if keys[0].serial < KEY_LIMIT:
            pairs |= self._settings_keys(pairs)
        return [TokenKeysChanged(list(pairs.items()), at_start=not self._section.ready)]

    def _settings_keys(self, known: dict[str, bytes]) -> dict[str, bytes]:
        own = self._settings.token_keys.items()
        return {key_id: secret for key_id, secret in own if key_id not in known}

    def _check_ready(self) -> list[object]:
        """Marks the daemon ready once all quorum-confirmed versions are in force."""
        own = self._section
        if own.ready or self._required_versions is None:
            return []
        if not covers(versions_in_force(self._blackboard), self._required_versions):
            return []
        own.ready = True
        return [
            EmitLog(
                "info",
                "configuration_ready",
                {"versions": len(self._required_versions)},
            )
        ]

    # --- operators

    @handles(AdminCommand)
    def admin(self, now: float, event: AdminCommand) -> list[object] | None:
        if event.name != "status":
            return None
        return [AdminReply(event.ticket, "ok", summarize(now, self._blackboard))]

    # --- time

    @handles(Tick)
    def tick(self, now: float, event: Tick) -> list[object] | None:
        timers, own = self._settings.timers, self._section
        if not own.ready and now - self._queried_at >= VERSION_QUERY_INTERVAL_SECONDS:
            self._queried_at = now
            query = {"type": "configuration.versions", "query": True}
            return [CommandProposed(query, ("configuration", 0))]
        if own.ready and not own.stale and now - own.confirmed_at > timers.stale_after:
            own.stale = True
            fields = {"confirmed_at": own.confirmed_at}
            return [EmitLog("warning", "configuration_stale", fields)]
        return None

    @handles(CommandCompleted)
    def complete(self, now: float, event: CommandCompleted) -> list[object] | None:
        origin = event.origin
        if not isinstance(origin, tuple | list) or origin[0] != "configuration":
            return None
        if event.code != "ok" or self._section.ready:
            return None
        served = self._settings.organisations
        versions = event.result["versions"].items()
        self._required_versions = {
            n: v for n, v in versions if not served or n in served
        }
        if event.result["keys"]:
            self._required_versions[KEYS_KEY] = event.result["keys"]
        self._section.confirmed_at = now
        return self._check_ready()
