"""The connection pool of a proxy for one member."""

import asyncio
from collections import Counter
from collections.abc import Callable

from bronzemoor_core.wire.connectionshares import is_within_share
from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.statements import IDLE
from bronzemoor_core.wire.waiting import Rank, make_rank
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import NoConnection, Refused
from bronzemoor_daemon.wire.memberconnection import MemberConnection
from bronzemoor_daemon.wire.memberprobes import AnyConnection, ConnectionProber
from bronzemoor_daemon.wire.memberqueue import (
    ALL_IN_USE,
    OPENING,
    OWN_IN_USE,
    ConnectionWaiter,
    MemberQueue,
)
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import StatementCodec
from bronzemoor_daemon.wire.relays import RelayClient, RelayedConnection

# Connections idle for longer are closed, except for the last one. A member counts the
# connections of a lost machine for some time, so unused ones could keep the machine's
# replacement from connecting.
IDLE_TIMEOUT_SECONDS = 0.7
# Where proxies share connections, a statement waits this long for one in use before
# another is opened, since opening takes a slot of the member.
SHARED_OPEN_DELAY_SECONDS = 0.060
# A timer may fire this much early on the clock of the deadlines.
TIMER_TOLERANCE_SECONDS = 0.002
# A transaction that is idle for longer is evicted if statements wait for a connection.
IDLE_TRANSACTION_LIMIT_SECONDS = 1.0


class MemberPool(ConnectionProber):
    """Keeps at most ``limit`` connections open and assigns them to waiting statements.

    A connection serves only the caller that it was opened for: an organisation or,
    where the deployment has none, this proxy.

    If the limit applies to the whole zone, one proxy owns all connections of the zone
    and the others use them through relayed channels.
    """

    def __init__(
        self,
        codec: StatementCodec,
        group: str,
        caller: str,
        member: str,
        address: str,
        is_local: bool,
        limit: int,
        report: Callable[..., None],
        relays: RelayClient | None = None,
        metrics: WireMetrics | None = None,
    ) -> None:
        super().__init__(
            codec, group, member, address, is_local, report, metrics or WireMetrics()
        )
        self._caller = caller
        self._queue = MemberQueue(member, self._report, self._metrics, self._random)
        self._closed = False
        self._limit = limit
        self._relays = relays
        # Whether the limit applies to all proxies of the zone together.
        self._shared = False
        # Whether connections are opened for organisations instead of for this proxy.
        self.by_organisation = False
        # How often a connection was assigned since the last report.
        self._uses = 0
        # Number of channels open or requested at other proxies.
        self._channel_count = 0

    @property
    def load(self) -> int:
        """Number of statements in progress or waiting."""
        own = len(self._open) - len(self._idle) + len(self._queue)
        return own + self._channel_count

    @property
    def shared(self) -> bool:
        """Whether the limit applies to all proxies of the zone together."""
        return self._shared

    @property
    def owned_load(self) -> float:
        """Average load where this proxy owns the zone's connections, otherwise 0."""
        return 0.0 if self._owner(boottime()) else self.average_load.value

    def record_owner_load(self, count: int) -> None:
        """Records the owner's count of statements in progress or waiting."""
        self.figures.record_owner(boottime(), count, self.load)

    @property
    def has_idle(self) -> bool:
        """Returns whether a statement can run without opening a connection here."""
        return bool(self._idle) or bool(self._owner(boottime()))

    def collect_uses(self) -> int:
        """Returns how often connections were assigned since the last call."""
        uses, self._uses = self._uses, 0
        return uses

    def _owner(self, now: float) -> str:
        """Returns the proxy that owns the connections, empty for this one."""
        if not self._shared or self._relays is None:
            return ""
        return self._relays.owner(now, self.member)

    async def acquire(
        self,
        session: SessionState,
        priority: int,
        timeout: float,
        started: bool = False,
    ) -> AnyConnection:
        """Returns a connection, preferably one that ``session`` used before.

        It is one for the session's caller. ``started`` is whether it is for a
        transaction that had a connection before. Raises ``NoConnection`` after
        ``timeout`` seconds or when none can be opened, and ``Refused`` at once if
        ``timeout`` is too short.
        """
        started = started and self.by_organisation
        owner = self._owner(boottime())
        if not owner or self._relays is None:
            return await self.acquire_own(
                session, priority, timeout, session.caller, session.caller_priority,
                started,
            )  # fmt: skip
        self._channel_count += 1
        try:
            return await self._relays.open(
                owner, self, priority, timeout, session.caller,
                session.caller_priority, started,
            )  # fmt: skip
        except BaseException:
            self._channel_count -= 1
            raise

    async def acquire_own(
        self,
        session: SessionState | None,
        priority: int,
        timeout: float,
        caller: str = "",
        caller_priority: int = 0,
        started: bool = False,
    ) -> MemberConnection:
        """Returns a connection that this proxy owns, like ``acquire``."""
        connection = self.take_idle(session, caller)
        if connection is not None:
            return connection
        caller = caller or self._caller
        waiter = self._wait(
            make_rank(started, priority, caller_priority), caller, timeout
        )
        try:
            async with asyncio.timeout(timeout):
                connection = await waiter.handle
                self._uses += 1
        except TimeoutError:
            self._stop_waiting(waiter)
            if len(self._open) >= self._limit:
                # All connections are in use.
                self.refused_at = boottime()
            raise NoConnection(
                "no connection became free", step="pool", peer=self.member
            ) from None
        except asyncio.CancelledError:
            self._stop_waiting(waiter)
            raise
        return connection

    def _wait(self, rank: Rank, caller: str, timeout: float) -> ConnectionWaiter:
        """Adds a waiter to the queue and sees to it that a connection is opened.

        Raises ``Refused`` if it cannot be served in time.
        """
        now, loop = boottime(), asyncio.get_running_loop()
        held, in_use = self._count_held(caller)
        waiting = self._queue.waiting(caller) + 1
        if self.by_organisation:
            needed = min(in_use + waiting, self._limit)
            self._shares.record_use(now, caller, needed)
        reason = OWN_IN_USE if held else OPENING
        taken = len(self._open) + self._opening.total()
        if taken >= self._limit and not (self._idle and self._may_use(caller)):
            reason = ALL_IN_USE
            try:
                if self.by_organisation:
                    self._queue.check_wait(now, rank, caller, timeout)
            except Refused:
                self.refused_at = now
                raise
        waiter = self._queue.add(now, rank, caller, timeout, reason)
        delay = 0.0
        if self.by_organisation:
            delay = self._shares.opening_delay(held, waiting, self._queue.mean_hold)
            waiter.open_at = now + delay
        elif self._shared and held:
            delay = SHARED_OPEN_DELAY_SECONDS
        if delay:
            loop.call_later(delay, self._open_more)
        if self.by_organisation:
            self._serve_more()
        elif not delay:
            self._open_more()
        return waiter

    def _count_held(self, caller: str) -> tuple[int, int]:
        """Returns how many connections of a caller are open, and in use."""
        held = sum(item.caller == caller for item in self._open)
        return held, held - sum(item.caller == caller for item in self._idle)

    def release(self, connection: AnyConnection, clean: bool) -> None:
        """Returns a connection to the pool; one that is not clean is closed."""
        if isinstance(connection, RelayedConnection):
            self._channel_count -= 1
            connection.release(clean)
            return
        connection.on_evicted = None
        now = boottime()
        if connection.acquired_at:
            self._queue.record_hold(now, now - connection.acquired_at)
            connection.acquired_at = 0.0
        if not clean or not connection.is_open or not connection.is_settled:
            self._discard(connection)
            self._serve_more()
            return
        if self._closed or len(self._open) > self._limit:
            self._discard(connection)
            return
        self._reuse(now, connection)

    def _reuse(self, now: float, connection: MemberConnection) -> None:
        """Gives a free connection to a waiting statement or keeps it for later."""
        caller = connection.caller
        connection.idle_since = now
        if not self.by_organisation:
            own = self._queue.first(now, caller)
            if own is not None:
                self._queue.serve(now, own, connection)
                return
            self._idle.append(connection)
            if len(self._queue):
                self._open_more()
            return
        self._idle.append(connection)
        if (
            self._may_open
            and len(self._open) + self._opening.total() >= self._limit
            and all(item.caller == caller for item in self._idle)
        ):
            other = self._queue.choose_next(now, caller, self._needs_connection)
            if other is not None:
                self._evict(connection, "turn")
                self._start_opening(other.caller)
        self._serve_more()

    def _serve_more(self) -> None:
        """Serves waiting statements with idle connections, and opens others."""
        if self.by_organisation and self._idle:
            now = boottime()
            for head in list(self._queue.heads(now)):
                # An earlier head of the same organisation may have served this one.
                waiter = self._queue.first(now, head.caller)
                while waiter is not None and self._may_use(waiter.caller):
                    connection = self._find_idle(None, waiter.caller)
                    if connection is None:
                        break
                    self._idle.remove(connection)
                    self._queue.serve(now, waiter, connection)
                    waiter = self._queue.first(now, waiter.caller)
        if len(self._queue):
            self._open_more()

    def _may_use(self, caller: str, opening: int = 0) -> bool:
        """Returns whether a caller may use one more connection.

        ``opening`` of its connections are being opened.
        """
        if not self.by_organisation:
            return True
        if len(self._queue) <= self._queue.waiting(caller):
            return True
        # Idle transactions and late answers do not count: they may last for seconds.
        in_use = sum(
            item.caller == caller
            and item.acquired_at > 0
            and not (item.is_settled and item.last_state != IDLE)
            for item in self._open
        )
        return is_within_share(self._limit, in_use + opening)

    def set_limit(self, limit: int, shared: bool) -> None:
        """Applies the limit, for this proxy or for all proxies of its zone."""
        self._limit, self._shared = limit, shared
        while self._idle and len(self._open) > limit:
            self._evict(self._idle[0], "limit")

    def trim(self, now: float) -> None:
        """Closes idle connections and evicts idle transactions."""
        is_owner = not self._owner(now)
        if self.by_organisation and is_owner:
            held = Counter(item.caller for item in self._open)
            surplus = self._shares.choose_surplus(
                now, self._idle, held, self._limit, IDLE_TIMEOUT_SECONDS
            )
            self._shares.forget(now)
        else:
            # One connection is kept, unless it is of an organisation that is gone.
            own = [item for item in self._idle if item.caller == self._caller]
            kept = own[-1:] if is_owner else []
            surplus = [
                item
                for item in self._idle
                if item not in kept and now - item.idle_since > IDLE_TIMEOUT_SECONDS
            ]
        for connection in surplus:
            self._evict(connection, "idle")
        self._evict_transactions(now)
        if self.by_organisation:
            self._serve_more()

    def _evict_transactions(self, now: float) -> None:
        """Evicts idle transactions if statements wait for a connection."""
        needed = len(self._queue) - len(self._idle)
        if needed <= 0 or len(self._open) < self._limit:
            return
        evictable = [
            c
            for c in self._open
            if c.on_evicted
            and c.is_idle_in_transaction(now, IDLE_TRANSACTION_LIMIT_SECONDS)
        ]
        evictable.sort(key=lambda connection: connection.used_at)
        for connection in evictable[:needed]:
            on_evicted, connection.on_evicted = connection.on_evicted, None
            self._report(
                "info",
                "transaction_evicted",
                member=self.member,
                rested_ms=round((now - connection.used_at) * 1_000),
                waiting=needed,
            )
            if on_evicted is not None:
                on_evicted()

    def warm(self, wanted: int) -> None:
        """Opens up to ``wanted`` connections in advance."""
        if self._owner(boottime()):
            return
        while len(self._open) + self._opening.total() < min(wanted, self._limit):
            if not self._start_opening(self._caller):
                return

    def relay_refused(self, now: float, failing: float, waited: float) -> None:
        """Records that the owner had no connection after ``waited`` seconds.

        The owner's connections have failed for ``failing`` seconds, -1 if they succeed.
        """
        if failing >= 0:
            self.failed_at = now
            self.failing_since = now - failing
        elif waited > SHARED_OPEN_DELAY_SECONDS:
            self.refused_at = now

    def close(self) -> None:
        """Closes idle connections at once and the others on release."""
        self._closed = True
        while self._idle:
            self._discard(self._idle.pop())
        self._fail_waiters("the member is gone")

    def take_idle(
        self, session: SessionState | None, caller: str = ""
    ) -> MemberConnection | None:
        """Returns an idle connection for ``caller``, or None."""
        caller = caller or self._caller
        if self.by_organisation and (
            self._queue.waiting(caller) or not self._may_use(caller)
        ):
            # Those that wait come first.
            return None
        chosen = self._find_idle(session, caller)
        if chosen is None:
            return None
        self._idle.remove(chosen)
        self._uses += 1
        now = boottime()
        chosen.acquired_at = now
        if self.by_organisation:
            self._shares.record_use(now, caller, self._count_held(caller)[1])
        return chosen

    def _find_idle(
        self, session: SessionState | None, caller: str
    ) -> MemberConnection | None:
        """Returns the connection that ``session`` used, or the one used last."""
        for connection in list(self._idle):
            if not connection.is_open:
                self._idle.remove(connection)
                self._discard(connection)
        usable = [item for item in self._idle if item.caller == caller]
        if not usable:
            return None
        if session is None:
            return usable[-1]
        return next((c for c in usable if c.session is session), usable[-1])

    def _stop_waiting(self, waiter: ConnectionWaiter) -> None:
        """Removes a waiter, or releases what it was assigned as its wait ended."""
        future = waiter.handle
        self._queue.discard(waiter)
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result(), clean=True)
        elif self.by_organisation:
            self._serve_more()

    def _evict(self, connection: MemberConnection, reason: str) -> None:
        """Closes an idle connection."""
        self._metrics.evicted_connections.add(reason)
        self._idle.remove(connection)
        self._discard(connection)

    def _discard(self, connection: MemberConnection) -> None:
        self._open.discard(connection)
        connection.close()

    def _open_more(self) -> None:
        """Opens connections for waiting statements, in the order of their turns."""
        if not self._may_open:
            return
        now = boottime()
        for head in list(self._queue.heads(now)):
            while self._needs_connection(head):
                if not self._start_opening(head.caller):
                    return

    def _needs_connection(self, waiter: ConnectionWaiter) -> bool:
        """Returns whether a connection is to be opened for the waiter's caller."""
        caller = waiter.caller
        opening = self._opening[caller]
        if self._queue.waiting(caller) <= opening:
            return False
        return not self.by_organisation or (
            boottime() >= waiter.open_at - TIMER_TOLERANCE_SECONDS
            and self._may_use(caller, opening)
        )

    def _start_opening(self, caller: str) -> bool:
        """Starts opening a connection for ``caller``; returns whether it may."""
        opened = len(self._open) + self._opening.total()
        if (
            self._closed
            or not self._may_open
            or (opened >= self._limit and not self._make_room(caller))
        ):
            return False
        self._opening[caller] += 1
        self._tasks.start(self._open_one(caller), "open-connection")
        return True

    def _make_room(self, caller: str) -> bool:
        """Closes an idle connection of another caller, if there is one."""
        held = Counter(item.caller for item in self._open)
        connection = self._shares.choose_evicted(boottime(), self._idle, held, caller)
        if connection is None:
            return False
        self._evict(connection, "other")
        return True

    def _on_opened(self, connection: MemberConnection) -> None:
        self.release(connection, clean=True)

    def _fail_waiters(self, reason: str) -> None:
        self._queue.fail(NoConnection(reason, step="pool", peer=self.member))
