"""Tells whether the deployment in force names a group."""

import asyncio

from bronzemoor_core.exceptions import BronzemoorError, InvalidRequest
from bronzemoor_core.wire.records import WireRecords, unpack_document
from bronzemoor_daemon.wire.ports import DocumentReader


class UnknownGroup(InvalidRequest):
    """An announcement of a group that the deployment does not name."""

    code = "unknown_group"

    def __init__(self, group: str) -> None:
        super().__init__(f"unknown group {group[:200]}", step="announcement")


class GroupNames:
    """Names of the deployment's groups on a control daemon that may not lead.

    Its document is decoded only for groups that have no member yet, once a version.
    """

    __slots__ = ("_names", "_read_document", "_version")

    def __init__(self, read_document: DocumentReader) -> None:
        self._read_document = read_document
        self._version = 0
        # None without a document that can be read.
        self._names: frozenset[str] | None = None

    async def require(self, group: str, records: WireRecords) -> None:
        """Raises ``UnknownGroup``; without a document any group is accepted."""
        if any(record.group == group for record in records.members.values()):
            return
        if records.version > self._version:
            version, document = records.version, records.document
            # A large document takes longer than members wait for the leader.
            names = await asyncio.to_thread(self._decode, document)
            self._version, self._names = version, names
        if self._names is not None and group not in self._names:
            raise UnknownGroup(group)

    def _decode(self, document: str) -> frozenset[str] | None:
        try:
            return frozenset(self._read_document(unpack_document(document)).groups)
        except (BronzemoorError, ValueError):
            return None
