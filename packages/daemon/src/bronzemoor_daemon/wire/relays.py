"""Member connections that the proxies of a zone share through one owner.

Where a member allows fewer connections than there are proxies, one proxy of each zone,
the member's owner, holds the zone's connections to it. The other proxies open channels
to the owner and send their statements over them. The owner is the first of the zone's
proxies by rendezvous hashing; one that does not answer is skipped.
"""

import asyncio
from collections.abc import Callable
from hashlib import blake2b
from itertools import count
from typing import TYPE_CHECKING

from bronzemoor_core.messages import (
    RelayAnswer,
    RelayClose,
    RelayOpen,
    RelayStatement,
    RelayStatus,
)
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost, NoConnection, Refused
from bronzemoor_daemon.wire.links import Links
from bronzemoor_daemon.wire.ports import StatementCodec

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.memberpool import MemberPool

# An owner that does not respond to a channel request within the timeout is skipped for
# a while.
OWNER_TIMEOUT_SECONDS = 0.3
OWNER_SKIP_SECONDS = 1.0
# Number of proxies considered as the owner of a member.
MAX_OWNERS = 3
WAITING, OPEN, REFUSED, CLOSED = "waiting", "open", "refused", "closed"
# The owner expects none in time; the reason is the client's hint when to try again.
OVERLOADED = "overloaded"
# Local state that is never sent: the link to the owner is lost.
LOST = "lost"


def rank_owners(member: str, proxies: list[str]) -> list[str]:
    """Ranks the proxies of a zone as owners of ``member`` by rendezvous hashing.

    The loss of a proxy changes the owner only of the members that it owned.
    """
    return sorted(proxies, key=lambda p: blake2b(f"{member} {p}".encode()).digest())


class RelayedConnection:
    """A member connection at another proxy, with the uses of ``MemberConnection``."""

    def __init__(
        self,
        codec: StatementCodec,
        links: Links,
        owner: str,
        channel: int,
        group: str,
        member: str,
        on_release: Callable[[int], None],
    ) -> None:
        self._codec = codec
        self._links = links
        self._on_release = on_release
        self._numbers = count(1)
        self._pending: dict[int, asyncio.Future[Answer]] = {}
        self._values: dict[bytes, bytes] | None = None
        # Completed when no answer is outstanding; None unless someone waits for it.
        self._settled: asyncio.Future[None] | None = None
        self._is_open = True
        self._group = group
        # The session's last commit in the group.
        self._last_commit = ZERO
        self.owner = owner
        self.channel = channel
        self.member = member
        # Never called here: the owner evicts a transaction by closing the channel.
        self.on_evicted: Callable[[], None] | None = None
        # Receives the owner's count of statements in progress at the member.
        self.on_load: Callable[[int], None] | None = None

    @property
    def is_open(self) -> bool:
        return self._is_open

    def apply_session(self, session: SessionState) -> None:
        """Makes the owner set the session's values on the connection."""
        self._values = dict(session.values)
        self._last_commit = session.last_commit(self._group).position

    def query(
        self,
        query_id: bytes,
        text: bytes,
        required: Position = ZERO,
        shape: tuple[bool, bytes] | None = None,
        leading_term: int = 0,
    ) -> asyncio.Future[Answer]:
        """Sends a statement; the future may raise ``ConnectionLost``.

        The statement may be delayed at the owner, which therefore checks again that the
        member is the primary of ``leading_term``.
        """
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if not self._is_open:
            future.set_exception(self._connection_lost("the channel is closed"))
            return future
        number = next(self._numbers)
        self._pending[number] = future
        writes, body = shape if shape is not None else (False, b"")
        values, self._values = self._values, None
        message = RelayStatement(
            self.channel, number, query_id, text, required.term, required.offset,
            shape is not None, writes, body, values is not None, values or {},
            leading_term, required == self._last_commit != ZERO,
        )  # fmt: skip
        self._links.request(self.owner, message)
        return future

    def handle_answer(self, message: RelayAnswer) -> None:
        """Handles an answer, or a message that there will be none."""
        if self.on_load is not None:
            self.on_load(message.in_progress)
        future = self._pending.pop(message.number, None)
        self._notify_settled()
        if future is None or future.done():
            return
        if not message.answer:
            future.set_exception(self._connection_lost(message.reason))
            return
        answer = Answer()
        try:
            for line in message.answer.split(b"\r\n")[:-1]:
                self._codec.decode_reply(line, answer)
        except (ValueError, KeyError, IndexError) as error:
            future.set_exception(self._connection_lost(f"unreadable answer: {error!r}"))
            return
        future.set_result(answer)

    def fail(self, reason: str) -> None:
        """Fails pending statements after the channel is closed."""
        self._is_open = False
        for future in self._pending.values():
            if not future.done():
                future.set_exception(self._connection_lost(reason))
        self._pending.clear()
        self._notify_settled()

    async def wait_settled(self) -> bool:
        """Waits until no answer is outstanding; returns whether the channel is open."""
        if self._pending:
            self._settled = asyncio.get_running_loop().create_future()
            await self._settled
        return self._is_open

    def _notify_settled(self) -> None:
        settled = self._settled
        if settled is not None and not self._pending and not settled.done():
            settled.set_result(None)

    def release(self, clean: bool) -> None:
        """Releases the connection, which may still have an answer outstanding."""
        if self._is_open:
            self._links.request(self.owner, RelayClose(self.channel, clean))
            self._on_release(self.channel)
            self.fail("channel released")

    def close(self) -> None:
        """Closes immediately; the member rolls back an open transaction."""
        self.release(clean=False)

    def _connection_lost(self, reason: str) -> ConnectionLost:
        return ConnectionLost(reason, step="relay", peer=self.owner)


class RelayClient:
    """The channels of this proxy to other proxies."""

    def __init__(self, name: str, codec: StatementCodec, links: Links) -> None:
        self._name = name
        self._codec = codec
        self._links = links
        self._channels: dict[int, RelayedConnection] = {}
        # Owner, group and received status messages of channels that are being opened.
        self._opening: dict[int, tuple[str, str, asyncio.Queue[RelayStatus]]] = {}
        self._numbers = count(1)
        self._skipped_until: dict[str, float] = {}
        self._owners: dict[str, list[str]] = {}
        self.proxies: list[str] = []

    def set_proxies(self, proxies: list[str]) -> None:
        """Replaces the list of the zone's proxies that share connections."""
        self.proxies = proxies
        self._owners.clear()

    def owner(self, now: float, member: str) -> str:
        """Returns the proxy that owns the connections, empty for this one."""
        owners = self._owners.get(member)
        if owners is None:
            owners = self._owners[member] = rank_owners(member, self.proxies)
        for owner in owners[:MAX_OWNERS]:
            if owner == self._name:
                return ""
            if now >= self._skipped_until.get(owner, 0.0):
                return owner
        return ""

    async def open(
        self,
        owner: str,
        pool: "MemberPool",
        priority: int,
        timeout: float,
        caller: str = "",
        caller_priority: int = 0,
        started: bool = False,
    ) -> RelayedConnection:
        """Opens a channel for ``caller`` within ``timeout`` seconds.

        Raises ``NoConnection``, also if the owner does not respond in time, and
        ``Refused`` if the owner expects that ``timeout`` is too short.
        """
        channel, asked_at = next(self._numbers), boottime()
        deadline = asked_at + timeout
        request = RelayOpen(
            channel, pool.group, pool.member, priority, int(timeout * 1_000), caller,
            caller_priority, started,
        )  # fmt: skip
        statuses: asyncio.Queue[RelayStatus] = asyncio.Queue()
        self._opening[channel] = owner, pool.group, statuses
        self._links.request(owner, request)
        limit = min(timeout, OWNER_TIMEOUT_SECONDS)
        try:
            while True:
                async with asyncio.timeout(limit):
                    status = await statuses.get()
                pool.record_owner_load(status.in_progress)
                if status.state != WAITING:
                    break
                limit = max(0.0, deadline - boottime()) + OWNER_TIMEOUT_SECONDS
        except TimeoutError:
            self._skipped_until[owner] = boottime() + OWNER_SKIP_SECONDS
            self._links.request(owner, RelayClose(channel, True))
            raise NoConnection("no reaction", step="relay", peer=owner) from None
        except asyncio.CancelledError:
            self._links.request(owner, RelayClose(channel, True))
            raise
        finally:
            self._opening.pop(channel, None)
        connection = self._channels.get(channel)
        if status.state == LOST:
            self._skipped_until[owner] = boottime() + OWNER_SKIP_SECONDS
        if status.state == REFUSED:
            now = boottime()
            pool.relay_refused(now, status.failing_ms / 1_000, now - asked_at)
        if status.state == OVERLOADED:
            pool.refused_at = boottime()
            raise Refused(status.reason, step="relay", peer=owner)
        if connection is not None:
            connection.on_load = pool.record_owner_load
        else:
            reason = status.reason or "channel closed immediately"
            raise NoConnection(reason, step="relay", peer=owner)
        return connection

    def on_status(self, sender: str, message: RelayStatus) -> None:
        """Handles a channel status from the owner."""
        if message.state == CLOSED:
            connection = self._channels.pop(message.channel, None)
            if connection is not None:
                connection.fail(message.reason or "closed by the owner")
            return
        waiting = self._opening.get(message.channel)
        if waiting is None:
            if message.state == OPEN:
                # The request was cancelled in the meantime.
                self._links.request(sender, RelayClose(message.channel, True))
            return
        _, group, statuses = waiting
        if message.state == OPEN:
            self._channels[message.channel] = RelayedConnection(
                self._codec, self._links, sender, message.channel, group,
                message.member, self._remove_channel,
            )  # fmt: skip
        statuses.put_nowait(message)

    def on_answer(self, message: RelayAnswer) -> None:
        connection = self._channels.get(message.channel)
        if connection is not None:
            connection.handle_answer(message)

    def _remove_channel(self, channel: int) -> None:
        self._channels.pop(channel, None)

    def link_lost(self, peer: str) -> None:
        """Fails the channels to ``peer``, which closes their connections itself."""
        for channel, connection in list(self._channels.items()):
            if connection.owner == peer:
                del self._channels[channel]
                connection.fail("the link to the owner is lost")
        for channel, (owner, _, statuses) in self._opening.items():
            if owner == peer:
                statuses.put_nowait(RelayStatus(channel, LOST, "link lost", "", -1))
