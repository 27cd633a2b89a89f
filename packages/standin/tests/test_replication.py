"""Tests of the replication state machine."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bronzemoor_standin.replication import (
    DEPOSED,
    PRIMARY,
    REPLICA,
    Batch,
    BatchAnswer,
    Entry,
    ReplicationState,
    covers,
)

NAMES = ("a", "b", "c")


def primary_of_three(term=1):
    state = ReplicationState("a", NAMES)
    assert state.promote(term, 0, NAMES, b"") is None
    return state


def send(primary, replica, now=0.0):
    batch = primary.batch_for(replica.name, 100, 10_000)
    answer = replica.replicate(batch)
    primary.acknowledge(replica.name, batch, answer, now)
    return answer


def test_only_newer_terms_are_accepted_and_orders_are_idempotent():
    """Guards against a member that follows two primaries or an outdated order."""
    state = ReplicationState("a", NAMES)
    assert state.fence(3) is None
    assert state.fence(3) is None
    assert state.fence(2).code == "stale_term"
    assert state.promote(2, 0, NAMES, b"").code == "stale_term"
    assert state.follow(2, "b", 0, NAMES).code == "stale_term"
    assert state.promote(3, 0, NAMES, b"") is None
    assert state.promote(3, 0, NAMES, b"") is None
    assert len(state.log.entries) == 1
    assert state.follow(3, "b", 0, NAMES).code == "term_taken"
    assert state.fence(3) is None
    assert state.role == PRIMARY


def test_promotion_at_another_offset_is_refused():
    """Guards against a promotion that loses or invents entries."""
    state = ReplicationState("b", NAMES)
    send(primary_of_three(), state)
    assert state.promote(2, 0, NAMES, b"").code == "offset_mismatch"
    assert state.promote(2, 5, NAMES, b"").code == "offset_mismatch"
    assert state.promote(2, 1, NAMES, b"") is None


def test_fenced_and_deposed_primaries_take_no_writes():
    """Guards against a write acknowledged by a primary that has been replaced."""
    fenced = primary_of_three()
    fenced.fence(2)
    assert fenced.refusal_of_write().code == "fenced"
    assert fenced.refusal_of_read() is None
    deposed, replica = primary_of_three(), ReplicationState("b", NAMES)
    replica.fence(2)
    assert not send(deposed, replica).accepted
    assert deposed.role == DEPOSED
    assert deposed.refusal_of_write().code == "stale_term"
    assert deposed.refusal_of_read().code == "stale_term"
    assert deposed.confirmed_at(0.0) is None


def test_majority_offset_counts_only_entries_of_the_own_term():
    """Guards against confirming an old entry that a later primary can still replace."""
    old, b, c = primary_of_three(), *(ReplicationState(n, NAMES) for n in "bc")
    old.append(b"1")
    send(old, b)
    assert old.majority_offset == 2
    assert old.confirmed_at(5.0) == 0.0
    b.fence(2)
    b.promote(2, 2, NAMES, b"")
    assert not send(b, c).accepted
    batch = b.batch_for("c", 2, 100)
    b.acknowledge("c", batch, c.replicate(batch), 0.0)
    assert c.log.last == (1, 2)
    assert b.majority_offset == 0
    send(b, c)
    assert b.majority_offset == 3
    assert c.log.entries == b.log.entries


def test_resume_after_extra_entries_and_from_far_behind():
    """Guards against a returning member that keeps entries of a replaced primary."""
    old = primary_of_three()
    for _ in range(3):
        old.append(b"lost")
    new = ReplicationState("b", NAMES)
    new.promote(2, 0, NAMES, b"")
    for _ in range(500):
        new.append(b"kept")
    for _ in range(20):
        send(new, old)
        if old.log.last == new.log.last:
            break
    assert old.role == REPLICA
    assert old.log.entries == new.log.entries
    assert old.log.truncated_to == 0


def test_only_the_checked_part_of_the_log_counts_as_held():
    """Guards against counting entries that merely have the same offsets."""
    replica = ReplicationState("c", NAMES)
    replica.replicate(
        Batch(1, "a", (0, 0), [Entry(1, 1, b""), Entry(1, 2, b"")], 0, {})
    )
    replica.replicate(
        Batch(2, "a", (1, 1), [Entry(2, 2, b"x"), Entry(2, 3, b"")], 0, {})
    )
    answer = replica.replicate(Batch(3, "b", (1, 1), [], 0, {3: 3}))
    assert (answer.accepted, answer.offset) == (True, 1)


def test_history_and_last_entry_agree_before_the_new_term_arrives():
    """Guards against a failover that takes a discarded tail for the newest entries."""
    replica = ReplicationState("c", NAMES)
    entries = [Entry(1, offset, b"") for offset in (1, 2, 3)]
    replica.replicate(Batch(1, "a", (0, 0), entries, 0, {1: 0}))
    replica.replicate(Batch(2, "b", (1, 1), [], 0, {1: 0, 2: 1}))
    assert replica.log.last == (1, 1)


def test_following_discards_at_once_what_the_new_term_does_not_have():
    """Guards against reads of discarded writes on a member that joins the new term."""
    state = primary_of_three()
    state.append(b"lost")
    assert state.follow(2, "b", 1, NAMES) is None
    assert state.log.last == (1, 1)


def test_member_that_lost_its_log_counts_only_after_it_caught_up():
    """Guards against a failover that counts a member without its acknowledged log."""
    primary, healthy = primary_of_three(), ReplicationState("b", NAMES)
    send(primary, healthy)
    restarted = ReplicationState("c", NAMES)
    restarted.catching_up = True
    assert restarted.fence(2).code == "catching_up"
    send(primary, restarted)
    assert restarted.fence(2) is None


def test_late_answer_of_an_earlier_term_is_ignored():
    """Guards against counting an acknowledgement of an earlier term."""
    state = primary_of_three()
    batch = state.batch_for("b", 1, 1)
    state.fence(2)
    state.promote(2, 1, NAMES, b"")
    state.acknowledge("b", batch, BatchAnswer(True, 1, 1), 1.0)
    assert state.confirmed_at(2.0) is None


def test_positions_are_compared_through_the_history():
    """Guards against a read that treats a discarded tail as newer data."""
    history = {1: 0, 2: 10}
    assert covers(history, (2, 11), (1, 10))
    assert not covers(history, (2, 30), (1, 12))
    assert not covers(history, (1, 30), (2, 11))
    assert covers(history, (1, 5), (1, 5))
    assert covers(history, (0, 0), (1, 0))


class GroupRules(RuleBasedStateMachine):
    """Guards against event orders that lose a confirmed entry."""

    @initialize()
    def start(self):
        self.states = {name: ReplicationState(name, NAMES) for name in NAMES}
        self.states["a"].promote(1, 0, NAMES, b"first")
        self.term = 1
        self.in_flight = []
        self.confirmed = {}
        self.written = 0

    member = st.sampled_from(NAMES)

    def primaries(self):
        return [s for s in self.states.values() if s.role == PRIMARY]

    def note_confirmed(self):
        for state in self.primaries():
            for entry in state.log.entries[: state.majority_offset]:
                known = self.confirmed.setdefault(entry.offset, entry)
                assert known == entry, "a confirmed entry was replaced"

    @rule(name=member)
    def write(self, name):
        if self.states[name].role == PRIMARY:
            self.written += 1
            self.states[name].append(b"%d" % self.written)

    @rule(sender=member, receiver=member, count=st.integers(1, 4))
    def send(self, sender, receiver, count):
        batch = self.states[sender].batch_for(receiver, count, 1000)
        if batch is not None:
            self.in_flight.append((sender, receiver, batch))

    @precondition(lambda self: self.in_flight)
    @rule(index=st.integers(0, 50), repeat=st.booleans(), answered=st.booleans())
    def deliver(self, index, repeat, answered):
        index %= len(self.in_flight)
        sender, receiver, batch = self.in_flight[index]
        if not repeat:
            del self.in_flight[index]
        answer = self.states[receiver].replicate(batch)
        if answered:
            self.states[sender].acknowledge(receiver, batch, answer, 0.0)

    @rule(
        pair=st.sampled_from([("a", "b"), ("a", "c"), ("b", "c")]), done=st.booleans()
    )
    def fail_over(self, pair, done):
        self.term += 1
        majority = [self.states[name] for name in pair]
        if any(state.fence(self.term) for state in majority):
            return
        chosen = max(majority, key=lambda state: state.log.last)
        start = chosen.log.last[1]
        if done:
            assert chosen.promote(self.term, start, NAMES, b"t%d" % self.term) is None

    @rule(follower=member)
    def follow(self, follower):
        newest = max(self.primaries(), key=lambda s: s.term, default=None)
        if newest is not None:
            start = newest.log.history[newest.term]
            self.states[follower].follow(newest.term, newest.name, start, NAMES)

    @rule(name=member)
    def restart(self, name):
        self.states[name].step_down()

    @invariant()
    def nothing_confirmed_is_lost(self):
        if not hasattr(self, "states"):
            return
        self.note_confirmed()
        primaries = self.primaries()
        assert len({s.term for s in primaries}) == len(primaries)
        for state in primaries:
            if state.term == self.term:
                held = state.log.entries
                for offset, entry in self.confirmed.items():
                    assert held[offset - 1] == entry


GroupRules.TestCase.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
TestGroupRules = GroupRules.TestCase


def test_batch_beyond_the_end_of_the_log_is_refused():
    """Guards against a gap in the log when a batch arrives too early."""
    state = ReplicationState("b", NAMES)
    answer = state.replicate(Batch(1, "a", (1, 9), [], 0, {1: 0}))
    assert not answer.accepted
    assert (answer.offset, state.log.entries) == (0, [])
