"""Disk storage of the replicated log: hard state, log segments and snapshots."""

import fcntl
import json
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
    write_synced,
)

HARD_STATE = "hard-state"
# Record type, index and term; the command of an entry follows.
LOG_RECORD = struct.Struct(">cQQ")
ENTRY_RECORD = b"E"
TRUNCATE_RECORD = b"T"
# CRC-32 and length before the content of the hard state and of each snapshot.
FILE_HEADER = struct.Struct(">IQ")
# The older one replaces a damaged newest one, so the log is kept from the older one on.
KEPT_SNAPSHOTS = 2
# Room that the disk must have before a failed log is opened again.
PROBE_BYTES = 64 * 1024


class DataFolder:
    """Stores the log in one folder, which is locked against other processes.

    ``persist`` and ``save`` return after their data is synced. After a failed write
    all further ones are refused: a later sync may succeed although a page of the
    failed one was lost.
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
                f"{self._path} is in use by another process", step="storage"
            ) from None
        self._writer: SegmentWriter | None = None
        self._failure = ""
        # Last index of each closed segment, by number.
        self._last_index_by_segment: dict[int, int] = {}
        self._last_index = 0

    # --- reading

    def check_writable(self) -> None:
        """Writes a probe file and removes it; raises ``OSError`` if the disk is full.

        The log is not read before that, so that a daemon whose disk is still full does
        not rejoin its group only to fail at its first write.
        """
        probe = self._path / "probe.tmp"
        try:
            with open(probe, "wb", buffering=0) as file:
                write_synced(file, bytes(PROBE_BYTES))
        finally:
            probe.unlink(missing_ok=True)

    def recover(self) -> StorageRecovered:
        """Reads the synced state; raises ``CorruptStorage`` if it is damaged."""
        for leftover in self._path.glob("*.tmp"):
            leftover.unlink()
        hard_state = self._read_hard_state()
        numbers = segment_numbers(self._path)
        entries = self._read_log(numbers)
        snapshot = self._load_newest_snapshot(entries)
        if entries and entries[0].index > (snapshot.index if snapshot else 0) + 1:
            first = segment_path(self._path, numbers[0])
            raise CorruptStorage(
                "no snapshot covers the start of the log", file=str(first), offset=0
            )
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
        return HardState(**json.loads(self._read_verified(path)))

    def _read_log(self, numbers: list[int]) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for position, number in enumerate(numbers):
            if position and number != numbers[position - 1] + 1:
                missing = segment_path(self._path, numbers[position - 1] + 1)
                raise CorruptStorage("segment is missing", file=str(missing), offset=0)
            path = segment_path(self._path, number)
            for record in read_segment(path, number, number == numbers[-1]):
                _apply_record(entries, record.payload)
            self._last_index_by_segment[number] = entries[-1].index if entries else 0
        return entries

    def _load_newest_snapshot(self, entries: list[LogEntry]) -> Snapshot | None:
        """Returns the newest intact snapshot.

        An older one, or none, replaces a damaged one only if the log has every entry
        from there up to the damaged one.
        """
        damaged: CorruptStorage | None = None
        snapshot: Snapshot | None = None
        damaged_index = 0
        for path in self._snapshot_paths():
            try:
                snapshot = decode_snapshot(self._read_verified(path))
                break
            except CorruptStorage as error:
                damaged = damaged or error
                damaged_index = max(damaged_index, _snapshot_index(path))
        start = snapshot.index if snapshot else 0
        if damaged and not _covers(entries, start + 1, damaged_index):
            raise damaged
        return snapshot

    def _snapshot_paths(self) -> list[Path]:
        """Paths of the snapshots, newest first."""
        return sorted(self._path.glob("snapshot-*.json"), reverse=True)

    def _read_verified(self, path: Path) -> bytes:
        data = path.read_bytes()
        content = data[FILE_HEADER.size :]
        if len(data) >= FILE_HEADER.size:
            checksum, length = FILE_HEADER.unpack_from(data)
            if length == len(content) and checksum == zlib.crc32(content):
                return content
        raise CorruptStorage("length or checksum mismatch", file=str(path), offset=0)

    # --- writing

    def persist(self, action: PersistLog) -> None:
        """Writes the hard state and the entries of one action."""
        self.persist_all([action])

    def persist_all(self, actions: list[PersistLog]) -> None:
        """Writes several actions in order with at most one sync for each file.

        Only the newest hard state is written, before the entries: the log must not
        contain entries of a term that is not stored.
        """
        try:
            self._ensure_usable()
            states = [a.hard_state for a in actions if a.hard_state is not None]
            if states:
                self._write_atomically(
                    HARD_STATE, json.dumps(_hard_state_fields(states[-1])).encode()
                )
            payloads = [
                payload for action in actions for payload in _encode_records(action)
            ]
            if payloads:
                self._append(payloads)
            for action in actions:
                self._update_last_index(action)
        except OSError as error:
            raise self._record_failure(error) from error

    def save(self, action: PersistSnapshot) -> None:
        """Writes a snapshot and removes obsolete snapshots and segments."""
        try:
            self._ensure_usable()
            name = f"snapshot-{action.snapshot.index:016d}.json"
            self._write_atomically(name, action.snapshot.encode())
            self._remove_obsolete_files()
        except OSError as error:
            raise self._record_failure(error) from error

    def close(self) -> None:
        """Closes the newest segment and releases the lock."""
        try:
            if self._writer is not None:
                self._writer.close()
        finally:
            self._lock.close()

    def _ensure_usable(self) -> None:
        if self._failure:
            raise StorageError(
                f"storage has failed earlier: {self._failure}", step="storage"
            )

    def _record_failure(self, error: OSError) -> StorageError:
        self._failure = str(error)
        return StorageError(str(error), step="storage")

    def _append(self, payloads: list[bytes]) -> None:
        writer = self._writer
        if writer is None:
            raise StorageError("recover() has not been called", step="storage")
        if writer.size >= SEGMENT_BYTES:
            self._last_index_by_segment[writer.number] = self._last_index
            writer.close()
            writer = self._writer = SegmentWriter(self._path, writer.number + 1)
        writer.append(payloads)

    def _update_last_index(self, action: PersistLog) -> None:
        if action.truncate_from is not None:
            self._last_index = min(self._last_index, action.truncate_from - 1)
        if action.entries:
            self._last_index = action.entries[-1].index

    def _remove_obsolete_files(self) -> None:
        """Removes old snapshots and the segments covered by the oldest kept one."""
        paths = self._snapshot_paths()
        for path in paths[KEPT_SNAPSHOTS:]:
            path.unlink()
        oldest = paths[:KEPT_SNAPSHOTS][-1]
        oldest_index = _snapshot_index(oldest) if len(paths) >= KEPT_SNAPSHOTS else 0
        for number in sorted(self._last_index_by_segment):
            # The entry at the snapshot's index shows whether the log continues it.
            if (
                self._last_index_by_segment[number] >= oldest_index
                or number == self._current_segment_number
            ):
                break
            segment_path(self._path, number).unlink()
            del self._last_index_by_segment[number]
        sync_folder(self._path)

    @property
    def _current_segment_number(self) -> int:
        return self._writer.number if self._writer else 0

    def _write_atomically(self, name: str, content: bytes) -> None:
        temporary = self._path / f"{name}.tmp"
        header = FILE_HEADER.pack(zlib.crc32(content), len(content))
        with open(temporary, "wb", buffering=0) as file:
            write_synced(file, header + content)
        temporary.rename(self._path / name)
        sync_folder(self._path)


def clear_folder(path: str | Path) -> None:
    """Removes all stored data of the log, including its identity."""
    for file in Path(path).iterdir():
        if file.is_file():
            file.unlink()
    sync_folder(Path(path))


def _hard_state_fields(state: HardState) -> dict[str, int | str]:
    return {"term": state.term, "vote": state.vote, "identity": state.identity}


def _encode_records(action: PersistLog) -> list[bytes]:
    records = []
    if action.truncate_from is not None:
        records.append(LOG_RECORD.pack(TRUNCATE_RECORD, action.truncate_from, 0))
    for entry in action.entries:
        records.append(
            LOG_RECORD.pack(ENTRY_RECORD, entry.index, entry.term) + entry.command
        )
    return records


def _apply_record(entries: list[LogEntry], payload: bytes) -> None:
    """Applies one record to the entries read so far."""
    kind, index, term = LOG_RECORD.unpack_from(payload)
    if entries and index > entries[-1].index + 1:
        # A received snapshot replaced all earlier entries.
        entries.clear()
    if entries:
        del entries[max(0, index - entries[0].index) :]
    if kind == ENTRY_RECORD:
        entries.append(LogEntry(index, term, payload[LOG_RECORD.size :]))


def _covers(entries: list[LogEntry], first: int, last: int) -> bool:
    """Returns whether the log has every entry from ``first`` to ``last``."""
    return bool(entries) and entries[0].index <= first and entries[-1].index >= last


def _snapshot_index(path: Path) -> int:
    return int(path.stem.split("-")[1])
