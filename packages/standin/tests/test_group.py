"""Tests of a group under random faults and failovers, with the history checkers."""

import os
import random
import threading
import time

import pytest
from thrift.Thrift import TException

from bronzemoor_standin.caller import Caller
from bronzemoor_standin.gen.endpoint.ttypes import Status
from bronzemoor_standin.group import Group
from bronzemoor_standin.history import check
from bronzemoor_standin.records import (
    DONE,
    LOST,
    NOT_RUN,
    UNKNOWN,
    History,
    Request,
    Row,
)
from bronzemoor_standin.tables import read_tables

CONNECTION_ERRORS = (OSError, EOFError, TException)
DURATION_SECONDS = 60 if os.environ.get("BRONZEMOOR_SOAK") else 2
INSERT = "INSERT INTO payouts (claim_id, amount_cents, request_id) VALUES (?, 1, ?)"


class FaultInjection:
    """Writers that confirm their writes, and a controller of faults and failovers."""

    def __init__(self, group, seed):
        self.group = group
        self.random = random.Random(seed)
        self.history = History()
        self.stopping = threading.Event()
        self.term = 1

    def write(self, worker):
        rng, number = random.Random(worker), 0
        while not self.stopping.is_set():
            primary = self.group.primary
            member = primary or rng.choice(list(self.group.members.values()))
            try:
                caller = Caller(member.address, self.group.database, 500)
            except CONNECTION_ERRORS:
                continue
            outcome = DONE
            while outcome == DONE and not self.stopping.is_set():
                number += 1
                outcome = self.write_once(caller, f"{worker}-{number}", rng)
            caller.close()

    def write_once(self, caller, request_id, rng):
        values = {"claim_id": "c", "request_id": request_id}
        request = Request("s", self.group.database, request_id, write=True)
        request.rows, request.result = [Row("payouts", values)], []
        try:
            request.outcome = self.outcome(caller, request_id, rng.random() < 0.3)
        except CONNECTION_ERRORS:
            request.outcome = LOST
        self.history.requests.append(request)
        return request.outcome

    def outcome(self, caller, request_id, in_transaction):
        fields = {"request_id": request_id, "recorded": True}
        if in_transaction:
            caller.transaction("begin", request_id)
            part = caller.execute(INSERT, "c", request_id, transaction_id=request_id)
            if part.status != Status.OK:
                return NOT_RUN
            reply = caller.transaction("commit", request_id, **fields)
        else:
            reply = caller.execute(INSERT, "c", request_id, **fields)
        if reply.status != Status.OK:
            return NOT_RUN
        return DONE if caller.confirm(reply, 300).status == Status.OK else UNKNOWN

    def order(self, name, kind, **fields):
        try:
            caller = Caller(self.group.members[name].address, self.group.database, 300)
            reply = caller.order(kind, self.term, **fields)
            caller.close()
        except CONNECTION_ERRORS:
            return None
        return reply if reply.status == Status.OK else None

    def fail_over(self, loss_rate):
        """Attempts one failover; each order is lost with probability ``loss_rate``."""
        self.term += 1
        names = [n for n in self.group.members if self.random.random() >= loss_rate]
        replies = {name: self.order(name, "fence") for name in names}
        last = {n: (r.term, r.offset) for n, r in replies.items() if r is not None}
        if len(last) < 2:
            return False
        name = max(last, key=last.get)
        order = {"start_offset": last[name][1], "members": self.group.addresses}
        promoted = self.order(name, "promote", primary=name, **order)
        for other in self.group.members:
            if (
                promoted is not None
                and other != name
                and self.random.random() >= loss_rate
            ):
                self.order(other, "follow", primary=name, **order)
        return promoted is not None

    def inject_fault(self):
        member = self.random.choice(list(self.group.members.values()))
        fault = self.random.choice(["cut", "freeze", "kill", "lag", "silence", "heal"])
        if fault == "cut":
            member.faults.cut_peers = True
        elif fault == "freeze":
            member.faults.frozen = True
        elif fault == "kill":
            member.kill()
        elif fault == "lag":
            member.faults.lag_ms = 200.0
        elif fault == "silence":
            member.faults.silence()
        else:
            self.heal()

    def heal(self):
        for member in self.group.members.values():
            member.faults.clear()
            if not member.running:
                member.start()


@pytest.mark.parametrize("seed", [1, 2])
def test_combined_faults_neither_lose_nor_repeat_a_write(seed, eventually):
    """Guards against combinations of partitions, freezes, crashes and failovers."""
    with Group(schema="claims", connections=100, slots=10, heartbeat_ms=10) as group:
        injection = FaultInjection(group, seed)
        writers = [
            threading.Thread(target=injection.write, args=(f"{seed}-{n}",))
            for n in range(4)
        ]
        for writer in writers:
            writer.start()
        deadline = time.monotonic() + DURATION_SECONDS
        while time.monotonic() < deadline:
            time.sleep(injection.random.uniform(0.05, 0.4))
            injection.inject_fault()
            if injection.random.random() < 0.6:
                injection.fail_over(loss_rate=0.25)
        injection.heal()
        eventually(lambda: injection.fail_over(loss_rate=0))
        eventually(lambda: injection.history.requests[-1].outcome == DONE)
        injection.stopping.set()
        for writer in writers:
            writer.join()
        tables = read_tables("claims", group.addresses.values(), ["payouts"])
        assert check(injection.history, {"claims": tables}) == []
        logs = [member.ledger.state.log for member in group.members.values()]
        eventually(lambda: logs[0].last == logs[1].last == logs[2].last)
        assert logs[0].entries == logs[1].entries == logs[2].entries
