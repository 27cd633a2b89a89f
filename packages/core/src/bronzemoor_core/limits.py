"""Leased shares of each database's connections: the holder and the allocator."""

from dataclasses import dataclass
from random import Random
from typing import Any

from bronzemoor_core.actions import SendPeerMessage
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import PeerMessageReceived, SharesChanged, Tick
from bronzemoor_core.heartbeats import (
    heartbeat_recipients,
    make_heartbeat,
    make_reply,
)
from bronzemoor_core.messages import Heartbeat, HeartbeatReply, Share

# Used while no member of a database is known.
DEFAULT_CONNECTIONS = 20


@dataclass(slots=True)
class HeldShare:
    """Connections that this daemon may hold until ``valid_until`` (seconds)."""

    connections: int
    valid_until: float


@section("limits")
class Limits:
    """``shares`` are held by this daemon, by database; ``granted`` are the leader's
    outstanding grants by database and daemon."""

    __slots__ = ("granted", "shares")

    def __init__(self) -> None:
        self.shares: dict[str, HeldShare] = {}
        self.granted: dict[str, dict[str, int]] = {}


@controller("limits")
class LimitController(Controller):
    """Owns the limits section; sends the heartbeats that report demand."""

    _own: Limits

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._sequence = 0
        self._next_heartbeat = 0.0
        self._sent_at: dict[int, float] = {}

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[Any]:
        items: list[Any] = []
        for database, share in list(self._own.shares.items()):
            if now >= share.valid_until:
                del self._own.shares[database]
                items.append(SharesChanged(database, 0, now))
        if now >= self._next_heartbeat:
            interval = self._settings.timers.daemon_heartbeat_interval
            self._next_heartbeat = now + interval
            items += self._send_heartbeat(now)
        return items

    @handles(PeerMessageReceived)
    def on_message(self, now: float, event: PeerMessageReceived) -> list[Any]:
        if isinstance(event.message, Heartbeat):
            return self._on_heartbeat(now, event.sender, event.message)
        if isinstance(event.message, HeartbeatReply):
            return self._on_reply(now, event.message)
        return []

    def _send_heartbeat(self, now: float) -> list[Any]:
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - 100, None)
        message = make_heartbeat(now, self._blackboard, self._settings, self._sequence)
        return [
            self._send(name, message)
            for name in sorted(heartbeat_recipients(self._blackboard, self._settings))
        ]

    def _send(self, recipient: str, message: Any) -> Any:
        if recipient == self._settings.name:
            return PeerMessageReceived(recipient, message)
        return SendPeerMessage(recipient, message)

    def _on_heartbeat(self, now: float, sender: str, message: Heartbeat) -> list[Any]:
        if self._blackboard.log.role != "leader":
            return []
        lease_ms = int(self._settings.timers.share_lease * 1000)
        shares = []
        for demand in message.demands:
            granted = self._own.granted.setdefault(demand.database, {})
            others = sum(granted.values()) - granted.get(sender, 0)
            limit = self._limit(demand.database)
            granted[sender] = max(0, min(max(demand.wanted, 1) + 2, limit - others))
            shares.append(Share(demand.database, granted[sender], lease_ms))
        reply = make_reply(now, self._blackboard, self._settings, message, shares)
        return [self._send(sender, reply)]

    def _limit(self, database: str) -> int:
        known = self._blackboard.topology.databases.get(database)
        limits = (
            [member.connections for member in known.members.values()] if known else []
        )
        return min(limits, default=DEFAULT_CONNECTIONS)

    def _on_reply(self, now: float, message: HeartbeatReply) -> list[Any]:
        sent_at = self._sent_at.get(message.sequence)
        if sent_at is None:
            return []
        items: list[Any] = []
        drift = 1.0 - self._settings.timers.share_drift
        for share in message.shares:
            valid_until = sent_at + share.lease_ms / 1000 * drift
            self._own.shares[share.database] = HeldShare(share.connections, valid_until)
            items.append(SharesChanged(share.database, share.connections, valid_until))
        return items
