"""The connection of a client: messages in, answers out, within limits."""

import asyncio
from typing import cast

from bronzemoor_core.wire.clientbudget import (
    ALLOWANCE_BYTES,
    GRANT_BYTES,
    MAX_MESSAGE_BYTES,
    Holding,
)
from bronzemoor_daemon.wire.clientguard import (
    NO_ROOM_FOR_ANSWER,
    TOO_LARGE,
    TOO_MANY_STATEMENTS,
    ClientGuard,
    Unread,
)
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.sockets import set_tcp_options

CLIENT_TCP_USER_TIMEOUT_SECONDS = 10.0
# Statements that a client may send before earlier ones are answered.
MAX_PIPELINED_STATEMENTS = 64
# How long data of a refused client is read and dropped. Closing at once would reset the
# connection, and the client might not receive the error.
REFUSED_READ_SECONDS = 1.0
LINE_END = b"\r\n"
# Data is read into one buffer for all connections: the loop hands it over at once.
READ_BUFFER = memoryview(bytearray(GRANT_BYTES))


class ClientConnection(asyncio.BufferedProtocol):
    """Reads and writes within the limits of its guard.

    Subclasses say what is in use, and handle data and the end of the connection.
    """

    __slots__ = (
        "_buffer",
        "_drained",
        "_guard",
        "_is_paused",
        "_is_refused",
        "_transport",
        "holding",
        "is_writing_paused",
        "last_received_at",
    )

    def __init__(self, guard: ClientGuard) -> None:
        self._guard = guard
        # The beginning of a message, None between messages.
        self._buffer: bytearray | None = None
        self._transport: asyncio.Transport | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_paused = self.is_writing_paused = self._is_refused = False
        # When data was last received from the client, in seconds.
        self.last_received_at = boottime()
        self.holding = Holding(guard.budget, self)

    @property
    def peer(self) -> str:
        """Returns the client's address, for the log."""
        if self._transport is None:
            return ""
        host, port = (self._transport.get_extra_info("peername") or ("", 0))[:2]
        return f"{host}:{port}"

    @property
    def is_in_use(self) -> bool:
        """Returns whether a statement runs or a transaction is open."""
        raise NotImplementedError

    @property
    def is_held_back(self) -> bool:
        """Returns whether the client can send nothing until its statements ran."""
        return self._is_paused and self.holding.is_at_limit and self.is_in_use

    @property
    def is_closed(self) -> bool:
        return self._transport is None or self._is_refused

    @property
    def is_idle(self) -> bool:
        """Returns whether closing the session would interrupt nothing."""
        raise NotImplementedError

    def on_data(self, data: bytes) -> None:
        """Handles data, which stays accounted for until ``release_received``."""
        raise NotImplementedError

    def on_closed(self) -> None:
        """Abandons the work of a client that is gone or was refused."""
        raise NotImplementedError

    def encode_refusal(self, reason: str) -> bytes:
        """Returns the error that is sent before the connection is closed."""
        raise NotImplementedError

    # --- connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._guard.admit(self):
            self._transport.abort()
            return
        set_tcp_options(transport, CLIENT_TCP_USER_TIMEOUT_SECONDS)
        self._transport.set_write_buffer_limits(high=ALLOWANCE_BYTES, low=0)

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._finish_connection()

    def eof_received(self) -> bool:
        # The transport closes; a client that reads nothing must not keep its work.
        self.on_closed()
        return False

    def close(self) -> None:
        """Closes the connection once buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def drop(self, reason: str) -> None:
        """Closes the connection at once, with what was not sent."""
        self._guard.count(reason)
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()
        self._finish_connection()

    def refuse(self, reason: str) -> None:
        """Sends an error and closes the connection in bounded time."""
        transport = self._transport
        if transport is None or self._is_refused:
            return
        self._guard.count(reason)
        if transport.is_closing() or self.is_writing_paused:
            # The client does not read, or already has its last answer.
            transport.abort()
            return
        self._is_refused = True
        self._buffer = None
        self.holding.release_received(self.holding.received)
        self._guard.incomplete.pop(self, None)
        self._guard.unstarted.pop(self, None)
        self.on_closed()
        transport.write(self.encode_refusal(reason))
        if transport.can_write_eof():
            transport.write_eof()
        if self._is_paused:
            self._is_paused = False
            transport.resume_reading()
        asyncio.get_running_loop().call_later(REFUSED_READ_SECONDS, transport.abort)
        self._guard.resume_waiting()

    def _finish_connection(self) -> None:
        self._guard.discard(self)
        self._buffer = None
        self.holding.release_all()
        self.on_closed()
        self._guard.resume_waiting()

    # --- reading

    def get_buffer(self, size_hint: int) -> memoryview:
        if self._is_refused:
            return READ_BUFFER
        limit = self.holding.read_limit
        return READ_BUFFER if limit >= GRANT_BYTES else READ_BUFFER[:limit]

    def buffer_updated(self, size: int) -> None:
        if self._is_refused or self._transport is None:
            return
        self.last_received_at = boottime()
        data = bytes(READ_BUFFER[:size])
        holding = self.holding
        holding.receive(size)
        self.on_data(data)
        if holding.received >= ALLOWANCE_BYTES:
            self._check_reading()

    def release_received(self, size: int) -> None:
        """Releases bytes of data that were handled."""
        self.holding.release_received(size)
        if self._guard.budget.waiting_count:
            self._guard.resume_waiting()
        if self._is_paused:
            self._check_reading()

    def _check_reading(self) -> None:
        """Pauses or resumes reading as the budget and the client's share allow."""
        transport = self._transport
        if transport is None or self._is_refused or transport.is_closing():
            return
        if self.holding.prepare_read():
            if self._is_paused:
                self.resume_reading()
            return
        if not self._is_paused:
            self._is_paused = True
            transport.pause_reading()
        if not self.holding.is_at_limit:
            self._guard.budget.wait(self.holding)

    def resume_reading(self) -> None:
        """Resumes reading after bytes became free."""
        transport = self._transport
        if self._is_paused and transport is not None and not transport.is_closing():
            self._is_paused = False
            self._guard.budget.stop_waiting(self.holding)
            transport.resume_reading()

    # --- writing

    def write(self, data: bytes) -> None:
        """Sends data; a client that cannot be held more for is closed."""
        transport = self._transport
        if transport is None or self._is_refused:
            return
        if len(data) <= ALLOWANCE_BYTES and not self.is_writing_paused:
            transport.write(data)
            return
        if not self._guard.make_room_for_answer(self, self.holding.unsent + len(data)):
            self.drop(NO_ROOM_FOR_ANSWER)
            return
        transport.write(data)
        size = self.settle_unsent()
        if size and self not in self._guard.unread:
            self._guard.unread[self] = Unread(boottime(), size)

    def settle_unsent(self) -> int:
        """Releases what was sent in the meantime; returns what remains unsent."""
        transport = self._transport
        size = transport.get_write_buffer_size() if transport is not None else 0
        if size < self.holding.unsent:
            self.holding.set_unsent(size)
            self._guard.resume_waiting()
        return size

    def pause_writing(self) -> None:
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        self.is_writing_paused = False
        self._guard.unread.pop(self, None)
        self.settle_unsent()
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    async def drain(self) -> None:
        """Waits until the client has read its answers."""
        if self.is_writing_paused:
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained
            self._drained = None


class ClientStream(ClientConnection):
    """Splits what a client sends into lines."""

    __slots__ = ("_lines",)

    def __init__(self, guard: ClientGuard) -> None:
        super().__init__(guard)
        # Complete messages that wait, None if none does.
        self._lines: list[bytes] | None = None

    @property
    def is_idle(self) -> bool:
        return not (self.is_in_use or self._buffer or self._lines)

    def on_lines(self) -> None:
        """Handles complete messages, which ``next_line`` returns."""
        raise NotImplementedError

    def on_data(self, data: bytes) -> None:
        guard = self._guard
        has_lines = self._split(data)
        if self._buffer is None:
            guard.incomplete.pop(self, None)
        elif has_lines or self not in guard.incomplete:
            guard.incomplete[self] = self.last_received_at
            guard.incomplete.move_to_end(self)
        if self._buffer is not None and len(self._buffer) > MAX_MESSAGE_BYTES:
            self.refuse(TOO_LARGE)
        elif has_lines:
            guard.unstarted.pop(self, None)
            assert self._lines is not None
            if len(self._lines) > MAX_PIPELINED_STATEMENTS:
                self.refuse(TOO_MANY_STATEMENTS)
            else:
                self.on_lines()

    def _split(self, data: bytes) -> bool:
        """Adds data to the buffer and the lines; returns whether a line is complete.

        Each byte is searched and copied a fixed number of times, however small the
        pieces are in which a message arrives.
        """
        buffer = self._buffer
        lines: list[bytes] = []
        if buffer is not None:
            searched = max(0, len(buffer) - 1)
            buffer += data
            end = buffer.find(LINE_END, searched)
            if end < 0 or end > MAX_MESSAGE_BYTES:
                return False
            with memoryview(buffer) as view:
                lines.append(bytes(view[:end]))
                data = bytes(view[end + len(LINE_END) :])
        lines += data.split(LINE_END)
        rest = lines.pop()
        self._buffer = bytearray(rest) if rest else None
        if not lines:
            return False
        if self._lines is None:
            self._lines = lines
        else:
            self._lines += lines
        return True

    def next_line(self) -> bytes | None:
        """Returns the next message; ``line_done`` must follow it."""
        lines = self._lines
        if not lines or self.is_closed:
            self._lines = None
            return None
        return lines.pop(0)

    def line_done(self, line: bytes) -> None:
        """Releases the bytes of a message that was handled."""
        self.release_received(len(line) + len(LINE_END))
