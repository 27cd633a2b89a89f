"""Thread that performs the writes of the log in order and reports each sync."""

from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event, Thread
from time import monotonic

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageFailed, StorageSynced
from bronzemoor_core.exceptions import CorruptStorage, StorageError
from bronzemoor_core.storage import Storage

WriteAction = PersistLog | PersistSnapshot

# Pauses between attempts to open a storage that failed: doubled up to the maximum.
MIN_REOPEN_DELAY_SECONDS = 0.1
MAX_REOPEN_DELAY_SECONDS = 0.5


class Marker:
    """Queue item that is not a write."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


STOP = Marker("stop")
REOPEN = Marker("reopen")

QueueItem = PersistLog | PersistSnapshot | Marker


class StorageThread:
    """Writes in order until the first failure: a gap must never count as synced.

    After a failure the owner calls ``reopen`` once it has processed ``StorageFailed``.
    Writes that were queued before that call belong to the failed log and are dropped.
    The storage is then opened again as soon as it accepts writes, however long that
    takes, and its content is reported by a further ``StorageRecovered``.
    """

    def __init__(
        self,
        open_storage: Callable[[], Storage],
        handle_event: Callable[[object], None],
        report: Callable[..., None] = lambda level, event, **fields: None,
        discard_corrupt: Callable[[], None] | None = None,
    ) -> None:
        self._open_storage = open_storage
        self._handle_event = handle_event
        self._report = report
        # Removes a corrupt log; the daemon rejoins its group with an empty one.
        self._discard_corrupt = discard_corrupt
        self._storage: Storage | None = None
        # Text of the last error, which is not logged again while it persists.
        self._open_error = ""
        self._queue: SimpleQueue[QueueItem] = SimpleQueue()
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="storage", daemon=True)

    @property
    def queued(self) -> int:
        return self._queue.qsize()

    def start(self, required: bool = True) -> None:
        """Opens the storage, reports its content and starts the thread.

        A storage that cannot be opened raises ``OSError`` or ``StorageError`` if it is
        ``required``; otherwise the thread continues to try.
        """
        try:
            self._open()
        except (OSError, StorageError) as error:
            if required:
                raise
            self._handle_open_error(error)
            self.reopen()
        self._thread.start()

    def put(self, action: WriteAction) -> None:
        """Enqueues a write without blocking."""
        self._queue.put(action)

    def reopen(self) -> None:
        """Opens the failed storage again; writes enqueued before are dropped."""
        self._queue.put(REOPEN)

    def stop(self, flush: bool = True, timeout: float = 1.0) -> None:
        """Stops the thread, after queued writes if ``flush``, and closes the storage.

        If the thread still runs after ``timeout`` seconds, the storage stays open.
        """
        if not flush or self._storage is None:
            self._stopping.set()
        self._queue.put(STOP)
        if self._thread.is_alive():
            self._thread.join(timeout)
        if not self._thread.is_alive():
            self._close()

    # --- thread

    def _run(self) -> None:
        while self._storage is not None or self._reopen_when_writable():
            error = self._write_until_failure()
            if error is None:
                return
            self._close()
            self._handle_event(StorageFailed(f"{type(error).__name__}: {error}"))

    def _write_until_failure(self) -> Exception | None:
        """Performs queued writes; returns the error that ended them, None on a stop."""
        pending: list[QueueItem] = []
        while not self._stopping.is_set():
            pending += self._dequeue(block=not pending)
            if pending[0] is STOP:
                return None
            try:
                sequence = self._write_next(pending)
            except Exception as error:  # any failed write stops the log
                if STOP in pending:
                    self._queue.put(STOP)
                return error
            self._handle_event(StorageSynced(sequence))
        return None

    def _write_next(self, pending: list[QueueItem]) -> int:
        """Writes and removes the first snapshot, or all leading log writes with one
        sync; returns the last sequence number."""
        assert self._storage is not None
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

    def _dequeue(self, block: bool) -> list[QueueItem]:
        """Returns all queued items; waits for the first one if ``block``."""
        items = [self._queue.get()] if block else []
        while True:
            try:
                items.append(self._queue.get_nowait())
            except Empty:
                return items

    # --- opening

    def _open(self, failed_before: bool = False) -> None:
        """Opens the storage and reports its content."""
        storage = self._open_storage()
        try:
            if failed_before:
                storage.check_writable()
            recovered = storage.recover()
        except BaseException:
            storage.close()
            raise
        self._storage, self._open_error = storage, ""
        self._handle_event(recovered)

    def _close(self) -> None:
        storage, self._storage = self._storage, None
        if storage is not None:
            storage.close()

    def _reopen_when_writable(self) -> bool:
        """Waits for ``reopen`` and opens the storage; returns False on a stop."""
        while (item := self._queue.get()) is not REOPEN:
            if item is STOP:
                return False
        started, delay, attempts = monotonic(), MIN_REOPEN_DELAY_SECONDS, 0
        while not self._stopping.wait(delay):
            attempts += 1
            try:
                self._open(failed_before=True)
            except Exception as error:  # the next attempt may succeed
                self._handle_open_error(error)
                delay = min(2 * delay, MAX_REOPEN_DELAY_SECONDS)
                continue
            elapsed_ms = round((monotonic() - started) * 1_000)
            self._report(
                "info", "storage_reopened", attempts=attempts, after_ms=elapsed_ms
            )
            return True
        return False

    def _handle_open_error(self, error: Exception) -> None:
        corrupt = isinstance(error, CorruptStorage)
        text = f"{type(error).__name__}: {error}"
        if text != self._open_error:
            self._open_error = text
            event = "storage_corrupt" if corrupt else "storage_unusable"
            self._report("error", event, error=text)
        if corrupt and self._discard_corrupt is not None:
            try:
                self._discard_corrupt()
            except OSError as failure:
                self._report("error", "storage_unusable", error=str(failure))
