"""Thread that performs the writes of the log in order and reports each sync."""

from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Thread

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageSynced
from bronzemoor_core.storage import Storage

WriteAction = PersistLog | PersistSnapshot


class StorageThread:
    """Writes in order until the first failure: a gap must never count as synced."""

    def __init__(
        self, storage: Storage, handle_event: Callable[[object], None]
    ) -> None:
        self._storage = storage
        self._handle_event = handle_event
        # None stops the thread.
        self._queue: SimpleQueue[WriteAction | None] = SimpleQueue()
        self._discard_queue = False
        self._thread = Thread(target=self._run, name="storage", daemon=True)

    @property
    def queued(self) -> int:
        return self._queue.qsize()

    def start(self) -> None:
        """Recovers the storage, reports its content and starts the thread."""
        self._handle_event(self._storage.recover())
        self._thread.start()

    def put(self, action: WriteAction) -> None:
        """Enqueues a write without blocking."""
        self._queue.put(action)

    def stop(self, flush: bool = True, timeout: float = 1.0) -> None:
        """Stops the thread, after queued writes if ``flush``, and closes the storage.

        If the thread still runs after ``timeout`` seconds, the storage stays open.
        """
        self._discard_queue = not flush
        self._queue.put(None)
        if self._thread.is_alive():
            self._thread.join(timeout)
        if not self._thread.is_alive():
            self._storage.close()

    def _run(self) -> None:
        pending: list[WriteAction | None] = []
        while not self._discard_queue:
            pending += self._dequeue(block=not pending)
            if pending[0] is None:
                return
            try:
                sequence = self._write_next(pending)
            except Exception as error:  # any failed write stops the log
                self._handle_event(StorageFailed(f"{type(error).__name__}: {error}"))
                return
            self._handle_event(StorageSynced(sequence))

    def _write_next(self, pending: list[WriteAction | None]) -> int:
        """Writes and removes the first snapshot, or all leading log writes with one
        sync; returns the last sequence number."""
        first = pending[0]
        if isinstance(first, PersistSnapshot):
            self._storage.save(first)
            del pending[0]
            return first.sequence
        batch = []
        for action in pending:
            if not isinstance(action, PersistLog):
                break
            batch.append(action)
        self._storage.persist_all(batch)
        del pending[: len(batch)]
        return batch[-1].sequence

    def _dequeue(self, block: bool) -> list[WriteAction | None]:
        """Returns all queued actions; waits for the first one if ``block``."""
        actions = [self._queue.get()] if block else []
        while True:
            try:
                actions.append(self._queue.get_nowait())
            except Empty:
                return actions
