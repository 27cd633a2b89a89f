"""Members of the review's stand-ins, with links that fail and a checker."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from faultchecks import Checker
from faultnet import Network

sys.path.append(str(Path(__file__).resolve().parents[2] / "review" / "common"))

from standins import Group, Member, MemberConnection, http_call  # noqa: E402

HEARTBEAT_SECONDS = 0.5
RETRY_SECONDS = 0.1
# A primary steps down so long after it can reach a newer one.
DISCOVERY_SECONDS = 1.0


class FaultMember(Member):
    """A member whose VM has an address of its own."""

    group: "FaultGroup"

    @property
    def vm(self) -> str:
        return self.address.rpartition(":")[0]

    async def start(self) -> None:
        host, port = self.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: FaultConnection(self), host, int(port)
        )
        self.up = True

    async def report_forever(self, controls: list[str]) -> None:
        """Sends heartbeats to the control daemons, to the next one after a failure."""
        network, role, index = self.group.network, None, 0
        while True:
            if not self.up:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.sequence += 1
            role = "primary" if self.primary else "replica"
            target = controls[index % len(controls)]
            body = {
                "service": self.group.name, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 3, "state": "ready", "cold_remaining_ms": 0,
                "db_role": role, "born": self.born, "sequence": self.sequence,
            }  # fmt: skip
            path, status = f"/bronzemoor/instances/{self.name}", 0
            if network.reachable(self.vm, target.rpartition(":")[0]):
                status = await http_call(target, "PUT", path, body)
            else:
                await asyncio.sleep(1.0)  # the call's timeout
            index += not 200 <= status < 300
            deadline = time.monotonic() + HEARTBEAT_SECONDS
            # A change of the role is reported immediately.
            while time.monotonic() < deadline and 200 <= status < 300:
                if role != ("primary" if self.primary else "replica"):
                    break
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.02)


class FaultGroup(Group):
    """A group whose members reach each other as the network allows."""

    members: dict[str, Any]

    def __init__(self, name: str, network: Network, checker: Checker) -> None:
        super().__init__(name, checker.record)
        self.network = network
        self.checker = checker
        self.deaf: set[str] = set()
        self._reached_since: dict[str, float] = {}

    def _send_log(self, source: FaultMember) -> None:
        for replica in self.members.values():
            if replica is source or not replica.up or replica.term > source.term:
                continue
            if self.network.blocked(source.vm, replica.vm) or replica.name in self.deaf:
                self._reached_since.pop(replica.name, None)
                continue
            if replica.primary and not self._learns(source, replica):
                continue
            if replica.held_term:
                continue
            copy_log(source, replica)
            if self.network.blocked(replica.vm, source.vm):
                continue
            for commit in self.waiting_commits(source):
                if commit.position <= replica.position:
                    commit.future.set_result(True)
        self._commits = [c for c in self._commits if not c.future.done()]

    def _learns(self, source: FaultMember, older: FaultMember) -> bool:
        """Whether the older primary has stepped down."""
        now = time.monotonic()
        if now - self._reached_since.setdefault(older.name, now) < DISCOVERY_SECONDS:
            return False
        del self._reached_since[older.name]
        older.step_down(source.term)
        return True

    async def commit(self, member: FaultMember, writes: tuple[str, ...]) -> bool:
        newest = self.newest_primary() is member
        entry = (member.term, member.position[1] + 1, writes)
        done = await super().commit(member, writes)
        if done:
            newest = newest and self.newest_primary() is member
            self.checker.committed(self, member, entry, newest)
        return done

    def promote(self, name: str) -> None:
        target = self.members[name]
        if target.up and not target.primary:
            super().promote(name)
            self.checker.promoted(self, target)


def copy_log(source: FaultMember, replica: FaultMember) -> None:
    """Makes the replica's log equal; discards what the source does not have."""
    log, size = source.log, len(replica.log)
    if size and (size > len(log) or replica.log[-1] != log[size - 1]):
        replica.log = list(log)
    else:
        replica.log += log[size:]
    replica.term = source.term


class FaultConnection(MemberConnection):
    """Tells the checker what runs; ``owner`` is the attempt in the open transaction."""

    member: FaultMember
    owner: Any = None

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.state, self.writes = "I", []

    async def _run(self, query_id: str, word: str, rest: list[str]) -> str:
        if word == "BEGIN":
            if self.state == "T":
                self._checker.violate("PINNED", f"BEGIN inside {self.owner}")
            self.owner = None
        return await super()._run(query_id, word, rest)

    async def _statement(self, query_id: str, word: str, rest: list[str]) -> str:
        kind, shape = word, ""
        if word == "EXECUTE":
            kind, shape = self.prepared.get(rest[0], ("", ""))
        # An unknown name or a write at a replica does not run.
        if kind == "FETCH" or (kind == "STORE" and self.member.primary):
            self._checker.ran(self, query_id, f"{kind} {shape}".strip())
        return await super()._statement(query_id, word, rest)

    async def _commit(self, query_id: str) -> str:
        if self.state == "T":
            self._checker.ran(self, query_id, "COMMIT")
            self._checker.asked_to_commit(self, query_id)
        return await super()._commit(query_id)

    @property
    def _checker(self) -> Checker:
        return self.member.group.checker
