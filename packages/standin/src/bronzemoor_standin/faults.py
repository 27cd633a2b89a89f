"""Fault switches of one member."""

import threading


class Faults:
    """Switches that can be set while the member runs; times are in milliseconds."""

    def __init__(self) -> None:
        self.cut_peers = False
        self.cut_daemons = False
        self._running = threading.Event()
        self._running.set()

    @property
    def frozen(self) -> bool:
        return not self._running.is_set()

    @frozen.setter
    def frozen(self, value: bool) -> None:
        if value:
            self._running.clear()
        else:
            self._running.set()

    def wait_while_frozen(self) -> None:
        self._running.wait()
