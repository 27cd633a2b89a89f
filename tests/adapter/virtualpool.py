"""A member pool on a virtual clock, with a simulated member."""

import asyncio
from selectors import SelectSelector

import pytest

from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.wire import memberopenings, memberpool
from bronzemoor_daemon.wire.exceptions import NoConnection, Refused
from bronzemoor_daemon.wire.memberconnection import MemberConnection
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_platform.lines import PlatformLines

# A member's slots, the time for which a new connection occupies one, and the
# connections of one data centre, as in the first target deployment.
SLOTS = 5
OPENING_SECONDS = 0.012
CONNECTIONS = 12


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now = 1_000.0
        super().__init__(SelectSelector())
        self._selector.select = self._advance

    def time(self) -> float:
        return self.now

    def _advance(self, timeout: float | None) -> list:
        assert timeout is not None, "nothing is left to wait for"
        self.now += max(timeout, 1e-6)
        return []


class FakeConnection(MemberConnection):
    """A connection that is always open."""

    is_open = is_settled = True


class VirtualPool(MemberPool):
    """A pool of a member that only takes time."""

    def __init__(self, limit: int = CONNECTIONS, by_organisation: bool = True) -> None:
        self.events: list[tuple[str, dict]] = []
        super().__init__(
            PlatformLines(), "g", "me", "m", "h:1", True, limit,
            lambda level, event, **fields: self.events.append((event, fields)),
        )  # fmt: skip
        self.by_organisation = by_organisation
        self.set_limit(limit, True)
        self.slots = asyncio.Semaphore(SLOTS)
        self.openings = self.most_open = 0
        # Caller, arrival, wait and outcome of each statement.
        self.results: list[tuple[str, float, float, str]] = []

    async def connect(self, codec, group, caller, *rest) -> tuple:
        self.openings += 1
        self.most_open = max(self.most_open, len(self._open) + self._opening.total())
        async with self.slots:
            await asyncio.sleep(OPENING_SECONDS)
        return FakeConnection(codec, "m", "h:1", caller), Answer()

    async def run(self, at, caller, seconds, timeout=0.8, priority=0) -> None:
        """Runs a statement that arrives ``at`` seconds after the start."""
        await asyncio.sleep(at)
        session, loop = SessionState(), asyncio.get_running_loop()
        session.caller, arrived = caller, loop.time()
        connection, outcome = None, "served"
        try:
            connection = await self.acquire(session, priority, timeout)
        except NoConnection as error:
            outcome = "refused" if isinstance(error, Refused) else "late"
        self.results.append((caller, at, loop.time() - arrived, outcome))
        if connection is not None:
            assert connection.caller == caller
            async with self.slots:
                await asyncio.sleep(seconds)
            self.release(connection, clean=True)

    def waits(self, outcome: str = "served", since: float = 0.0) -> dict:
        """Returns the waits by caller of statements that arrived from then on."""
        found: dict[str, list[float]] = {}
        for caller, at, wait, result in self.results:
            if at >= since and result == outcome:
                found.setdefault(caller, []).append(wait)
        return found

    async def trim_often(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.trim(asyncio.get_running_loop().time())


def play(arrivals, pool_type=VirtualPool, **options) -> VirtualPool:
    """Runs statements, given as the arguments of ``run``; returns the pool."""
    loop = VirtualLoop()

    async def scenario() -> VirtualPool:
        pool = pool_type(**options)
        patch.setattr(memberopenings, "connect", pool.connect)
        trimming = asyncio.create_task(pool.trim_often())
        await asyncio.gather(*(pool.run(*arrival) for arrival in arrivals))
        trimming.cancel()
        pool._tasks.cancel()
        await asyncio.sleep(1.0)
        return pool

    with pytest.MonkeyPatch.context() as patch:
        for module in (memberpool, memberopenings):
            patch.setattr(module, "boottime", loop.time)
        try:
            return loop.run_until_complete(scenario())
        finally:
            loop.close()
