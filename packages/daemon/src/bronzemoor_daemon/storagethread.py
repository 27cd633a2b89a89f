"""Performs the log's writes in order on one thread and reports each sync."""

from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Thread

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageSynced
from bronzemoor_core.storage import Storage

Write = PersistLog | PersistSnapshot


class StorageThread:
    """After a failure nothing more is written: a gap must never count as synced."""

    def __init__(self, storage: Storage, handle: Callable[[object], None]) -> None:
        self._storage = storage
        self._handle = handle
        # None ends the thread.
        self._queue: SimpleQueue[Write | None] = SimpleQueue()
        self._abandoned = False
        self._thread = Thread(target=self._run, name="storage", daemon=True)

    @property
    def queued(self) -> int:
        return self._queue.qsize()

    def start(self) -> None:
        """Feeds what the storage held at the last stop, then starts writing."""
        self._handle(self._storage.recover())
        self._thread.start()

    def put(self, action: Write) -> None:
        """Enqueues a write without blocking."""
        self._queue.put(action)

    def stop(self, finish: bool = True, timeout: float = 1.0) -> None:
        """Ends the thread, after the queued writes if ``finish``, and releases the
        storage. ``timeout`` is in seconds."""
        self._abandoned = not finish
        self._queue.put(None)
        if self._thread.is_alive():
            self._thread.join(timeout)
        if not self._thread.is_alive():
            self._storage.close()

    def _run(self) -> None:
        waiting: list[Write | None] = []
        while not self._abandoned:
            waiting += self._take(block=not waiting)
            if waiting[0] is None:
                return
            try:
                sequence = self._write_first(waiting)
            except Exception as error:  # any failed write ends this log's service
                self._handle(StorageFailed(f"{type(error).__name__}: {error}"))
                return
            self._handle(StorageSynced(sequence))

    def _write_first(self, waiting: list[Write | None]) -> int:
        """Writes and removes the first snapshot, or all first log writes at once, so
        that they share a sync; returns the last sequence."""
        first = waiting[0]
        if isinstance(first, PersistSnapshot):
            self._storage.save(first)
            del waiting[0]
            return first.sequence
        batch = []
        for action in waiting:
            if not isinstance(action, PersistLog):
                break
            batch.append(action)
        self._storage.persist_all(batch)
        del waiting[: len(batch)]
        return batch[-1].sequence

    def _take(self, block: bool) -> list[Write | None]:
        """Takes everything from the queue; waits for a first item if ``block``."""
        taken = [self._queue.get()] if block else []
        while True:
            try:
                taken.append(self._queue.get_nowait())
            except Empty:
                return taken
