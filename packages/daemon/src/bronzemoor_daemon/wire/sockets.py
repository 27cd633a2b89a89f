"""Socket options shared by all connections of the event loop."""

import socket
from asyncio import BaseTransport


def tune(transport: BaseTransport, user_timeout: float) -> None:
    """Sends without delay and gives up on unacknowledged data after ``user_timeout``.

    ``user_timeout`` is in seconds.
    """
    connected = transport.get_extra_info("socket")
    if connected is None:
        return
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    milliseconds = int(user_timeout * 1_000)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
