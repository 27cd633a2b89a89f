"""Signals of the process and its graceful stop."""

import signal
from collections.abc import Callable
from types import FrameType

from bronzemoor_daemon.application import Application

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def install_signals(application: Application) -> None:
    """SIGTERM and SIGINT stop gracefully; SIGHUP loads changed certificates.

    The handlers only set flags: a handler that took the driver's lock could interrupt
    the very thread that holds it.
    """

    def on(action: Callable[[], None]) -> Callable[[int, FrameType | None], None]:
        return lambda number, frame: action()

    for number in STOP_SIGNALS:
        signal.signal(number, on(application.request_stop))
    signal.signal(signal.SIGHUP, on(application.request_reload))


def run_until_stopped(application: Application) -> int:
    """Serves until a signal; returns 0, or 1 if the stop had to cut work short."""
    install_signals(application)
    return application.run()
