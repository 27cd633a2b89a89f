"""Append-only log segments: files of records with length and CRC-32."""

import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from io import FileIO
from pathlib import Path

from bronzemoor_core.exceptions import CorruptStorage

SEGMENT_MAGIC = b"BZMSEG1\n"
# Magic, number of the segment, CRC-32 of the number.
SEGMENT_HEADER = struct.Struct(">8sQI")
RECORD_MAGIC = b"\xb2\x4d"
# Magic, payload length, CRC-32 of all that follows it, file offset of the batch of
# records that were synced together.
RECORD_HEADER = struct.Struct(">2sIIQ")
UINT64 = struct.Struct(">Q")
SEGMENT_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class Record:
    """One record read from a segment; ``offset`` is its position in the file."""

    payload: bytes
    offset: int
    end: int


def segment_path(folder: Path, number: int) -> Path:
    return folder / f"log-{number:016d}.seg"


def segment_numbers(folder: Path) -> list[int]:
    """Numbers of all segments, oldest first."""
    return sorted(int(path.stem[4:]) for path in folder.glob("log-*.seg"))


def sync_folder(folder: Path) -> None:
    """Syncs the directory, so that created, renamed and removed files are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_synced(file: FileIO, data: bytes | bytearray) -> None:
    """Writes all of ``data`` to an unbuffered file and syncs it; raises ``OSError``."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]
    os.fsync(file.fileno())


class SegmentWriter:
    """Appends batches of records to one segment."""

    def __init__(self, folder: Path, number: int) -> None:
        self.number = number
        path = segment_path(folder, number)
        is_new = not path.exists()
        # Unbuffered, so that nothing of a failed write is left to be written later.
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115
        if is_new:
            packed_number = UINT64.pack(number)
            header = SEGMENT_HEADER.pack(
                SEGMENT_MAGIC, number, zlib.crc32(packed_number)
            )
            write_synced(self._file, header)
            sync_folder(folder)
        self.size = self._file.tell()

    def append(self, payloads: list[bytes]) -> None:
        """Writes the payloads as one batch with one sync."""
        start = UINT64.pack(self.size)
        batch = bytearray()
        for payload in payloads:
            checksum = zlib.crc32(payload, zlib.crc32(start))
            header = (RECORD_MAGIC, len(payload), checksum, self.size)
            batch += RECORD_HEADER.pack(*header) + payload
        write_synced(self._file, batch)
        self.size += len(batch)

    def close(self) -> None:
        self._file.close()


def read_segment(path: Path, number: int, is_newest: bool) -> Iterator[Record]:
    """Yields the records of a segment.

    A crash may leave an incomplete batch at the end of the newest segment; it was
    never acknowledged and is truncated. Any other damage raises ``CorruptStorage``.
    """
    data = path.read_bytes()
    if not _header_is_valid(data, number):
        if is_newest and len(data) < SEGMENT_HEADER.size:
            # A crash interrupted the creation of the segment, before its first record.
            path.unlink()
            sync_folder(path.parent)
            return
        raise CorruptStorage("invalid segment header", file=str(path), offset=0)
    offset = SEGMENT_HEADER.size
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            if not is_newest or _has_later_batch(data, offset):
                raise CorruptStorage("invalid record", file=str(path), offset=offset)
            _truncate(path, offset)
            return
        yield record
        offset = record.end


def _header_is_valid(data: bytes, number: int) -> bool:
    if len(data) < SEGMENT_HEADER.size:
        return False
    magic, found, checksum = SEGMENT_HEADER.unpack_from(data)
    expected = zlib.crc32(UINT64.pack(number))
    return magic == SEGMENT_MAGIC and found == number and checksum == expected


def _record_at(data: bytes, offset: int) -> Record | None:
    start = offset + RECORD_HEADER.size
    if start > len(data):
        return None
    magic, length, checksum, batch_start = RECORD_HEADER.unpack_from(data, offset)
    end = start + length
    if magic != RECORD_MAGIC or end > len(data) or batch_start > offset:
        return None
    payload = data[start:end]
    if zlib.crc32(payload, zlib.crc32(UINT64.pack(batch_start))) != checksum:
        return None
    return Record(payload, offset, end)


def _has_later_batch(data: bytes, damaged_offset: int) -> bool:
    """Returns whether an intact batch follows the damaged record.

    Blocks of one unsynced batch may reach the disk in any order, so an intact record
    of the same batch proves nothing; one of a later batch proves that the damaged
    record had been synced.
    """
    offset = data.find(RECORD_MAGIC, damaged_offset + 1)
    while offset != -1:
        record = _record_at(data, offset)
        if record is not None:
            batch_start: int = RECORD_HEADER.unpack_from(data, offset)[3]
            if batch_start > damaged_offset:
                return True
        offset = data.find(RECORD_MAGIC, offset + 1)
    return False


def _truncate(path: Path, size: int) -> None:
    with open(path, "r+b") as file:
        file.truncate(size)
        file.flush()
        os.fsync(file.fileno())
