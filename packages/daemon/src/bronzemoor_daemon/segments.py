"""Append-only log files: records with length and CRC-32 in segments."""

import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from bronzemoor_core.exceptions import CorruptStorage

SEGMENT_MAGIC = b"BZMSEG1\n"
# Magic, number of the segment, CRC-32 of the number.
SEGMENT_HEADER = struct.Struct(">8sQI")
RECORD_MAGIC = b"\xb2\x4d"
# Magic, length of the payload, CRC-32 of all that follows it, byte where the batch of
# records that were synced together starts.
RECORD_HEADER = struct.Struct(">2sIIQ")
START = struct.Struct(">Q")
SEGMENT_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class Record:
    """One record as read back; ``offset`` is its place in the file."""

    payload: bytes
    offset: int
    end: int


def segment_path(folder: Path, number: int) -> Path:
    return folder / f"log-{number:016d}.seg"


def segment_numbers(folder: Path) -> list[int]:
    """Numbers of all segments, oldest first."""
    return sorted(int(path.stem[4:]) for path in folder.glob("log-*.seg"))


def sync_folder(folder: Path) -> None:
    """Makes created, renamed and removed names durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class SegmentWriter:
    """Appends batches of records to one segment."""

    def __init__(self, folder: Path, number: int) -> None:
        self.number = number
        path = segment_path(folder, number)
        created = not path.exists()
        self._file: BinaryIO = open(path, "ab")  # noqa: SIM115
        if created:
            count = START.pack(number)
            header = SEGMENT_HEADER.pack(SEGMENT_MAGIC, number, zlib.crc32(count))
            self._file.write(header)
            self._sync()
            sync_folder(folder)
        self.size = self._file.tell()

    def append(self, payloads: list[bytes]) -> None:
        """Writes the payloads as one batch with one sync."""
        start = START.pack(self.size)
        batch = bytearray()
        for payload in payloads:
            checksum = zlib.crc32(payload, zlib.crc32(start))
            header = (RECORD_MAGIC, len(payload), checksum, self.size)
            batch += RECORD_HEADER.pack(*header) + payload
        self._file.write(batch)
        self._sync()
        self.size += len(batch)

    def close(self) -> None:
        self._file.close()

    def _sync(self) -> None:
        self._file.flush()
        os.fsync(self._file.fileno())


def read_segment(path: Path, number: int, newest: bool) -> Iterator[Record]:
    """Yields the records of a segment.

    A crash may leave an unfinished batch at the end of the newest segment; it was
    never acknowledged and is cut off. Any other damage raises ``CorruptStorage``.
    """
    data = path.read_bytes()
    if not _header_is_valid(data, number):
        if newest and len(data) < SEGMENT_HEADER.size:
            # The crash came while the segment was created, before its first record.
            path.unlink()
            sync_folder(path.parent)
            return
        raise CorruptStorage("bad segment header", file=str(path), offset=0)
    offset = SEGMENT_HEADER.size
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            if not newest or _has_later_batch(data, offset):
                raise CorruptStorage("bad record", file=str(path), offset=offset)
            _cut(path, offset)
            return
        yield record
        offset = record.end


def _header_is_valid(data: bytes, number: int) -> bool:
    if len(data) < SEGMENT_HEADER.size:
        return False
    magic, found, checksum = SEGMENT_HEADER.unpack_from(data)
    expected = zlib.crc32(START.pack(number))
    return magic == SEGMENT_MAGIC and found == number and checksum == expected


def _record_at(data: bytes, offset: int) -> Record | None:
    start = offset + RECORD_HEADER.size
    if start > len(data):
        return None
    magic, length, checksum, batch = RECORD_HEADER.unpack_from(data, offset)
    end = start + length
    if magic != RECORD_MAGIC or end > len(data) or batch > offset:
        return None
    payload = data[start:end]
    if zlib.crc32(payload, zlib.crc32(START.pack(batch))) != checksum:
        return None
    return Record(payload, offset, end)


def _has_later_batch(data: bytes, damaged: int) -> bool:
    """Tells whether a batch that was written after the damaged record is intact.

    Blocks of one unsynced batch may reach the disk in any order, so an intact record
    of the same batch proves nothing; one of a later batch proves that the damaged
    record had been synced.
    """
    offset = data.find(RECORD_MAGIC, damaged + 1)
    while offset != -1:
        record = _record_at(data, offset)
        if record is not None:
            batch: int = RECORD_HEADER.unpack_from(data, offset)[3]
            if batch > damaged:
                return True
        offset = data.find(RECORD_MAGIC, offset + 1)
    return False


def _cut(path: Path, size: int) -> None:
    with open(path, "r+b") as file:
        file.truncate(size)
        file.flush()
        os.fsync(file.fileno())
