"""Tests of the replicated state machine: compare-and-set, change ids and snapshots."""

import json

import pytest
from fake_group import ControlPlaneNode
from hypothesis import given, settings
from hypothesis import strategies as st
from test_templates import BODY

from bronzemoor_core.actions import AdminReply
from bronzemoor_core.commands import CHANGE_LIMIT, KEY_LIMIT, VERSION_LIMIT
from bronzemoor_core.events import AdminCommand
from bronzemoor_core.internal_events import (
    CommandApplied,
    CommandCommitted,
    CommandCompleted,
    CommandProposed,
    QueryReady,
    SnapshotReady,
    SnapshotRequested,
    SnapshotRestored,
)
from bronzemoor_core.records import to_snapshot
from bronzemoor_core.settings import NodeSettings

FIXED = settings(derandomize=True, deadline=None, max_examples=60, database=None)


class Machine:
    """A control member that commits each proposed command immediately."""

    def __init__(self):
        self.node = ControlPlaneNode(NodeSettings("vm0", "lisbon", control=True))
        self.index = 0

    def commit(self, command):
        self.index += 1
        return self.result(CommandCommitted(self.index, 1, command))

    def result(self, event):
        items = self.node.run(0.0, event)
        return next(item.result for item in items if isinstance(item, CommandApplied))

    def query(self, name, **arguments):
        return self.result(QueryReady({"type": name, "query": True, **arguments}, 0))

    def snapshot(self):
        ready = self.node._controllers["state"].snapshot(0.0, SnapshotRequested())[0]
        assert isinstance(ready, SnapshotReady)
        return ready

    def admin(self, name, **arguments):
        """Runs an operator's command and returns its only reply."""
        items = self.node.run(0.0, AdminCommand(7, name, arguments, "ana", 5.0))
        replies = [item for item in items if isinstance(item, AdminReply)]
        for item in [item for item in items if isinstance(item, CommandProposed)]:
            query = item.command.get("query")
            if query:
                result = self.result(QueryReady(item.command, 0))
            else:
                result = self.commit(json.loads(json.dumps(item.command)))
            done = CommandCompleted(item.origin, result["code"], "", result)
            replies += self.node.run(0.0, done)
        assert len(replies) == 1
        return replies[0]


def apply(version, change, **body):
    return {
        "type": "template.apply",
        "organisation": "reclamar",
        "body": {**BODY, **body},
        "expect_version": version,
        "change_id": change,
        "operator": "ana",
        "at": 12.5,
    }


def test_one_of_two_changes_to_the_same_version_succeeds():
    """Guards against a change that silently overwrites a concurrent one."""
    machine = Machine()
    assert machine.commit(apply(0, "a"))["version"] == 1
    refused = machine.commit(apply(0, "b", connections=30))
    assert (refused["code"], refused["current_version"]) == ("version_conflict", 1)


def test_resent_change_returns_the_first_result():
    """Guards against a change that is applied twice after its answer was lost, and
    against a reused change id that hides another change."""
    machine = Machine()
    first = machine.commit(apply(0, "a"))
    machine.commit(apply(1, "b", connections=30))
    resent = {**apply(0, "a"), "at": 99.0}
    assert machine.commit(resent) == first
    other = machine.commit(apply(2, "a", connections=31))
    assert other["code"] == "change_id_reused"
    conflict = machine.commit(apply(0, "c"))
    machine.commit({**apply(2, "d"), "type": "template.apply"})
    assert machine.commit(apply(0, "c")) == conflict
    assert machine.query("template.get", organisation="reclamar")["version"] == 3


@FIXED
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 8)), max_size=25))
def test_versions_increase_by_one_and_each_change_is_applied_once(changes):
    """Guards against lost, repeated or reordered changes when operators expect
    arbitrary versions and resend arbitrary changes."""
    machine, answers, version = Machine(), {}, 0
    for expect, number in changes:
        change = (f"c{number}", expect)
        result = machine.commit(apply(expect, f"c{number}"))
        if change in answers:
            assert result == answers[change]
        elif any(known[0] == change[0] for known in answers):
            assert result["code"] == "change_id_reused"
        else:
            answers[change] = result
            assert (result["code"] == "ok") == (expect == version)
            version += result["code"] == "ok"
    rows = machine.query("template.history", organisation="reclamar")["history"]
    assert [row["version"] for row in rows] == list(range(1, version + 1))


def start(old, new, change, **fields):
    return {
        "type": "failover.start",
        "database": "claims",
        "old_term": old,
        "new_term": new,
        "group": ["c0", "c1", "c2"],
        "change_id": change,
        **fields,
    }


def choose(term, member, **fields):
    command = {"type": "failover.choose", "database": "claims", "term": term}
    return {**command, "member": member, "start_offset": term * 10, **fields}


COMMANDS = st.one_of(
    st.builds(
        lambda v, c: apply(v, f"c{c}", connections=c + 1), *[st.integers(0, 4)] * 2
    ),
    st.builds(
        lambda term, rise: start(term, term + rise, f"auto:{rise}"),
        *[st.integers(0, 2)] * 2,
    ),
    st.builds(
        lambda kind, term, member: {
            "type": kind,
            "database": "claims",
            "term": term,
            "member": member,
            "start_offset": term * 10,
        },
        st.sampled_from(["failover.choose", "failover.done", "endpoint.drain"]),
        st.integers(0, 3),
        st.sampled_from(["c0", "c1", "c2"]),
    ),
    st.builds(
        lambda key: {"type": "keys.rotate", "key_id": f"k{key}", "secret": "00" * 16},
        st.integers(0, 9),
    ),
    st.just({"type": "unheard_of"}),
)


@FIXED
@given(st.lists(COMMANDS, max_size=30), st.integers(0, 30))
def test_restored_snapshot_leads_to_the_same_state(commands, cut):
    """Guards against a state that differs after a snapshot was restored from JSON, and
    against two primaries in one term."""
    straight, restored, primaries = Machine(), Machine(), {}
    for index, command in enumerate(commands):
        if index == cut:
            ready = straight.snapshot()
            data = json.loads(json.dumps(ready.data))
            restored = Machine()
            restored.node.run(0.0, SnapshotRestored(ready.index, data))
            restored.index = straight.index
        assert straight.commit(command) == restored.commit(command)
        for record in straight.node.blackboard.state.databases.values():
            if record.term:
                known = primaries.setdefault(record.term, record.primary)
                assert known == record.primary
    left, right = (to_snapshot(m.node.blackboard.state) for m in (straight, restored))
    assert json.dumps(left) == json.dumps(right)


def test_entry_is_applied_once():
    """Guards against applying an entry again after a repeated commit or a snapshot."""
    machine = Machine()
    machine.commit(apply(0, "a"))
    assert machine.node.run(0.0, CommandCommitted(1, 1, apply(1, "b"))) == []
    machine.node.run(
        0.0, SnapshotRestored(1, to_snapshot(Machine().node.blackboard.state))
    )
    assert machine.query("template.get", organisation="reclamar")["version"] == 1


def test_history_is_bounded_and_a_rollback_is_a_new_version():
    """Guards against unbounded state and against versions that decrease."""
    machine = Machine()
    for version in range(VERSION_LIMIT + 5):
        machine.commit(apply(version, f"c{version}", connections=version + 1))
    common = {"organisation": "reclamar", "expect_version": 105}
    gone = machine.admin("template.rollback", to_version=5, change_id="x", **common)
    assert gone.code == "version_not_found"
    back = machine.admin("template.rollback", to_version=6, change_id="y", **common)
    assert (back.code, back.body["version"]) == ("ok", 106)
    now = machine.admin("template.get", organisation="reclamar")
    assert now.body["body"]["connections"] == 6
    rows = machine.admin("template.history", organisation="reclamar").body["history"]
    assert (len(rows), rows[-1]["operator"], rows[-1]["at"]) == (
        VERSION_LIMIT,
        "ana",
        5.0,
    )
    listed = machine.admin("template.list").body["templates"]
    assert [(row["organisation"], row["version"]) for row in listed] == [
        ("reclamar", 106)
    ]


def test_malformed_command_is_rejected():
    """Guards against a malformed log entry that crashes every control member."""
    machine = Machine()
    for command in (
        {"type": "template.apply", "change_id": "a"},
        {"type": "failover.start", "database": "claims"},
        {"type": "failover.start", **start("x", 2, "auto:a")},
        {"type": "keys.rotate", "key_id": "a:b", "secret": "ab" * 16},
        {"type": "keys.rotate", "key_id": "a", "secret": "secret"},
    ):
        assert machine.commit(command)["code"] == "invalid_request"
    assert machine.query("template.get")["code"] == "invalid_request"


def test_change_ids_are_bounded():
    """Guards against a state that grows indefinitely with every change."""
    machine = Machine()
    changes = machine.node._controllers["state"]._section.changes
    for number in range(CHANGE_LIMIT + 3):
        machine.commit(apply(9, f"c{number}"))
    assert len(changes["reclamar"]) == CHANGE_LIMIT
    assert "c2" not in changes["reclamar"] and "c3" in changes["reclamar"]


@pytest.mark.parametrize(
    ("name", "arguments", "part"),
    [
        ("template.apply", {"organisation": "reclamar"}, "body: required"),
        (
            "template.apply",
            {
                "organisation": "a b",
                "body": {**BODY, "conections": 1},
                "expect_version": 0,
                "change_id": "a",
            },
            "did you mean 'connections'",
        ),
        ("template.get", {"organisation": "r", "version": "1"}, "version: found str"),
    ],
)
def test_invalid_commands_are_not_logged(name, arguments, part):
    """Guards against invalid templates and arguments in the replicated log."""
    machine = Machine()
    reply = machine.admin(name, **arguments)
    assert reply.code == "invalid_request"
    assert part in "\n".join(reply.body["problems"])
    assert machine.index == 0


def test_keys_rotate_without_revealing_secrets():
    """Guards against secrets in replies and tokens invalidated by one rotation."""
    machine = Machine()
    for number in range(KEY_LIMIT + 1):
        reply = machine.admin("keys.rotate", change_id=f"r{number}", secret="ab" * 32)
        assert reply.code == "ok" and "abab" not in json.dumps(reply.body)
    again = machine.admin("keys.rotate", change_id="r3", secret="cd" * 32)
    assert again.body["keys"] == ["key-r3", "key-r2", "key-r1"]
    key = machine.node.blackboard.configuration.keys[0]
    assert (key.serial, key.key_id, key.secret) == (4, "key-r3", "ab" * 32)


def test_term_has_one_plan_and_one_choice():
    """Guards against two leaders that promote different members in the same term."""
    machine = Machine()
    record = machine.node.blackboard.state.databases
    assert machine.commit(start(3, 4, "auto:a"))["code"] == "ok"
    for late in (start(3, 4, "auto:b"), start(3, 5, "auto:c"), start(4, 4, "auto:d")):
        assert machine.commit(late)["code"] == "term_conflict"
    done = {"type": "failover.done", "database": "claims", "term": 4}
    assert machine.commit(done)["code"] == "step_conflict"
    assert machine.commit(choose(4, "c1"))["member"] == "c1"
    assert machine.commit(choose(4, "c2"))["member"] == "c1"
    assert machine.commit(choose(5, "c2"))["code"] == "term_conflict"
    assert [machine.commit(done)["primary"] for _ in range(2)] == ["c1", "c1"]
    assert (record["claims"].term, record["claims"].history) == (4, {4: 40})
    assert machine.commit(start(3, 5, "auto:e"))["code"] == "term_conflict"
    assert machine.commit(start(4, 5, "auto:f"))["code"] == "ok"


def test_term_without_records_is_removed_from_the_history():
    """Guards against reads that are refused although their records survived, because a
    promotion that never took effect is in the history."""
    machine = Machine()
    machine.commit(start(0, 1, "auto:a"))
    machine.commit(choose(1, "c0"))
    machine.commit({"type": "failover.done", "database": "claims", "term": 1})
    machine.commit(start(1, 2, "auto:b"))
    machine.commit(choose(2, "c1", position_term=1, start_offset=100))
    machine.commit(start(2, 3, "auto:c"))
    machine.commit(choose(3, "c2", position_term=1, start_offset=102))
    record = machine.node.blackboard.state.databases["claims"]
    assert record.history == {1: 10, 3: 102}
