"""A virtual clock, a fake database group and a driver for tests of the data path."""

import heapq
import json
from dataclasses import dataclass, field
from itertools import count
from random import Random
from zlib import crc32

from bronzemoor_core.actions import Answer, Call
from bronzemoor_core.events import (
    AnswerReceived,
    AnswerTimedOut,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    Request,
    RequestReceived,
    Statement,
    Tick,
)
from bronzemoor_core.internal_events import (
    PositionObserved,
    PrimaryChanged,
    SharesChanged,
)
from bronzemoor_core.membership import Database, Member, PrimarySample
from bronzemoor_core.node import make_node
from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.settings import DataPathSettings, NodeSettings
from bronzemoor_core.templates import RequestClass, Template

TICK_SECONDS = 0.010
ANNOUNCE_INTERVAL_SECONDS = 0.100
CLASSES = (
    RequestClass("post", "write"),
    RequestClass("payout", "write", repeatable=False, priority=1),
    RequestClass("own", "read"),
    RequestClass("catalogue", "read", max_age=0.5, priority=8),
)
READS = ("own", "catalogue")


@dataclass
class Entry:
    term: int
    request_id: str
    text: str
    reservation: str = ""


@dataclass
class Result:
    """A fake member's result; ``position`` defaults to that of its last entry."""

    status: str = "ok"
    code: str = ""
    payload: bytes = b""
    repeated: bool = False
    transaction: str = ""
    position: Position | None = None


@dataclass
class FakeMember:
    """A member whose log is its data; a read returns the texts of the log."""

    name: str
    role: str = "replica"
    term: int = 1
    log: list = field(default_factory=list)
    open: dict = field(default_factory=dict)
    acks: dict = field(default_factory=dict)
    leaving: bool = False

    @property
    def position(self):
        return Position(self.log[-1].term, len(self.log)) if self.log else ZERO

    def find(self, request_id, reserved=False):
        for offset, entry in enumerate(self.log, 1):
            if entry.request_id == request_id and bool(entry.reservation) == reserved:
                return entry, Position(entry.term, offset)
        return None, ZERO

    def append(self, *fields):
        self.log.append(Entry(self.term, *fields))

    def texts(self):
        return [entry.text for entry in self.log if entry.text]

    def replicate_to(self, other):
        if other.term <= self.term and self.role == "primary":
            if other.role == "primary":
                # A primary that accepts a newer primary's log becomes a replica.
                other.role, other.open = "replica", {}
            other.term, other.log = self.term, list(self.log)
            self.acks[other.name] = len(self.log)

    @property
    def majority(self):
        acks = sorted([len(self.log), *self.acks.values()], reverse=True)
        return acks[1] if self.role == "primary" and len(acks) > 1 else 0


class Group:
    """Three fake members of one database; ``followers`` replicate immediately."""

    def __init__(self):
        self.members = {name: FakeMember(name) for name in ("a", "b", "c")}
        self.members["a"].role = "primary"
        self.followers = {"b", "c"}
        self.executions = []  # (request id, text) of every write that ran
        self.serial = count(1)
        self.history = {1: 0}
        self.confirmed_ago_ms = 0
        self.replaced_at = {}  # when a replaced primary lost its majority

    def primary(self):
        """The primary of the newest term."""
        members = self.members.values()
        return max((m for m in members if m.role == "primary"), key=lambda m: m.term)

    def replicate(self, primary):
        for name in self.followers - {primary.name}:
            primary.replicate_to(self.members[name])

    def promote(self, isolated=(), now=0.0):
        """Fences the other members and promotes the most advanced one."""
        self.replaced_at.update(dict.fromkeys(isolated, now))
        term = max(member.term for member in self.members.values()) + 1
        voters = [m for m in self.members.values() if m.name not in isolated]
        best = max(voters, key=lambda m: m.position)
        for member in voters:
            member.term, member.role, member.open = term, "replica", {}
        best.role, best.acks = "primary", {}
        self.replaced_at.pop(best.name, None)
        self.history[term] = len(best.log)
        # An entry of the new term keeps a longer log of an older term from winning.
        best.append("", "")
        for member in voters:
            if member is not best:
                best.replicate_to(member)

    def heal(self):
        """Makes all members replicas of the newest primary, without extra entries."""
        best = self.primary()
        for member in self.members.values():
            if member is not best:
                member.role, member.open = "replica", {}
                best.replicate_to(member)
        self.followers = set(self.members)

    def serve(self, member, call, connection):
        reads = call.kind == "ping" or call.read_only
        if not reads and member.role != "primary":
            return Result("refused", "not_primary")
        return getattr(self, "_" + call.kind)(member, call, connection)

    def _ping(self, member, call, connection):
        return Result()

    def _confirm(self, member, call, connection):
        wanted = call.min_position
        entries = member.log[wanted.offset - 1 : wanted.offset]
        if not entries or entries[0].term != wanted.term:
            return Result("refused", "position_discarded")
        if member.majority < wanted.offset:
            return Result("refused", "not_confirmed")
        return Result(position=wanted)

    def _lookup(self, member, call, connection):
        entry, position = member.find(call.request_id)
        if entry is None:
            return Result("refused", "unknown_request")
        return Result("ok", "", json.dumps([entry.text]).encode(), True, "", position)

    def _reserve(self, member, call, connection):
        if member.find(call.request_id)[0] is not None:
            return self._lookup(member, call, connection)
        entry, position = member.find(call.request_id, reserved=True)
        if entry is None:
            member.append(call.request_id, "", call.reservation)
            self.replicate(member)
            return Result()
        if entry.reservation != call.reservation:
            return Result("refused", "reserved")
        return Result(position=position)

    def _begin(self, member, call, connection):
        name = f"t{next(self.serial)}"
        member.open[name] = (connection, [])
        return Result(transaction=name)

    def _rollback(self, member, call, connection):
        member.open.pop(call.transaction_id, None)
        return Result()

    def _commit(self, member, call, connection):
        transaction = member.open.pop(call.transaction_id, None)
        if transaction is None:
            return Result("refused", "unknown_transaction")
        return self._write(member, call, "+".join(transaction[1]))

    def _execute(self, member, call, connection):
        text = call.statements[0].params.decode()
        if call.transaction_id:
            transaction = member.open.get(call.transaction_id)
            if transaction is None or transaction[0] != connection:
                return Result("refused", "unknown_transaction")
            transaction[1].append(text)
            return Result(payload=json.dumps(transaction[1]).encode())
        if call.read_only:
            # A position of a later term includes what survived of earlier terms.
            behind = member.position.offset < call.min_position.offset
            if behind or member.position < call.min_position:
                return Result("refused", "behind")
            return Result(payload=json.dumps(member.texts()).encode())
        if call.reservation:
            entry, _ = member.find(call.request_id, reserved=True)
            if entry is None or entry.reservation != call.reservation:
                return Result("refused", "not_reserved")
        return self._write(member, call, text)

    def _write(self, member, call, text):
        entry, position = member.find(call.request_id)
        if entry is not None:
            text = json.dumps([entry.text]).encode()
            return Result("ok", "", text, True, "", position)
        member.append(call.request_id, text)
        # The caller's id follows the organisation.
        self.executions.append((call.request_id.partition("/")[2], text))
        self.replicate(member)
        return Result(payload=json.dumps([text]).encode())


class World:
    """Drives one node against a fake group. ``fault(member, call)`` may return a
    function of (world, connection, call, deliver) that replaces the delivery."""

    def __init__(self, share=6, seed=1, classes=CLASSES, group=None, now=100.0, **path):
        self.now = now
        self.group = group or Group()
        self.fault = lambda member, call: None
        self.down = set()
        self.opened, self.replies, self.metrics = {}, {}, {}
        self.logs, self.calls, self.emitted = [], [], []
        self._announce_at = now
        self._events, self._order, self._tickets = [], count(), count(1)
        path = DataPathSettings(**path)
        settings = NodeSettings("vm-1", "lisbon", data_path=path)
        self.node = make_node(settings, Random(seed))
        own = {name: c._section for name, c in self.node._controllers.items()}
        classes = {c.name: c for c in classes}
        self.template = Template("toile", 1, ("stock",), classes=classes)
        own["configuration"].templates["toile"] = self.template
        self.database = Database("stock", 1, "a", ("a", "b", "c"))
        self.database.history.add_term(1, 0)
        own["topology"].databases["stock"] = self.database
        for name, data_centre in (("a", "lisbon"), ("b", "porto"), ("c", "faro")):
            self.database.members[name] = Member(name, "stock", name, data_centre)
        self.node._handlers[PositionObserved].append(self._sample)
        self.schedule(0, Tick())
        self.announce()
        self.handle(SharesChanged("stock", share, 1e9))
        self.run(0.2)

    def _sample(self, now, event):
        """Records a sample of the primary, as membership does."""
        sample = PrimarySample(event.proved_at, event.position)
        if event.proved_at is not None and sample not in self.database.samples:
            self.database.samples.append(sample)

    def announce(self):
        """Updates the topology from the members that are up."""
        for name, known in self.database.members.items():
            fake = self.group.members[name]
            known.role, known.leaving = fake.role, fake.leaving
            known.position = fake.position
            if name not in self.down:
                known.last_contact_at = self.now

    def schedule(self, delay, event):
        entry = (self.now + delay, next(self._order), event)
        heapq.heappush(self._events, entry)

    def run(self, seconds):
        """Advances the clock and handles the events that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            if callable(event):
                event()
                continue
            if isinstance(event, Tick):
                if self.now >= self._announce_at:
                    self._announce_at = self.now + ANNOUNCE_INTERVAL_SECONDS
                    self.announce()
                self.schedule(TICK_SECONDS, Tick())
            self.handle(event)
        self.now = end

    def handle(self, event):
        for action in self.node.handle(self.now, event):
            self.emitted.append(action)
            getattr(self, "_on_" + type(action).__name__, lambda action: None)(action)

    def send(self, request_class, text="", **fields):
        """Sends a request; returns its ticket."""
        ticket = next(self._tickets)
        reads = request_class in READS
        sql = "select x from t" if reads else "insert into t values (?)"
        values = {
            "kind": "statements",
            "organisation": "toile",
            "database": "stock",
            "request_class": request_class,
            "request_id": "" if reads else f"r{ticket}",
            "statements": (Statement(sql, text.encode()),),
            "deadline": self.now + 2.0,
        }
        self.handle(RequestReceived(ticket, Request(**{**values, **fields})))
        return ticket

    def ask(self, request_class, text="", seconds=0.1, **fields):
        """Sends a request, advances the clock and returns the reply, if any."""
        ticket = self.send(request_class, text, **fields)
        self.run(seconds)
        return self.replies.get(ticket)

    def fail_over(self, *isolated):
        """Promotes a member that is not isolated and notifies the node."""
        self.group.promote(isolated, self.now)
        self.learn()

    def learn(self):
        """Notifies the node of the newest primary of the group."""
        best = self.group.primary()
        if best.term <= self.database.term:
            return
        self.database.term, self.database.primary = best.term, best.name
        for term, start in self.group.history.items():
            self.database.history.add_term(term, start)
        start = self.group.history[best.term]
        self.handle(PrimaryChanged("stock", best.term, best.name, start))

    def answer(self, member, call, result):
        position = result.position or member.position
        ago = self.now - self.group.replaced_at.get(member.name, self.now)
        ago_ms = self.group.confirmed_ago_ms + round(ago * 1_000)
        payload = result.payload
        offsets = (position.term, position.offset, member.majority)
        confirmation = (ago_ms if member.role == "primary" else -1,)
        body = (payload, len(payload), crc32(payload))
        source = (member.name, member.role, result.repeated, result.transaction)
        head = (call.correlation_id, result.status, call.request_id, result.code, "")
        answer = Answer(*head, *offsets, *confirmation, *body, *source)
        answer.leaving = member.leaving
        return answer

    def connection_key(self, connection):
        """Returns a key that is unique among the connections of all worlds."""
        return (id(self), connection)

    def time_out(self, connection, call):
        self.schedule(call.timeout, AnswerTimedOut(connection, call, self.now))

    # --- actions

    def _on_OpenConnection(self, action):  # noqa: N802
        if action.member in self.down:
            self.schedule(0.01, ConnectionFailed(action.connection, "refused"))
            return
        self.opened[action.connection] = action.member
        member = self.group.members[action.member]
        hello = self.answer(member, Call("hello", 0), Result())
        self.schedule(0.012, ConnectionOpened(action.connection, hello))

    def _on_CloseConnection(self, action):  # noqa: N802
        name = self.opened.pop(action.connection, None)
        if name is not None:
            transactions = self.group.members[name].open
            for transaction, (key, _) in list(transactions.items()):
                if key == self.connection_key(action.connection):
                    del transactions[transaction]
        self.schedule(0.001, ConnectionClosed(action.connection, "closed"))

    def _on_SendCall(self, action):  # noqa: N802
        connection, call, sent_at = action.connection, action.call, self.now
        member = self.group.members[self.opened[connection]]
        self.calls.append((member.name, call))
        fault = self.fault(member, call)

        def deliver(until=self.now + call.wait_ms / 1_000):
            short = member.majority < call.min_position.offset
            if call.kind == "confirm" and short and self.now < until:
                self.schedule(0.01, lambda: deliver(until))
                return
            result = self.group.serve(member, call, self.connection_key(connection))
            answer = self.answer(member, call, result)
            self.schedule(0.001, AnswerReceived(connection, call, answer, sent_at))

        if fault is not None:
            fault(self, connection, call, deliver)
        elif member.name in self.down:
            self.time_out(connection, call)
        else:
            self.schedule(0.001, deliver)

    def _on_Reply(self, action):  # noqa: N802
        assert action.ticket not in self.replies, "two replies to one request"
        self.replies[action.ticket] = action

    def _on_EmitLog(self, action):  # noqa: N802
        self.logs.append(action.event)

    def _on_EmitMetric(self, action):  # noqa: N802
        self.metrics[action.name] = self.metrics.get(action.name, 0) + action.value


# Faults of one call, for ``World.fault``.


def lose_call(world, connection, call, deliver):
    """Drops the call."""
    world.time_out(connection, call)


def _run_unanswered(world, connection, call):
    member = world.group.members[world.opened[connection]]
    key = world.connection_key(connection)
    world.schedule(0.001, lambda: world.group.serve(member, call, key))


def lose_answer(world, connection, call, deliver):
    """Runs the call and drops its answer."""
    _run_unanswered(world, connection, call)
    world.time_out(connection, call)


def break_connection(world, connection, call, deliver):
    """Runs the call and breaks the connection."""
    _run_unanswered(world, connection, call)
    world.schedule(0.002, ConnectionClosed(connection, "reset"))


def arrive_late(world, connection, call, deliver):
    """Runs and answers the call only after its timeout."""
    world.time_out(connection, call)
    world.schedule(call.timeout + 0.05, deliver)


def delay(world, connection, call, deliver):
    """Delays the call within its timeout; calls on other connections overtake it."""
    world.schedule(min(0.2, call.timeout * 0.9), deliver)


def slow(seconds):
    """Returns a fault that delays requests, but not probes, by ``seconds``."""

    def late(world, connection, call, deliver):
        world.schedule(seconds, deliver)

    return lambda member, call: late if call.ticket else None


def altered_answer(change):
    """Returns a fault that changes or duplicates the answer in transit."""

    def fault(world, connection, call, deliver):
        deliver()
        events = [event for _, _, event in world._events]
        for event in events:
            if getattr(event, "call", None) is call:
                change(world, event)

    return fault


def _corrupt_payload(world, event):
    event.answer.payload += b"?"


def _replace_ids(world, event):
    event.answer.correlation_id += 1_000
    event.answer.request_id = "other"


duplicate = altered_answer(lambda world, event: world.schedule(0.003, event))
corrupt = altered_answer(_corrupt_payload)
replace_ids = altered_answer(_replace_ids)
LOSSES = (lose_call, lose_answer, arrive_late, break_connection)
FAULTS = (*LOSSES, delay, duplicate, corrupt, replace_ids)
