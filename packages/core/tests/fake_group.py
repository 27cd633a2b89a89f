"""Simulated clock, network, log and endpoints for tests of the control plane."""

import heapq
from random import Random

from bronzemoor_core.actions import AdminReply, Answer, SendOrder, SendPeerMessage
from bronzemoor_core.events import (
    AdminCommand,
    Announcement,
    AnnouncementReceived,
    OrderAnswered,
    OrderFailed,
    PeerMessageReceived,
    Tick,
)
from bronzemoor_core.heartbeats import make_heartbeat, make_reply
from bronzemoor_core.internal_events import (
    CommandApplied,
    CommandCommitted,
    CommandCompleted,
    CommandProposed,
    LeadershipChanged,
    PrimaryChanged,
    QueryReady,
)
from bronzemoor_core.node import Node, make_node
from bronzemoor_core.settings import NodeSettings

CONTROL_PLANE_SECTIONS = ("state", "topology", "failover", "configuration")
OBSERVED_EVENTS = (CommandProposed, CommandApplied, PrimaryChanged)


class ControlPlaneNode(Node):
    """A node with only the control plane; ``seen`` collects its internal events."""

    def __init__(self, settings):
        make_node(settings, Random(0))  # imports and registers the controllers
        super().__init__(settings, Random(settings.name), CONTROL_PLANE_SECTIONS)
        self.internal_events, self.sequence = [], 0
        for kind in OBSERVED_EVENTS:
            self._handlers[kind].append(
                lambda now, event: self.internal_events.append(event)
            )

    def run(self, now, event):
        """Returns the actions and the internal events for other controllers."""
        self.internal_events = []
        return self.handle(now, event) + self.internal_events


class Endpoint:
    """A simulated member that replicates, fences, promotes and confirms writes."""

    def __init__(self, database, name, data_centre, group):
        self.database, self.name, self.data_centre = database, name, data_centre
        self.group, self.role, self.term, self.incarnation = group, "replica", 0, 1
        # Records are (term, number); ``confirmed`` is what a majority acknowledged.
        self.log, self.history, self.confirmed, self.replicated = [], {}, [], {}
        self.last_contact, self.leaving, self.up, self.slow = {}, False, True, 0.0

    def answer(self, now, status="ok", code=""):
        recent = sorted(self.last_contact.values(), reverse=True)[
            : len(self.group) // 2
        ]
        fresh = self.role == "primary" and len(recent) == len(self.group) // 2
        ago = round((now - recent[-1]) * 1000) if fresh else -1
        term = self.log[-1][0] if self.log else 0
        return Answer(0, status, code=code, term=term, offset=len(self.log),
                      role=self.role, confirmed_ago_ms=ago, history=dict(self.history),
                      member=self.name)  # fmt: skip

    def order(self, now, order):
        if order.kind == "ping":
            return self.answer(now)
        if order.term < self.term:
            return self.answer(now, "refused", "stale_term")
        if order.kind == "fence":
            if order.term > self.term:
                self.term = order.term
                self.role = "deposed" if self.role == "primary" else self.role
        elif order.kind == "promote":
            if self.role != "primary":
                if len(self.log) != order.start_offset:
                    return self.answer(now, "refused", "offset_mismatch")
                self.history[order.term] = order.start_offset
                self.replicated, self.last_contact = {}, {}
            self.role, self.term = "primary", order.term
        elif self.role != "primary" or order.term > self.term:
            self.role, self.term = "replica", order.term
            if not self.log or self.log[-1][0] < order.term:
                del self.log[order.start_offset :]
        return self.answer(now)

    def write(self, number):
        if self.up and self.role == "primary":
            self.log.append((self.term, number))

    def replicate(self, now, primary, term, history, log):
        """Replaces the log by the primary's; returns its length, or None if refused."""
        if term < self.term or (term == self.term and self.role == "primary"):
            return None
        self.term, self.role = term, "replica"
        self.log, self.history, self.last_contact = (
            list(log),
            dict(history),
            {primary: now},
        )
        return len(self.log)

    def acknowledge(self, now, member, term, length):
        """Records a replica's acknowledgement and confirms what a majority holds."""
        if term != self.term or self.role != "primary":
            return
        self.last_contact[member] = now
        self.replicated[member] = max(length, self.replicated.get(member, 0))
        lengths = sorted([len(self.log), *self.replicated.values()], reverse=True)
        needed = len(self.group) // 2
        if len(lengths) > needed and lengths[needed] > len(self.confirmed):
            self.confirmed = self.log[: lengths[needed]]

    def announcement(self, now):
        silent = tuple(n for n, at in self.last_contact.items() if now - at > 0.15)
        term = self.log[-1][0] if self.log else 0
        return Announcement(
            self.database, self.name, f"{self.name}:1", self.data_centre, self.role,
            term, len(self.log), self.incarnation, self.group, self.leaving,
            history=dict(self.history), unreachable=silent,
        )  # fmt: skip


class Group:
    """Daemons and endpoints on a simulated clock; all times are in seconds.

    Places are ``region/data centre``. Each delay is multiplied by 1 to ``spread``.
    """

    def __init__(
        self, daemons, control, endpoints, seed=1, loss=0.0, spread=1.0, options=None
    ):
        self.now, self.random, self.loss, self.spread = 0.0, Random(seed), loss, spread
        self.places = daemons | {e.name: e.data_centre for e in endpoints}
        self.control, self.heap, self.count = control, [], 0
        self.tick, self.replicate, self.duplication = 0.01, 0.03, 0.0
        self.endpoints = {e.name: e for e in endpoints}
        self.nodes, self.log, self.leader, self.term = {}, [], "", 0
        self.cut, self.replies, self.changes, self.applied = set(), {}, [], {}
        self.proposed = []
        for name in daemons:
            self.start(name, **(options or {}).get(name, {}))
        for index, name in enumerate(self.endpoints):
            self.at(0.001 * index, self._announce, name)
            self.at(0.002 + 0.001 * index, self._replicate, name)

    def start(self, name, incarnation=1, **options):
        settings = NodeSettings(name, self.places[name], **options)
        settings.incarnation = incarnation
        region = self.places[name].split("/")[0]
        for place in self.places.values():
            settings.delays[place] = 0.0035 if place.startswith(region) else 0.012
        node = self.nodes[name] = ControlPlaneNode(settings)
        self.applied[name] = 0
        self.at(self.random.uniform(0, 0.1), self._heartbeat, name, node)
        self.at(0.001 * len(self.nodes), self._tick, name, node)
        self.at(0.0, self._catch_up, name)

    def at(self, delay, function, *arguments):
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay, self.count, function, arguments))

    def run(self, seconds, until=None):
        """Runs for ``seconds`` or until ``until`` holds; returns whether it held."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.heap)
            function(*arguments)
            if until is not None and until():
                return True
        self.now = end
        return until is None

    # --- network

    def delay(self, a, b):
        a, b = self.places[a], self.places[b]
        base = 0.0002 if a == b else 0.0035 if a[:2] == b[:2] else 0.012
        return base * self.random.uniform(1.0, self.spread)

    def connected(self, a, b):
        """Returns whether both run and no partition separates them."""
        return self._runs(a) and self._runs(b) and (a, b) not in self.cut

    def _runs(self, name):
        endpoint = self.endpoints.get(name)
        return endpoint.up if endpoint else name in self.nodes

    def send(self, a, b, function, *arguments):
        """Calls the function after a delay; messages may be lost or duplicated."""
        for _ in range(2 if self.random.random() < self.duplication else 1):
            self._send_once(a, b, function, *arguments)

    def _send_once(self, a, b, function, *arguments):
        if self.connected(a, b) and self.random.random() >= self.loss:
            self.at(self.delay(a, b), self._deliver, a, b, function, arguments)

    def _deliver(self, a, b, function, arguments):
        if self.connected(a, b):
            function(*arguments)

    def partition(self, left, right):
        """Cuts the connections in both directions between two sets of names."""
        for a in left:
            self.cut |= {pair for b in right for pair in ((a, b), (b, a)) if a != b}

    # --- daemons

    def event(self, name, event):
        if name in self.nodes:
            for item in self.nodes[name].run(self.now, event):
                self._perform(name, item)

    def _tick(self, name, node):
        if self.nodes.get(name) is node:
            self.event(name, Tick())
            self.at(self.tick, self._tick, name, node)

    def _heartbeat(self, name, node):
        if self.nodes.get(name) is not node:
            return
        node.sequence += 1
        blackboard, settings = node.blackboard, node.settings
        heartbeat = make_heartbeat(self.now, blackboard, settings, node.sequence)
        for other in self.control:
            if other == name:
                self._receive_heartbeat(name, name, heartbeat)
            else:
                self.send(name, other, self._receive_heartbeat, name, other, heartbeat)
        self.at(0.1, self._heartbeat, name, node)

    def _receive_heartbeat(self, name, other, heartbeat):
        self.event(other, PeerMessageReceived(name, heartbeat))
        if other == self.leader and self._quorum(other):
            node = self.nodes[other]
            reply = make_reply(self.now, node.blackboard, node.settings, heartbeat, [])
            event = PeerMessageReceived(other, reply)
            self._deliver_once(other, name, self.event, name, event)
            self._deliver_once(other, name, self._catch_up, name)

    def _deliver_once(self, a, b, function, *arguments):
        """Calls the function at most once, like the log's own messages."""
        if a == b:
            function(*arguments)
        else:
            self._send_once(a, b, function, *arguments)

    def _perform(self, name, item):
        if isinstance(item, SendPeerMessage):
            assert item.recipient != name
            event = PeerMessageReceived(name, item.message)
            self.send(name, item.recipient, self.event, item.recipient, event)
        elif isinstance(item, SendOrder):
            self._order(name, item)
        elif isinstance(item, CommandProposed):
            self.proposed.append((self.now, name, item.command))
            self._deliver_once(
                name, self.leader, self._propose, name, self.leader, item
            )
        elif isinstance(item, AdminReply):
            assert item.ticket not in self.replies, "a ticket was answered twice"
            self.replies[item.ticket] = item
        elif isinstance(item, CommandApplied):
            self._complete(name, item)
        elif isinstance(item, PrimaryChanged):
            self.changes.append((self.now, name, item))

    def _order(self, name, item):
        order, ended = item.order, []

        def end(event):
            if not ended:
                ended.append(event)
                self.event(name, event)

        def execute():
            endpoint = self.endpoints[order.member]
            answer = OrderAnswered(order, endpoint.order(self.now, order))
            self.at(endpoint.slow, self.send, order.member, name, end, answer)

        self.send(name, order.member, execute)
        self.at(item.timeout, end, OrderFailed(order, "timeout"))

    def admin(self, name, ticket, command, **arguments):
        self.event(name, AdminCommand(ticket, command, arguments, "operator", 1.0))

    # --- the replicated log

    def lead(self, name):
        self.leader, self.term = name, self.term + 1
        self._catch_up(name)
        for other in self.control:
            self.event(other, LeadershipChanged(name, self.term, other == name))

    def recover(self):
        """Restarts crashed control members and elects another leader."""
        for name in self.control:
            if name not in self.nodes:
                self.start(name, incarnation=2)
        self.lead(self.control[1])

    def _quorum(self, leader):
        reached = [o for o in self.control if o == leader or self.connected(leader, o)]
        return leader in self.nodes and len(reached) > len(self.control) // 2

    def _propose(self, name, leader, item):
        others = sorted(self.delay(leader, o) for o in self.control if o != leader)
        commit = 2 * others[len(self.control) // 2 - 1] if others else 0.0
        self.at(commit, self._commit, name, leader, self.term, item)

    def _commit(self, name, leader, term, item):
        if (leader, term) != (self.leader, self.term) or not self._quorum(leader):
            return
        if item.command.get("query"):
            query = QueryReady(item.command, (name, item.origin))
            self.event(leader, query)
            return
        self.log.append((item.command, (name, item.origin)))
        for other in self.control:
            self._deliver_once(leader, other, self._catch_up, other)

    def _catch_up(self, name):
        while name in self.control and self.applied[name] < len(self.log):
            index = self.applied[name] = self.applied[name] + 1
            command, origin = self.log[index - 1]
            if name == self.leader:  # answers the proposer, once
                self.log[index - 1] = (command, None)
            else:
                origin = None
            event = CommandCommitted(index, self.term, command, origin)
            self.event(name, event)

    def _complete(self, leader, item):
        if item.origin:
            name, origin = item.origin
            done = CommandCompleted(origin, item.result["code"], "", item.result)
            self._deliver_once(leader, name, self.event, name, done)

    # --- endpoints

    def _announce(self, name):
        endpoint = self.endpoints[name]
        for daemon in self.nodes:
            if self.places[daemon] == endpoint.data_centre:
                event = AnnouncementReceived(endpoint.announcement(self.now))
                self.send(name, daemon, self.event, daemon, event)
        self.at(0.1, self._announce, name)

    def _replicate(self, name):
        endpoint = self.endpoints[name]
        if endpoint.role == "primary":
            for other in endpoint.group:
                if other != name:
                    state = (endpoint.term, dict(endpoint.history), tuple(endpoint.log))
                    self.send(name, other, self._receive_log, name, other, *state)
        self.at(self.replicate, self._replicate, name)

    def _receive_log(self, name, other, term, history, log):
        length = self.endpoints[other].replicate(self.now, name, term, history, log)
        if length is not None:
            acknowledge = self.endpoints[name].acknowledge
            self.send(other, name, lambda: acknowledge(self.now, other, term, length))

    def primary(self, database, daemon):
        """Returns the database's primary as known to a daemon."""
        known = self.nodes[daemon].blackboard.topology.databases.get(database)
        return known.primary if known else ""
