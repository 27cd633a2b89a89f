"""Finds out whether connections to one member that did not answer are still usable."""

import asyncio
from collections import deque
from collections.abc import Callable

from bronzemoor_core.wire.statements import IDLE
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost
from bronzemoor_daemon.wire.memberconnection import MemberConnection
from bronzemoor_daemon.wire.memberopenings import ConnectionOpener
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.ports import StatementCodec
from bronzemoor_daemon.wire.relays import RelayedConnection

# How long an idle connection, and one with an outstanding answer, may take to answer a
# probe. Replacing a connection whose answer is only late takes a slot of the member,
# which would keep an overloaded member overloaded.
IDLE_PROBE_TIMEOUT_SECONDS = 0.25
LATE_PROBE_TIMEOUT_SECONDS = 1.0

AnyConnection = MemberConnection | RelayedConnection


class ConnectionProber(ConnectionOpener):
    """Keeps connections whose answer is only late, and closes unresponsive ones."""

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
        super().__init__(codec, group, member, address, is_local, report, metrics)
        self._idle: deque[MemberConnection] = deque()

    def release(self, connection: AnyConnection, clean: bool) -> None:
        raise NotImplementedError

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
        connection.acquired_at = 0.0
        self._tasks.start(self._wait_late_answer(connection, sent_at), "late-answer")
        self.suspect(boottime())

    def suspect(self, now: float) -> None:
        """Records a timeout and probes the idle connections before further use."""
        self.failed_at = now
        while self._idle:
            probe = self._probe(self._idle.pop(), IDLE_PROBE_TIMEOUT_SECONDS)
            self._tasks.start(probe, "probe")

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
