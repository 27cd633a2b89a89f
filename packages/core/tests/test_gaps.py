"""Tests of the write gaps of failover and handover, and of wrong promotions.

One-way delays are those of the design: 3.5 ms between data centres, 12 ms between
regions. A gap is measured at each daemon and ends when it knows the new primary.
"""

import os
from statistics import median

import pytest
from test_failover import (
    CASES,
    CONTROL,
    has_agreed_primary,
    primaries_by_term,
    start_group,
)

RUNS = 12
HOUR_SECONDS = 3600.0
# Control members in another region than the database and its daemons.
OTHER_REGION_CONTROL = ("vm6", "vm7", "vm8")
# The soak adds an hour with all control members in the other region.
SOAK_CASES = (
    [(seed, OTHER_REGION_CONTROL) for seed in (2, 3)]
    if os.environ.get("BRONZEMOOR_SOAK")
    else []
)


def report(title, gaps):
    times = sorted(round(gap * 1000) for gap in gaps)
    print(f"{title}: median {round(median(times))} ms, worst {times[-1]} ms")


@pytest.mark.parametrize(
    "control", [CONTROL, OTHER_REGION_CONTROL], ids=["same", "other"]
)
@pytest.mark.parametrize("case", CASES)
def test_failover_gap(case, control):
    """Guards against a gap above its target: median 500 ms, worst 1 s."""
    gaps = []
    for seed in range(RUNS):
        group = start_group(control, seed=seed)
        failed_at = group.now
        CASES[case](group)
        assert group.run(5.0, lambda group=group: has_agreed_primary(group, "c0"))
        gaps.append(group.now - failed_at)
    report(f"failover, {case}, control in {control}", gaps)
    assert median(gaps) <= 0.5 and max(gaps) <= 1.0


@pytest.mark.parametrize(
    "control", [CONTROL, OTHER_REGION_CONTROL], ids=["same", "other"]
)
def test_handover_gap(control):
    """Guards against a handover that stops writes for more than 100 ms."""
    gaps = []
    for seed in range(RUNS):
        group = start_group(control, seed=seed)
        group.replicate = 0.01
        group.run(0.1)
        begin = len(group.changes)
        group.admin("vm4", 1, "failover.run", database="claims", change_id="h")
        assert group.run(1.0, lambda group=group: has_agreed_primary(group, "c0"))
        stopped = {n: at for at, n, e in group.changes[begin:] if not e.member}
        resumed = {n: at for at, n, e in group.changes[begin:] if e.member}
        gaps += [resumed[name] - stopped[name] for name in group.nodes]
    report(f"handover, control in {control}", gaps)
    assert max(gaps) <= 0.1


@pytest.mark.parametrize(("seed", "control"), [(1, ("vm6", "vm0", "vm1")), *SOAK_CASES])
def test_no_wrong_promotion_in_an_hour(seed, control):
    """Guards against failovers of a healthy primary, at 1% loss and with delays that
    vary tenfold, with the control leader in another region."""
    group = start_group(control, load=False, seed=seed, loss=0.01, spread=10.0)
    for name in [n for n in group.nodes if n in ("vm3", "vm4", "vm5", "vm7", "vm8")]:
        if name not in control:
            del group.nodes[name]
    group.tick = 0.02
    before = len(group.changes)
    group.run(HOUR_SECONDS)
    wrong_promotions = [event for _, _, event in group.changes[before:]]
    print(f"wrong promotions in an hour, control in {control}: {len(wrong_promotions)}")
    assert not wrong_promotions and len(primaries_by_term(group)) == 1
