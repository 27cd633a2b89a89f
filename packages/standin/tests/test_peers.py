"""Tests of replication between running members."""


def test_unreachable_members_are_listed(group, eventually):
    """Guards against a partition that is not announced."""
    members = group.members
    eventually(lambda: members["m2"].ledger.state.primary == "m1")
    eventually(lambda: members["m1"].unreachable() == set())
    members["m1"].faults.cut_peers = True
    eventually(lambda: members["m1"].unreachable() == {"m2", "m3"})
    eventually(lambda: members["m2"].unreachable() == {"m1"})
    assert members["m1"].announcement()["unreachable"] == ["m2", "m3"]
    members["m1"].faults.cut_peers = False
    eventually(lambda: members["m1"].unreachable() == set())
    eventually(lambda: members["m2"].unreachable() == set())


def test_confirmation_of_the_primary_ages_without_a_majority(group, call, eventually):
    """Guards against reads at an isolated primary that are reported as fresh."""
    primary = call(group.members["m1"])
    replica = call(group.members["m2"])
    assert replica.greeting.confirmed_ago_ms == -1
    group.members["m1"].faults.cut_peers = True
    eventually(lambda: primary.execute("SELECT 1").confirmed_ago_ms > 200)
    group.members["m1"].faults.cut_peers = False
    eventually(lambda: 0 <= primary.execute("SELECT 1").confirmed_ago_ms < 200)
