"""Tests of the guarantees of the data path under interleavings of faults."""

import json
from collections import Counter
from dataclasses import dataclass, field

from datapath_world import FAULTS, Group, World
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bronzemoor_core.connections import ConnectionState

# Derandomized, so that every run has the same result.
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=120,
    suppress_health_check=list(HealthCheck),
)
STEP_SECONDS = 0.02
MAX_AGE_SECONDS = 0.5  # of the class "catalogue"


@dataclass
class Session:
    """A caller that sends one request at a time, through changing proxies."""

    token: str = ""
    waiting: tuple = ()  # world, ticket, kind, text
    lost: tuple = ()  # kind and text of a write whose outcome is unknown
    acknowledged: list = field(default_factory=list)
    transaction: str = ""
    parts: list = field(default_factory=list)


class Scenario:
    """Two proxies in front of one group, and callers whose replies are checked."""

    def __init__(self, faults):
        self.group = Group()
        self.faults = list(faults)
        self.seed = 0
        self.worlds = [self.start(100.0), self.start(100.0)]
        self.sessions = [Session() for _ in range(3)]
        self.not_run, self.payouts = set(), set()
        self.acknowledged = {}  # text of each write and time of its acknowledgement
        self.serial = 0

    def start(self, now):
        # Processes share name and incarnation, but not the state of their generators.
        self.seed += 1
        world = World(
            seed=self.seed,
            group=self.group,
            now=now,
            call_timeout=0.2,
            confirm_timeout=0.2,
        )
        world.fault = self.next_fault
        return world

    def crash(self, proxy):
        """Restarts a proxy; its connections close and its callers get no reply."""
        crashed = self.worlds[proxy]
        for member in self.group.members.values():
            member.open = {
                name: held
                for name, held in member.open.items()
                if held[0][0] != id(crashed)
            }
        for session in self.sessions:
            if session.waiting and session.waiting[0] is crashed:
                session.lost = session.waiting[2:]
                session.waiting = ()
            if proxy == 0:
                session.transaction, session.parts = "", []
        self.worlds[proxy] = self.start(crashed.now - 0.2)
        self.worlds[proxy].learn()

    def next_fault(self, member, call):
        return self.faults.pop() if self.faults and call.kind != "ping" else None

    def perform(self, action):
        kind, number, proxy = action
        if kind == "request":
            self.request(self.sessions[number % 3], self.worlds[proxy], number)
        elif kind == "followers":
            self.group.followers = {"a", "b", "c"} - set("abc"[: number % 4][1:])
        elif kind == "fail_over":
            now = self.worlds[0].now
            self.group.promote((self.group.primary().name,), now)
            self.worlds[proxy].learn()
        elif kind == "resend":
            self.resend(self.sessions[number % 3], self.worlds[proxy])
        elif kind == "crash":
            self.crash(proxy)
        elif kind == "learn":
            self.worlds[proxy].learn()
        elif kind == "heal":
            self.group.heal()
        self.run(STEP_SECONDS * (1 + number % 5))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            for world in self.worlds:
                world.run(STEP_SECONDS)
            for session in self.sessions:
                self.collect(session)

    def resend(self, session, world):
        """Resends the last write of unknown outcome with the same request id."""
        if session.waiting or not session.lost or session.transaction:
            return
        kind, text = session.lost
        if kind in ("post", "payout"):
            fields = {"session": session.token, "deadline": world.now + 1.0}
            ticket = world.send(kind, text, request_id=text, **fields)
            session.waiting = (world, ticket, kind, text)
            self.collect(session)

    def request(self, session, world, number):
        if session.waiting:
            return
        self.serial += 1
        text = f"s{self.serial}"
        kinds = ["own", "catalogue", "post", "payout", "begin", "begin"]
        kind = kinds[number // 3 % len(kinds)]
        if session.transaction:
            world = self.worlds[0]
            kind = "statement" if len(session.parts) < 2 else "commit"
        elif kind == "begin":
            world = self.worlds[0]
        fields = {"session": session.token, "deadline": world.now + 1.0}
        if kind in ("begin", "commit"):
            fields["kind"] = kind
        if kind in ("statement", "commit"):
            fields["transaction"] = session.transaction
        fields["request_id"] = "" if kind in ("own", "catalogue") else text
        if kind == "payout":
            self.payouts.add(text)
        name = kind if kind in ("own", "catalogue", "payout") else "post"
        session.waiting = (world, world.send(name, text, **fields), kind, text)
        self.collect(session)

    def collect(self, session):
        if not session.waiting:
            return
        world, ticket, kind, text = session.waiting
        reply = world.replies.get(ticket)
        if reply is None:
            return
        session.waiting = ()
        session.token = reply.session
        outcome = reply.outcome
        resent = (kind, text) == session.lost
        if outcome.tag == "unknown":
            session.lost = (kind, text)
        elif outcome.tag == "not_run" and not resent:
            self.not_run.add(text)
        elif outcome.tag == "done":
            getattr(self, "_done_" + kind)(session, text, outcome)
        if kind in ("statement", "commit") and (
            outcome.tag != "done" or kind == "commit"
        ):
            session.transaction, session.parts = "", []

    def _done_own(self, session, text, outcome):
        seen = {part for row in json.loads(outcome.payload) for part in row.split("+")}
        missing = set(session.acknowledged) - seen
        assert not missing, f"read_your_writes: {missing} not read from {outcome.peer}"

    def _done_catalogue(self, session, text, outcome):
        self._done_own(session, text, outcome)
        seen = {part for row in json.loads(outcome.payload) for part in row.split("+")}
        limit = self.worlds[0].now - STEP_SECONDS - MAX_AGE_SECONDS
        old = {text for text, at in self.acknowledged.items() if at < limit}
        assert old <= seen, f"{old - seen} is older than the age bound"

    def _done_post(self, session, text, outcome):
        assert json.loads(outcome.payload) == [text], "whole_answer"
        session.acknowledged.append(text)
        self.acknowledged[text] = self.worlds[0].now

    _done_payout = _done_post

    def _done_begin(self, session, text, outcome):
        session.transaction = outcome.transaction

    def _done_statement(self, session, text, outcome):
        session.parts.append(text)
        assert json.loads(outcome.payload) == session.parts, "transaction_isolation"

    def _done_commit(self, session, text, outcome):
        assert json.loads(outcome.payload) == ["+".join(session.parts)], "whole_answer"
        session.acknowledged += session.parts
        now = self.worlds[0].now
        self.acknowledged.update(dict.fromkeys(session.parts, now))

    def check(self):
        self.faults.clear()
        self.run(4.0)
        assert not any(session.waiting for session in self.sessions), "no reply"
        for world in self.worlds:
            assert_no_leaks(world)
        self.group.heal()
        texts = self.group.primary().texts()
        kept = Counter(part for text in texts for part in text.split("+"))
        assert set(self.acknowledged) <= set(kept), "no_deposed_ack"
        assert max(kept.values(), default=1) == 1, "a write was applied twice"
        ran = Counter(request_id for request_id, _ in self.group.executions)
        assert not self.not_run & set(ran), "not_run_is_true"
        assert all(ran[payout] <= 1 for payout in self.payouts), "at_most_once"


def assert_no_leaks(world):
    """Guards against leaked connections, slots, queue entries and fallback reads."""
    blackboard = world.node.blackboard
    connection_tickets = {
        held.connection_ticket for held in blackboard.transactions.open.values()
    }
    pool = blackboard.pools.databases["stock"]
    assert not blackboard.requests.active
    assert not blackboard.requests.by_connection
    assert not any(blackboard.requests.fallbacks.values())
    assert not any(blackboard.requests.waiting.values())
    assert blackboard.queues.depth("stock") == 0
    assert not blackboard.queues.granted_at
    assert set(blackboard.pools.by_ticket) == connection_tickets
    assert all(link.slots_in_use == 0 for link in pool.links.values())
    assert pool.counts[ConnectionState.BUSY] == len(connection_tickets)


ACTIONS = st.tuples(
    st.sampled_from(
        ["request"] * 14
        + ["resend"] * 3
        + ["followers", "fail_over", "learn", "heal", "crash"]
    ),
    st.integers(0, 35),
    st.integers(0, 1),
)


@FIXED
@given(
    st.lists(ACTIONS, min_size=20, max_size=60),
    st.lists(st.sampled_from([None, None, *FAULTS]), min_size=10, max_size=60),
)
def test_guarantees_hold_under_faults(actions, faults):
    """Guards against interleavings of loss, delay, duplication, damage, broken
    connections and changes of primary that violate a guarantee of design.md 1.1."""
    scenario = Scenario(faults)
    for action in actions:
        scenario.perform(action)
    scenario.check()
