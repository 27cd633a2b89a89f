"""A virtual clock, a fake database group and a driver for tests of the data path."""

import heapq
import json
from dataclasses import dataclass, field
from itertools import count
from random import Random
from zlib import crc32

from bronzemoor_core.actions import (
    Answer,
    Call,
    EmitLog,
    EmitMetric,
)
from bronzemoor_core.events import (
    AnswerReceived,
    AnswerTimedOut,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    PositionObserved,
    PrimaryChanged,
    Request,
    RequestReceived,
    SharesChanged,
    Statement,
    Tick,
)
from bronzemoor_core.membership import Database, Member, PrimarySample
from bronzemoor_core.node import make_node
from bronzemoor_core.positions import Position
from bronzemoor_core.settings import DataPathSettings, NodeSettings
from bronzemoor_core.templates import RequestClass, Template

TICK = 0.010
CLASSES = (
    RequestClass("post", "write"),
    RequestClass("payout", "write", repeatable=False, priority=1),
    RequestClass("own", "read"),
    RequestClass("catalogue", "read", max_age=0.5, priority=8),
)


@dataclass
class Entry:
    term: int
    request_id: str
    text: str
    reserved: str = ""


@dataclass
class FakeMember:
    """One member: its log is the data; a read returns the texts of the log."""

    name: str
    role: str = "replica"
    term: int = 1
    log: list = field(default_factory=list)
    open: dict = field(default_factory=dict)
    acks: dict = field(default_factory=dict)
    leaving: bool = False

    def find(self, request_id, reserved=False):
        return next(
            (
                e
                for e in self.log
                if e.request_id == request_id and bool(e.reserved) == reserved
            ),
            None,
        )

    def texts(self):
        return [entry.text for entry in self.log if entry.text]

    def replicate_to(self, other):
        if other.term <= self.term and self.role == "primary":
            other.term = self.term
            other.log = list(self.log)
            self.acks[other.name] = len(self.log)

    def majority(self, size):
        if self.role != "primary":
            return 0
        acks = sorted([len(self.log), *self.acks.values()], reverse=True)
        return acks[size // 2] if len(acks) > size // 2 else 0


class Group:
    """Three fake members of one database, replicated eagerly to ``followers``."""

    def __init__(self):
        self.members = {name: FakeMember(name) for name in ("a", "b", "c")}
        self.members["a"].role = "primary"
        self.followers = {"b", "c"}
        self.executions = []  # (request id, text) of every write that ran
        self.serial = count(1)
        self.confirmed_ago_ms = 0
        self.history = {1: 0}

    def replicate(self, primary):
        for name in self.followers - {primary.name}:
            primary.replicate_to(self.members[name])

    def serve(self, member, call, connection):
        """Executes one call; returns status, code, payload, repeated, transaction."""
        handler = getattr(self, "_" + call.kind)
        answer = handler(member, call, connection)
        return (
            answer
            if len(answer) == 5
            else (*answer, *("", b"", False, "")[len(answer) - 1 :])
        )

    def _ping(self, member, call, connection):
        return ("ok",)

    def _confirm(self, member, call, connection):
        return ("ok",) if member.role == "primary" else ("refused", "not_primary")

    def _lookup(self, member, call, connection):
        if member.role != "primary":
            return ("refused", "not_primary")
        entry = member.find(call.request_id)
        if entry is None:
            return ("ok",)
        return ("ok", "", json.dumps([entry.text]).encode(), True)

    def _reserve(self, member, call, connection):
        if member.role != "primary":
            return ("refused", "not_primary")
        entry = member.find(call.request_id, reserved=True)
        if entry is not None and entry.reserved != call.reservation:
            return ("refused", "reserved")
        if entry is None:
            member.log.append(Entry(member.term, call.request_id, "", call.reservation))
            self.replicate(member)
        return ("ok",)

    def _begin(self, member, call, connection):
        if member.role != "primary":
            return ("refused", "not_primary")
        name = f"t{next(self.serial)}"
        member.open[name] = (connection, [])
        return ("ok", "", b"", False, name)

    def _rollback(self, member, call, connection):
        member.open.pop(call.transaction_id, None)
        return ("ok",)

    def _commit(self, member, call, connection):
        held = member.open.pop(call.transaction_id, None)
        if held is None:
            return ("refused", "unknown_transaction")
        return self._write(member, call, "+".join(held[1]))

    def _execute(self, member, call, connection):
        text = call.statements[0].params.decode()
        if call.transaction_id:
            held = member.open.get(call.transaction_id)
            if held is None or held[0] != connection:
                return ("refused", "unknown_transaction")
            held[1].append(text)
            return ("ok", "", json.dumps(held[1]).encode())
        if call.read_only:
            wanted = call.min_position
            last = member.log[-1].term if member.log else 0
            if len(member.log) < wanted.offset or (
                wanted.offset and last < wanted.term
            ):
                return ("refused", "behind")
            return ("ok", "", json.dumps(member.texts()).encode())
        if call.reservation:
            entry = member.find(call.request_id, reserved=True)
            if entry is None or entry.reserved != call.reservation:
                return ("refused", "reserved")
        return self._write(member, call, text)

    def _write(self, member, call, text):
        if member.role != "primary":
            return ("refused", "not_primary")
        entry = member.find(call.request_id)
        if entry is None:
            member.log.append(Entry(member.term, call.request_id, text))
            self.executions.append((call.request_id, text))
            self.replicate(member)
            return ("ok", "", json.dumps([text]).encode())
        return ("ok", "", json.dumps([entry.text]).encode(), True)

    def primary(self):
        """The primary of the newest term."""
        members = self.members.values()
        return max((m for m in members if m.role == "primary"), key=lambda m: m.term)

    def heal(self):
        """Every member follows the newest primary and drops extra entries."""
        best = self.primary()
        for member in self.members.values():
            if member is not best:
                member.role, member.open = "replica", {}
                best.replicate_to(member)
        self.followers = set(self.members)

    def promote(self, isolated=()):
        """Fences a majority and promotes its most advanced member."""
        term = max(member.term for member in self.members.values()) + 1
        voters = [m for m in self.members.values() if m.name not in isolated]
        assert len(voters) > len(self.members) // 2
        best = max(voters, key=lambda m: (m.log[-1].term if m.log else 0, len(m.log)))
        for member in voters:
            member.term, member.role, member.open = term, "replica", {}
        best.role, best.acks = "primary", {}
        self.history[term] = len(best.log)
        # Marks the term in the log, so that a longer old log cannot win later.
        best.log.append(Entry(term, "", ""))
        for member in voters:
            if member is not best:
                best.replicate_to(member)


class World:
    """Drives one node against a fake group. ``fault(member, call)`` may return a
    function of (world, connection, call, deliver) that replaces the delivery."""

    def __init__(
        self, share=6, seed=1, classes=CLASSES, group=None, now=100.0, **settings
    ):
        self.now = now
        self.group = group or Group()
        self.fault = lambda member, call: None
        self.down = set()
        self.opened = {}
        self.replies, self.logs, self.metrics = {}, [], {}
        self.calls, self.emitted = [], []
        self._events, self._order, self._tickets = [], count(), count(1)
        path = DataPathSettings(**settings)
        self.node = make_node(
            NodeSettings("vm-1", "lisbon", data_path=path), Random(seed)
        )
        own = {name: c._own for name, c in self.node._controllers.items()}
        self.template = Template(
            "toile", 1, ("stock",), classes={c.name: c for c in classes}
        )
        own["configuration"].templates["toile"] = self.template
        self.database = Database("stock", 1, "a", ("a", "b", "c"))
        self.database.history.record(1, 0)
        own["topology"].databases["stock"] = self.database
        for name, place in (("a", "lisbon"), ("b", "porto"), ("c", "faro")):
            self.database.members[name] = Member(name, "stock", name, place)
        self.node._handlers[PositionObserved].append(self._sample)
        self.announce()
        self.schedule(0, Tick())
        self.handle(SharesChanged("stock", share, 1e9))
        self.run(0.2)

    def _sample(self, now, event):
        """Records a sample of the primary, as membership does."""
        sample = PrimarySample(event.proved_at, event.position)
        samples = self.database.samples
        if event.proved_at is not None and sample not in samples:
            samples.append(sample)

    def announce(self, *names):
        """Updates the topology from the members that are up."""
        for name in names or self.group.members:
            fake, known = self.group.members[name], self.database.members[name]
            known.role, known.leaving = fake.role, fake.leaving
            term = fake.log[-1].term if fake.log else 0
            known.position = Position(term, len(fake.log))
            if name not in self.down:
                known.last_heard = self.now

    def schedule(self, delay, event):
        entry = (self.now + delay, next(self._order), event)
        heapq.heappush(self._events, entry)

    def run(self, seconds):
        """Advances the clock and handles what is due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            if callable(event):
                event()
                continue
            if isinstance(event, Tick):
                self.announce()
                self.schedule(TICK, Tick())
            self.handle(event)
        self.now = end

    def handle(self, event):
        for action in self.node.handle(self.now, event):
            self.emitted.append(action)
            perform = getattr(self, "_on_" + type(action).__name__)
            perform(action)

    def send(self, request_class, text="", **fields):
        """Sends a request; returns its ticket."""
        ticket = next(self._tickets)
        reads = request_class in ("own", "catalogue", "read")
        values = {
            "kind": "statements",
            "organisation": "toile",
            "database": "stock",
            "request_class": request_class,
            "request_id": "" if reads else f"r{ticket}",
            "statements": (
                Statement(
                    "select x from t" if reads else "insert into t values (?)",
                    text.encode(),
                ),
            ),
            "deadline": self.now + 2.0,
        }
        self.handle(RequestReceived(ticket, Request(**{**values, **fields})))
        return ticket

    def ask(self, request_class, text="", seconds=0.1, **fields):
        """Sends a request, runs the clock and returns the reply, if any."""
        ticket = self.send(request_class, text, **fields)
        self.run(seconds)
        return self.replies.get(ticket)

    def fail_over(self, *isolated):
        """Promotes among the members that are not isolated and tells the node."""
        self.group.promote(isolated)
        self.learn()

    def learn(self):
        """Tells the node of the group's newest primary."""
        best = self.group.primary()
        if best.term <= self.database.term:
            return
        self.database.term, self.database.primary = best.term, best.name
        for term, start in self.group.history.items():
            self.database.history.record(term, start)
        start = self.group.history[best.term]
        self.handle(PrimaryChanged("stock", best.term, best.name, start))

    def answer(self, member, call, result):
        status, code, payload, repeated, transaction = result
        return Answer(
            call.correlation_id,
            status,
            call.request_id,
            code,
            "",
            member.term,
            len(member.log),
            member.majority(len(self.group.members)),
            self.group.confirmed_ago_ms if member.role == "primary" else -1,
            payload,
            len(payload),
            crc32(payload),
            member.name,
            member.role,
            repeated,
            transaction,
            leaving=member.leaving,
        )

    # --- actions

    def _on_OpenConnection(self, action):  # noqa: N802
        if action.member in self.down:
            self.schedule(0.01, ConnectionFailed(action.connection, "refused"))
            return
        self.opened[action.connection] = action.member
        member = self.group.members[action.member]
        hello = self.answer(member, Call("hello", 0), ("ok", "", b"", False, ""))
        self.schedule(0.012, ConnectionOpened(action.connection, hello))

    def _on_CloseConnection(self, action):  # noqa: N802
        name = self.opened.pop(action.connection, None)
        if name is not None:
            held = self.group.members[name].open
            for key in [
                k for k, v in held.items() if v[0] == (id(self), action.connection)
            ]:
                del held[key]
        self.schedule(0.001, ConnectionClosed(action.connection, "closed"))

    def _on_SendCall(self, action):  # noqa: N802
        connection, call, sent_at = action.connection, action.call, self.now
        self.calls.append((self.opened.get(connection), call))
        member = self.group.members[self.opened[connection]]
        fault = self.fault(member, call)

        key = (id(self), connection)

        def deliver(until=self.now + call.wait_ms / 1_000):
            size = len(self.group.members)
            waits = member.majority(size) < call.min_position.offset
            if call.kind == "confirm" and waits and self.now < until:
                self.schedule(0.01, lambda: deliver(until))
                return
            result = self.group.serve(member, call, key)
            answer = self.answer(member, call, result)
            self.schedule(0.001, AnswerReceived(connection, call, answer, sent_at))

        if fault is not None:
            fault(self, connection, call, deliver)
        elif member.name in self.down:
            self.time_out(connection, call)
        else:
            self.schedule(0.001, deliver)

    def time_out(self, connection, call):
        self.schedule(call.timeout, AnswerTimedOut(connection, call, self.now))

    def _on_Reply(self, action):  # noqa: N802
        assert action.ticket not in self.replies, "two replies to one request"
        self.replies[action.ticket] = action

    def _on_EmitLog(self, action: EmitLog):  # noqa: N802
        self.logs.append(action.event)

    def _on_EmitMetric(self, action: EmitMetric):  # noqa: N802
        self.metrics[action.name] = self.metrics.get(action.name, 0) + action.value


# Faults of one call, for ``World.fault``.


def lose_call(world, connection, call, deliver):
    """The call never arrives."""
    world.time_out(connection, call)


def lose_answer(world, connection, call, deliver):
    """The call runs, its answer never arrives."""
    member = world.group.members[world.opened[connection]]
    key = (id(world), connection)
    world.schedule(0.001, lambda: world.group.serve(member, call, key))
    world.time_out(connection, call)


def arrive_late(world, connection, call, deliver):
    """The call runs and is answered only after its timeout."""
    world.time_out(connection, call)
    world.schedule(call.timeout + 0.05, deliver)


def delay(world, connection, call, deliver):
    """Slow, but within the timeout; overtaken by calls on other connections."""
    world.schedule(min(0.2, call.timeout * 0.9), deliver)


def duplicate(world, connection, call, deliver):
    """The call runs once and its answer arrives twice."""
    deliver()
    again = [e for e in world._events if getattr(e[2], "call", None) is call]
    for _, _, event in again:
        world.schedule(0.003, event)


def corrupt(world, connection, call, deliver):
    """The answer's payload is damaged on the way."""
    deliver()
    for _, _, event in world._events:
        if getattr(event, "call", None) is call:
            event.answer.payload += b"?"


def swap(world, connection, call, deliver):
    """The answer that arrives is the one to another request."""
    deliver()
    for _, _, event in world._events:
        if getattr(event, "call", None) is call:
            event.answer.correlation_id += 1_000
            event.answer.request_id = "other"


def break_connection(world, connection, call, deliver):
    """The connection breaks after the call ran."""
    member = world.group.members[world.opened[connection]]
    key = (id(world), connection)
    world.schedule(0.001, lambda: world.group.serve(member, call, key))
    world.schedule(0.002, ConnectionClosed(connection, "reset"))


FAULTS = (
    lose_call,
    lose_answer,
    arrive_late,
    delay,
    duplicate,
    corrupt,
    swap,
    break_connection,
)
