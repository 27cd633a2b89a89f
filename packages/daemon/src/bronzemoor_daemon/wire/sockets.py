"""Socket options of all connections on the event loop."""

import socket
from asyncio import BaseTransport


def set_tcp_options(transport: BaseTransport, user_timeout: float) -> None:
    """Sets TCP_NODELAY, and a timeout for unacknowledged data in ``user_timeout``.

    ``user_timeout`` is in seconds.
    """
    connected = transport.get_extra_info("socket")
    if connected is None:
        return
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    user_timeout_ms = int(user_timeout * 1_000)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
