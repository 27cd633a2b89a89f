"""Tests that commits which only a departed replica acknowledged are kept."""

import pytest
from fake_members import FakeMember
from replacements import (
    hand_over,
    leader_of,
    lost_writes,
    names,
    replace_primary,
    write,
)
from system import Client, System, run_system
from test_control_loss import disconnect

from bronzemoor_daemon.wire.clock import boottime

DEAF = 99  # a held term: the member receives nothing
NOTHING_ENDS = {"replacement_cancelled", "primary_replaced"}


async def leave(system: System, member: FakeMember) -> None:
    """The member says that it leaves for good, and ends."""
    assert await system.controls[1].remove_member(member.name)
    await member.stop()


async def start_again_empty(system: System, member: FakeMember) -> None:
    """The member's process starts again under its name and holds nothing."""
    await member.stop()
    member.log, member.held_term = [], DEAF
    await member.start(int(member.address.rpartition(":")[2]))
    assert await system.announce(member.name, born=2)


async def give_up_address(system: System, member: FakeMember) -> None:
    """Another member starts at the member's address."""
    await member.stop()
    del system.group.members[member.name]
    successor = FakeMember(system.group, "ledger-new")
    successor.held_term = DEAF
    system.group.members["ledger-new"] = successor
    await successor.start(int(member.address.rpartition(":")[2]))
    assert await system.announce("ledger-new", born=2, zone="south")


async def write_to_one_replica(system: System) -> tuple[FakeMember, ...]:
    """Has a commit that only the second member, a replica, acknowledged."""
    primary, holder, behind = system.group.members.values()
    client = await Client.open(system.client_addresses[0], "orders")
    assert await write(client)
    behind.held_term = DEAF
    assert await write(client)
    return primary, holder, behind


@pytest.mark.parametrize("depart", [leave, start_again_empty, give_up_address])
def test_a_replica_that_is_behind_does_not_follow_a_live_primary(tmp_path, depart):
    """Guards against a successor without what a departed replica acknowledged.

    All replicas on record had answered, and the newest of these was taken to have every
    acknowledged commit (review case 1).
    """

    async def scenario(system):
        primary, holder, _ = await write_to_one_replica(system)
        await depart(system, holder)
        replace_primary(system)
        await system.until(lambda: NOTHING_ENDS & set(names(system.events)))
        assert system.group.primary is primary
        assert lost_writes(system.group) == []

    run_system(tmp_path, scenario)


def test_a_dead_primary_is_waited_for_while_a_departed_replica_may_hold_more(tmp_path):
    """Guards against acknowledged commits that are given up for a faster promotion."""

    async def scenario(system):
        primary, holder, _ = await write_to_one_replica(system)
        await leave(system, holder)
        await primary.stop()
        replace_primary(system)
        await system.until(
            lambda: (
                names(system.events).count("successor") > 3 or system.group.promotions
            )
        )
        assert system.group.primary is primary
        await primary.restart()
        await system.until(lambda: NOTHING_ENDS & set(names(system.events)))
        assert lost_writes(system.group) == []

    run_system(tmp_path, scenario)


def test_a_handover_waits_for_commits_of_a_departed_replica(tmp_path):
    """Guards against a planned successor that is compared with replicas on record."""

    async def scenario(system):
        leader = leader_of(system)._leader
        await system.until(lambda: leader.leases.predecessor_leases_expired(boottime()))
        _, holder, _ = await write_to_one_replica(system)
        await leave(system, holder)
        hand_over(system)
        ends = {"handover_put_off", "primary_replaced"}
        await system.until(lambda: ends & set(names(system.events)))
        assert lost_writes(system.group) == []

    run_system(tmp_path, scenario)


def test_a_departure_is_settled_once_a_replica_has_what_the_primary_had(tmp_path):
    """Guards against a group that waits for a departed replica for good.

    All proxies that know of the commit are lost, and so is the primary.
    """

    async def scenario(system):
        leader = leader_of(system)._leader
        primary, holder, behind = await write_to_one_replica(system)
        await leave(system, holder)
        assert leader.departure("ledger")
        behind.held_term = 0
        client = await Client.open(system.client_addresses[0], "orders")
        assert await write(client)
        await system.until(lambda: not leader.departure("ledger"))
        for proxy in system.proxies:
            disconnect(proxy)
        leader.evidence.clear()
        await primary.stop()
        replace_primary(system)
        await system.until(lambda: behind.primary)
        assert lost_writes(system.group) == []

    run_system(tmp_path, scenario)
