"""A connection to a member of a database group."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import cast

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire import statements as st
from bronzemoor_core.wire.sessionstate import ConnectionState, SessionState
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost
from bronzemoor_daemon.wire.pendinganswers import (
    PendingAnswer,
    PendingClientAnswer,
    PendingSetupAnswer,
    Setup,
)
from bronzemoor_daemon.wire.ports import StatementCodec
from bronzemoor_daemon.wire.sockets import (
    reset_on_close,
    set_tcp_options,
    set_user_timeout,
)

# The connection is closed when sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_SECONDS = 3.0
# Maximum size of an incomplete line in the buffer.
MAX_LINE_BYTES = 1_048_576 + 1_024
# Keyword in the log of the set-up statement that clears values and prepared statements.
RESET = "reset"


class MemberConnection(asyncio.Protocol):
    """Pipelines statements and matches the answers, which arrive in the same order."""

    def __init__(
        self, codec: StatementCodec, member: str, address: str, caller: str
    ) -> None:
        self._codec = codec
        self._buffer = b""
        self._answer = Answer()
        self._pending: deque[PendingAnswer | PendingSetupAnswer] = deque()
        self._setup = Setup()
        self._transport: asyncio.Transport | None = None
        self.member = member
        self.address = address
        # Whom the connection was opened for; no other caller may use it.
        self.caller = caller
        self.state = ConnectionState()
        # When the connection was last returned to its pool, in seconds.
        self.idle_since = 0.0
        # When it was taken from the pool for a statement, 0 if it is not in use.
        self.acquired_at = 0.0
        # The last session that used the connection.
        self.session: SessionState | None = None
        # Transaction state after the last answer.
        self.last_state = st.IDLE
        # When a statement was last sent or answered, in seconds.
        self.used_at = 0.0
        # Called once when the connection is lost, and when an idle transaction on it is
        # evicted.
        self.on_lost: Callable[[], None] | None = None
        self.on_evicted: Callable[[], None] | None = None
        # Called with the keyword of a set-up statement that the member refused, and
        # with its answer.
        self.on_setup_refused: Callable[[str, Answer], None] | None = None

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_settled(self) -> bool:
        """Returns whether no answer is outstanding."""
        return not self._pending

    def is_idle_in_transaction(self, now: float, limit: float) -> bool:
        """Returns whether a transaction has been idle for over ``limit`` seconds."""
        return (
            self.is_settled
            and self.last_state == st.IN_TRANSACTION
            and now - self.used_at > limit
        )

    # --- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_options(transport, TCP_USER_TIMEOUT_SECONDS)

    def data_received(self, data: bytes) -> None:
        lines = (self._buffer + data).split(b"\r\n")
        self._buffer = lines.pop()
        try:
            for line in lines:
                if self._codec.decode_reply(line, self._answer):
                    answer, self._answer = self._answer, Answer()
                    self.last_state, self.used_at = answer.state, boottime()
                    self._pending.popleft().deliver(answer)
        except (ValueError, KeyError, IndexError):
            self.close()
        if len(self._buffer) > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        if self._answer.error and self._pending:
            # A member refuses a start by sending an error and closing the connection.
            self._pending.popleft().deliver(self._answer)
        lost = ConnectionLost(
            str(error or "closed by the member"), step="member", peer=self.member
        )
        for pending in self._pending:
            pending.fail(lost)
        self._pending.clear()
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None:
            on_lost()

    def close(self) -> None:
        """Closes immediately; the member rolls back an open transaction."""
        if self._transport is not None:
            self._transport.abort()

    def limit_delivery(self, seconds: float) -> None:
        """Makes the kernel give up data that stays unacknowledged for ``seconds``."""
        if self._transport is not None:
            set_user_timeout(self._transport.get_extra_info("socket"), seconds)

    def reset(self) -> None:
        """Closes immediately; the kernel drops what was not acknowledged."""
        if self._transport is not None:
            reset_on_close(self._transport.get_extra_info("socket"))
        self.close()

    # --- statements

    def start(self, group: str, caller: str, member: str) -> asyncio.Future[Answer]:
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        data = self._codec.encode_start(group, caller, member)
        self._send(data, PendingAnswer(future))
        return future

    def query(
        self,
        query_id: bytes,
        text: bytes,
        required: Position = ZERO,
        shape: tuple[bool, bytes] | None = None,
        leading_term: int = 0,
    ) -> asyncio.Future[Answer]:
        """Sends a statement; the future may raise ``ConnectionLost``.

        With a ``shape``, a prepared statement, ``text`` holds its arguments. The caller
        checks that the member is the primary of ``leading_term``.
        """
        if shape is not None:
            text = self._codec.execute_text(self._prepare(shape), text)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        pending = (
            PendingClientAnswer(future, self._setup, self.member, self.close)
            if query_id
            else PendingAnswer(future)
        )
        self._send(self._codec.encode_query(query_id, text, required), pending)
        return future

    def apply_session(self, session: SessionState) -> None:
        """Sets the session's values on the connection."""
        if not self._setup.outstanding:
            self._setup = Setup()
        if self.state.needs_reset(session):
            self._send_setup(RESET, self._codec.reset_text, self.state.reset_refused)
            self.state.reset()
        for name, value in self.state.missing_values(session):
            self._send_setup(
                st.SET,
                self._codec.set_text(name, value),
                partial(self.state.value_refused, name),
            )
            self.state.set_value(name, value)
        self.session = session

    def _prepare(self, shape: tuple[bool, bytes]) -> bytes:
        """Returns the name of a prepared statement, preparing it first if necessary."""
        name, is_new = self.state.prepared_name(shape)
        if is_new:
            self._send_setup(
                st.PREPARE,
                self._codec.prepare_text(name, *shape),
                partial(self.state.prepare_refused, shape, name),
            )
        return name

    def _send_setup(self, kind: str, text: bytes, undo: Callable[[], None]) -> None:
        """Sends a statement that the client's next one needs.

        ``undo`` is called if the member refuses it.
        """
        on_refused = partial(self._setup_refused, kind, undo)
        self._send(
            self._codec.encode_query(b"", text),
            PendingSetupAnswer(self._setup, on_refused),
        )

    def _setup_refused(
        self, kind: str, undo: Callable[[], None], answer: Answer
    ) -> None:
        undo()
        if self.on_setup_refused is not None:
            self.on_setup_refused(kind, answer)

    def _send(self, data: bytes, pending: PendingAnswer | PendingSetupAnswer) -> None:
        if self._transport is None or self._transport.is_closing():
            pending.fail(
                ConnectionLost("not connected", step="member", peer=self.member)
            )
            return
        self._pending.append(pending)
        self.used_at = boottime()
        self._transport.write(data)


def discard_answer(future: asyncio.Future[Answer]) -> None:
    """Retrieves and ignores the result of a statement, including its exception."""
    future.add_done_callback(lambda f: f.cancelled() or f.exception())


async def _start_answer(answer: asyncio.Future[Answer]) -> Answer:
    """Waits for the answer to a start.

    A connection that is accepted and then closed counts as refused for the connection
    limit: the member is alive, and a TCP reset may overtake its error message.
    """
    try:
        return await answer
    except ConnectionLost as error:
        return Answer(error=st.CONNECTION_LIMIT, message=error.message.encode())


async def connect(
    codec: StatementCodec,
    group: str,
    caller: str,
    member: str,
    address: str,
    timeout: float,
    start_timeout: float,
    on_connected: Callable[[], None] = lambda: None,
) -> tuple[MemberConnection, Answer]:
    """Opens a connection to the expected member.

    Connecting may take ``timeout`` seconds, and the member's answer another
    ``start_timeout`` seconds; ``on_connected`` is called in between. Raises
    ``ConnectionLost``. An answer with an error means that the member refused.
    """
    loop = asyncio.get_running_loop()
    connection = MemberConnection(codec, member, address, caller)
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout):
            await loop.create_connection(lambda: connection, host, port)
        on_connected()
        async with asyncio.timeout(start_timeout):
            answer = await _start_answer(connection.start(group, caller, member))
    except (OSError, ValueError, TimeoutError) as error:
        connection.close()
        raise ConnectionLost(
            f"cannot connect: {error!r}", step="connect", peer=member
        ) from error
    except asyncio.CancelledError:
        connection.close()
        raise
    if not answer.ok:
        connection.close()
    return connection, answer
