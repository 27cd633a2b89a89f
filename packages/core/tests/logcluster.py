"""Simulates a control group with a virtual clock, network and disks."""

from collections import deque
from random import Random

from virtual import TICK, Machine, Network

from bronzemoor_core import actions
from bronzemoor_core.actions import SendPeerMessage
from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.consensus import Consensus
from bronzemoor_core.controllers import handles
from bronzemoor_core.events import PeerMessageReceived, StorageSynced, Tick
from bronzemoor_core.internal_events import (
    CommandApplied,
    CommandCommitted,
    CommandCompleted,
    CommandProposed,
    LeadershipChanged,
    QueryReady,
    SnapshotReady,
    SnapshotRequested,
    SnapshotRestored,
)
from bronzemoor_core.messages import HeartbeatReply, JoinRequest
from bronzemoor_core.settings import ControlSettings, NodeSettings
from bronzemoor_core.storage import MemoryStorage
from bronzemoor_core.wire.controlgroup import ControlGroup
from bronzemoor_core.wire.joinsearch import JoinSearch


class Disk:
    """Separates writes from synced state, so that a crash can lose writes."""

    def __init__(self):
        self.storage = MemoryStorage()
        self.unsynced = deque()

    def sync_one(self):
        action = self.unsynced.popleft()
        if isinstance(action, actions.PersistLog):
            self.storage.persist(action)
        else:
            self.storage.save(action)
        return action.sequence


class Values:
    """Replicated state: the values of all commands in the order of application."""

    def __init__(self, cluster):
        self.cluster, self.values = cluster, []

    @handles(CommandCommitted)
    def on_committed(self, now, event):
        known = self.cluster.committed.setdefault(event.index, event.command)
        assert known == event.command, f"entry {event.index} changed"
        assert event.command["n"] not in self.values, "a command was applied twice"
        self.values.append(event.command["n"])
        return [self.applied(event, event.index)]

    @handles(QueryReady)
    def on_query(self, now, event):
        return [self.applied(event, 0)]

    @handles(SnapshotRequested)
    def on_snapshot(self, now, event):
        return [SnapshotReady(0, {"values": list(self.values)})]

    @handles(SnapshotRestored)
    def on_restored(self, now, event):
        self.values = list(event.data["values"])

    def applied(self, event, index):
        result = {"values": list(self.values)}
        return CommandApplied(index, event.command, result, event.origin)


class Joins:
    """Asks to join the group; as leader, keeps it at its size."""

    interval = 0.1

    def __init__(self, name, cluster, log):
        self.name, self.cluster, self.log = name, cluster, log
        self.search = JoinSearch(name, cluster.timers.stale_after)
        self.next_ask = self.led_since = 0.0

    @handles(Tick)
    def on_tick(self, now, event):
        if self.log.established:
            return self.proposed(self.group().surplus_change(now))
        self.led_since = now
        if now < self.next_ask or not self.search.should_ask(now, self.log):
            return []
        self.next_ask = now + self.interval
        return self.ask(self.search.next_target(now, self.log, self.cluster.all_names))

    @handles(PeerMessageReceived)
    def on_message(self, now, event):
        message, sender = event.message, event.sender
        if isinstance(message, HeartbeatReply):
            is_news = self.search.on_answer(now, sender, message.leader)
            is_news = is_news and self.search.should_ask(now, self.log)
            return self.ask(message.leader) if is_news else []
        if not isinstance(message, JoinRequest):
            return []
        reply = HeartbeatReply(0, self.log.leader, [], {}, 0)
        change = self.log.established and self.group().change_for(now, sender)
        return [SendPeerMessage(sender, reply), *self.proposed(change)]

    def ask(self, target):
        return [SendPeerMessage(target, JoinRequest("", 0))] if target else []

    def proposed(self, change):
        return [CommandProposed(change.command, "join", True)] if change else []

    def group(self):
        log, cluster = self.log, self.cluster
        return ControlGroup(
            self.name, log.voters, log.learners, log.last_replies,
            cluster.timers.stale_after, len(cluster.names) // 2, self.led_since,
        )  # fmt: skip


class LogMember(Machine):
    """A daemon that runs only the log and the replicated values."""

    def __init__(self, cluster, name, disk, seed, **settings):
        settings = {"control": True, "control_members": cluster.names, **settings}
        settings = {"timers": cluster.timers, **settings}
        self.settings = NodeSettings(name, "lisbon", **settings)
        blackboard = Blackboard()
        self.consensus = Consensus(blackboard, self.settings, Random(seed))
        self.log, self.disk, self.state = blackboard.log, disk, Values(cluster)
        self.completed, self.replies = [], []
        # The term that this member leads and the voters that it last had in it.
        self.led_group = (0, frozenset())
        joins = [Joins(name, cluster, self.log)] if cluster.joins else []
        super().__init__(cluster, name, self.consensus, self.state, *joins)

    def handle(self, event):
        super().handle(event)
        if self.log.role == "leader":
            term, voters = self.led_group
            self.led_group = (self.log.term, frozenset(self.log.voters))
            changed = self.led_group[1] ^ voters
            assert term != self.log.term or len(changed) <= 1, "majorities are apart"

    def observe(self, event):
        if isinstance(event, CommandCompleted):
            self.completed.append(event)
            self.network.completions.append(event)
        elif isinstance(event, LeadershipChanged) and event.is_leader:
            known = self.network.leaders.setdefault(event.term, self.name)
            assert known == self.name, f"two leaders in term {event.term}"

    def act(self, item):
        if isinstance(item, actions.PersistLog | actions.PersistSnapshot):
            self.disk.unsynced.append(item)
            slow = 0.1 * (self.name in self.network.slow_disks)
            self.network.schedule(self.network.sync_delay + slow, self.sync)
        elif isinstance(item, actions.AdminReply):
            self.replies.append(item)
        return isinstance(item, actions.Action)

    def sync(self):
        if self.network.machines.get(self.name) is self and self.disk.unsynced:
            self.handle(StorageSynced(self.disk.sync_one()))


class Cluster(Network):
    """A control group; ``slow_disks`` names members whose syncs take 100 ms longer.

    With ``spares`` more daemons, all ask to join while they are not in the group.
    """

    def __init__(self, size, seed=1, snapshot_entries=5_000, start=True, spares=0):
        super().__init__(seed)
        self.joins = spares > 0
        self.timers = ControlSettings(
            snapshot_entries=snapshot_entries, stale_after=0.5
        )
        self.names = tuple(f"vm-{number}" for number in range(1, size + 1))
        self.all_names = [f"vm-{number}" for number in range(1, size + spares + 1)]
        self.disks = {name: Disk() for name in self.all_names}
        self.leaders, self.committed, self.completions = {}, {}, []
        self.sync_delay, self.slow_disks = 0.004, set()
        for name in self.names if start else ():
            self.start(name, control_members=self.names)
        for name in self.all_names[size:] if start else ():
            self.start(name)

    @property
    def members(self):
        return list(self.machines.values())

    def start(self, name, rate=1.0, **settings):
        disk = self.disks.setdefault(name, Disk())
        if self.joins:
            peers = dict.fromkeys(self.all_names, "")
            settings = {"control_members": (), "peers": peers, **settings}
        member = LogMember(self, name, disk, self.random.random(), **settings)
        self.machines[name], member.rate = member, rate
        member.handle(disk.storage.recover())
        return member

    def crash(self, name, synced=0):
        """Stops a member after syncing the first ``synced`` of its pending writes."""
        disk = self.disks[name]
        for _ in range(min(synced, len(disk.unsynced))):
            disk.sync_one()
        disk.unsynced.clear()
        self.machines.pop(name, None)

    def lose_disk(self, name):
        """Restarts a member with an empty disk."""
        self.crash(name)
        self.disks[name] = Disk()
        self.start(name)

    def leader(self):
        """The leader of the newest term, or None."""
        leading = [m for m in self.members if m.log.role == "leader"]
        return max(leading, key=lambda member: member.log.term, default=None)

    def elect(self, seconds=2.0):
        """Runs until a leader committed its first entry and its followers know it."""
        for _ in range(int(seconds / TICK)):
            self.run(TICK)
            leader = self.leader()
            if leader and leader.log.established:
                self.run(0.2)
                return leader
        raise AssertionError("no leader")

    def followers(self):
        return [member for member in self.members if member is not self.leader()]

    def propose(self, member, n):
        member.handle(CommandProposed({"type": "set", "n": n}, n))

    def query(self, member, origin):
        command = {"type": "get", "query": True}
        member.handle(CommandProposed(command, origin))
