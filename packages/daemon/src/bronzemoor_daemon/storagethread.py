"""Performs the log's writes in order on one thread and reports each sync."""

from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageSynced
from bronzemoor_core.storage import Storage


class StorageThread:
    """After a failure nothing more is written: a gap must never count as synced."""

    def __init__(self, storage: Storage, handle: Callable[[object], None]) -> None:
        self._storage = storage
        self._handle = handle
        self._queue: SimpleQueue[PersistLog | PersistSnapshot | None] = SimpleQueue()
        self._thread = Thread(target=self._run, name="storage", daemon=True)

    @property
    def queued(self) -> int:
        return self._queue.qsize()

    def start(self) -> None:
        """Feeds what the storage held at the last stop, then starts writing."""
        self._handle(self._storage.recover())
        self._thread.start()

    def put(self, action: PersistLog | PersistSnapshot) -> None:
        """Enqueues a write without blocking."""
        self._queue.put(action)

    def stop(self, timeout: float = 1.0) -> None:
        """Finishes the queued writes, ends the thread and releases the storage."""
        self._queue.put(None)
        if self._thread.is_alive():
            self._thread.join(timeout)
        if not self._thread.is_alive():
            self._storage.close()

    def _run(self) -> None:
        while (action := self._queue.get()) is not None:
            try:
                if isinstance(action, PersistLog):
                    self._storage.persist(action)
                else:
                    self._storage.save(action)
            except Exception as error:  # any failed write ends this log's service
                self._handle(StorageFailed(f"{type(error).__name__}: {error}"))
                return
            self._handle(StorageSynced(action.sequence))
