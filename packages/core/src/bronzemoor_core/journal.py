"""The part of the replicated log that is kept in memory."""

import json
from typing import Any

from bronzemoor_core.messages import LogEntry

# Limits of one AppendEntries message; a batch always holds at least one entry.
BATCH_ENTRIES = 256
BATCH_BYTES = 262_144


class Journal:
    """Entries after ``base_index``; earlier ones are covered by a snapshot."""

    __slots__ = ("_entries", "base_index", "base_term")

    def __init__(self) -> None:
        self.base_index = 0
        self.base_term = 0
        self._entries: list[LogEntry] = []

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at ``index``, None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        return self._entries[index - self.base_index - 1]

    def batch(self, first: int) -> list[LogEntry]:
        """Returns entries from ``first`` on, as many as fit into one message."""
        start = first - self.base_index - 1
        entries = self._entries[start : start + BATCH_ENTRIES]
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.command)
            if size > BATCH_BYTES and count:
                return entries[:count]
        return entries

    def append(self, entry: LogEntry) -> None:
        self._entries.append(entry)

    def truncate(self, first: int) -> None:
        """Removes the entries from ``first`` on."""
        del self._entries[first - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drops the entries up to ``index``, if it is in memory."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drops all entries and continues after ``index``."""
        self._entries.clear()
        self.base_index, self.base_term = index, term

    def conflict_hint(self, index: int) -> int:
        """Returns the index for the leader to try after a mismatch at ``index``."""
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == term:
            index -= 1
        return index


def encode_command(command: dict[str, Any], proposal_id: str = "") -> bytes:
    """Encodes an entry from a command and the id of its proposal."""
    body = {"id": proposal_id, "command": command}
    return json.dumps(body, separators=(",", ":")).encode()


def decode_command(entry: LogEntry) -> tuple[str, dict[str, Any]]:
    """Returns the proposal id and the command of an entry."""
    body = json.loads(entry.command)
    return body["id"], body["command"]
