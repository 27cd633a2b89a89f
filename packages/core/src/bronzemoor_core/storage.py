"""Storage of the replicated log: data types, interface, in-memory implementation."""

import json
from typing import Any, Protocol

from msgspec import Struct, field

from bronzemoor_core.actions import PersistLog, PersistSnapshot
from bronzemoor_core.events import StorageRecovered
from bronzemoor_core.messages import LogEntry


class HardState(Struct, frozen=True):
    """State that must survive a restart besides the log.

    ``vote`` is the identity voted for in ``term``. ``identity`` is the name and a
    random identifier that is created once for each data folder, so that a VM that lost
    its disk cannot vote twice in a term.
    """

    term: int = 0
    vote: str = ""
    identity: str = ""


class Snapshot(Struct, frozen=True):
    """The state at ``index``; ``voters`` and ``learners`` map names to identities.

    ``recent`` holds the ids of the last applied proposals, oldest first.
    """

    index: int
    term: int
    voters: dict[str, str]
    learners: dict[str, str]
    recent: tuple[str, ...]
    data: dict[str, Any]

    def encode(self) -> bytes:
        body = {name: getattr(self, name) for name in self.__struct_fields__}
        return json.dumps(body, separators=(",", ":"), sort_keys=True).encode()


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes the result of ``Snapshot.encode``."""
    body = json.loads(data)
    return Snapshot(**{**body, "recent": tuple(body["recent"])})


class Storage(Protocol):
    """Storage as the driver provides it; each call returns once it is synced."""

    def check_writable(self) -> None:
        """Raises ``OSError`` while the storage accepts no writes, as on a full disk."""

    def recover(self) -> StorageRecovered: ...

    def persist_all(self, actions: list[PersistLog]) -> None: ...

    def save(self, action: PersistSnapshot) -> None: ...

    def close(self) -> None:
        """Releases all resources; nothing is written afterwards."""


class MemoryStorage(Struct):
    """Storage in memory, for tests and for daemons that keep no log."""

    hard_state: HardState | None = None
    entries: dict[int, LogEntry] = field(default_factory=dict)
    snapshot: Snapshot | None = None

    def check_writable(self) -> None:
        """Does nothing, since memory is always writable."""

    def recover(self) -> StorageRecovered:
        entries = [self.entries[index] for index in sorted(self.entries)]
        return StorageRecovered(self.hard_state, entries, self.snapshot)

    def persist(self, action: PersistLog) -> None:
        if action.hard_state is not None:
            self.hard_state = action.hard_state
        if action.truncate_from is not None:
            self._truncate(action.truncate_from)
        for entry in action.entries:
            self.entries[entry.index] = entry

    def persist_all(self, actions: list[PersistLog]) -> None:
        for action in actions:
            self.persist(action)

    def close(self) -> None:
        """Does nothing, since there is nothing to release."""

    def save(self, action: PersistSnapshot) -> None:
        self.snapshot = action.snapshot
        for index in [i for i in self.entries if i < action.snapshot.index]:
            del self.entries[index]

    def _truncate(self, first: int) -> None:
        for index in [i for i in self.entries if i >= first]:
            del self.entries[index]
