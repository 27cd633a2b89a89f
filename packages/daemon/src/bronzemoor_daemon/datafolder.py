"""Disk adapter of the replicated log: hard state, log records and snapshots."""

import json
import os
import struct
import zlib
from pathlib import Path

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageRecovered
from bronzemoor_core.messages import LogEntry
from bronzemoor_core.storage import HardState, Snapshot, decode_snapshot

# Length and CRC-32 of the payload.
RECORD = struct.Struct(">II")
ENTRY = struct.Struct(">QQ")


class DataFolder:
    """Owns one folder; every method returns after its data is synced."""

    def __init__(self, path: str | Path) -> None:
        self._path = Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._log = open(self._path / "log", "ab")  # noqa: SIM115

    def recover(self) -> StorageRecovered:
        """Reads what was synced before the last stop."""
        hard_state = None
        if (self._path / "hard-state").exists():
            hard_state = HardState(
                **json.loads((self._path / "hard-state").read_text())
            )
        snapshot: Snapshot | None = None
        if (self._path / "snapshot").exists():
            snapshot = decode_snapshot((self._path / "snapshot").read_bytes())
        start = snapshot.index if snapshot else 0
        entries = [entry for entry in self._read_log() if entry.index > start]
        return StorageRecovered(hard_state, entries, snapshot)

    def persist(self, action: PersistLog) -> None:
        """Writes hard state and entries."""
        if action.hard_state is not None:
            state = action.hard_state
            body = {name: getattr(state, name) for name in ("term", "vote", "identity")}
            self._replace("hard-state", json.dumps(body).encode())
        for entry in action.entries:
            payload = ENTRY.pack(entry.index, entry.term) + entry.command
            self._log.write(RECORD.pack(len(payload), zlib.crc32(payload)) + payload)
        if action.entries:
            self._log.flush()
            os.fsync(self._log.fileno())

    def save(self, action: PersistSnapshot) -> None:
        """Writes a snapshot."""
        self._replace("snapshot", action.snapshot.encode())

    def close(self) -> None:
        self._log.close()

    def _read_log(self) -> list[LogEntry]:
        data = (self._path / "log").read_bytes()
        entries, offset = [], 0
        while offset + RECORD.size <= len(data):
            length, checksum = RECORD.unpack_from(data, offset)
            payload = data[offset + RECORD.size : offset + RECORD.size + length]
            if zlib.crc32(payload) != checksum:
                break
            index, term = ENTRY.unpack_from(payload)
            entries.append(LogEntry(index, term, payload[ENTRY.size :]))
            offset += RECORD.size + length
        return entries

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self._path / f"{name}.tmp"
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path / name)
