"""Takes replicas off the records that are gone without having said so."""

import asyncio
from typing import TYPE_CHECKING

from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.silentreplicas import SilentReplicas
from bronzemoor_core.wire.succession import is_alive
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.grouporders import GroupOrders
from bronzemoor_daemon.wire.tasks import Tasks

if TYPE_CHECKING:
    from bronzemoor_daemon.wire.leader import Leader

PROBE_INTERVAL_SECONDS = 1.5
SILENT_PROBE_INTERVAL_SECONDS = 0.5  # while a replica does not answer


class ReplicaWatch:
    """Runs on the control leader for one group, beside its supervisor.

    A replica that is lost for good would be expected in every later failover, and the
    group would wait for it without a primary.
    """

    def __init__(self, leader: "Leader", orders: GroupOrders) -> None:
        self._leader = leader
        self._orders = orders
        self._silent = SilentReplicas()
        self._tasks = Tasks(orders.report)
        self._tasks.repeat(self._watch, "replica-watch")

    def close(self) -> None:
        self._tasks.cancel()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(
                SILENT_PROBE_INTERVAL_SECONDS
                if self._silent.are_any
                else PROBE_INTERVAL_SECONDS
            )
            if not self._orders.revoked:
                await self._probe()

    async def _probe(self) -> None:
        replicas = self._orders.replicas
        results = await asyncio.gather(
            *(self._orders.status(record) for record in replicas.values())
        )
        answers = dict(zip(replicas, results, strict=True))
        self._silent.record(boottime(), {m: is_alive(a) for m, a in answers.items()})
        for member in self._silent.lost(boottime()):
            await self._remove(replicas[member])

    async def _remove(self, lost: MemberRecord) -> None:
        """Removes a replica unless commits may depend on it."""
        orders = self._orders
        if orders.revoked or not await orders.is_covered(lost.member):
            return
        now = boottime()
        silent_ms = logged_ms(self._silent.silence(now, lost.member))
        self._silent.removed(now, lost.member)
        command = {
            "type": "member.drop",
            "member": lost.member,
            "born": lost.born,
            "covered": True,
        }
        done = await self._leader.commit(command) is not None
        orders.report(
            "warning", "silent_replica_removed", member=lost.member,
            silent_ms=silent_ms, done=done,
        )  # fmt: skip
