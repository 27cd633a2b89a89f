"""Closing of idle client sessions at a proxy without a lease."""

from collections.abc import Callable, Iterable

from bronzemoor_daemon.wire.clientsession import ClientSession
from bronzemoor_daemon.wire.clock import boottime


def close_idle_sessions(
    sessions: Iterable[ClientSession], min_idle: float, report: Callable[..., None]
) -> None:
    """Closes idle sessions so that their clients connect to another proxy.

    Sessions that received data within the last ``min_idle`` seconds stay open.
    """
    now = boottime()
    idle = [
        session
        for session in sessions
        if session.is_idle and now - session.last_received_at > min_idle
    ]
    if idle:
        report("warning", "sessions_closed", reason="no lease", number=len(idle))
    for session in idle:
        session.close()
