"""Draws the faults of a run from its seed."""

from dataclasses import dataclass
from random import Random

# Until the first fault, and between the series.
FIRST_SECONDS = 3.0
SERIES_INTERVAL_SECONDS = (8.0, 12.0)
# After the start of a series, while orders for the first successor may be held.
SECOND_LOSS_SECONDS = (3.5, 6.0)
PRIMARY_KINDS = ("crash", "crash", "isolate", "hide", "drop")
LEADER_KINDS = ("freeze", "freeze", "cut", "cut_out", "cut_in", "drop")
SINGLE_KINDS = ("freeze", "cut", "cut_out", "cut_in", "drop", "kill")


@dataclass(slots=True)
class Fault:
    """A fault from ``at`` on, in seconds after the start of the faults.

    ``target`` is ``orderer`` (the control daemon that next sends to the platform, from
    its first byte on), ``leader``, ``control:N``, ``edge:N``, ``primary:GROUP``,
    ``replica:GROUP:N`` or ``platform``. ``other`` is the second VM of a pair.
    """

    at: float
    kind: str
    target: str
    seconds: float
    other: str = ""


def make_schedule(
    seed: int, seconds: float, controls: int, proxies: int, groups: int
) -> list[Fault]:
    """The same arguments give the same faults, in order of time."""
    random = Random(seed)
    faults, at = [], FIRST_SECONDS
    while at < seconds:
        faults += _make_series(random, at, controls, proxies, groups)
        at += random.uniform(*SERIES_INTERVAL_SECONDS)
    return sorted(faults, key=lambda fault: fault.at)


def _make_series(
    random: Random, at: float, controls: int, proxies: int, groups: int
) -> list[Fault]:
    """All groups lose their primaries; then the control leader is gone."""
    kind = random.choice(PRIMARY_KINDS)
    faults = [
        Fault(
            at + random.uniform(0, 0.5),
            kind,
            f"primary:{n}",
            # Half of them come back while the orders for a successor are on their way.
            random.uniform(*random.choice(((1.0, 3.0), (4.0, 7.0)))),
        )
        for n in range(groups)
    ]
    leader_at = at + random.uniform(0.2, 2.0)
    leader_kind = random.choice(LEADER_KINDS)
    leader = random.choice(("orderer", "leader"))
    leader_seconds = random.uniform(3, 10)
    if leader == "orderer":
        # Armed from the start; orders leave about two seconds later.
        faults.append(Fault(at, leader_kind, leader, leader_seconds))
        leader_at = at + 2.0
    else:
        faults.append(Fault(leader_at, leader_kind, leader, leader_seconds))
    for group in range(groups):
        if random.random() < 0.5:
            lost_at = at + random.uniform(*SECOND_LOSS_SECONDS)
            kind, seconds = random.choice(PRIMARY_KINDS), random.uniform(1.0, 3.0)
            faults.append(Fault(lost_at, kind, f"primary:{group}", seconds))
    edge = f"edge:{random.randrange(proxies)}"
    if random.random() < 0.6:
        edge_at = at - random.uniform(0, 0.5)
        faults.append(Fault(edge_at, "freeze", edge, random.uniform(2, 4)))
    if random.random() < 0.5:
        faults.append(Fault(at, "lag", "platform", random.uniform(3, 6)))
    for group in range(groups):
        # Replicas differ as the primary is lost, and as orders arrive late.
        for deaf_at in (at, leader_at + leader_seconds):
            if random.random() < 0.5:
                replica = f"replica:{group}:{random.randrange(2)}"
                deaf_at -= random.uniform(0.2, 1.5)
                faults.append(Fault(deaf_at, "deaf", replica, random.uniform(1, 4)))
    for _ in range(random.randint(1, 3)):
        faults.append(_make_single(random, at, controls, proxies, groups))
    return faults


def _make_single(
    random: Random, at: float, controls: int, proxies: int, groups: int
) -> Fault:
    """Returns a fault of its own some time after the start of the series."""
    at += random.uniform(0.5, 8.0)
    seconds = random.uniform(0.5, 5.0)
    control = f"control:{random.randrange(controls)}"
    edge = f"edge:{random.randrange(proxies)}"
    replica = f"replica:{random.randrange(groups)}:{random.randrange(2)}"
    kind = random.choice(SINGLE_KINDS)
    choice = random.randrange(5)
    if choice == 0:
        return Fault(at, kind, control, seconds)
    if choice == 1:
        return Fault(at, kind, edge, seconds)
    if choice == 2:
        return Fault(at, random.choice(("crash", "cut", "deaf")), replica, seconds)
    if choice == 3:
        return Fault(at, "pair", random.choice((edge, control)), seconds, replica)
    return Fault(at, "pair", edge, seconds, control)
