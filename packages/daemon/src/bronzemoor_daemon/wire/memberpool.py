"""The connection pool of a proxy for one member."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from operator import itemgetter

from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.statements import CONNECTION_LIMIT, IDLE, Answer
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost, NoConnection
from bronzemoor_daemon.wire.memberconnection import MemberConnection, connect
from bronzemoor_daemon.wire.memberhealth import MemberHealth
from bronzemoor_daemon.wire.ports import StatementCodec
from bronzemoor_daemon.wire.relays import RelayClient, RelayedConnection
from bronzemoor_daemon.wire.tasks import Tasks

CONNECT_TIMEOUT_SECONDS = 0.5
# How long a member may take to accept a connection. Accepting one takes a slot, so
# giving up too early wastes work of an overloaded member.
START_TIMEOUT_SECONDS = 1.5
# Initial delay before the next attempt to open a connection after a failed one.
RECONNECT_INTERVAL_SECONDS = 0.1
# Maximum delay, reached after repeated refusals for the connection limit.
MAX_RECONNECT_INTERVAL_SECONDS = 0.8
# Maximum number of connections being opened at once; each takes a slot of the member.
MAX_OPENING = 2
# Connections idle for longer are closed, except for the last one. A member counts the
# connections of a lost machine for some time, so unused ones could keep the machine's
# replacement from connecting.
IDLE_TIMEOUT_SECONDS = 0.7
# Share of the limit that idle connections of organisations are kept up to. After a loss
# of power, members still count the old ones while as many new ones are opened.
KEPT_SHARE = 0.5
# Where proxies share connections, a statement waits this long for one in use before
# another is opened, since opening takes a slot of the member.
SHARED_OPEN_DELAY_SECONDS = 0.060
# A transaction that is idle for longer is evicted if statements wait for a connection.
IDLE_TRANSACTION_LIMIT_SECONDS = 1.0
# How long an idle connection, and one with an outstanding answer, may take to answer a
# probe. Replacing a connection whose answer is only late takes a slot of the member,
# which would keep an overloaded member overloaded.
IDLE_PROBE_TIMEOUT_SECONDS = 0.25
LATE_PROBE_TIMEOUT_SECONDS = 1.0


AnyConnection = MemberConnection | RelayedConnection
# Priority, order of arrival, the caller and the connection that it waits for.
Waiter = tuple[int, int, str, asyncio.Future[MemberConnection]]


class MemberPool(MemberHealth):
    """Keeps at most ``limit`` connections open and assigns them by priority.

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
    ) -> None:
        super().__init__(member, address, is_local)
        self._codec = codec
        self.group = group
        self._caller = caller
        self._report = report
        self._idle: deque[MemberConnection] = deque()
        self._open: set[MemberConnection] = set()
        # Number of connections that are being opened, by caller.
        self._opening: Counter[str] = Counter()
        self._waiters: list[Waiter] = []
        self._sequence = count()
        self._closed = False
        self._tasks = Tasks(report)
        self._limit = limit
        self._reconnect_interval = RECONNECT_INTERVAL_SECONDS
        self._next_open_at = 0.0
        self._relays = relays
        # Whether the limit applies to all proxies of the zone together.
        self._shared = False
        # Whether connections are opened for organisations instead of for this proxy.
        self.by_organisation = False
        # Number of channels open or requested at other proxies.
        self._channel_count = 0

    @property
    def load(self) -> int:
        """Number of statements in progress or waiting."""
        own = len(self._open) - len(self._idle) + len(self._waiters)
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

    def _owner(self, now: float) -> str:
        """Returns the proxy that owns the connections, empty for this one."""
        if not self._shared or self._relays is None:
            return ""
        return self._relays.owner(now, self.member)

    async def acquire(
        self, session: SessionState, priority: int, timeout: float
    ) -> AnyConnection:
        """Returns a connection, preferably one that ``session`` used before.

        It is one for the session's caller. Raises ``NoConnection`` after ``timeout``
        seconds or when none can be opened.
        """
        owner = self._owner(boottime())
        if not owner or self._relays is None:
            return await self.acquire_own(session, priority, timeout, session.caller)
        self._channel_count += 1
        try:
            return await self._relays.open(
                owner, self, priority, timeout, session.caller
            )
        except BaseException:
            self._channel_count -= 1
            raise

    async def acquire_own(
        self,
        session: SessionState | None,
        priority: int,
        timeout: float,
        caller: str = "",
    ) -> MemberConnection:
        """Returns a connection that this proxy owns, like ``acquire``."""
        connection = self.take_idle(session, caller)
        if connection is not None:
            return connection
        future: asyncio.Future[MemberConnection] = (
            asyncio.get_running_loop().create_future()
        )
        caller = caller or self._caller
        heappush(self._waiters, (priority, next(self._sequence), caller, future))
        if self._shared and any(item.caller == caller for item in self._open):
            loop = asyncio.get_running_loop()
            loop.call_later(SHARED_OPEN_DELAY_SECONDS, self._open_more)
        else:
            self._open_more()
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            self._return_connection(future)
            if len(self._open) >= self._limit:
                # All connections are in use.
                self.refused_at = boottime()
            raise NoConnection(
                "no connection became free", step="pool", peer=self.member
            ) from None
        except asyncio.CancelledError:
            self._return_connection(future)
            raise

    def release(self, connection: AnyConnection, clean: bool) -> None:
        """Returns a connection to the pool; one that is not clean is closed."""
        if isinstance(connection, RelayedConnection):
            self._channel_count -= 1
            connection.release(clean)
            return
        connection.on_evicted = None
        if not clean or not connection.is_open or not connection.is_settled:
            self._discard(connection)
            self._open_more()
            return
        if self._closed or len(self._open) > self._limit:
            self._discard(connection)
            return
        future = self._next_waiter(connection.caller)
        if future is not None:
            future.set_result(connection)
            return
        connection.idle_since = boottime()
        self._idle.append(connection)
        if self._waiters:
            self._open_more()

    def release_unanswered(self, connection: AnyConnection, sent_at: float) -> None:
        """Releases a connection that did not answer in time.

        It is kept if it answers late. Idle connections are probed, since they may be
        unresponsive as well.
        """
        if isinstance(connection, RelayedConnection):
            self.failed_at = boottime()
            self._tasks.start(
                self._wait_late_channel_answer(connection, sent_at), "late-answer"
            )
            return
        self._tasks.start(self._wait_late_answer(connection, sent_at), "late-answer")
        self.suspect(boottime())

    def suspect(self, now: float) -> None:
        """Records a timeout and probes the idle connections before further use."""
        self.failed_at = now
        while self._idle:
            probe = self._probe(self._idle.pop(), IDLE_PROBE_TIMEOUT_SECONDS)
            self._tasks.start(probe, "probe")

    def set_limit(self, limit: int, shared: bool) -> None:
        """Applies the limit, for this proxy or for all proxies of its zone."""
        self._limit, self._shared = limit, shared
        while self._idle and len(self._open) > limit:
            self._discard(self._idle.popleft())

    def trim(self, now: float) -> None:
        """Closes idle connections and evicts idle transactions."""
        kept = 0 if self._owner(now) else 1
        if self.by_organisation and kept:
            # Other organisations' connections cannot take their place.
            kept = int(self._limit * KEPT_SHARE) - (len(self._open) - len(self._idle))
        while (
            len(self._idle) > max(0, kept)
            and now - self._idle[0].idle_since > IDLE_TIMEOUT_SECONDS
        ):
            self._discard(self._idle.popleft())
        self._evict_transactions(now)

    def _evict_transactions(self, now: float) -> None:
        """Evicts idle transactions if statements wait for a connection."""
        needed = sum(not item[3].done() for item in self._waiters)
        if not needed or len(self._open) < self._limit:
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
        for connection in list(self._idle):
            if not connection.is_open:
                self._idle.remove(connection)
                self._discard(connection)
        caller = caller or self._caller
        usable = [item for item in self._idle if item.caller == caller]
        if not usable:
            return None
        chosen = usable[-1]
        if session is not None:
            chosen = next((c for c in usable if c.session is session), chosen)
        self._idle.remove(chosen)
        return chosen

    def _return_connection(self, future: asyncio.Future[MemberConnection]) -> None:
        """Releases a connection that was assigned just when the wait ended."""
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result(), clean=True)

    def _next_waiter(
        self, caller: str | None = None
    ) -> asyncio.Future[MemberConnection] | None:
        """Removes and returns the first waiter, of ``caller`` if one is given."""
        others: list[Waiter] = []
        found = None
        while self._waiters and found is None:
            waiter = heappop(self._waiters)
            if waiter[3].done():
                continue
            if caller is None or waiter[2] == caller:
                found = waiter[3]
            else:
                others.append(waiter)
        for waiter in others:
            heappush(self._waiters, waiter)
        return found

    async def _wait_late_answer(
        self, connection: MemberConnection, sent_at: float
    ) -> None:
        if await self._probe(connection, LATE_PROBE_TIMEOUT_SECONDS):
            # The member is slow. A lost answer would give no latency to record.
            self.record_late_answer(boottime() - sent_at)

    async def _wait_late_channel_answer(
        self, connection: RelayedConnection, sent_at: float
    ) -> None:
        try:
            async with asyncio.timeout(LATE_PROBE_TIMEOUT_SECONDS):
                if await connection.wait_settled():
                    self.record_late_answer(boottime() - sent_at)
        except TimeoutError:
            self._report("info", "connection_silent", member=self.member, via="relay")
        finally:
            self.release(connection, clean=True)

    async def _probe(self, connection: MemberConnection, timeout: float) -> bool:
        """Sends a statement that takes no slot; returns whether it was answered."""
        clean = False
        try:
            connection.state.reset()
            async with asyncio.timeout(timeout):
                answer = await connection.query(b"", self._codec.reset_text)
            clean = answer.ok and answer.state == IDLE
        except (TimeoutError, ConnectionLost) as error:
            self._report(
                "info", "connection_silent", member=self.member, error=repr(error)
            )
        finally:
            self.release(connection, clean)
        return clean

    def _discard(self, connection: MemberConnection) -> None:
        self._open.discard(connection)
        connection.close()

    def _open_more(self) -> None:
        waiting: Counter[str] = Counter()
        for _, _, caller, future in sorted(self._waiters, key=itemgetter(0, 1)):
            if future.done():
                continue
            waiting[caller] += 1
            if waiting[caller] > self._opening[caller] and not self._start_opening(
                caller
            ):
                return

    def _start_opening(self, caller: str) -> bool:
        """Starts opening a connection for ``caller``; returns whether it may."""
        opening = self._opening.total()
        if (
            self._closed
            or boottime() < self._next_open_at
            or opening >= MAX_OPENING
            or (
                len(self._open) + opening >= self._limit and not self._make_room(caller)
            )
        ):
            return False
        self._opening[caller] += 1
        self._tasks.start(self._open_one(caller), "open-connection")
        return True

    def _make_room(self, caller: str) -> bool:
        """Closes the idle connection of another caller that was used least recently."""
        for connection in self._idle:
            if connection.caller != caller:
                self._idle.remove(connection)
                self._discard(connection)
                return True
        return False

    async def _open_one(self, caller: str) -> None:
        started = boottime()
        try:
            connection = await self._connect(started, caller)
        except Exception as error:  # statements wait for the connection
            self._open_failed(started, repr(error))
            connection = None
        finally:
            self._opening[caller] -= 1
        if connection is None:
            await self._retry_open_later()
            return
        self._open.add(connection)
        connection.on_setup_refused = self._report_refused_setup
        self.release(connection, clean=True)

    def _report_refused_setup(self, setup: str, answer: Answer) -> None:
        self._report(
            "info",
            "setup_refused",
            member=self.member,
            setup=setup,
            code=answer.error,
            state=answer.state,
        )

    async def _connect(self, started: float, caller: str) -> MemberConnection | None:
        """Opens one connection; records why if that fails, and returns None."""
        self._connect_attempts.add(started)
        try:
            connection, answer = await connect(
                self._codec,
                self.group,
                caller,
                self.member,
                self.address,
                CONNECT_TIMEOUT_SECONDS,
                START_TIMEOUT_SECONDS,
                lambda: self._connect_attempts.discard(started),
            )
        except ConnectionLost as error:
            self._open_failed(started, str(error))
            return None
        finally:
            self._connect_attempts.discard(started)
        if answer.ok:
            self._reconnect_interval = max(
                RECONNECT_INTERVAL_SECONDS, self._reconnect_interval / 2
            )
            self.failing_since = None
            return connection
        if answer.error == CONNECTION_LIMIT:
            # The member is alive. It still counts connections of lost machines, or
            # another proxy has not closed its surplus connections yet.
            self.failing_since = None
            self._reconnect_interval = min(
                MAX_RECONNECT_INTERVAL_SECONDS, 2 * self._reconnect_interval
            )
            self._report("info", "connection_refused", member=self.member)
        else:
            self._open_failed(started, answer.error)
        return None

    async def _retry_open_later(self) -> None:
        # Jitter spreads the retries of proxies that were refused at the same time.
        pause = self._reconnect_interval * (0.5 + self._random.random())
        self._next_open_at = boottime() + pause
        await asyncio.sleep(pause)
        self._open_more()

    def _open_failed(self, started: float, reason: str) -> None:
        self.failed_at = boottime()
        if self.failing_since is None:
            self.failing_since = started
        self._report("warning", "connect_failed", member=self.member, reason=reason)
        if not self._open:
            self._fail_waiters(reason)

    def _fail_waiters(self, reason: str) -> None:
        while (future := self._next_waiter()) is not None:
            future.set_exception(NoConnection(reason, step="pool", peer=self.member))
