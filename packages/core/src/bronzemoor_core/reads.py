"""Reads confirmed by a quorum, so that a deposed leader never answers one."""

from collections.abc import Callable
from typing import Any

from msgspec import Struct

from bronzemoor_core.replica import Replica
from bronzemoor_core.replication import Replication


class Read(Struct):
    """A query that waits for its round's quorum and for its index to be applied."""

    command: dict[str, Any]
    origin: Any
    round_id: int
    index: int | None


class QuorumReads:
    """Linearizable queries on the leader.

    A read sees every command that was committed before it arrived.
    """

    def __init__(
        self,
        replica: Replica,
        replication: Replication,
        ready: Callable[[float, Read], None],
    ) -> None:
        self._replica = replica
        self._ready = ready
        self._replication = replication
        self._reads: list[Read] = []

    def add(self, now: float, command: dict[str, Any], origin: Any) -> None:
        """Queues a query; those that arrive during a round share the next round."""
        replication = self._replication
        waiting = self._reads[-1].round_id if self._reads else 0
        if waiting > replication.round_id:
            round_id = waiting
        elif waiting > replication.confirmed_round:
            round_id = replication.round_id + 1
        else:
            round_id = replication.start_round(now)
        self._reads.append(Read(command, origin, round_id, self._read_index()))

    def advance(self, now: float) -> None:
        """Passes on the queries that became ready."""
        if not self._reads:
            return
        confirmed = self._replication.confirmed_round
        applied = self._replica.applied_index
        ready = 0
        for read in self._reads:
            if read.index is None:
                read.index = self._read_index()
            if read.round_id > confirmed or read.index is None or read.index > applied:
                break
            self._ready(now, read)
            ready += 1
        del self._reads[:ready]
        current = self._replication.round_id
        if self._reads and confirmed >= current and self._reads[0].round_id > current:
            # Starts the next round, for which later queries wait.
            self._replication.start_round(now)

    def drop(self) -> list[Any]:
        """Drops all queries and returns their origins."""
        origins = [read.origin for read in self._reads]
        self._reads.clear()
        return origins

    def _read_index(self) -> int | None:
        """Returns the commit index, None until an entry of this term is committed."""
        replica = self._replica
        if replica.journal.term_at(replica.commit_index) != replica.term:
            return None
        return replica.commit_index
