"""Opens the connections of a proxy to one member."""

import asyncio
from collections import Counter
from collections.abc import Callable

from bronzemoor_core.wire.connectionshares import ConnectionShares
from bronzemoor_core.wire.statements import CONNECTION_LIMIT, Answer
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost
from bronzemoor_daemon.wire.memberconnection import MemberConnection, connect
from bronzemoor_daemon.wire.memberhealth import MemberHealth
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import StatementCodec
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


class ConnectionOpener(MemberHealth):
    """Opens a few connections at a time and backs off after failures.

    A subclass decides for whom, and takes the opened connections.
    """

    def __init__(
        self,
        codec: StatementCodec,
        group: str,
        member: str,
        address: str,
        is_local: bool,
        report: Callable[..., None],
        metrics: WireMetrics,
    ) -> None:
        super().__init__(member, address, is_local)
        self._codec = codec
        self.group = group
        self._report = report
        self._metrics = metrics
        self._tasks = Tasks(report)
        self._open: set[MemberConnection] = set()
        # Number of connections that are being opened, by caller.
        self._opening: Counter[str] = Counter()
        self._shares = ConnectionShares()
        self._reconnect_interval = RECONNECT_INTERVAL_SECONDS
        self._next_open_at = 0.0

    @property
    def _may_open(self) -> bool:
        """Whether another connection may be opened now, if the limit allows it."""
        return self._opening.total() < MAX_OPENING and boottime() >= self._next_open_at

    def _on_opened(self, connection: MemberConnection) -> None:
        raise NotImplementedError

    def _open_more(self) -> None:
        raise NotImplementedError

    def _fail_waiters(self, reason: str) -> None:
        raise NotImplementedError

    async def _open_one(self, caller: str) -> None:
        started = boottime()
        try:
            connection = await self._connect(started, caller)
        except Exception as error:  # statements wait for the connection
            self._open_failed(started, repr(error))
            connection = None
        finally:
            self._opening[caller] -= 1
        outcome = "refused" if connection is None else "opened"
        self._metrics.connection_openings.add(outcome)
        if connection is None:
            await self._retry_open_later()
            return
        self._shares.record_opening(boottime() - started)
        self._open.add(connection)
        connection.on_setup_refused = self._report_refused_setup
        self._on_opened(connection)

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
