"""Configuration in force at this daemon and its distribution to others."""

import json
from typing import Any

from bronzemoor_core.actions import AdminReply, EmitLog, EmitMetric, SendPeerMessage
from bronzemoor_core.blackboard import section
from bronzemoor_core.commands import current_entry
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import (
    AdminCommand,
    CommandCompleted,
    CommandProposed,
    LeadershipChanged,
    PeerMessageReceived,
    StateChanged,
    TemplateChanged,
    Tick,
)
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.messages import (
    ConfigurationAcknowledged,
    ConfigurationUpdate,
    Heartbeat,
    HeartbeatReply,
    TemplateVersion,
)
from bronzemoor_core.status import summarize
from bronzemoor_core.templates import Template, parse_template
from bronzemoor_core.topology import NEVER
from bronzemoor_core.versions import (
    KEYS_KEY,
    committed_keys,
    committed_versions,
    held_versions,
    keys_digest,
    wanted,
)


@section("configuration")
class Configuration:
    """Templates in force by organisation; ``confirmed_at`` is when a control member
    last confirmed the versions, in seconds.

    ``keys`` are the token keys as ``id:hex``, the signing one first. ``ready`` tells
    whether the current versions were learned from a quorum since the start.
    ``confirmations`` holds, on the leader, the versions that each daemon confirmed.
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
        self.keys: tuple[str, ...] = ()
        self.confirmed_at = 0.0
        self.ready = False
        self.stale = False
        self.confirmations: dict[str, dict[str, int]] = {}


@controller("configuration")
class Distribution(Controller):
    """Owns the configuration section."""

    _own: Configuration

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._queried = NEVER
        # When each daemon was last sent a repair.
        self._repaired: dict[str, float] = {}

    # --- the leader

    @handles(StateChanged)
    def changed(self, now: float, event: StateChanged) -> list[object]:
        state = self._blackboard.state
        if event.kind == "template":
            names = [event.name]
        elif event.kind == "all":
            names = list(state.templates)
        elif event.kind != "keys":
            return []
        else:
            names = []
        out: list[object] = []
        served = self._settings.organisations
        for name in names:
            if served and name not in served:
                continue
            entry = current_entry(state, name)
            if entry is not None:
                out += self._enforce(name, entry.version, entry.body)
        self._own.keys = committed_keys(state) or self._own.keys
        if not self._blackboard.topology.is_leader:
            return out
        for daemon in self._blackboard.topology.daemons.values():
            news = [n for n in names if self._wants(daemon.subscriptions, n)]
            here = daemon.name == self._settings.name
            if not daemon.lost and not here and (news or event.kind == "keys"):
                # The repair of a lost update waits for one digest interval.
                self._repaired[daemon.name] = now
                out.append(self._push(daemon.name, news))
        return out

    @handles(LeadershipChanged)
    def lead(self, now: float, event: LeadershipChanged) -> None:
        self._queried = NEVER
        if not event.is_leader:
            self._own.confirmations.clear()

    def _wants(self, subscriptions: Any, organisation: str) -> bool:
        entry = current_entry(self._blackboard.state, organisation)
        return entry is not None and wanted(subscriptions, organisation, entry)

    def _push(self, daemon: str, names: list[str]) -> SendPeerMessage:
        state = self._blackboard.state
        templates = [
            TemplateVersion(name, entry.version, json.dumps(entry.body).encode())
            for name in names
            if (entry := current_entry(state, name)) is not None
        ]
        keys = list(committed_keys(state))
        digest = keys_digest(tuple(keys))
        return SendPeerMessage(daemon, ConfigurationUpdate(templates, digest, keys))

    def _confirm(
        self, now: float, sender: str, versions: dict[str, int]
    ) -> list[object]:
        """Notes what a daemon has in force and sends what it lacks."""
        daemon = self._blackboard.topology.daemons.get(sender)
        if daemon is None or not self._blackboard.topology.is_leader:
            return []
        self._own.confirmations[sender] = dict(versions)
        current = committed_versions(self._blackboard, daemon.subscriptions)
        lacking = [
            name
            for name, version in current.items()
            if name != KEYS_KEY and versions.get(name, 0) < version
        ]
        keys_differ = versions.get(KEYS_KEY) != current.get(KEYS_KEY)
        if sender == self._settings.name or not (lacking or keys_differ):
            return []
        # A delta may be on its way, so a repair waits for one digest interval.
        last = self._repaired.get(sender, NEVER)
        if now - last < self._settings.timers.digest_interval:
            return []
        self._repaired[sender] = now
        return [self._push(sender, lacking)]

    # --- every daemon

    @handles(PeerMessageReceived)
    def receive(self, now: float, event: PeerMessageReceived) -> list[object] | None:
        message = event.message
        if isinstance(message, Heartbeat):
            return self._confirm(now, event.sender, message.versions)
        if isinstance(message, ConfigurationAcknowledged):
            if any(name.startswith("@topology") for name in message.versions):
                return None
            return self._confirm(now, event.sender, message.versions)
        if isinstance(message, ConfigurationUpdate):
            return self._update(event.sender, message)
        if isinstance(message, HeartbeatReply) and message.leader == event.sender:
            return self._confirmed(now, message.versions)
        return None

    def _update(self, sender: str, message: ConfigurationUpdate) -> list[object]:
        out: list[object] = []
        for template in message.templates:
            body = json.loads(template.body)
            out += self._enforce(template.organisation, template.version, body)
        if message.keys:
            self._own.keys = tuple(message.keys)
        held = ConfigurationAcknowledged(held_versions(self._blackboard))
        return [*out, SendPeerMessage(sender, held)]

    def _enforce(self, organisation: str, version: int, body: Any) -> list[object]:
        """Puts a version in force, never a lower one than before."""
        held = self._own.templates.get(organisation)
        if held is not None and held.version >= version:
            return []
        try:
            template = parse_template(organisation, body, version)
        except InvalidSettings as error:
            fields = {"organisation": organisation, "problems": str(error)}
            return [
                EmitLog("error", "template_invalid", fields),
                EmitMetric("counter", "distribution.template_invalid"),
            ]
        self._own.templates[organisation] = template
        return [TemplateChanged(organisation, version)]

    def _confirmed(self, now: float, versions: dict[str, int]) -> list[object]:
        self._own.confirmed_at = now
        self._own.stale = False
        held = held_versions(self._blackboard)
        current = all(
            held.get(name) == version
            if name == KEYS_KEY
            else held.get(name, 0) >= version
            for name, version in versions.items()
        )
        if current and not self._own.ready:
            self._own.ready = True
            return [EmitLog("info", "configuration_ready", {"versions": len(versions)})]
        return []

    # --- operators

    @handles(AdminCommand)
    def admin(self, now: float, event: AdminCommand) -> list[object] | None:
        if event.name != "status":
            return None
        return [AdminReply(event.ticket, "ok", summarize(now, self._blackboard))]

    # --- time

    @handles(Tick)
    def tick(self, now: float, event: Tick) -> list[object] | None:
        timers = self._settings.timers
        leading = self._blackboard.topology.is_leader
        if leading and now - self._queried >= timers.digest_interval:
            # A quorum read proves that this leader's versions are the current ones.
            self._queried = now
            query = {"type": "template.list", "query": True}
            return [CommandProposed(query, ("configuration", 0))]
        stale = now - self._own.confirmed_at > timers.stale_after
        if stale and not self._own.stale and self._own.ready:
            self._own.stale = True
            fields = {"confirmed_at": self._own.confirmed_at}
            return [EmitLog("warning", "configuration_stale", fields)]
        return None

    @handles(CommandCompleted)
    def complete(self, now: float, event: CommandCompleted) -> list[object] | None:
        origin = event.origin
        if not isinstance(origin, tuple | list) or origin[0] != "configuration":
            return None
        if event.code != "ok":
            return None
        return self._confirmed(now, committed_versions(self._blackboard))
