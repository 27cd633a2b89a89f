"""Signal handling and graceful stop of the process."""

import signal
from collections.abc import Callable
from types import FrameType

from bronzemoor_daemon.application import Application

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def install_signals(application: Application) -> None:
    """SIGTERM and SIGINT stop gracefully; SIGHUP reloads changed certificates.

    The handlers only set flags: one that acquired the driver's lock could deadlock,
    since it may interrupt the thread that holds it.
    """

    def make_handler(
        action: Callable[[], None],
    ) -> Callable[[int, FrameType | None], None]:
        return lambda signal_number, frame: action()

    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, make_handler(application.request_stop))
    signal.signal(signal.SIGHUP, make_handler(application.request_reload))


def run_until_stopped(application: Application) -> int:
    """Serves until a stop signal; returns 0, or 1 if the stop interrupted work."""
    install_signals(application)
    return application.run()
