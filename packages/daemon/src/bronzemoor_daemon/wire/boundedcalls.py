"""HTTP calls that are sent before a deadline or not at all."""

from http.client import HTTPConnection
from typing import Any

from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.sockets import reset_on_close, set_user_timeout


class DeadlinePassed(TimeoutError):
    """The deadline passed before the request was sent whole."""


class BoundedConnection(HTTPConnection):
    """Sends a request before ``deadline``, a time of ``boottime``, or not at all.

    The check stands right before each write, since the process may be suspended at any
    earlier point. The kernel gives up what is not acknowledged by then as well. Each
    step may take ``timeout`` seconds. Blocks, so it is used on a thread.
    """

    def __init__(self, address: str, deadline: float, timeout: float) -> None:
        super().__init__(address, timeout=timeout)
        self._deadline = deadline

    def send(self, data: Any) -> None:
        if self.sock is None:
            self.connect()
        set_user_timeout(self.sock, self._remaining())
        super().send(data)

    def abort(self) -> None:
        """Closes the connection so that the kernel does not go on with its data."""
        if self.sock is not None:
            reset_on_close(self.sock)
        self.close()

    def _remaining(self) -> float:
        remaining = self._deadline - boottime()
        if remaining <= 0:
            raise DeadlinePassed("the deadline has passed")
        return remaining
