"""Tests of the storage of terms and log."""

from bronzemoor_standin.journal import Journal
from bronzemoor_standin.replication import REPLICA, ReplicationState

NAMES = ("a", "b", "c")


def reopen(path):
    state = ReplicationState("a", NAMES)
    Journal(path).load(state)
    return state


def test_terms_and_log_survive_a_restart(tmp_path):
    """Guards against losing an accepted term or an acknowledged entry at a restart."""
    path = str(tmp_path / "a.db")
    journal, state = Journal(path), ReplicationState("a", NAMES)
    journal.load(state)
    state.promote(2, 0, NAMES, b"first")
    journal.sync(state)
    state.append(b"second")
    state.fence(5)
    journal.sync(state)
    again = reopen(path)
    assert again.role == REPLICA
    assert (again.accepted_term, again.log.history) == (5, {2: 0})
    assert again.log.entries == state.log.entries
    assert again.fence(4).code == "stale_term"


def test_discarded_entries_do_not_return(tmp_path):
    """Guards against a discarded entry that reappears after a restart."""
    path = str(tmp_path / "a.db")
    journal, state = Journal(path), ReplicationState("a", NAMES)
    state.promote(1, 0, NAMES, b"first")
    for _ in range(3):
        state.append(b"lost")
    journal.sync(state)
    state.fence(2)
    state.follow(2, "b", 2, NAMES)
    state.step_down()
    journal.sync(state)
    assert [e.offset for e in reopen(path).log.entries] == [1, 2]
