"""Tests of voters of the control group that were replaced although they live."""

from replacements import leader_of
from system import run_system
from test_control_loss import disconnect

from bronzemoor_core.messages import ProxyGrant


def name_of(daemon) -> str:
    return daemon.links._name


def votes(daemon, leader) -> bool:
    """Returns whether the leader counts a daemon among the voters."""
    return name_of(daemon) in leader.log.voters


def answer_to_proxy(daemon) -> ProxyGrant:
    """Returns what a daemon that does not lead answers to a proxy's report."""
    sent, send = [], daemon.links.send
    daemon.links.send = lambda peer, message: sent.append(message)
    daemon._send_leader_name("proxy", 0)
    daemon.links.send = send
    return sent[0]


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


def test_a_replaced_voter_names_the_leader_and_no_old_members_to_proxies(tmp_path):
    """Guards against proxies that ask only members which left the group long ago.

    A daemon outside the group told them those of its own old log in place of the ones
    that they knew, and no leader.
    """

    async def scenario(system):
        leader = leader_of(system)
        returned = next(c for c in system.controls if c is not leader)
        await system.add_control()
        reconnect = disconnect(returned)
        await system.until(lambda: not votes(returned, leader))
        reconnect()
        await system.until(lambda: answer_to_proxy(returned).leader == name_of(leader))
        assert answer_to_proxy(returned).controls == []

    run_system(tmp_path, scenario)


def test_a_daemon_whose_seeds_do_not_lead_joins_through_the_leader_they_name(tmp_path):
    """Guards against a daemon that stays outside since its seeds only follow."""

    async def scenario(system):
        leader = leader_of(system)
        follower, lost = (c for c in system.controls if c is not leader)
        joiner = await system.add_control((name_of(follower),))
        await lost.stop()
        await system.until(lambda: votes(joiner, leader))

    run_system(tmp_path, scenario)
