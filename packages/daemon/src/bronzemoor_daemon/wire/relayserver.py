"""The owner's side of the member connections that proxies of a zone share."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bronzemoor_core.messages import (
    RelayAnswer,
    RelayClose,
    RelayOpen,
    RelayStatement,
    RelayStatus,
)
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.sessionstate import SessionState
from bronzemoor_core.wire.statements import IDLE, LAGGING, NOT_PRIMARY, Answer
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import NoConnection, Refused
from bronzemoor_daemon.wire.links import Link, Links
from bronzemoor_daemon.wire.ports import StatementCodec
from bronzemoor_daemon.wire.relays import CLOSED, OPEN, OVERLOADED, REFUSED, WAITING
from bronzemoor_daemon.wire.tasks import Tasks

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.memberconnection import MemberConnection
    from bronzemoor_daemon.wire.memberpool import MemberPool

# The owner closes a channel without statements for this long. Clients do not leave a
# transaction idle for that long.
CHANNEL_IDLE_TIMEOUT_SECONDS = 10.0
# Identifies a channel at its owner: its link and the number chosen by the other proxy.
ChannelKey = tuple[Link, int]


class Channel:
    """The owner's side of a channel."""

    def __init__(self, pool: "MemberPool", connection: "MemberConnection") -> None:
        self.pool = pool
        self.connection = connection
        self.session = SessionState()
        self.used_at = boottime()
        # Whether a statement was refused because the member is not the primary. Those
        # that were sent after it must not run either, as after a refused BEGIN.
        self.refused = False


class RelayServer:
    """Serves channels of other proxies to this proxy's member connections."""

    def __init__(
        self,
        codec: StatementCodec,
        links: Links,
        find_pool: Callable[[str, str], "MemberPool | None"],
        is_current_primary: Callable[[float, "MemberPool", int], bool],
        report: Callable[..., None],
    ) -> None:
        self._codec = codec
        self._links = links
        self._find_pool = find_pool
        self._is_current_primary = is_current_primary
        self._report = report
        self._channels: dict[ChannelKey, Channel] = {}
        self._pending_opens: dict[ChannelKey, asyncio.Task[Any]] = {}
        self._tasks = Tasks(report)

    @property
    def in_use(self) -> bool:
        """Returns whether another proxy has a channel open."""
        return bool(self._channels)

    def on_open(self, link: Link, message: RelayOpen) -> None:
        key = (link, message.channel)
        pool = self._find_pool(message.group, message.member)
        if pool is None:
            self._send_status(key, REFUSED, "unknown member")
            return
        connection = pool.take_idle(None, message.caller)
        if connection is not None:
            self._add_channel(key, pool, connection)
            return
        self._send_status(key, WAITING, in_progress=pool.load)
        task = self._tasks.start(self._open(key, pool, message), "open-channel")
        self._pending_opens[key] = task
        task.add_done_callback(lambda _: self._pending_opens.pop(key, None))

    async def _open(
        self, key: ChannelKey, pool: "MemberPool", message: RelayOpen
    ) -> None:
        timeout = message.timeout_ms / 1_000
        try:
            connection = await pool.acquire_own(
                None, message.priority, timeout, message.caller,
                message.caller_priority, message.started,
            )  # fmt: skip
        except Refused as error:
            self._send_status(key, OVERLOADED, error.message)
            return
        except NoConnection as error:
            failing_ms = max(-1, int(pool.failing_for(boottime()) * 1_000))
            self._send_status(
                key,
                REFUSED,
                error.message,
                failing_ms=failing_ms,
                in_progress=pool.load,
            )
            return
        except Exception as error:  # the other proxy waits for an answer
            self._send_status(key, REFUSED, repr(error))
            raise
        self._add_channel(key, pool, connection)

    def _add_channel(
        self, key: ChannelKey, pool: "MemberPool", connection: "MemberConnection"
    ) -> None:
        self._channels[key] = Channel(pool, connection)
        connection.on_lost = lambda: self._end_channel(key, "closed by the member")
        connection.on_evicted = lambda: self._end_channel(key, "others wait for it")
        self._send_status(key, OPEN, member=pool.member, in_progress=pool.load)

    def on_statement(self, link: Link, message: RelayStatement) -> None:
        key = (link, message.channel)
        channel = self._channels.get(key)
        if channel is None:
            self._send_answer(key, message.number, b"", "no such channel")
            return
        channel.used_at = now = boottime()
        term = message.leading_term
        if term and (
            channel.refused or not self._is_current_primary(now, channel.pool, term)
        ):
            channel.refused = True
            self._refuse(key, channel, message.number, NOT_PRIMARY, b"replaced")
            return
        required = Position(message.required_term, message.required_offset)
        if required != ZERO:
            lag = channel.pool.lag
            if not lag.may_ask(now, required):
                self._refuse(key, channel, message.number, LAGGING, b"known to lag")
                return
            lag.claim(now, required)
        if message.sets_values:
            channel.session.values = message.values
            channel.connection.apply_session(channel.session)
        shape = (message.writes, message.shape) if message.prepared else None
        future = channel.connection.query(
            message.query_id,
            message.text,
            required,
            shape,
        )
        future.add_done_callback(
            lambda done: self._on_answer(key, channel.pool, message, done)
        )

    def _refuse(
        self, key: ChannelKey, channel: Channel, number: int, code: str, text: bytes
    ) -> None:
        state = channel.connection.last_state
        answer = self._codec.encode_answer(
            Answer(error=code, message=text, state=state)
        )
        self._send_answer(key, number, answer, in_progress=channel.pool.load)

    def _on_answer(
        self,
        key: ChannelKey,
        pool: "MemberPool",
        message: RelayStatement,
        future: "asyncio.Future[Answer]",
    ) -> None:
        if future.cancelled():
            return
        error = future.exception()
        if error is not None:
            self._send_answer(key, message.number, b"", str(error))
            return
        answer = future.result()
        required = Position(message.required_term, message.required_offset)
        if required != ZERO:
            if answer.ok:
                pool.lag.record_reached(required)
            elif answer.error == LAGGING and not message.own_commit:
                pool.lag.record_lacked(boottime(), required)
        encoded = self._codec.encode_answer(answer)
        self._send_answer(key, message.number, encoded, in_progress=pool.load)

    def on_close(self, link: Link, message: RelayClose) -> None:
        key = (link, message.channel)
        self._close_channel(key, message.clean)
        # Every message is answered, which shows the sender that the link works.
        self._send_status(key, CLOSED)

    def link_lost(self, link: Link) -> None:
        """Closes the channels of a lost link; members roll back their transactions."""
        for key in [key for key in self._pending_opens if key[0] is link]:
            self._pending_opens[key].cancel()
        for key in [key for key in self._channels if key[0] is link]:
            self._close_channel(key, clean=False)

    def trim(self, now: float) -> None:
        """Closes idle channels."""
        for key, channel in list(self._channels.items()):
            if now - channel.used_at > CHANNEL_IDLE_TIMEOUT_SECONDS:
                self._report("warning", "channel_idle", peer=key[0].peer)
                self._end_channel(key, "idle for too long")

    def _close_channel(self, key: ChannelKey, clean: bool) -> None:
        waiting = self._pending_opens.get(key)
        if waiting is not None:
            waiting.cancel()
        channel = self._channels.pop(key, None)
        if channel is None:
            return
        connection = channel.connection
        connection.on_lost = None
        if clean and connection.is_open and not connection.is_settled:
            channel.pool.release_unanswered(connection, channel.used_at)
        else:
            channel.pool.release(connection, clean and connection.last_state == IDLE)

    def _end_channel(self, key: ChannelKey, reason: str) -> None:
        self._close_channel(key, clean=False)
        self._send_status(key, CLOSED, reason)

    def _send_status(
        self,
        key: ChannelKey,
        state: str,
        reason: str = "",
        member: str = "",
        failing_ms: int = -1,
        in_progress: int = -1,
    ) -> None:
        status = RelayStatus(key[1], state, reason, member, failing_ms, in_progress)
        self._links.reply(key[0], status)

    def _send_answer(
        self,
        key: ChannelKey,
        number: int,
        answer: bytes,
        reason: str = "",
        in_progress: int = -1,
    ) -> None:
        reply = RelayAnswer(key[1], number, answer, reason, in_progress)
        self._links.reply(key[0], reply)
