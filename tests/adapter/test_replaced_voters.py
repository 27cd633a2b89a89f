"""Tests of voters of the control group that were replaced although they live."""

from replacements import leader_of
from system import run_system
from test_control_loss import disconnect


def name_of(daemon) -> str:
    return daemon.links._name


def votes(daemon, leader) -> bool:
    """Returns whether the leader counts a daemon among the voters."""
    return name_of(daemon) in leader.log.voters


def test_a_replaced_voter_that_lives_takes_the_place_of_the_next_lost_one(tmp_path):
    """Guards against a voter that stood still, was replaced and never votes again.

    Its own log named it as a member, so that it did not ask to join, and nobody told
    it. The group then had two voters of three although three daemons lived.
    """

    async def scenario(system):
        leader = leader_of(system)
        returned, lost = (c for c in system.controls if c is not leader)
        successor = await system.add_control()
        reconnect = disconnect(returned)
        await system.until(lambda: votes(successor, leader))
        await system.until(lambda: not votes(returned, leader))
        reconnect()
        await lost.stop()
        await system.until(lambda: votes(returned, leader) and not votes(lost, leader))
        await leader.stop()
        await system.until_async(lambda: system.put(2, returned))
        await system.until(lambda: successor.records.version == 2)

    run_system(tmp_path, scenario)
