"""Virtual clock, network, log and endpoints for tests of the control plane."""

import heapq
from random import Random

from bronzemoor_core import messages as m
from bronzemoor_core.actions import AdminReply, Answer, SendOrder, SendPeerMessage
from bronzemoor_core.controllers import CONTROLLER_TYPES
from bronzemoor_core.detectors import local_suspicions
from bronzemoor_core.distribution import committed_versions, held_versions
from bronzemoor_core.events import (
    AdminCommand,
    Announcement,
    AnnouncementReceived,
    CommandApplied,
    CommandCommitted,
    CommandCompleted,
    CommandProposed,
    LeadershipChanged,
    OrderAnswered,
    OrderFailed,
    PeerMessageReceived,
    PrimaryChanged,
    QueryReady,
    SnapshotReady,
    TemplateChanged,
    Tick,
)
from bronzemoor_core.node import Node, make_node
from bronzemoor_core.relays import member_summaries, topology_digest
from bronzemoor_core.settings import NodeSettings

PART = ("state", "topology", "failover", "configuration")
OUTSIDE = (
    CommandProposed,
    CommandApplied,
    PrimaryChanged,
    TemplateChanged,
    SnapshotReady,
)


class Part(Node):
    """A node with the control plane only; ``seen`` collects its internal events."""

    def __init__(self, settings):
        make_node(settings, Random(0))  # registers the controllers
        super().__init__(settings, Random(settings.name), PART)
        self.seen = []
        for kind in OUTSIDE:
            self._handlers[kind].append(lambda now, event: self.seen.append(event))
        assert set(PART) <= set(CONTROLLER_TYPES)

    def run(self, now, event):
        """Returns the actions and the internal events meant for other controllers."""
        self.seen = []
        return self.handle(now, event) + self.seen


class Endpoint:
    """A member that replicates, fences, promotes and confirms like the real one."""

    def __init__(self, database, name, data_centre, group):
        self.database, self.name, self.data_centre = database, name, data_centre
        self.group, self.role, self.term, self.incarnation = group, "replica", 0, 1
        self.log, self.history, self.confirmed = [], {}, []
        self.peers_heard, self.acknowledged, self.leaving = {}, {}, False
        self.up, self.slow = True, 0.0

    def order(self, now, order):
        fields = {"correlation_id": order.correlation_id, "member": self.name}
        if order.kind != "ping":
            if order.term < self.term:
                return Answer(
                    status="refused", code="old_term", term=self.term, **fields
                )
            if order.kind == "promote":
                self._join(order, "primary")
                self.acknowledged = {}
            elif order.kind == "follow":
                self._join(order, "replica")
            elif order.term > self.term:
                self.term, self.role = order.term, "replica"
        heard = sorted(self.peers_heard.values(), reverse=True)
        reached = heard[: len(self.group) // 2]
        ago = round((now - reached[-1]) * 1000) if len(reached) else -1
        return Answer(
            status="ok",
            term=self.term,
            offset=len(self.log),
            role=self.role,
            confirmed_ago_ms=ago if self.role == "primary" else -1,
            history=dict(self.history),
            **fields,
        )

    def _join(self, order, role):
        if order.term not in self.history or role == "replica" != self.role:
            del self.log[order.start_offset :]
        self.term, self.role = order.term, role
        self.history = {t: s for t, s in self.history.items() if t < order.term}
        self.history[order.term] = order.start_offset

    def replicate(self, now, primary, term, history, log):
        """Takes the primary's log; returns the length held, or None when refused."""
        if term < self.term:
            return None
        self.term, self.role = term, "replica"
        self.log, self.history = list(log), dict(history)
        self.peers_heard[primary] = now
        return len(self.log)

    def acknowledge(self, now, member, term, length):
        """Notes a replica's answer and confirms what a majority holds."""
        if term != self.term or self.role != "primary":
            return
        self.peers_heard[member] = now
        self.acknowledged[member] = max(length, self.acknowledged.get(member, 0))
        held = sorted([len(self.log), *self.acknowledged.values()], reverse=True)
        needed = len(self.group) // 2 + 1
        if len(held) >= needed:
            self.confirmed = self.log[: max(held[needed - 1], len(self.confirmed))]

    def announcement(self, now):
        silent = [n for n, at in self.peers_heard.items() if now - at > 0.15]
        others = tuple(silent) if self.role == "primary" or silent else ()
        return Announcement(
            database=self.database,
            member=self.name,
            address=f"{self.name}:1",
            data_centre=self.data_centre,
            role=self.role,
            term=self.term,
            offset=len(self.log),
            incarnation=self.incarnation,
            members=self.group,
            leaving=self.leaving,
            history=dict(self.history),
            unreachable=others,
        )


class Group:
    """Daemons and endpoints on one virtual clock; all times in seconds."""

    def __init__(self, daemons, control, endpoints, seed=1, loss=0.0, spread=1.0):
        """``daemons`` maps a name to its data centre, ``R/dc`` with its region."""
        self.now, self.random, self.loss, self.spread = 0.0, Random(seed), loss, spread
        self.places, self.control, self.heap, self.count = dict(daemons), control, [], 0
        self.places |= {e.name: e.data_centre for e in endpoints}
        self.endpoints = {e.name: e for e in endpoints}
        self.nodes, self.log, self.leader, self.term = {}, [], "", 0
        self.cut, self.replies, self.changes, self.applied = set(), {}, [], {}
        self.writes, self.sequence = 0, 0
        for name in daemons:
            self.start(name)
        for index, endpoint in enumerate(endpoints):
            self.at(0.001 * index, self._announce, endpoint.name)
            self.at(0.002 + 0.001 * index, self._replicate, endpoint.name)

    def start(self, name, incarnation=1):
        settings = NodeSettings(name, self.places[name], incarnation=incarnation)
        settings.control_members = tuple(self.control)
        node = self.nodes[name] = Part(settings)
        self.applied[name] = 0
        offset = 0.001 * len(self.nodes)
        self.at(offset, self._tick, name, node)
        self.at(offset, self._heartbeat, name, node)
        if name in self.control:
            self.at(0.0, self._catch_up, name)

    def at(self, delay, function, *arguments):
        self.count += 1
        entry = (self.now + delay, self.count, function, arguments)
        heapq.heappush(self.heap, entry)

    def run(self, seconds, until=None):
        """Runs for ``seconds`` or until the condition holds; tells which."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.heap)
            function(*arguments)
            if until is not None and until():
                return True
        self.now = end
        return until is None

    def delay(self, a, b):
        a, b = self.places[a], self.places[b]
        base = 0.0002 if a == b else 0.0035
        if a.split("/")[0] != b.split("/")[0]:
            base = 0.012
        return base * self.random.uniform(1.0, self.spread)

    def connected(self, a, b):
        up = all(self.endpoints[n].up for n in (a, b) if n in self.endpoints)
        up &= all(n in self.nodes for n in (a, b) if n in self.applied)
        return up and (a, b) not in self.cut

    def send(self, a, b, function, *arguments):
        """Delivers one message from ``a`` to ``b`` unless it is lost."""
        if self.connected(a, b) and self.random.random() >= self.loss:
            self.at(self.delay(a, b), self._deliver, b, function, arguments)

    def partition(self, left, right):
        """Cuts both directions between two sets of names."""
        self.cut |= {(a, b) for a in left for b in right if a != b}
        self.cut |= {(b, a) for a in left for b in right if a != b}

    def _deliver(self, b, function, arguments):
        if b in self.nodes or (b in self.endpoints and self.endpoints[b].up):
            function(*arguments)

    # --- daemons

    def event(self, name, event):
        node = self.nodes.get(name)
        for item in node.run(self.now, event) if node else ():
            self._perform(name, item)

    def _tick(self, name, node):
        if self.nodes.get(name) is node:
            self.event(name, Tick())
            self.at(0.01, self._tick, name, node)

    def _heartbeat(self, name, node):
        if self.nodes.get(name) is not node:
            return
        board, settings = node.blackboard, node.settings
        self.sequence += 1
        beat = m.Heartbeat(
            incarnation=settings.incarnation,
            data_centre=settings.data_centre,
            sequence=self.sequence,
            versions=held_versions(board),
            demands=[],
            suspicions=local_suspicions(self.now, board),
            members=member_summaries(self.now, board, settings.timers),
            subscriptions=list(settings.organisations),
        )
        for other in self.control:
            if other != name:
                self.send(name, other, self._take_heartbeat, name, other, beat)
        self.at(0.1, self._heartbeat, name, node)

    def _take_heartbeat(self, name, other, beat):
        self.event(other, PeerMessageReceived(name, beat))
        if other == self.leader and other in self.nodes and self._quorum(other):
            board = self.nodes[other].blackboard
            reply = m.HeartbeatReply(
                sequence=beat.sequence,
                leader=other,
                shares=[],
                versions=committed_versions(board, beat.subscriptions),
                topology_digest=topology_digest(board, beat.subscriptions),
            )
            event = PeerMessageReceived(other, reply)
            self.send(other, name, self.event, name, event)

    def _perform(self, name, item):
        if isinstance(item, SendPeerMessage):
            event = PeerMessageReceived(name, item.message)
            self.send(name, item.recipient, self.event, item.recipient, event)
        elif isinstance(item, SendOrder):
            self._order(name, item)
        elif isinstance(item, CommandProposed):
            self._propose(name, item)
        elif isinstance(item, AdminReply):
            assert item.ticket not in self.replies, "a ticket was answered twice"
            self.replies[item.ticket] = item
        elif isinstance(item, PrimaryChanged):
            self.changes.append((self.now, name, item))

    def _order(self, name, item):
        order, answered = item.order, []

        def back(answer):
            if not answered:
                answered.append(1)
                self.event(name, OrderAnswered(order, answer))

        def there():
            endpoint = self.endpoints[order.member]
            answer = endpoint.order(self.now, order)
            self.at(endpoint.slow, self.send, order.member, name, back, answer)

        def late():
            if not answered:
                answered.append(1)
                self.event(name, OrderFailed(order, "timeout"))

        self.send(name, order.member, there)
        self.at(item.timeout, late)

    def admin(self, name, ticket, command, **arguments):
        self.event(name, AdminCommand(ticket, command, arguments, "operator", 1.0))

    # --- the replicated log

    def lead(self, name):
        self.leader, self.term = name, self.term + 1
        for other in self.control:
            self.event(other, LeadershipChanged(name, self.term, other == name))

    def _quorum(self, leader):
        reached = sum(
            other == leader or self.connected(leader, other) and other in self.nodes
            for other in self.control
        )
        return reached > len(self.control) // 2

    def _propose(self, name, item):
        leader, term = self.leader, self.term
        if leader not in self.nodes or (
            name != leader and not self.connected(name, leader)
        ):
            return
        there = 0.0 if name == leader else self.delay(name, leader)
        peers = sorted(self.delay(leader, o) for o in self.control if o != leader)
        commit = 2 * peers[len(self.control) // 2 - 1] if peers else 0.0
        self.at(there + commit, self._commit, name, leader, term, item)

    def _commit(self, name, leader, term, item):
        if (leader, term) != (self.leader, self.term) or not self._quorum(leader):
            return
        if leader not in self.nodes:
            return
        if item.command.get("query"):
            events = self.nodes[leader].run(self.now, QueryReady(item.command, 0))
            self._complete(name, leader, item, events)
            return
        self.log.append(item.command)
        for other in self.control:
            if other != leader:
                self.at(self.delay(leader, other), self._catch_up, other)
        self._catch_up(leader, (name, item))

    def _catch_up(self, name, proposal=None):
        while name in self.nodes and self.applied[name] < len(self.log):
            index = self.applied[name] = self.applied[name] + 1
            event = CommandCommitted(index, self.term, self.log[index - 1])
            events = self.nodes[name].run(self.now, event)
            for item in events:
                self._perform(name, item)
            if proposal is not None and index == len(self.log):
                self._complete(proposal[0], name, proposal[1], events)

    def _complete(self, name, leader, item, events):
        for event in events:
            if isinstance(event, CommandApplied):
                result = event.result
                done = CommandCompleted(item.origin, result["code"], "", result)
                if name == leader:
                    self.event(name, done)
                else:
                    self.send(leader, name, self.event, name, done)

    # --- endpoints

    def _announce(self, name):
        endpoint = self.endpoints[name]
        if endpoint.up:
            for daemon in self.nodes:
                if self.places[daemon] == endpoint.data_centre:
                    event = AnnouncementReceived(endpoint.announcement(self.now))
                    self.send(name, daemon, self.event, daemon, event)
        self.at(0.1, self._announce, name)

    def _replicate(self, name):
        endpoint = self.endpoints[name]
        if endpoint.up and endpoint.role == "primary":
            for other in endpoint.group:
                if other != name:
                    log = tuple(endpoint.log)
                    arguments = (name, endpoint.term, dict(endpoint.history), log)
                    self.send(name, other, self._take_log, other, *arguments)
        self.at(0.05, self._replicate, name)

    def _take_log(self, other, name, term, history, log):
        held = self.endpoints[other].replicate(self.now, name, term, history, log)
        if held is not None:
            acknowledge = self.endpoints[name].acknowledge
            self.send(other, name, lambda: acknowledge(self.now, other, term, held))

    def primary(self, database, daemon=None):
        """The database's primary as a daemon knows it."""
        topology = self.nodes[daemon or self.leader].blackboard.topology
        known = topology.databases.get(database)
        return known.primary if known else ""
