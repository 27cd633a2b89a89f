"""One connection to a member of a database group."""

import asyncio
from collections import deque
from typing import cast

from bronzemoor_core.exceptions import BronzemoorError
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire import statements as st
from bronzemoor_core.wire.sessionstate import ConnectionState, SessionState
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.framing import split_address
from bronzemoor_daemon.wire.ports import StatementCodec
from bronzemoor_daemon.wire.sockets import tune

# Unacknowledged bytes close the connection after this, seconds.
USER_TIMEOUT = 3.0
# Bytes of an unfinished line that are kept.
LINE_LIMIT = 1_048_576 + 1_024


class ConnectionLost(BronzemoorError):
    """A connection ended, or could not be opened, before the answer was whole."""

    code = "connection_lost"


class MemberConnection(asyncio.Protocol):
    """Sends statements in order and matches the answers, which come in that order."""

    def __init__(self, codec: StatementCodec, member: str, address: str) -> None:
        self._codec = codec
        self._buffer = b""
        self._answer = Answer()
        self._pending: deque[asyncio.Future[Answer]] = deque()
        self._transport: asyncio.Transport | None = None
        self.member = member
        self.address = address
        self.state = ConnectionState()
        # When it was last returned to its pool, seconds.
        self.idle_since = 0.0
        # The session that used the connection last.
        self.session: SessionState | None = None

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_quiet(self) -> bool:
        """Tells whether no answer is outstanding."""
        return not self._pending

    # --- transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        tune(transport, USER_TIMEOUT)

    def data_received(self, data: bytes) -> None:
        lines = (self._buffer + data).split(b"\r\n")
        self._buffer = lines.pop()
        try:
            for line in lines:
                if self._codec.decode_reply(line, self._answer):
                    answer, self._answer = self._answer, Answer()
                    future = self._pending.popleft()
                    if not future.done():
                        future.set_result(answer)
        except (ValueError, KeyError, IndexError):
            self.close()
        if len(self._buffer) > LINE_LIMIT:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        if self._answer.error and self._pending:
            # A refused start is an error followed by a close.
            future = self._pending.popleft()
            if not future.done():
                future.set_result(self._answer)
        lost = ConnectionLost(
            str(error or "closed by the member"), step="member", peer=self.member
        )
        for future in self._pending:
            if not future.done():
                future.set_exception(lost)
        self._pending.clear()

    def close(self) -> None:
        """Closes at once; the member rolls an open transaction back."""
        if self._transport is not None:
            self._transport.abort()

    # --- statements

    def start(self, group: str, caller: str, member: str) -> asyncio.Future[Answer]:
        return self._send(self._codec.encode_start(group, caller, member))

    def query(
        self, query_id: bytes, text: bytes, at_least: Position = ZERO
    ) -> asyncio.Future[Answer]:
        """Sends a statement; the future may raise ``ConnectionLost``."""
        return self._send(self._codec.encode_query(query_id, text, at_least))

    def adopt(self, session: SessionState) -> list[asyncio.Future[Answer]]:
        """Puts a session's values on the connection; returns the answers to come."""
        futures = []
        if self.state.needs_reset(session):
            futures.append(self.query(b"", self._codec.reset_text))
            self.state.reset()
        for name, value in self.state.missing_values(session):
            futures.append(self.query(b"", self._codec.set_text(name, value)))
            self.state.values[name] = value
        self.session = session
        return futures

    def prepare(
        self, shape: tuple[bool, bytes]
    ) -> tuple[bytes, list[asyncio.Future[Answer]]]:
        """Returns the name of a prepared shape here, preparing it if it is new."""
        name, is_new = self.state.prepared_name(shape)
        if not is_new:
            return name, []
        text = self._codec.prepare_text(name, *shape)
        return name, [self.query(b"", text)]

    def _send(self, data: bytes) -> asyncio.Future[Answer]:
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if self._transport is None or self._transport.is_closing():
            future.set_exception(
                ConnectionLost("not connected", step="member", peer=self.member)
            )
            return future
        self._pending.append(future)
        self._transport.write(data)
        return future


async def _started(answer: asyncio.Future[Answer]) -> Answer:
    """The answer to a start.

    A member that accepts and then closes is alive; a reset may overtake the message
    that it holds too many connections.
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
) -> tuple[MemberConnection, Answer]:
    """Opens a connection to the expected member; ``timeout`` is in seconds.

    Raises ``ConnectionLost``; an answer with an error is a refusal by the member.
    """
    loop = asyncio.get_running_loop()
    connection = MemberConnection(codec, member, address)
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout):
            await loop.create_connection(lambda: connection, host, port)
            answer = await _started(connection.start(group, caller, member))
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
