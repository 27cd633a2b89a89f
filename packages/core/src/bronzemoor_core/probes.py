"""Probes of idle connections, and comparison of unresponsive ones with fresh ones."""

from itertools import count
from random import Random
from typing import Any

from bronzemoor_core.actions import Call, EmitLog, EmitMetric, SendCall
from bronzemoor_core.answers import check_answer
from bronzemoor_core.connections import Connection, ConnectionState, DatabasePool
from bronzemoor_core.events import AnswerReceived
from bronzemoor_core.internal_events import PositionObserved
from bronzemoor_core.positions import Position

# How long a replica that refused a read as behind is expected to stay behind.
BEHIND_PENALTY_SECONDS = 0.050
# Minimum interval between probes of suspect connections of one pool.
SUSPECT_PROBE_INTERVAL_SECONDS = 0.020
# Minimum interval between replacements of outdated connections of one pool.
REPLACE_INTERVAL_SECONDS = 0.200
# How often a slow call causes a check of the idle connections.
SLOW_CHECK_INTERVAL_SECONDS = 1.0
# A staleness bound can be proved only if several samples fall within it.
SAMPLES_PER_MAX_AGE = 4
# How often the sample interval is computed from the templates.
INTERVAL_UPDATE_SECONDS = 1.0
# Minimum interval between probes of the primary.
MIN_SAMPLE_INTERVAL_SECONDS = 0.020


class Prober:
    """Sends pings and checks their answers.

    Pings use odd correlation ids, requests even ones.
    """

    __slots__ = ("_blackboard", "_correlations", "_random", "_settings")

    def __init__(self, blackboard: Any, settings: Any, random: Random) -> None:
        self._blackboard = blackboard
        self._settings = settings
        self._random = random
        self._correlations = count(1, 2)

    def probe_due(self, now: float, pool: DatabasePool) -> list[object]:
        """Probes idle connections that are due, and the primary for its position."""
        interval = self._settings.data_path.probe_interval
        if now >= pool.next_interval_update_at:
            pool.next_interval_update_at = now + INTERVAL_UPDATE_SECONDS
            pool.sample_interval = self._sample_interval(pool)
        items: list[object] = []
        for connections in pool.idle_by_member().values():
            for connection in connections:
                jitter = 0.75 + 0.25 * self._random.random()
                if now - connection.last_probe_at >= interval * jitter:
                    items.append(self._probe(now, connection))
        items += self._probe_members_with_slow_calls(now, pool)
        items += self._sample_primary(now, pool)
        if now >= pool.next_probe_at and pool.counts[ConnectionState.SUSPECT]:
            suspects = (
                c for c in pool.of_state(ConnectionState.SUSPECT) if c.probe is None
            )
            suspect = next(suspects, None)
            if suspect is not None:
                pool.next_probe_at = now + SUSPECT_PROBE_INTERVAL_SECONDS
                items.append(self._probe(now, suspect))
        return items

    def on_answer(
        self,
        now: float,
        pool: DatabasePool,
        connection: Connection,
        event: AnswerReceived,
    ) -> tuple[list[object], bool]:
        """Checks an answer on a connection that serves no request.

        Returns the items and whether the connection may be kept.
        """
        call, answer = connection.probe, event.answer
        reason = check_answer(call, answer) if call else "unexpected"
        if reason:
            return [EmitMetric("counter", f"answers.discarded.{reason}")], False
        connection.probe = None
        pool.change_state(connection, ConnectionState.WARM)
        pool.link(connection.member).observe_delay((now - event.sent_at) / 2)
        observed = observed_position(connection, event)
        return [observed], answer.status == "ok"

    def request_comparison(
        self,
        now: float,
        pool: DatabasePool,
        connection: Connection,
        sent_at: float,
    ) -> None:
        """Requests a fresh connection to compare with an unresponsive one.

        None is needed if a newer connection has answered after ``sent_at``.
        """
        answered = any(
            other.started_at > connection.started_at and other.answered_at > sent_at
            for other in pool.of_member(connection.member)
        )
        link = pool.link(connection.member)
        if answered:
            link.replacements += 1
        elif link.comparison_wanted_since is None:
            link.comparison_wanted_since = now

    def on_fresh_connection(
        self, now: float, pool: DatabasePool, fresh: Connection
    ) -> list[object]:
        """Marks the older connections as outdated if one of them was unresponsive."""
        link = pool.link(fresh.member)
        link.failures = 0
        link.unreachable = False
        link.retry_at = 0.0
        if link.comparison_wanted_since is None:
            return []
        link.comparison_wanted_since = None
        older = [
            c
            for c in pool.of_member(fresh.member)
            if c.started_at < fresh.started_at
            and c.state is not ConnectionState.CLOSING
        ]
        for connection in older:
            connection.outdated = True
            if connection.state is ConnectionState.WARM:
                pool.change_state(connection, ConnectionState.SUSPECT)
        if not older:
            return []
        fields = {"database": pool.name, "peer": fresh.member, "older": len(older)}
        return [EmitLog("warning", "connections_outdated", fields)]

    def answered_since(self, pool: DatabasePool, failed: Connection) -> bool:
        """Returns whether another connection answered while ``failed`` was opening."""
        return any(
            other.answered_at > failed.started_at
            for other in pool.of_member(failed.member)
        )

    def take_replacement(self, now: float, pool: DatabasePool) -> bool:
        """Returns whether a connection may be replaced now; restarts the interval."""
        if now < pool.next_replace_at:
            return False
        pool.next_replace_at = now + REPLACE_INTERVAL_SECONDS
        return True

    def record_behind(self, now: float, pool: DatabasePool, member: str) -> None:
        pool.link(member).behind_until = now + BEHIND_PENALTY_SECONDS

    def observe_position(
        self, now: float, pool: DatabasePool, event: PositionObserved
    ) -> None:
        """Records when the primary was sampled and how far replicas lag."""
        if event.proved_at is not None:
            pool.sampled_at = max(pool.sampled_at, now)
        database = self._blackboard.topology.databases.get(pool.name)
        if database is None or event.role == "primary":
            return
        lag = 0.0
        for sample in database.samples:
            if not database.history.covers(event.position, sample.position):
                lag = now - sample.proved_at
                break
        pool.link(event.member).observe_lag(lag)

    def _probe_members_with_slow_calls(
        self, now: float, pool: DatabasePool
    ) -> list[object]:
        """Probes the idle connections to members with a slow call before they are used.

        The call may only be slow, but connections often become unresponsive together.
        """
        cutoff = now - self._settings.data_path.probe_timeout
        slow = {
            c.member
            for c in pool.of_state(ConnectionState.BUSY)
            if not c.pinned and max(c.used_at, c.answered_at) < cutoff
        }
        items: list[object] = []
        for member in slow:
            link = pool.link(member)
            if now < link.next_slow_check_at:
                continue
            link.next_slow_check_at = now + SLOW_CHECK_INTERVAL_SECONDS
            for connection in pool.of_member(member):
                if connection.idle and connection.answered_at < cutoff:
                    pool.change_state(connection, ConnectionState.SUSPECT)
                    items.append(self._probe(now, connection))
        return items

    def _sample_primary(self, now: float, pool: DatabasePool) -> list[object]:
        database = self._blackboard.topology.databases.get(pool.name)
        if database is None or now - pool.sampled_at < pool.sample_interval:
            return []
        for connection in pool.of_member(database.primary):
            if connection.idle:
                pool.sampled_at = now
                return [self._probe(now, connection)]
        return []

    def _sample_interval(self, pool: DatabasePool) -> float:
        intervals = [
            request_class.max_age / SAMPLES_PER_MAX_AGE
            for template in self._blackboard.configuration.templates.values()
            if pool.name in template.databases
            for request_class in template.classes.values()
            if request_class.max_age is not None
        ]
        interval = self._settings.data_path.probe_interval
        return max(MIN_SAMPLE_INTERVAL_SECONDS, min([interval, *intervals]))

    def _probe(self, now: float, connection: Connection) -> SendCall:
        timeout = self._settings.data_path.probe_timeout
        connection.probe = Call("ping", next(self._correlations), timeout=timeout)
        connection.last_probe_at = now
        return SendCall(connection.number, connection.probe)


def observed_position(
    connection: Connection, event: AnswerReceived
) -> PositionObserved:
    """Returns the position of a checked answer, for a primary with the proof time."""
    answer = event.answer
    proved_at = None
    if answer.role == "primary" and answer.confirmed_ago_ms >= 0:
        proved_at = event.sent_at - answer.confirmed_ago_ms / 1_000
    return PositionObserved(
        connection.database,
        connection.member,
        answer.role,
        Position(answer.term, answer.offset),
        proved_at,
        answer.leaving,
    )
