"""Probes of idle connections, and the comparison of silent ones with fresh ones."""

from itertools import count
from random import Random
from typing import Any

from bronzemoor_core.actions import Call, EmitLog, EmitMetric, SendCall
from bronzemoor_core.answers import check_answer
from bronzemoor_core.connections import Connection, DatabasePool, State
from bronzemoor_core.events import AnswerReceived
from bronzemoor_core.internal_events import PositionObserved
from bronzemoor_core.positions import Position

# A member that refused a read as behind is not expected to catch up for this long.
BEHIND_PENALTY = 0.050
# Distance of the probes of suspect connections of one pool, seconds.
SUSPECT_SPACING = 0.020
# Distance of the replacements of outdated connections of one pool, seconds.
REPLACE_SPACING = 0.200
# How often a slow call causes a look at the idle connections, seconds.
SLOW_CHECK_INTERVAL = 1.0
# A staleness bound needs several samples of the primary within it.
SAMPLES_PER_AGE = 4
# How often the interval of samples is derived from the templates, seconds.
INTERVAL_REFRESH = 1.0
# Shortest interval of probes of the primary, seconds.
MIN_SAMPLE_INTERVAL = 0.020


class Prober:
    """Sends and evaluates pings. Probes use odd correlation ids, requests even ones."""

    __slots__ = ("_blackboard", "_correlations", "_random", "_settings")

    def __init__(self, blackboard: Any, settings: Any, random: Random) -> None:
        self._blackboard = blackboard
        self._settings = settings
        self._random = random
        self._correlations = count(1, 2)

    def probe_due(self, now: float, pool: DatabasePool) -> list[object]:
        """Probes idle connections that are due, and the primary for its position."""
        interval = self._settings.data_path.probe_interval
        if now >= pool.interval_at:
            pool.interval_at = now + INTERVAL_REFRESH
            pool.sample_interval = self._sample_interval(pool)
        items: list[object] = []
        for connections in pool.idle_by_member().values():
            for connection in connections:
                jitter = 0.75 + 0.25 * self._random.random()
                if now - connection.probe_at >= interval * jitter:
                    items.append(self._probe(now, connection))
        items += self._probe_beside_slow(now, pool)
        items += self._sample_primary(now, pool)
        if now >= pool.next_probe_at and pool.counts[State.SUSPECT]:
            suspects = (c for c in pool.of_state(State.SUSPECT) if c.probe is None)
            suspect = next(suspects, None)
            if suspect is not None:
                pool.next_probe_at = now + SUSPECT_SPACING
                items.append(self._probe(now, suspect))
        return items

    def on_answer(
        self,
        now: float,
        pool: DatabasePool,
        connection: Connection,
        event: AnswerReceived,
    ) -> tuple[list[object], bool]:
        """Evaluates an answer on a connection that serves no request.

        Returns the items and whether the connection may be kept.
        """
        call, answer = connection.probe, event.answer
        reason = check_answer(call, answer) if call else "unexpected"
        if reason:
            return [EmitMetric("counter", f"answers.discarded.{reason}")], False
        connection.probe = None
        pool.move(connection, State.WARM)
        pool.link(connection.member).observe_delay((now - event.sent_at) / 2)
        observed = observed_position(connection, event)
        return [observed], answer.status == "ok"

    def compare(
        self,
        now: float,
        pool: DatabasePool,
        connection: Connection,
        sent_at: float,
    ) -> None:
        """Asks for a fresh connection to compare with a silent one.

        A younger connection that answered since then already is the comparison.
        """
        younger = any(
            other.started_at > connection.started_at and other.answered_at > sent_at
            for other in pool.of_member(connection.member)
        )
        link = pool.link(connection.member)
        if younger:
            link.replacements += 1
        elif link.compare_since is None:
            link.compare_since = now

    def on_fresh(
        self, now: float, pool: DatabasePool, fresh: Connection
    ) -> list[object]:
        """Marks the older connections of a member once a fresh one works."""
        link = pool.link(fresh.member)
        link.failures = 0
        link.unreachable = False
        link.retry_at = 0.0
        if link.compare_since is None:
            return []
        link.compare_since = None
        older = [
            c
            for c in pool.of_member(fresh.member)
            if c.started_at < fresh.started_at and c.state is not State.CLOSING
        ]
        for connection in older:
            connection.replace = True
            if connection.state is State.WARM:
                pool.move(connection, State.SUSPECT)
        if not older:
            return []
        fields = {"database": pool.name, "peer": fresh.member, "older": len(older)}
        return [EmitLog("warning", "connections_outdated", fields)]

    def answered_since(self, pool: DatabasePool, failed: Connection) -> bool:
        """Tells whether another connection answered since ``failed`` began to open."""
        return any(
            other.answered_at > failed.started_at
            for other in pool.of_member(failed.member)
        )

    def may_replace(self, now: float, pool: DatabasePool) -> bool:
        """Takes the next replacement of an outdated connection, if it is due."""
        if now < pool.next_replace_at:
            return False
        pool.next_replace_at = now + REPLACE_SPACING
        return True

    def note_behind(self, now: float, pool: DatabasePool, member: str) -> None:
        pool.link(member).behind_until = now + BEHIND_PENALTY

    def observe(self, now: float, pool: DatabasePool, event: PositionObserved) -> None:
        """Learns when the primary was sampled and how far replicas lag."""
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

    def _probe_beside_slow(self, now: float, pool: DatabasePool) -> list[object]:
        """Probes the idle connections of a member with a slow call before they are
        used: a slow statement harms nothing, but silence rarely hits one alone."""
        limit = now - self._settings.data_path.probe_timeout
        slow = {
            c.member
            for c in pool.of_state(State.BUSY)
            if not c.pinned and max(c.used_at, c.answered_at) < limit
        }
        items: list[object] = []
        for member in slow:
            link = pool.link(member)
            if now < link.slow_check_at:
                continue
            link.slow_check_at = now + SLOW_CHECK_INTERVAL
            for connection in pool.of_member(member):
                if connection.idle and connection.answered_at < limit:
                    pool.move(connection, State.SUSPECT)
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
        ages = [
            request_class.max_age / SAMPLES_PER_AGE
            for template in self._blackboard.configuration.templates.values()
            if pool.name in template.databases
            for request_class in template.classes.values()
            if request_class.max_age is not None
        ]
        interval = self._settings.data_path.probe_interval
        return max(MIN_SAMPLE_INTERVAL, min([interval, *ages]))

    def _probe(self, now: float, connection: Connection) -> SendCall:
        timeout = self._settings.data_path.probe_timeout
        connection.probe = Call("ping", next(self._correlations), timeout=timeout)
        connection.probe_at = now
        return SendCall(connection.number, connection.probe)


def observed_position(
    connection: Connection, event: AnswerReceived
) -> PositionObserved:
    """The position that a checked answer reports; a primary's is proved current."""
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
