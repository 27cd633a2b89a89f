"""Socket options of the daemon's connections."""

import socket
import struct
from asyncio import BaseTransport
from typing import Any

# SO_LINGER on, for 0 seconds.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def set_tcp_options(transport: BaseTransport, user_timeout: float) -> None:
    """Sets TCP_NODELAY, and a timeout for unacknowledged data in ``user_timeout``.

    ``user_timeout`` is in seconds.
    """
    connected = transport.get_extra_info("socket")
    if connected is None:
        return
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_user_timeout(connected, user_timeout)


def set_user_timeout(connected: Any, seconds: float) -> None:
    """Makes the kernel close a connection whose data stays unacknowledged."""
    milliseconds = max(1, int(seconds * 1_000))
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def reset_on_close(connected: Any) -> None:
    """Makes the kernel drop data that is not acknowledged when the socket closes.

    It would go on to retransmit it for minutes otherwise.
    """
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
