"""Starts replacements of a primary in a system under test, and checks its commits."""

from itertools import count

from fake_members import FakeGroup
from system import Client
from test_whole_path import outcome

from bronzemoor_daemon.wire.clock import boottime

# Longer than any lease and than the limit of a promotion call.
LONG_SECONDS = 2.5
KEYS = count(1)


def leader_of(system):
    """Returns the control daemon that leads."""
    return next(c for c in system.controls if c.log.established)


async def wait_for_earlier_leases(system):
    """Waits until no lease of an earlier control leader is left; returns the leader."""
    leader = leader_of(system)._leader
    await system.until(lambda: leader.leases.predecessor_leases_expired(boottime()))
    return leader


async def wait_for_handover(system) -> None:
    """Waits until a handover has ended, whether it promoted a replica or not."""
    ends = {"handover_put_off", "primary_replaced"}
    await system.until(lambda: ends & set(names(system.events)))


def lost_writes(group: FakeGroup) -> list[tuple[str, str]]:
    """Returns the acknowledged writes that the newest primary lacks."""
    held = [write for work in group.primary.log for write in work]
    return [write for write in group.acknowledged if write not in held]


def names(events: list[tuple[str, dict]]) -> list[str]:
    return [event for event, _ in events]


async def write(client: Client) -> bool:
    """Stores one item; returns whether that was acknowledged."""
    return outcome(await client.call(f"STORE k{next(KEYS)} v")) == "COMPLETE"


async def write_anew(address: str) -> bool:
    """Stores one item in a session of its own, which may be closed meanwhile."""
    try:
        client = await Client.open(address, "orders")
        return await write(client)
    except ConnectionError:
        return False


def start_change(system, run) -> None:
    """Makes the leader's supervisor run ``run(supervisor)`` once as its next step."""
    supervisor = leader_of(system)._leader._supervisors["ledger"]

    async def check(primary) -> None:
        supervisor._suspected = False
        await run(supervisor)

    supervisor._check_primary = check
    supervisor._suspected = True
    supervisor.wake()


def replace_primary(system) -> None:
    """Makes the leader replace the primary, as after failed probes."""
    start_change(system, lambda supervisor: supervisor._replace("unreachable"))


def hand_over(system) -> None:
    """Makes the leader relieve the primary."""
    start_change(system, lambda supervisor: supervisor._handover.run("overloaded"))
