"""Proxies and control leaders that divide quotas over an unreliable network."""

from bisect import bisect
from collections import Counter
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from bronzemoor_core.wire.deployment import Organisation
from bronzemoor_core.wire.freshness import SampleExchange
from bronzemoor_core.wire.leases import LEASE_SECONDS
from bronzemoor_core.wire.quotaledger import DELIVERY_SECONDS, QuotaLedger
from bronzemoor_core.wire.quotas import TokenPurse
from bronzemoor_core.wire.quotasettings import TOKEN_EXTENSION_SECONDS, QuotaSettings
from bronzemoor_core.wire.reportorder import ReportAge, ReportOrder

SETTINGS = QuotaSettings()
REPORT_INTERVAL = 0.5
POLL_INTERVAL = 0.1
WAIT = 0.4


class Leader:
    def __init__(self, world, term):
        self.term = term
        self.confirmed_at = world.now
        self.order, self.samples = ReportOrder(), SampleExchange()
        self.ledger = QuotaLedger(
            SETTINGS, world.now, term, world.holders, world.random, world.marks
        )
        self.recorded = set(world.holders)
        self.ledger.set_organisations(world.organisations)
        self.numbers = count(1)

    def on_report(self, world, proxy, report):
        incarnation, sequence, term, last_grant, items = report
        age = self.order.classify(proxy.name, incarnation, sequence)
        if age is ReportAge.LATE:
            return
        if age is ReportAge.NEW_PROCESS:
            self.ledger.process_ended(proxy.name)
        if self is world.leader:
            self.confirmed_at = world.now
        process = f"{proxy.name}#{incarnation}"
        lease = max(0.0, self.confirmed_at + LEASE_SECONDS - world.now)
        grants = []
        if term == self.term:
            after = self.samples.granted_at(proxy.name, last_grant)
            granting = lease > 0 and process in self.recorded
            grants = self.ledger.on_report(
                world.now, proxy.name, process, after, items, granting
            )
            if items and self is world.leader:
                self.recorded.add(process)
                world.holders.add(process)
        if self is world.leader:
            marks = set(self.ledger.to_mark)
            world.marks -= set(self.ledger.unmark_calm(world.now))
            world.marks |= marks
            self.ledger.mark(marks)
        number = next(self.numbers)
        self.samples.granted(world.now, proxy.name, number)
        answer = (sequence, self.term, lease, number, grants)
        world.send(lambda: proxy.on_grant(world, answer), proxy)


class Proxy:
    def __init__(self, world, name):
        self.name = name
        self.frozen_until = self.cut_until = 0.0
        self.start(world)

    def start(self, world):
        """Starts another process, which knows nothing."""
        self.incarnation = next(world.incarnations)
        self.purse = TokenPurse(SETTINGS)
        self.leader = world.leader
        self.sequence = self.last_grant = self.term = 0
        self.sent_at = {}
        self.reported_at = float("-inf")
        self.waiting, self.is_due = [], False

    def learn(self, leader):
        if leader.term > self.leader.term:
            self.leader = leader

    def report(self, world):
        self.sequence += 1
        self.reported_at = self.sent_at[self.sequence] = world.now
        self.is_due = False
        leader, items = self.leader, self.purse.build_report(world.now, self.sequence)
        world.items += len(items)
        message = (self.incarnation, self.sequence, self.term, self.last_grant, items)
        world.send(lambda: leader.on_report(world, self, message), self)

    def on_grant(self, world, answer):
        sequence, term, lease, number, grants = answer
        if term < self.term or sequence not in self.sent_at:
            return
        sent_at = self.sent_at.pop(sequence)
        self.term, self.last_grant = term, number
        expires = sent_at + lease + TOKEN_EXTENSION_SECONDS if lease else 0.0
        if self.purse.apply_grant(world.now, term, sequence, expires, grants):
            self.report(world)
        for item in list(self.waiting):
            name, _ = item
            token = self.purse.reserve(world.now, name)
            if token is not None:
                self.serve(world, name, token)
            elif not self.purse.exhausted_for(world.now, name):
                continue
            else:
                world.refuse(name)
            self.waiting.remove(item)
            self.purse.wait(world.now, name, -1)

    def operation(self, world, name):
        world.demanded[name].append(world.now)
        self.purse.arrived(world.now, name)
        token = self.purse.reserve(world.now, name)
        if token is not None:
            self.serve(world, name, token)
        elif self.purse.exhausted_for(world.now, name):
            world.refuse(name)
        else:
            self.waiting.append((name, world.now + WAIT))
            self.purse.wait(world.now, name, 1)

    def serve(self, world, name, token):
        if self.purse.spend(world.now, name, token):
            delay = world.random.random() * world.max_delivery
            world.served[name].append(world.now + delay)
            self.is_due |= self.purse.is_report_due(name)

    def tick(self, world):
        for item in [item for item in self.waiting if item[1] <= world.now]:
            self.waiting.remove(item)
            self.purse.wait(world.now, item[0], -1)
            world.refuse(item[0])
        idle = world.now - self.reported_at
        if idle >= REPORT_INTERVAL or (
            (self.waiting or self.is_due) and idle >= POLL_INTERVAL
        ):
            self.report(world)


class World:
    """Runs in steps of 10 ms."""

    STEP = 0.01

    def __init__(self, seed, proxies, max_delivery=DELIVERY_SECONDS, **limits):
        self.now, self.random = 100.0, Random(seed)
        self.max_delivery = max_delivery
        self.incarnations, self._order = count(1), count()
        self.loss = self.late = 0.0
        self.set_limits(**limits)
        # The replicated record, which only the current leader changes.
        self.holders, self.marks = set(), set()
        self.leader = Leader(self, 1)
        self.proxies = [Proxy(self, f"p{n}") for n in range(proxies)]
        for proxy in self.proxies:
            proxy.reported_at = self.now - REPORT_INTERVAL * self.random.random()
        self.served = {name: [] for name in limits}
        self.demanded = {name: [] for name in limits}
        # All refusals, and those while the clients asked for no more than the limit.
        self.refused, self.refused_below = Counter(), Counter()
        self.items = 0
        self._messages = []

    def set_limits(self, **limits):
        self.organisations = {
            name: Organisation(name, (), rate=rate, burst=burst)
            for name, (rate, burst) in limits.items()
        }

    def refuse(self, name):
        limit = self.organisations[name]
        nominal = limit.rate * SETTINGS.window + limit.burst
        demanded = self.demanded[name]
        recent = len(demanded) - bisect(demanded, self.now - SETTINGS.window)
        self.refused[name] += 1
        self.refused_below[name] += recent <= nominal

    def send(self, deliver, proxy):
        if self.now < proxy.cut_until or self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            delay = 0.001 + 0.02 * self.random.random()
            if self.random.random() < self.late:
                delay += 5 * self.random.random()
            heappush(self._messages, (self.now + delay, next(self._order), deliver))

    def replace_leader(self, learned_within):
        """Elects another leader, of which proxies learn within some time."""
        self.leader = Leader(self, self.leader.term + 1)
        for proxy in self.proxies:
            learned_at = self.now + learned_within * self.random.random()
            learn = partial(proxy.learn, self.leader)
            heappush(self._messages, (learned_at, next(self._order), learn))

    def run(self, seconds, demand):
        """``demand`` gives the operations per second by proxy number and name."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.STEP
            while self._messages and self._messages[0][0] <= self.now:
                heappop(self._messages)[2]()
            for number, proxy in enumerate(self.proxies):
                if self.now < proxy.frozen_until:
                    continue
                for name in self.organisations:
                    rate = demand.get((number, name), demand.get(name, 0.0))
                    for _ in range(int(rate * self.STEP + self.random.random())):
                        proxy.operation(self, name)
                proxy.tick(self)

    def most_in_window(self, name, since=0.0):
        """Returns the largest number of operations in any window."""
        times = sorted(time for time in self.served[name] if time >= since)
        first = most = 0
        for last, time in enumerate(times):
            while times[first] <= time - SETTINGS.window:
                first += 1
            most = max(most, last - first + 1)
        return most


def highest(rate, burst):
    """Returns the most operations that any window may have."""
    nominal = rate * SETTINGS.window + burst
    return int(nominal * (1 + SETTINGS.overage) + SETTINGS.slack)
