"""Failover: appointment, promotion after a failure and their bounds."""

import pytest
from fake_group import Endpoint, Group

CENTRES = ("pt/lisbon", "pt/porto", "pt/faro")
MEMBERS = ("c0", "c1", "c2")


def make_group(**options):
    """Six daemons, three of them control members, and one database of three."""
    daemons = {f"vm{i}": CENTRES[i % 3] for i in range(6)}
    endpoints = [Endpoint("claims", f"c{i}", CENTRES[i], MEMBERS) for i in range(3)]
    group = Group(daemons, ["vm0", "vm1", "vm2"], endpoints, **options)
    group.lead("vm0")
    return group


def settled(group, *without):
    """Tells whether every daemon knows one primary that is none of ``without``."""
    known = {group.primary("claims", name) for name in group.nodes}
    return len(known) == 1 and not known & {"", *without}


@pytest.fixture
def group():
    group = make_group()
    assert group.run(2.0, until=lambda: settled(group))
    group.run(1.0)
    return group


def test_a_primary_is_appointed_and_a_silent_one_replaced(group):
    """Guards against a group without primary at the start or after a failure."""
    old = group.primary("claims")
    assert group.endpoints[old].role == "primary"
    group.endpoints[old].up = False
    assert group.run(1.0, until=lambda: settled(group, old))
    new = group.endpoints[group.primary("claims")]
    assert (new.role, new.term) == ("primary", 2)
