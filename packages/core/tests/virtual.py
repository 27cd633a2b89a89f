"""Runs controllers on a virtual clock and an unreliable simulated network."""

import heapq
from collections import deque
from random import Random

from bronzemoor_core.actions import SendPeerMessage
from bronzemoor_core.events import PeerMessageReceived, Tick

TICK = 0.01


class Machine:
    """Runs some controllers of one daemon; its clock runs at ``rate``.

    Subclasses may record events in ``seen`` and performed actions in ``done``.
    """

    def __init__(self, network, name, *controllers):
        self.network, self.name, self.rate = network, name, 1.0
        self.seen, self.done, self.handlers = [], [], {}
        for owner in controllers:
            for attribute in dir(owner):
                method = getattr(owner, attribute)
                for kind in getattr(method, "event_types", ()):
                    self.handlers.setdefault(kind, []).append(method)

    @property
    def now(self):
        return self.network.now * self.rate

    def handle(self, event):
        pending = deque([event])
        while pending:
            current = pending.popleft()
            self.observe(current)
            for handler in self.handlers.get(type(current), ()):
                for item in handler(self.now, current) or ():
                    if isinstance(item, SendPeerMessage):
                        self.network.send(self.name, item.recipient, item.message)
                    elif not self.act(item):
                        pending.append(item)
        self.network.check()

    def observe(self, event):
        """Called with every event before its handlers."""

    def act(self, item):
        """Performs an action; returns a false value for an event."""


class Network:
    """Machines by name, and the messages between them.

    ``loss`` and ``duplication`` are probabilities; a message takes up to twice
    ``delay`` seconds. ``cut`` names one side of a partition, ``muted`` machines whose
    messages are lost.
    """

    def __init__(self, seed):
        self.now, self.random, self.machines = 0.0, Random(seed), {}
        self.queue, self.count, self.sent = [], 0, []
        self.loss = self.duplication = 0.0
        self.delay = 0.005
        self.cut, self.muted = set(), set()

    def schedule(self, delay, function, *arguments):
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, function, arguments))

    def send(self, sender, recipient, message):
        self.sent.append((sender, recipient, message))
        for _ in range(2 if self.random.random() < self.duplication else 1):
            if sender not in self.muted and self.random.random() >= self.loss:
                delay = self.random.uniform(0.2, 2.0) * self.delay
                self.schedule(delay, self.deliver, sender, recipient, message)

    def deliver(self, sender, recipient, message):
        apart = (sender in self.cut) != (recipient in self.cut)
        if recipient in self.machines and not apart:
            event = PeerMessageReceived(sender, message)
            self.machines[recipient].handle(event)

    def run(self, seconds):
        """Advances the clock and delivers ticks and messages when they are due."""
        end = self.now + seconds
        while self.now < end:
            limit = min(end, self.now + TICK)
            while self.queue and self.queue[0][0] <= limit:
                self.now, _, function, arguments = heapq.heappop(self.queue)
                function(*arguments)
            self.now = limit
            for machine in list(self.machines.values()):
                machine.handle(Tick())

    def check(self):
        """Called after every event; subclasses check invariants here."""

    def messages(self, kind):
        """Returns the messages of one type in the order sent."""
        return [message for _, _, message in self.sent if isinstance(message, kind)]
