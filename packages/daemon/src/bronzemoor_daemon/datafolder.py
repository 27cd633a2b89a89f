"""Disk adapter of the replicated log: hard state, log segments and snapshots."""

import fcntl
import json
import os
import struct
import zlib
from pathlib import Path

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageRecovered
from bronzemoor_core.exceptions import CorruptStorage, StorageError
from bronzemoor_core.messages import LogEntry
from bronzemoor_core.storage import HardState, Snapshot, decode_snapshot
from bronzemoor_daemon.segments import (
    SEGMENT_BYTES,
    SEGMENT_HEADER,
    SegmentWriter,
    read_segment,
    segment_numbers,
    segment_path,
    sync_folder,
)

HARD_STATE = "hard-state"
# Kind, index and term, before the command of an entry.
LOG_RECORD = struct.Struct(">cQQ")
ENTRY, TRUNCATE = b"E", b"T"
# CRC-32 and length in front of the content of hard state and snapshots.
FILE_HEADER = struct.Struct(">IQ")
# The newest may turn out damaged; the log is kept from the older one on.
KEPT_SNAPSHOTS = 2


class DataFolder:
    """Owns one folder, locked against other processes.

    ``persist`` and ``save`` return after their data is synced. After a failed write
    the folder refuses all further ones: a page that failed to reach the disk once may
    be reported as written the next time.
    """

    def __init__(self, path: str | Path) -> None:
        self._path = Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock = open(self._path / "lock", "a")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._lock.close()
            raise StorageError(
                f"{self._path} is used by another process", step="storage"
            ) from None
        self._writer: SegmentWriter | None = None
        self._failed = ""
        # Last index of each closed segment, by number.
        self._last_indexes: dict[int, int] = {}
        self._last_index = 0

    # --- reading

    def recover(self) -> StorageRecovered:
        """Reads what was synced before the last stop; raises ``CorruptStorage``."""
        for leftover in self._path.glob("*.tmp"):
            leftover.unlink()
        hard_state = self._read_hard_state()
        numbers = segment_numbers(self._path)
        entries = self._read_log(numbers)
        snapshot = self._choose_snapshot(entries)
        if entries and entries[0].index > (snapshot.index if snapshot else 0) + 1:
            first = segment_path(self._path, numbers[0])
            raise CorruptStorage("no snapshot for this log", file=str(first), offset=0)
        self._last_index = entries[-1].index if entries else 0
        self._writer = SegmentWriter(self._path, numbers[-1] if numbers else 1)
        return StorageRecovered(hard_state, entries, snapshot)

    def _read_hard_state(self) -> HardState | None:
        path = self._path / HARD_STATE
        segments = segment_numbers(self._path)
        if not path.exists():
            sizes = [segment_path(self._path, n).stat().st_size for n in segments]
            if self._snapshot_paths() or any(s > SEGMENT_HEADER.size for s in sizes):
                raise CorruptStorage("hard state is missing", file=str(path), offset=0)
            return None
        if not segments:
            first = segment_path(self._path, 1)
            raise CorruptStorage("the log is missing", file=str(first), offset=0)
        return HardState(**json.loads(self._read_checked(path)))

    def _read_log(self, numbers: list[int]) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for position, number in enumerate(numbers):
            if position and number != numbers[position - 1] + 1:
                missing = segment_path(self._path, numbers[position - 1] + 1)
                raise CorruptStorage("segment is missing", file=str(missing), offset=0)
            path = segment_path(self._path, number)
            for record in read_segment(path, number, number == numbers[-1]):
                _replay(entries, record.payload)
            self._last_indexes[number] = entries[-1].index if entries else 0
        return entries

    def _choose_snapshot(self, entries: list[LogEntry]) -> Snapshot | None:
        """The newest intact snapshot.

        In the place of a damaged one, an older one or none is used only if the log has
        every entry from there up to the damaged one.
        """
        damaged: CorruptStorage | None = None
        snapshot: Snapshot | None = None
        wanted = 0
        for path in self._snapshot_paths():
            try:
                snapshot = decode_snapshot(self._read_checked(path))
                break
            except CorruptStorage as error:
                damaged = damaged or error
                wanted = max(wanted, _snapshot_index(path))
        start = snapshot.index if snapshot else 0
        if damaged and not _covers(entries, start + 1, wanted):
            raise damaged
        return snapshot

    def _snapshot_paths(self) -> list[Path]:
        """Snapshots, newest first."""
        return sorted(self._path.glob("snapshot-*.json"), reverse=True)

    def _read_checked(self, path: Path) -> bytes:
        data = path.read_bytes()
        content = data[FILE_HEADER.size :]
        if len(data) >= FILE_HEADER.size:
            checksum, length = FILE_HEADER.unpack_from(data)
            if length == len(content) and checksum == zlib.crc32(content):
                return content
        raise CorruptStorage("bad checksum", file=str(path), offset=0)

    # --- writing

    def persist(self, action: PersistLog) -> None:
        """Writes hard state and entries."""
        self.persist_all([action])

    def persist_all(self, actions: list[PersistLog]) -> None:
        """Writes several actions in order with at most one sync for each file.

        Only the newest hard state is written, before the entries: entries of a term
        that is not stored must not exist.
        """
        try:
            self._check()
            states = [a.hard_state for a in actions if a.hard_state is not None]
            if states:
                self._replace(HARD_STATE, json.dumps(_fields(states[-1])).encode())
            payloads = [payload for action in actions for payload in _records(action)]
            if payloads:
                self._append(payloads)
            for action in actions:
                self._note_last_index(action)
        except OSError as error:
            raise self._fail(error) from error

    def save(self, action: PersistSnapshot) -> None:
        """Writes a snapshot; drops what the one before it already covers."""
        try:
            self._check()
            name = f"snapshot-{action.snapshot.index:016d}.json"
            self._replace(name, action.snapshot.encode())
            self._clean()
        except OSError as error:
            raise self._fail(error) from error

    def close(self) -> None:
        """Releases the folder."""
        if self._writer is not None:
            self._writer.close()
        self._lock.close()

    def _check(self) -> None:
        if self._failed:
            raise StorageError(f"storage failed before: {self._failed}", step="storage")

    def _fail(self, error: OSError) -> StorageError:
        self._failed = str(error)
        return StorageError(str(error), step="storage")

    def _append(self, payloads: list[bytes]) -> None:
        writer = self._writer
        if writer is None:
            raise StorageError("recover was not called", step="storage")
        if writer.size >= SEGMENT_BYTES:
            self._last_indexes[writer.number] = self._last_index
            writer.close()
            writer = self._writer = SegmentWriter(self._path, writer.number + 1)
        writer.append(payloads)

    def _note_last_index(self, action: PersistLog) -> None:
        if action.truncate_from is not None:
            self._last_index = min(self._last_index, action.truncate_from - 1)
        if action.entries:
            self._last_index = action.entries[-1].index

    def _clean(self) -> None:
        """Removes snapshots beyond the kept ones and segments before the oldest."""
        paths = self._snapshot_paths()
        for path in paths[KEPT_SNAPSHOTS:]:
            path.unlink()
        oldest = paths[:KEPT_SNAPSHOTS][-1]
        covered = _snapshot_index(oldest) if len(paths) >= KEPT_SNAPSHOTS else 0
        for number in sorted(self._last_indexes):
            # The entry at the snapshot's index tells whether the log continues it.
            if self._last_indexes[number] >= covered or number == self._current:
                break
            segment_path(self._path, number).unlink()
            del self._last_indexes[number]
        sync_folder(self._path)

    @property
    def _current(self) -> int:
        return self._writer.number if self._writer else 0

    def _replace(self, name: str, content: bytes) -> None:
        temporary = self._path / f"{name}.tmp"
        header = FILE_HEADER.pack(zlib.crc32(content), len(content))
        with open(temporary, "wb") as file:
            file.write(header + content)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path / name)
        sync_folder(self._path)


def clear_folder(path: str | Path) -> None:
    """Removes everything that the log stored; its identity is lost with it."""
    for file in Path(path).iterdir():
        if file.is_file():
            file.unlink()
    sync_folder(Path(path))


def _fields(state: HardState) -> dict[str, int | str]:
    return {"term": state.term, "vote": state.vote, "identity": state.identity}


def _records(action: PersistLog) -> list[bytes]:
    records = []
    if action.truncate_from is not None:
        records.append(LOG_RECORD.pack(TRUNCATE, action.truncate_from, 0))
    for entry in action.entries:
        records.append(LOG_RECORD.pack(ENTRY, entry.index, entry.term) + entry.command)
    return records


def _replay(entries: list[LogEntry], payload: bytes) -> None:
    """Applies one record to the entries read so far."""
    kind, index, term = LOG_RECORD.unpack_from(payload)
    if entries and index > entries[-1].index + 1:
        # A received snapshot took the place of everything before.
        entries.clear()
    if entries:
        del entries[max(0, index - entries[0].index) :]
    if kind == ENTRY:
        entries.append(LogEntry(index, term, payload[LOG_RECORD.size :]))


def _covers(entries: list[LogEntry], first: int, last: int) -> bool:
    """Tells whether the log has every entry from ``first`` to ``last``."""
    return bool(entries) and entries[0].index <= first and entries[-1].index >= last


def _snapshot_index(path: Path) -> int:
    return int(path.stem.split("-")[1])
