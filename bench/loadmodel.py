"""A model of the proxies of six data centres and the three members of one group."""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random

from bronzemoor_core.wire.loadbalance import LoadFigures, choose_by_load
from bronzemoor_core.wire.loadexchange import (
    LoadAverage,
    LoadExchange,
    decode_loads,
    encode_load,
)
from bronzemoor_core.wire.memberfailures import FailureRecord
from bronzemoor_core.wire.placement import sort_by_expected_delay

PROXIES, ZONES, SLOTS, QUEUE = 132, 6, 5, 8
SERVICE = 0.070
# Zones 0 and 1 are in one region, and so on; the members are in zones 0, 2 and 4.
MEMBERS = {"a": 0, "b": 2, "c": 4}
REPORT_SECONDS, SAMPLE_SECONDS = 0.5, 0.1


def one_way(zone: int, other: int) -> float:
    if zone == other:
        return 0.0002
    return 0.003 if zone // 2 == other // 2 else 0.012


class Member:
    """Executes five statements at once and refuses those beyond its queue."""

    def __init__(self) -> None:
        self.busy, self.queue, self.slowness = 0, deque(), 1.0
        self.failing_zones: set[int] = set()
        self.arrived = self.rejected = 0
        self.work = 0.0


class View:
    """A member as one proxy sees it."""

    def __init__(self, member: str, zone: int, random: Random) -> None:
        self.member, self.is_local = member, MEMBERS[member] == zone
        self.is_primary = self.leaving = False
        self.has_idle, self.failed_at, self.refused_at = True, -9.0, -9.0
        self.delay = 0.001 if self.is_local else 0.025
        self.figures, self.failures = LoadFigures(), FailureRecord(random)
        self.load = 0


class Model:
    """Runs reads of all proxies; ``sources`` names the figures that they get."""

    def __init__(self, seed: int, choice: str, *sources: str) -> None:
        self.random, self.choice, self.sources = Random(seed), choice, sources
        self.members = {name: Member() for name in MEMBERS}
        self.views = [
            {name: View(name, p % ZONES, self.random) for name in MEMBERS}
            for p in range(PROXIES)
        ]
        # Statements that the owner of each zone has in progress at each member.
        self.owned = [dict.fromkeys(MEMBERS, 0) for _ in range(ZONES)]
        self.averages = [{name: LoadAverage() for name in MEMBERS} for _ in self.owned]
        self.exchange, self.leader_lost_at = LoadExchange(), float("inf")
        self.failed = self.far = 0
        self.delays: list[float] = []
        self.spreads: list[float] = []
        self._work = dict.fromkeys(MEMBERS, 0.0)
        self._events: list = []
        self._order = count()

    def at(self, time: float, action, *arguments) -> None:
        heappush(self._events, (time, next(self._order), action, arguments))

    def run(self, seconds: float, rate) -> "Model":
        """Sends ``rate(now, zone)`` reads a second from each zone."""
        self.rate = rate
        for zone in range(ZONES):
            self.at(0.0, self.arrive, zone)
            self.at(REPORT_SECONDS * zone / ZONES, self.tell, zone)
        self.at(0.0, self.sample, 0)
        self.now = 0.0
        while self._events[0][0] < seconds:
            self.now, _, action, arguments = heappop(self._events)
            action(*arguments)
        return self

    def arrive(self, zone: int) -> None:
        rate = self.rate(self.now, zone)
        self.at(self.now + self.random.expovariate(rate), self.arrive, zone)
        proxy = zone + ZONES * self.random.randrange(PROXIES // ZONES)
        self.send(proxy, list(MEMBERS), self.now)

    def send(self, proxy: int, names: list[str], started: float) -> None:
        views = [self.views[proxy][name] for name in names]
        if self.choice == "delay":
            view = sort_by_expected_delay(self.now, views)[0]
        elif self.choice == "two":
            pair = self.random.sample(views, min(2, len(views)))
            view = min(pair, key=lambda item: item.load)
        else:
            view = choose_by_load(self.now, views, self.random, 0.0)
        view.load += 1
        zone = proxy % ZONES
        self.owned[zone][view.member] += 1
        way = one_way(zone, MEMBERS[view.member])
        request = proxy, view, names, started, self.now
        self.at(self.now + way, self.reach, request)

    def reach(self, request) -> None:
        proxy, view, *_ = request
        member = self.members[view.member]
        member.arrived += 1
        self.far += proxy % ZONES // 2 != MEMBERS[view.member] // 2
        if proxy % ZONES in member.failing_zones:
            self.answer(request, "failed")
        elif member.busy < SLOTS:
            self.execute(member, request)
        elif len(member.queue) < QUEUE:
            member.queue.append(request)
        else:
            member.rejected += 1
            self.answer(request, "busy")

    def execute(self, member: Member, request) -> None:
        member.busy += 1
        time = self.random.expovariate(1 / SERVICE) * member.slowness
        member.work += time
        self.at(self.now + time, self.finish, member, request)

    def finish(self, member: Member, request) -> None:
        member.busy -= 1
        self.answer(request, "")
        if member.queue:
            self.execute(member, member.queue.popleft())

    def answer(self, request, error: str) -> None:
        proxy, view, *_ = request
        way = one_way(proxy % ZONES, MEMBERS[view.member])
        self.at(self.now + way, self.receive, request, error)

    def receive(self, request, error: str) -> None:
        proxy, view, names, started, sent = request
        zone, elapsed = proxy % ZONES, self.now - sent
        view.load -= 1
        self.owned[zone][view.member] -= 1
        if "owner" in self.sources:
            view.figures.record_owner(
                self.now, self.owned[zone][view.member], view.load
            )
        if error == "failed":
            view.failures.record_failure(self.now)
            view.failed_at = self.now
        elif error == "busy":
            view.refused_at = self.now
        else:
            view.failures.record_success(self.now, sent)
            view.figures.record_latency(self.now, elapsed)
            view.delay += (elapsed - view.delay) * 0.2
            self.delays.append(self.now - started)
            return
        self.failed += error == "failed"
        rest = [name for name in names if name != view.member]
        if rest:
            self.send(proxy, rest, started)

    def tell(self, zone: int) -> None:
        """Reports the loads of a zone's owners and tells its proxies the others'."""
        self.at(self.now + REPORT_SECONDS, self.tell, zone)
        if "leader" not in self.sources or self.now > self.leader_lost_at:
            return
        loads = [
            encode_load(i, a.value) for i, a in enumerate(self.averages[zone].values())
        ]
        self.exchange.record(self.now, f"o{zone}", str(zone), "g", 1, loads)
        others = self.exchange.others(self.now, str(zone), 1, {"g": len(MEMBERS)})
        told = decode_loads(others, len(MEMBERS))
        for views in self.views[zone::ZONES]:
            for index, view in enumerate(views.values()):
                view.figures.record_others(self.now, self.now, told.get(index, 0.0))

    def sample(self, number: int) -> None:
        """Samples the owners' counts, and each second the busiest over the mean."""
        self.at(self.now + SAMPLE_SECONDS, self.sample, number + 1)
        for counts, averages in zip(self.owned, self.averages, strict=True):
            for name, average in averages.items():
                average.sample(counts[name])
        if number % 10 == 0:
            done = [m.work - self._work[name] for name, m in self.members.items()]
            self._work = {name: m.work for name, m in self.members.items()}
            if sum(done):
                self.spreads.append(max(done) * len(done) / sum(done))

    def figures(self) -> dict[str, float]:
        arrived = sum(m.arrived for m in self.members.values())
        rejected = sum(m.rejected for m in self.members.values())
        delays = sorted(self.delays)
        return {
            "rejected": 100 * rejected / arrived,
            "spread": sum(self.spreads) / len(self.spreads),
            "p99": 1e3 * delays[int(0.99 * len(delays))],
            "far": 100 * self.far / arrived,
        }


def swing(mean: float):
    """Returns the demand of data centres, which swings by half one after another."""

    def rate(now: float, zone: int) -> float:
        phase = int(now / 2.0) % ZONES
        return mean / ZONES * (1.5 if zone in (phase, (phase + 1) % ZONES) else 0.75)

    return rate
