"""A control group on a virtual clock, a list of messages and disks in memory."""

import heapq
from collections import deque
from random import Random

from bronzemoor_core import actions, events
from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.consensus import Consensus
from bronzemoor_core.controllers import handles
from bronzemoor_core.settings import ControlSettings, NodeSettings
from bronzemoor_core.storage import MemoryStorage

TICK = 0.01


class Disk:
    """Keeps writes apart from what is synced, so that a crash can lose them."""

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
    """The replicated state: the values of the commands in the order applied."""

    def __init__(self, cluster):
        self.cluster, self.values = cluster, []

    @handles(events.CommandCommitted)
    def on_committed(self, now, event):
        known = self.cluster.committed.setdefault(event.index, event.command)
        assert known == event.command, f"entry {event.index} changed"
        assert event.command["n"] not in self.values, "a command was applied twice"
        self.values.append(event.command["n"])
        return [self.applied(event, event.index)]

    @handles(events.QueryReady)
    def on_query(self, now, event):
        return [self.applied(event, 0)]

    @handles(events.SnapshotRequested)
    def on_snapshot(self, now, event):
        return [events.SnapshotReady(0, {"values": list(self.values)})]

    @handles(events.SnapshotRestored)
    def on_restored(self, now, event):
        self.values = list(event.data["values"])

    def applied(self, event, index):
        result = {"values": list(self.values)}
        return events.CommandApplied(index, event.command, result, event.origin)


class LogMember:
    """One daemon with nothing but the log and the values."""

    def __init__(self, cluster, name, disk, seed, **settings):
        self.cluster, self.name, self.disk, self.rate = cluster, name, disk, 1.0
        settings = {"control": True, "control_members": cluster.names, **settings}
        settings = {"timers": cluster.timers, **settings}
        self.settings = NodeSettings(name, "lisbon", **settings)
        blackboard = Blackboard()
        self.consensus = Consensus(blackboard, self.settings, Random(seed))
        self.log = blackboard.log
        self.state = Values(cluster)
        self.completed, self.replies = [], []
        self.handlers = {}
        for owner in (self.consensus, self.state):
            for name in dir(owner):
                method = getattr(owner, name)
                for kind in getattr(method, "event_types", ()):
                    self.handlers.setdefault(kind, []).append(method)

    def handle(self, event):
        pending = deque([event])
        while pending:
            current = pending.popleft()
            self.observe(current)
            for handler in self.handlers.get(type(current), ()):
                for item in handler(self.cluster.now * self.rate, current) or ():
                    if isinstance(item, actions.Action):
                        self.act(item)
                    else:
                        pending.append(item)

    def observe(self, event):
        if isinstance(event, events.CommandCompleted):
            self.completed.append(event)
            self.cluster.completions.append(event)
        elif isinstance(event, events.LeadershipChanged) and event.is_leader:
            known = self.cluster.leaders.setdefault(event.term, self.name)
            assert known == self.name, f"two leaders in term {event.term}"

    def act(self, action):
        if isinstance(action, actions.SendPeerMessage):
            self.cluster.send(self.name, action.recipient, action.message)
        elif isinstance(action, actions.PersistLog | actions.PersistSnapshot):
            self.disk.unsynced.append(action)
            delay = self.cluster.sync_delay
            if self.name in self.cluster.slow_disks:
                delay += 0.1
            self.cluster.schedule(delay, ("sync", self, action))
        elif isinstance(action, actions.AdminReply):
            self.replies.append(action)


class Cluster:
    """Members, their clocks and disks, and the messages between them.

    ``loss`` and ``duplication`` are probabilities; every message takes up to twice
    ``delay`` seconds. ``cut`` holds the names that reach nobody, ``slow_disks`` those
    whose syncs take 100 ms longer.
    """

    def __init__(self, size, seed=1, snapshot_entries=5_000, start=True):
        self.now, self.random = 0.0, Random(seed)
        self.timers = ControlSettings(
            snapshot_entries=snapshot_entries, stale_after=0.5
        )
        self.names = tuple(f"vm-{number}" for number in range(1, size + 1))
        self.members, self.disks = {}, {name: Disk() for name in self.names}
        self.leaders, self.committed, self.completions = {}, {}, []
        self.queue, self.count, self.sent = [], 0, []
        self.loss = self.duplication = 0.0
        self.delay, self.sync_delay = 0.005, 0.004
        self.cut, self.slow_disks = set(), set()
        for name in self.names if start else ():
            self.start(name)

    def start(self, name, rate=1.0, **settings):
        """Starts a member whose clock runs at ``rate``."""
        disk = self.disks.setdefault(name, Disk())
        member = LogMember(self, name, disk, self.random.random(), **settings)
        self.members[name], member.rate = member, rate
        member.handle(disk.storage.recover())
        return member

    def crash(self, name, synced=0):
        """Stops a member; ``synced`` of its open writes reach the disk before."""
        disk = self.disks[name]
        for _ in range(min(synced, len(disk.unsynced))):
            disk.sync_one()
        disk.unsynced.clear()
        self.members.pop(name, None)

    def schedule(self, delay, item):
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, item))

    def send(self, sender, recipient, message):
        self.sent.append((sender, recipient, message))
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(0.2, 2.0) * self.delay
                self.schedule(delay, ("message", sender, recipient, message))

    def run(self, seconds):
        """Advances the clock; ticks, messages and syncs happen when they are due."""
        end = self.now + seconds
        while self.now < end:
            limit = min(end, self.now + TICK)
            while self.queue and self.queue[0][0] <= limit:
                self.now, _, item = heapq.heappop(self.queue)
                self.deliver(item)
            self.now = limit
            for member in list(self.members.values()):
                member.handle(events.Tick())

    def deliver(self, item):
        if item[0] == "sync":
            _, member, action = item
            if self.members.get(member.name) is member and member.disk.unsynced:
                member.handle(events.StorageSynced(member.disk.sync_one()))
            return
        _, sender, recipient, message = item
        apart = (sender in self.cut) != (recipient in self.cut)
        if recipient in self.members and not apart:
            event = events.PeerMessageReceived(sender, message)
            self.members[recipient].handle(event)

    def leader(self):
        """The leader of the newest term, or None."""
        leading = [m for m in self.members.values() if m.log.role == "leader"]
        return max(leading, key=lambda member: member.log.term, default=None)

    def elect(self, seconds=2.0):
        """Runs until there is a leader that committed its first entry."""
        for _ in range(int(seconds / TICK)):
            self.run(TICK)
            leader = self.leader()
            if leader and leader.log.commit_index and leader.log.applied_index:
                return leader
        raise AssertionError("no leader")

    def propose(self, member, n):
        member.handle(events.CommandProposed({"type": "set", "n": n}, n))

    def query(self, member, origin):
        command = {"type": "get", "query": True}
        member.handle(events.CommandProposed(command, origin))
