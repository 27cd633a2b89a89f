"""Tests of load balancing with hundreds of proxies as plain objects."""

from random import Random

import pytest

from bench.loadmodel import MEMBERS, SERVICE, ZONES, Model, View, swing
from bronzemoor_core.positions import Position
from bronzemoor_core.wire import loadbalance, loadexchange
from bronzemoor_core.wire.loadbalance import (
    OTHERS_HORIZON_SECONDS,
    SLOTS,
    UNCOUNTED_OTHERS,
    LoadFigures,
    WriteShare,
    choose_by_load,
)
from bronzemoor_core.wire.loadexchange import LoadExchange, decode_loads, encode_load
from bronzemoor_core.wire.memberfailures import PROBE_TIMEOUT_SECONDS, FailureRecord
from bronzemoor_core.wire.replicalag import LagRecord

# Statements a second that take all slots of the members.
CAPACITY = len(MEMBERS) * SLOTS / SERVICE
SOURCES = ("load", "owner", "leader")
# The stated target: arrivals that members reject as busy, in percent.
MAX_REJECTED = 1.0


def rejected(model: Model) -> float:
    return model.figures()["rejected"]


def views(**loads: int) -> list[View]:
    """Returns members with the loads that other data centres have at them at 10.0."""
    result = [View(name, 1, Random(0)) for name in MEMBERS]
    for view in result:
        load = loads.get(view.member, 0) + UNCOUNTED_OTHERS
        view.figures.record_others(10.0, 10.0, load)
    return result


def chosen(items: list[View], writes: float = 0.0) -> dict[str, int]:
    """Returns how often each member is chosen at 10.0."""
    random, counts = Random(1), dict.fromkeys(MEMBERS, 0)
    for _ in range(300):
        counts[choose_by_load(10.0, items, random, writes).member] += 1
    return counts


@pytest.mark.parametrize("seed", [1, 2])
def test_proxies_do_not_move_together_when_the_demand_of_data_centres_swings(
    monkeypatch, seed
):
    """Guards against a swing in time with the reports: all proxies leave a member that
    was busy at the moment of the report, and come back after the next one."""
    load = swing(0.6 * CAPACITY)
    assert rejected(Model(seed, *SOURCES).run(20.0, load)) < MAX_REJECTED
    # The loads as they are at one moment, counted in full.
    monkeypatch.setattr(loadexchange, "SAMPLE_WEIGHT", 1.0)
    monkeypatch.setattr(loadbalance, "UNCOUNTED_OTHERS", 0.0)
    assert rejected(Model(seed, *SOURCES).run(20.0, load)) > MAX_REJECTED


@pytest.mark.parametrize("seed", [1, 2])
def test_a_slow_member_gets_what_it_can_carry_and_its_share_back(seed):
    """Guards against a queue at a member that is six times as slow, and against a
    favourite: proxies that never return to it keep its old figure and crowd the
    others."""

    def run(*choice: str) -> tuple[float, float]:
        model, marks = Model(seed, *choice), []
        slow = model.members["c"]
        slow.slowness = 6.0
        model.at(8.0, setattr, slow, "slowness", 1.0)
        for time in (12.0, 24.0):
            model.at(
                time,
                lambda: marks.append([m.arrived for m in model.members.values()]),
            )
        model.run(24.1, swing(0.4 * CAPACITY))
        arrived = [after - before for before, after in zip(*marks, strict=True)]
        return rejected(model), arrived[2] / sum(arrived)

    rejection, share = run(*SOURCES)
    earlier_rejection, earlier_share = run("delay")
    assert rejection < MAX_REJECTED < earlier_rejection
    assert share > 0.2 > earlier_share


def test_a_member_that_fails_for_one_data_centre_is_probed_there_and_used_elsewhere():
    """Guards against failed statements that make a member look idle, against crowds
    that try it again, and against evidence that takes it from other data centres."""
    model = Model(1, *SOURCES)
    model.members["a"].failing_zones = {0}
    model.run(30.0, swing(0.4 * CAPACITY))
    proxies = model.views[0::ZONES]
    # Each proxy may fail once at first, and then probe each second on average.
    assert model.failed < len(proxies) * 8
    assert all(item["a"].failures.is_cut for item in proxies if item["a"].failed_at > 0)
    others = [v["a"] for zone in range(1, ZONES) for v in model.views[zone::ZONES]]
    assert not any(item.failures.is_cut for item in others)
    assert model.members["a"].work > 0.2 * sum(m.work for m in model.members.values())


def test_failing_members_get_single_probes_and_are_warmed_up():
    """Guards against a crowd at a member that flaps, or that has just come back."""
    record = FailureRecord(Random(1))
    record.record_failure(10.0)
    record.record_success(10.1, 9.9)
    assert record.is_cut
    assert [record.claim_probe(11.0) for _ in range(5)] == [True] + [False] * 4
    record.record_failure(11.1)
    assert record.pause == 1.0
    assert not record.claim_probe(11.1 + 0.49)
    assert record.claim_probe(11.1 + 1.51)
    assert record.claim_probe(11.1 + 1.51 + PROBE_TIMEOUT_SECONDS)
    record.record_success(14.0, 13.9)
    assert not record.is_cut
    assert record.warmth(14.0) < 0.3 < 0.9 < record.warmth(16.0)
    assert FailureRecord(Random(1), 10.0).warmth(10.0) < 0.3


def test_never_so_many_members_are_left_out_that_the_rest_is_overrun():
    """Guards against one member that gets the reads of all, since the others failed."""
    items = views()
    for view in items[:2]:
        view.failures.record_failure(10.0)
    counts = chosen(items)
    assert counts["c"] and counts["a"] + counts["b"] > 0
    items = views(b=2 * SLOTS, c=2 * SLOTS)
    items[0].failures.record_failure(10.0)
    assert chosen(items)["a"] > 0
    # One failing member among idle ones is left out.
    items = views()
    items[0].failures.record_failure(10.0)
    assert chosen(items)["a"] == 0


def test_the_primary_is_spared_in_proportion_to_its_writes():
    """Guards against reads that make writes wait, and against an idle primary."""
    items = views(a=2, b=2, c=2)
    items[0].is_primary = True
    shares = [chosen(items, writes)["a"] for writes in (0.0, 0.2, 0.6)]
    assert shares[0] > 60 and shares[0] >= shares[1] > shares[2]
    share = WriteShare()
    assert share.value == 0.0
    for _ in range(50):
        share.record_write()
        share.record_read()
    assert 0.45 < share.value < 0.55


def test_a_near_member_is_left_only_when_its_load_asks_for_it():
    """Guards against reads between regions while the near member is idle."""
    counts = {}
    for load in (0, 4 * SLOTS):
        items = views(a=load)
        for view, latency in zip(items, (0.020, 0.045, 0.045), strict=True):
            view.figures.record_latency(10.0, latency)
        counts[load] = chosen(items)["a"]
    assert counts[0] == 300 and counts[4 * SLOTS] == 0


def test_figures_of_a_silent_leader_stop_counting():
    """Guards against a member that stays avoided for what was known of it once."""
    figures = LoadFigures()
    figures.record_others(10.0, 10.0, 8 + UNCOUNTED_OTHERS)
    loads = [figures.load(10.0 + age, 1) for age in (0.0, 1.0, 2.0, 5.0)]
    assert loads[0] == 9.0 and loads == sorted(loads, reverse=True) and loads[3] == 1.0
    model = Model(2, *SOURCES)
    model.leader_lost_at = 5.0
    model.run(5.0 + 5.0, swing(0.5 * CAPACITY))
    assert rejected(model) < MAX_REJECTED
    assert model.now - model.leader_lost_at > OTHERS_HORIZON_SECONDS


def test_figures_from_the_future_and_impossible_counts_are_bounded():
    """Guards against one wrong report that takes a member from everyone for long."""
    figures = LoadFigures()
    figures.record_others(10.0, 99.0, -5)
    assert figures.load(10.0, 2) == 2.0 and figures.told_at == 10.0
    figures.record_others(10.0, 99.0, 10**9)
    assert figures.load(10.0 + OTHERS_HORIZON_SECONDS, 2) == 2.0
    figures.record_owner(10.0, -1, 0)
    assert figures.told_at == 10.0 and figures.load(9.0, 2) < 2_000
    figures.record_owner(10.0, 3, 7)
    assert figures.load(20.0, 7) == figures.load(10.0 + 3.0, 7) == 7.0
    assert decode_loads([encode_load(1, -3), -7, encode_load(0, 10**9)], 2)[1] == 0.0


def test_loads_of_members_that_are_gone_are_not_taken_for_those_of_others():
    """Guards against a count that is read under another topology's indices."""
    exchange, groups = LoadExchange(), {"g": 3, "h": 3}
    exchange.record(10.0, "p", "north", "g", 1, [encode_load(2, 4), encode_load(7, 4)])
    exchange.record(10.0, "q", "south", "g", 1, [encode_load(2, 2)])
    exchange.record(10.0, "q", "south", "h", 1, [encode_load(1, 5)])
    sums = decode_loads(exchange.others(10.1, "west", 1, groups), 6)
    assert sums == {2: 6.0, 4: 5.0}
    # The own data centre's are known from its owner, and small ones are not sent.
    assert decode_loads(exchange.others(10.1, "north", 1, groups), 6) == {4: 5.0}
    assert exchange.others(10.1, "west", 2, groups) == []
    assert exchange.others(10.1, "west", 1, groups) == []
    assert decode_loads([encode_load(5, 4)], 3) == {}


@pytest.mark.parametrize(("shared", "bound"), [(True, 0.03), (False, 1.0)])
def test_lagging_replicas_are_not_asked_by_every_statement(shared, bound):
    """Guards against a burst of reads that each find out that both replicas lag.

    Without the owners' records every proxy asks by itself, and 28% were refused.
    """
    random = Random(3)
    owners = [[LagRecord(), LagRecord()] for _ in range(ZONES)]
    own = [[LagRecord(), LagRecord()] for _ in range(132)]
    refused = served = 0
    for step in range(20_000):
        # The replicas are 3 s behind from second 2 to second 8, for 1 s of staleness.
        now = step / 1_000
        lag = 3.0 if 2.0 <= now < 8.0 else 0.0
        if random.random() > (0.9 if 3.0 <= now < 5.0 else 0.3):
            continue
        proxy = random.randrange(132)
        required = Position(1, int(1_000 * (now - 1.0)) + 10_000)
        reached = Position(1, int(1_000 * (now - lag)) + 10_000)
        served += 1
        for index in (0, 1):
            records = [own[proxy][index]]
            if shared:
                records.append(owners[proxy % ZONES][index])
            if not all(record.may_ask(now, required) for record in records):
                continue
            for record in records:
                record.claim(now, required)
            if reached >= required:
                for record in records:
                    record.record_reached(required)
                break
            refused += 1
            for record in records:
                record.record_lacked(now, required)
    assert refused < bound * served
    assert shared or refused > 0.03 * served
