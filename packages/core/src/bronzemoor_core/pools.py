"""Connection pools to endpoints: granting, reuse, opening and closing."""

from random import Random
from typing import Any

from bronzemoor_core.actions import CloseConnection, EmitLog, EmitMetric
from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.connections import Connection, ConnectionState, DatabasePool, Pools
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import (
    AnnouncementReceived,
    AnswerReceived,
    AnswerTimedOut,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    Tick,
)
from bronzemoor_core.grants import grant_waiting
from bronzemoor_core.internal_events import (
    ConnectionReleased,
    ConnectionWithdrawn,
    MemberLost,
    MemberSuspected,
    PositionObserved,
    PrimaryChanged,
    QueueChanged,
    SharesChanged,
    SlotReleased,
    TransactionOpened,
)
from bronzemoor_core.openings import Opener
from bronzemoor_core.positions import Position
from bronzemoor_core.probes import Prober

# How long a closing connection counts against the share, unless the driver reports it
# closed before.
CLOSE_TIMEOUT_SECONDS = 1.0
# How often the connections of each pool are checked.
CHECK_INTERVAL_SECONDS = 0.020
GAUGE_INTERVAL_SECONDS = 1.0
# How long a connection beyond ``min_warm`` may stay unused.
IDLE_TIMEOUT_SECONDS = 10.0


@controller("pools")
class PoolController(Controller):
    """Owns the pools section."""

    _section: Pools

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._opener = Opener(self._section, blackboard, settings, random)
        self._prober = Prober(blackboard, settings, random)
        self._next_gauges_at = 0.0

    @handles(SharesChanged)
    def on_shares_changed(self, now: float, event: SharesChanged) -> list[object]:
        pool = self._pool(event.database)
        pool.share = event.connections
        pool.valid_until = event.valid_until
        return [*self._close_excess(now, pool), *self._serve_queue(now, pool)]

    @handles(QueueChanged)
    def on_queue_changed(self, now: float, event: QueueChanged) -> list[object]:
        return self._serve_queue(now, self._pool(event.database))

    @handles(ConnectionOpened)
    def on_opened(self, now: float, event: ConnectionOpened) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None or connection.state is not ConnectionState.OPENING:
            return [CloseConnection(event.connection, "not_wanted")]
        answer = event.answer
        if answer.status != "ok" or answer.member not in ("", connection.member):
            reason = answer.code or f"connected to another member: {answer.member}"
            return self._opening_failed(now, connection, reason, answered=True)
        pool = self._pool(connection.database)
        pool.change_state(connection, ConnectionState.WARM)
        connection.answered_at = connection.last_probe_at = connection.used_at = now
        items = self._prober.on_fresh_connection(now, pool, connection)
        position = Position(answer.term, answer.offset)
        items.append(
            PositionObserved(
                pool.name,
                connection.member,
                answer.role,
                position,
                leaving=answer.leaving,
            )
        )
        return [*items, *self._close_excess(now, pool), *self._serve_queue(now, pool)]

    @handles(ConnectionFailed)
    def on_failed(self, now: float, event: ConnectionFailed) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None:
            return []
        if connection.state is ConnectionState.CLOSING:
            return self._handle_closed(now, connection)
        return self._opening_failed(now, connection, event.error)

    @handles(ConnectionClosed)
    def on_closed(self, now: float, event: ConnectionClosed) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None:
            return []
        pool = self._pool(connection.database)
        if connection.state is not ConnectionState.CLOSING:
            pool.link(connection.member).replacements += 1
        return self._handle_closed(now, connection)

    @handles(ConnectionReleased)
    def on_released(self, now: float, event: ConnectionReleased) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None or connection.ticket != event.ticket:
            return []
        pool = self._pool(connection.database)
        if event.reason == "behind":
            self._prober.record_behind(now, pool, connection.member)
        self._detach(pool, connection)
        if event.clean:
            pool.change_state(connection, ConnectionState.WARM)
            connection.answered_at = connection.last_probe_at = connection.used_at = now
            items = self._close_excess(now, pool)
        else:
            items = [self._close(now, connection, event.reason or "not_clean")]
        return [*items, *self._serve_queue(now, pool)]

    @handles(ConnectionWithdrawn)
    def on_withdrawn(self, now: float, event: ConnectionWithdrawn) -> list[object]:
        number = self._section.by_ticket.get(event.ticket)
        if number is None:
            return []
        return self.on_released(now, ConnectionReleased(event.ticket, number, True))

    @handles(SlotReleased)
    def on_slot_released(self, now: float, event: SlotReleased) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None or not connection.executing:
            return []
        pool = self._pool(connection.database)
        self._free_slot(pool, connection)
        return grant_waiting(now, self._section, self._blackboard, pool)[0]

    @handles(TransactionOpened)
    def on_transaction(self, now: float, event: TransactionOpened) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None:
            return []
        connection.pinned = True
        return self.on_slot_released(now, SlotReleased(event.connection))

    @handles(AnswerReceived)
    def on_answer(self, now: float, event: AnswerReceived) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None or connection.state in (
            ConnectionState.CLOSING,
            ConnectionState.OPENING,
        ):
            return []
        connection.answered_at = now
        pool = self._pool(connection.database)
        pool.link(connection.member).unreachable = False
        if connection.ticket:
            return []
        items, valid = self._prober.on_answer(now, pool, connection, event)
        if not valid:
            items.append(self._close(now, connection, "discarded_answer"))
        return [*items, *self._serve_queue(now, pool)]

    @handles(AnswerTimedOut)
    def on_timeout(self, now: float, event: AnswerTimedOut) -> list[object]:
        connection = self._section.connections.get(event.connection)
        if connection is None or connection.state is ConnectionState.CLOSING:
            return []
        pool = self._pool(connection.database)
        self._detach(pool, connection)
        self._prober.request_comparison(now, pool, connection, event.sent_at)
        fields = {
            "database": pool.name,
            "peer": connection.member,
            "call": event.call.kind,
            "opened_ago": round(now - connection.started_at, 3),
        }
        return [
            EmitLog("warning", "connection_unresponsive", fields),
            self._close(now, connection, "answer_timed_out"),
            *self._serve_queue(now, pool),
        ]

    @handles(PrimaryChanged)
    def on_primary_changed(self, now: float, event: PrimaryChanged) -> list[object]:
        """Opens connections only for a database that has a pool already.

        A control member receives this event for every database. A pool for each would
        cost it a share of each, and a check of each every ``CHECK_INTERVAL_SECONDS``.
        """
        pool = self._section.databases.get(event.database)
        if pool is None:
            return []
        self._opener.delay_openings(now, pool)
        return self._serve_queue(now, pool)

    @handles(MemberLost)
    def on_member_lost(self, now: float, event: MemberLost) -> list[object]:
        pool = self._section.databases.get(event.database)
        if pool is None:
            return []
        items: list[object] = []
        for connection in list(pool.of_member(event.member)):
            if connection.ticket:
                connection.outdated = True
            elif connection.state is not ConnectionState.CLOSING:
                items.append(self._close(now, connection, "member_lost"))
        pool.link(event.member).replacements = 0
        pool.link(event.member).comparison_wanted_since = None
        return items

    @handles(PositionObserved)
    def on_position(self, now: float, event: PositionObserved) -> None:
        pool = self._section.databases.get(event.database)
        if pool is not None:
            self._prober.observe_position(now, pool, event)

    @handles(AnnouncementReceived)
    def on_announcement(self, now: float, event: AnnouncementReceived) -> None:
        announcement = event.announcement
        position = Position(announcement.term, announcement.offset)
        observed = PositionObserved(
            announcement.database, announcement.member, announcement.role, position
        )
        self.on_position(now, observed)

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[object]:
        items: list[object] = []
        for pool in self._section.databases.values():
            if now < pool.next_check_at:
                continue
            pool.next_check_at = now + CHECK_INTERVAL_SECONDS
            for connection in list(pool.of_state(ConnectionState.CLOSING)):
                if now - connection.closing_since > CLOSE_TIMEOUT_SECONDS:
                    self._remove(connection)
            items += self._retire(now, pool)
            items += self._prober.probe_due(now, pool)
            items += self._serve_queue(now, pool)
        return [*items, *self._gauges(now)]

    def _gauges(self, now: float) -> list[object]:
        if now < self._next_gauges_at:
            return []
        self._next_gauges_at = now + GAUGE_INTERVAL_SECONDS
        pools = self._section.databases.values()
        return [
            EmitMetric(
                "gauge",
                f"pools.{state.value}",
                float(sum(pool.counts[state] for pool in pools)),
            )
            for state in ConnectionState
        ]

    def _serve_queue(self, now: float, pool: DatabasePool) -> list[object]:
        """Grants idle connections to waiting requests and opens the missing ones."""
        items, starved = grant_waiting(now, self._section, self._blackboard, pool)
        for connection in self._opener.idle_to_close(now, pool, starved):
            items.append(self._close(now, connection, "place_wanted"))
        items += self._opener.open_wanted(now, pool, starved)
        return items

    def _close_excess(self, now: float, pool: DatabasePool) -> list[object]:
        """Closes opening and idle connections above the share, the outdated first."""
        excess = pool.total - pool.counts[ConnectionState.CLOSING] - pool.share
        if excess <= 0:
            return []
        idle = [c for group in pool.idle_by_member().values() for c in group]
        idle += pool.of_state(ConnectionState.SUSPECT)
        idle.sort(key=lambda c: (not c.outdated, c.answered_at))
        opening = list(pool.of_state(ConnectionState.OPENING))
        closed = (opening + idle)[:excess]
        return [self._close(now, c, "share_shrunk") for c in closed]

    def _retire(self, now: float, pool: DatabasePool) -> list[object]:
        """Closes idle connections that are unused, outdated or to a leaving member."""
        database = self._blackboard.topology.databases.get(pool.name)
        items: list[object] = []
        for member, connections in pool.idle_by_member().items():
            known = database.members.get(member) if database else None
            if known is None or known.leaving:
                items += [self._close(now, c, "member_left") for c in connections]
            elif connections[0].outdated and self._prober.take_replacement(now, pool):
                pool.link(member).replacements += 1
                items.append(self._close(now, connections[0], "replaced"))
            elif len(connections) > self._settings.data_path.min_warm:
                least_recent = min(connections, key=lambda c: c.used_at)
                if now - least_recent.used_at > IDLE_TIMEOUT_SECONDS:
                    # Frees the share for daemons with more demand.
                    items.append(self._close(now, least_recent, "idle"))
        return items

    def _opening_failed(
        self, now: float, connection: Connection, error: str, answered: bool = False
    ) -> list[object]:
        pool = self._pool(connection.database)
        self._opener.record_failure(now, pool, connection)
        fields = {
            "database": pool.name,
            "peer": connection.member,
            "error": error,
        }
        items: list[object] = [EmitLog("warning", "connection_failed", fields)]
        if not answered and not self._prober.answered_since(pool, connection):
            pool.link(connection.member).unreachable = True
            items.append(
                MemberSuspected(pool.name, connection.member, "fresh_connection_failed")
            )
        if connection.state is ConnectionState.OPENING:
            items.append(self._close(now, connection, "opening_failed"))
        return [*items, *self._serve_queue(now, pool)]

    def _pool(self, database: str) -> DatabasePool:
        pools = self._section.databases
        if database not in pools:
            pools[database] = DatabasePool(database)
        return pools[database]

    def _close(self, now: float, connection: Connection, reason: str) -> object:
        pool = self._pool(connection.database)
        self._detach(pool, connection)
        pool.change_state(connection, ConnectionState.CLOSING)
        connection.probe = None
        connection.closing_since = now
        return CloseConnection(connection.number, reason)

    def _handle_closed(self, now: float, connection: Connection) -> list[object]:
        """Removes a connection that is known to be closed."""
        pool = self._pool(connection.database)
        self._detach(pool, connection)
        self._remove(connection)
        return self._serve_queue(now, pool)

    def _remove(self, connection: Connection) -> None:
        del self._section.connections[connection.number]
        self._section.databases[connection.database].remove(connection)

    def _detach(self, pool: DatabasePool, connection: Connection) -> None:
        if connection.ticket:
            self._section.by_ticket.pop(connection.ticket, None)
        connection.ticket = 0
        connection.pinned = False
        self._free_slot(pool, connection)

    def _free_slot(self, pool: DatabasePool, connection: Connection) -> None:
        if connection.executing:
            connection.executing = False
            pool.link(connection.member).slots_in_use -= 1
