"""Answers that a member owes to the statements of a connection, in their order."""

import asyncio
from collections.abc import Callable

from bronzemoor_core.wire import statements as st
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.wire.exceptions import ConnectionLost

# Errors of a statement that did not run because its set-up was refused: a transaction
# that failed with the set-up answers MALFORMED to what follows.
UNPREPARED_ERRORS = frozenset((st.MALFORMED, st.UNKNOWN_PREPARED))


class Setup:
    """Statements that establish a session's state, sent ahead of those that need it."""

    __slots__ = ("outstanding", "refusal")

    def __init__(self) -> None:
        self.outstanding = 0
        # The first answer with an error.
        self.refusal: Answer | None = None


class PendingAnswer:
    """An answer that a member owes to a statement of the proxy's own, or to a start."""

    __slots__ = ("_future",)

    def __init__(self, future: asyncio.Future[Answer]) -> None:
        self._future = future

    def deliver(self, answer: Answer) -> None:
        if not self._future.done():
            self._future.set_result(answer)

    def fail(self, error: ConnectionLost) -> None:
        if not self._future.done():
            self._future.set_exception(error)


class PendingSetupAnswer:
    """An answer to a set-up statement, which nobody waits for."""

    __slots__ = ("_on_refused", "_setup")

    def __init__(self, setup: Setup, on_refused: Callable[[Answer], None]) -> None:
        self._setup = setup
        self._on_refused = on_refused
        setup.outstanding += 1

    def deliver(self, answer: Answer) -> None:
        self._setup.outstanding -= 1
        if answer.error:
            self._setup.refusal = self._setup.refusal or answer
            self._on_refused(answer)

    def fail(self, error: ConnectionLost) -> None:
        self._setup.outstanding -= 1


class PendingClientAnswer(PendingAnswer):
    """An answer to a client's statement, which needs its session's state."""

    __slots__ = ("_close", "_member", "_setup")

    def __init__(
        self,
        future: asyncio.Future[Answer],
        setup: Setup,
        member: str,
        close: Callable[[], None],
    ) -> None:
        super().__init__(future)
        self._setup = setup
        self._member = member
        # Closes the connection.
        self._close = close

    def deliver(self, answer: Answer) -> None:
        refusal = self._setup.refusal
        if refusal is not None and answer.ok:
            reason = "ran without its session state"
            self.fail(ConnectionLost(reason, step="member", peer=self._member))
            self._close()
            return
        if refusal is not None and answer.error in UNPREPARED_ERRORS:
            answer.error = refusal.error if refusal.not_run else st.ABORTED
            answer.message = refusal.message
        super().deliver(answer)
