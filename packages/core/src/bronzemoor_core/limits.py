"""Leased shares of each database's connections, at the holder and at the leader."""

from dataclasses import dataclass
from random import Random
from typing import Any

from bronzemoor_core.actions import EmitMetric, SendPeerMessage
from bronzemoor_core.allocation import Allocator, Division, Limit, ShrinkTimer
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import PeerMessageReceived, Tick
from bronzemoor_core.heartbeats import (
    heartbeat_recipients,
    make_heartbeat,
    make_reply,
)
from bronzemoor_core.internal_events import (
    LeadershipChanged,
    SharesChanged,
    StateChanged,
    TemplateChanged,
)
from bronzemoor_core.messages import Heartbeat, HeartbeatReply
from bronzemoor_core.templates import DEFAULT_CONNECTIONS

# Heartbeats whose send time is kept; with an interval of 100 ms they cover 10 s.
MAX_REMEMBERED_HEARTBEATS = 100
# The sequence starts at a random number of this many bits, so that a late reply to a
# previous process of this daemon matches no heartbeat of the current one.
INITIAL_SEQUENCE_BITS = 48
# How often lowered limits are checked for being in effect.
SHRINK_CHECK_INTERVAL_SECONDS = 0.1
# How often expired allocations are removed; they stop counting at their expiry.
EXPIRY_CHECK_INTERVAL_SECONDS = 1.0
# Kinds of limits whose lowering is timed.
DATABASE = "database"
ORGANISATION = "organisation"


@dataclass(slots=True)
class OrganisationCap:
    """Connections that an organisation may hold across its databases."""

    databases: tuple[str, ...]
    connections: int


@dataclass(slots=True)
class HeldShare:
    """Connections that this daemon may hold until ``valid_until`` (seconds)."""

    connections: int
    valid_until: float


@section("limits")
class Limits:
    """Shares held by this daemon and, at the leader, granted to all daemons.

    ``shares`` is by database, ``granted`` by database and daemon. ``acknowledged`` is
    the sequence of the newest heartbeat whose reply was applied.
    """

    __slots__ = ("acknowledged", "granted", "shares")

    def __init__(self) -> None:
        self.shares: dict[str, HeldShare] = {}
        self.granted: dict[str, dict[str, int]] = {}
        self.acknowledged = 0


@controller("limits")
class LimitController(Controller):
    """Owns the limits section; sends the heartbeats that report demand."""

    _section: Limits

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._allocator = Allocator(settings.timers)
        self._sequence = random.getrandbits(INITIAL_SEQUENCE_BITS)
        self._next_heartbeat = 0.0
        self._next_shrink_check = 0.0
        self._next_expiry_check = 0.0
        self._sent_at: dict[int, float] = {}
        # Organisations by database, and databases by organisation.
        self._organisations: dict[str, list[str]] = {}
        self._databases: dict[str, tuple[str, ...]] = {}
        # How each organisation's connections are divided between its databases.
        self._divisions: dict[str, Division] = {}
        self._shrink_timer = ShrinkTimer()

    # --- holder

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[Any]:
        items = self._expire(now)
        if now >= self._next_heartbeat:
            interval = self._settings.timers.daemon_heartbeat_interval
            self._next_heartbeat = now + interval
            items += self._send_heartbeat(now)
        if now >= self._next_shrink_check and self._may_allocate():
            self._next_shrink_check = now + SHRINK_CHECK_INTERVAL_SECONDS
            items += self._check_allocations(now)
        return items

    @handles(PeerMessageReceived)
    def on_message(self, now: float, event: PeerMessageReceived) -> list[Any]:
        if isinstance(event.message, Heartbeat):
            return self._on_heartbeat(now, event.sender, event.message)
        if isinstance(event.message, HeartbeatReply):
            return self._on_reply(now, event.message)
        return []

    def _expire(self, now: float) -> list[Any]:
        items: list[Any] = []
        for database, share in list(self._section.shares.items()):
            if now >= share.valid_until:
                del self._section.shares[database]
                items.append(SharesChanged(database, 0, now))
        return items

    def _send_heartbeat(self, now: float) -> list[Any]:
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - MAX_REMEMBERED_HEARTBEATS, None)
        message = make_heartbeat(now, self._blackboard, self._settings, self._sequence)
        return [
            self._send(name, message)
            for name in sorted(heartbeat_recipients(self._blackboard, self._settings))
        ]

    def _send(self, recipient: str, message: Any) -> Any:
        if recipient == self._settings.name:
            return PeerMessageReceived(recipient, message)
        return SendPeerMessage(recipient, message)

    def _on_reply(self, now: float, message: HeartbeatReply) -> list[Any]:
        """Applies the shares of a reply, unless a newer one was applied already."""
        sent_at = self._sent_at.get(message.sequence)
        if sent_at is None or message.sequence <= self._section.acknowledged:
            return []
        self._section.acknowledged = message.sequence
        margin = 1.0 - self._settings.timers.share_drift
        items: list[Any] = []
        for share in message.shares:
            valid_until = sent_at + share.lease_ms / 1000 * margin
            self._section.shares[share.database] = HeldShare(
                share.connections, valid_until
            )
            items.append(SharesChanged(share.database, share.connections, valid_until))
        return items + self._expire(now)

    # --- allocator

    @handles(LeadershipChanged)
    def on_leadership(self, now: float, event: LeadershipChanged) -> None:
        self._section.granted = {}
        if event.is_leader:
            log = self._blackboard.log
            self._allocator.start(now, first=log.founded_term == event.term)
            self._divisions.clear()
            self._shrink_timer = ShrinkTimer()
            self._index_templates()

    @handles(TemplateChanged)
    def on_template(self, now: float, event: TemplateChanged) -> None:
        self._apply_template(now, event.organisation)

    @handles(StateChanged)
    def on_state(self, now: float, event: StateChanged) -> None:
        if event.kind == "template":
            self._apply_template(now, event.name)
        elif event.kind == "all":
            self._index_templates()

    def _apply_template(self, now: float, organisation: str) -> None:
        self._index_template(organisation)
        cap = self._organisation_cap(organisation)
        if cap is not None:
            self._shrink_timer.set_limit(
                now, (ORGANISATION, organisation), cap.connections
            )

    def _organisation_cap(self, organisation: str) -> OrganisationCap | None:
        """Returns the committed cap, else the one in effect at this daemon.

        The leader enforces the limits of organisations that it does not serve itself.
        """
        entries = self._blackboard.state.templates.get(organisation)
        if entries:
            body = entries[-1].body
            connections = body.get("connections", DEFAULT_CONNECTIONS)
            return OrganisationCap(tuple(body["databases"]), connections)
        held = self._blackboard.configuration.templates.get(organisation)
        return OrganisationCap(held.databases, held.connections) if held else None

    def _on_heartbeat(self, now: float, sender: str, message: Heartbeat) -> list[Any]:
        if not self._may_allocate():
            return []
        shares = self._allocator.allocate(
            now, sender, message, lambda database: self._limit(now, database)
        )
        if shares is None:
            return []
        for share in shares:
            granted = self._section.granted.setdefault(share.database, {})
            granted[sender] = share.connections
        reply = make_reply(now, self._blackboard, self._settings, message, shares)
        return [self._send(sender, reply)]

    def _may_allocate(self) -> bool:
        """A leader grants nothing before it committed an entry of its own term."""
        log = self._blackboard.log
        return log.role == "leader" and log.established

    def _check_allocations(self, now: float) -> list[Any]:
        if now >= self._next_expiry_check:
            self._next_expiry_check = now + EXPIRY_CHECK_INTERVAL_SECONDS
            for database, daemon in self._allocator.drop_expired(now):
                self._section.granted.get(database, {}).pop(daemon, None)
        durations = self._shrink_timer.pop_completed(
            now, lambda key: self._used(now, *key)
        )
        return [
            EmitMetric("timer", "limits.shrink_in_effect", seconds * 1000)
            for seconds in durations
        ]

    def _used(self, now: float, kind: str, name: str) -> int:
        """Returns what counts against the limit of a database or an organisation."""
        if kind == DATABASE:
            return self._allocator.used(now, [name])
        cap = self._organisation_cap(name)
        return self._allocator.used(now, cap.databases) if cap else 0

    def _index_templates(self) -> None:
        self._organisations, self._databases = {}, {}
        held = self._blackboard.configuration.templates
        for name in sorted({*held, *self._blackboard.state.templates}):
            self._index_template(name)

    def _index_template(self, organisation: str) -> None:
        """Updates the index for one template only, since a restart applies all of them
        one by one."""
        for database in self._databases.pop(organisation, ()):
            self._organisations[database].remove(organisation)
        cap = self._organisation_cap(organisation)
        if cap is None:
            return
        self._databases[organisation] = cap.databases
        for database in cap.databases:
            self._organisations.setdefault(database, []).append(organisation)

    def _database_limit(self, database: str) -> int | None:
        known = self._blackboard.topology.databases.get(database)
        if known is None or not known.members:
            return None
        return min(member.connections for member in known.members.values())

    def _limit(self, now: float, database: str) -> Limit | None:
        """Returns the lower of a database's own limit and that of its organisations."""
        own = self._database_limit(database)
        if own is None:
            return None
        self._shrink_timer.set_limit(now, (DATABASE, database), own)
        organisations = self._organisations.get(database)
        if not organisations:
            return Limit(own, own)
        hard = sum(self._max_connections(now, name, database) for name in organisations)
        target = sum(
            self._target_connections(now, name, database) for name in organisations
        )
        return Limit(min(own, hard), min(own, target))

    def _max_connections(self, now: float, organisation: str, database: str) -> int:
        """Returns what an organisation may hold here, less what its others may hold.

        A database that several organisations use counts fully for each of them, since
        shares do not record whose requests use the connections.
        """
        cap = self._organisation_cap(organisation)
        if cap is None:
            return 0
        others = [name for name in cap.databases if name != database]
        return max(0, cap.connections - self._allocator.used(now, others))

    def _target_connections(self, now: float, organisation: str, database: str) -> int:
        """Returns what an organisation should hold here by demand for its databases."""
        cap = self._organisation_cap(organisation)
        if cap is None:
            return 0
        self._shrink_timer.set_limit(now, (ORGANISATION, organisation), cap.connections)
        division = self._divisions.setdefault(organisation, Division())
        wanted = {name: self._allocator.wanted(now, name) for name in cap.databases}
        division.update(now, cap.connections, wanted)
        return division.targets.get(database, 0)
