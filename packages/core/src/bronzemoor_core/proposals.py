"""Forwards commands to the leader as proposals and returns their results."""

import json
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from bronzemoor_core.internal_events import CommandCompleted
from bronzemoor_core.messages import Propose, ProposeReply
from bronzemoor_core.replica import Replica

# Covers an election and a few round trips between regions; seconds.
PROPOSAL_TIMEOUT_SECONDS = 2.0
# How long a daemon waits for a leader before it answers no_leader.
LEADER_WAIT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.05
# A query without an answer is resent after this many seconds, since it has no effects.
QUERY_INTERVAL_SECONDS = 0.4
# Proposals whose duplicates are recognised and whose results are kept.
MAX_SEEN_PROPOSALS = 4096
# Codes which mean that an attempt was not accepted and may be retried.
REFUSAL_CODES = ("no_leader", "overloaded")


class ProposalRef(Struct, frozen=True):
    """Origin of the commands that consensus passes to ``state``."""

    proposal_id: str


class PendingProposal(Struct):
    """A proposal of this daemon that is not completed; times are in seconds.

    ``sent`` is true while the newest attempt waits for its answer, ``uncertain`` if an
    earlier one may have been accepted. ``leader`` is the recipient of the newest one.
    """

    command: dict[str, Any]
    origin: Any
    started: float
    next_attempt_at: float
    attempt: int = 0
    sent: bool = False
    uncertain: bool = False
    leader: str = ""
    leader_only: bool = False


class ProposalId:
    """``name:session:number:attempt``; all attempts at one command share the base."""

    __slots__ = ("attempt", "base", "name")

    def __init__(self, text: str) -> None:
        name, session, number, attempt = text.rsplit(":", 3)
        self.name = name
        self.base = f"{name}:{session}:{number}"
        self.attempt = int(attempt)


# Accepts a proposal as leader; returns an error code and message if refused.
AcceptProposal = Callable[[float, str, dict[str, Any]], tuple[str, str] | None]


class Proposals:
    """Forwards proposals to the leader and completes each of this daemon's once."""

    def __init__(self, replica: Replica, accept: AcceptProposal) -> None:
        self._replica = replica
        self._accept = accept
        self._session = f"{replica.random.getrandbits(64):016x}"
        self._number = 0
        self._pending: dict[str, PendingProposal] = {}
        # Each attempt is processed once, so that a duplicate of a refused one cannot be
        # accepted after its proposer learned of the refusal.
        self._seen_attempts: OrderedDict[str, None] = OrderedDict()
        # Newest attempt of each proposal of another daemon; answers refer to it.
        self._newest_attempt: OrderedDict[str, str] = OrderedDict()
        self._results: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def use_replica(self, replica: Replica) -> None:
        """Continues with a replica that was recovered after a storage failure."""
        self._replica = replica

    def propose(
        self,
        now: float,
        command: dict[str, Any],
        origin: Any,
        leader_only: bool = False,
    ) -> None:
        """Starts a proposal of this daemon."""
        self._number += 1
        base = f"{self._replica.name}:{self._session}:{self._number}"
        self._pending[base] = PendingProposal(
            command, origin, now, now, leader_only=leader_only
        )
        self._send_attempt(now, base, self._pending[base])

    def on_tick(self, now: float) -> None:
        """Retries refused attempts and completes proposals that timed out."""
        for base, pending in list(self._pending.items()):
            age = now - pending.started
            may_be_accepted = pending.sent or pending.uncertain
            if age >= PROPOSAL_TIMEOUT_SECONDS and may_be_accepted:
                self._complete(base, "unknown", "no answer in time", {})
            elif age >= LEADER_WAIT_SECONDS and not may_be_accepted:
                self._complete(base, "no_leader", "no leader is known", {})
            elif now >= pending.next_attempt_at and self._should_retry(pending):
                pending.uncertain = may_be_accepted
                self._send_attempt(now, base, pending)

    def on_propose(self, now: float, sender: str, message: Propose) -> None:
        """Accepts another daemon's proposal, or forwards it to the leader once."""
        replica = self._replica
        try:
            proposal = ProposalId(message.proposal_id)
            command = json.loads(message.command)
            if not isinstance(command, dict):
                raise ValueError("the command is not an object")
        except ValueError as error:
            replica.emit_log("warning", "bad_proposal", peer=sender, error=str(error))
            return
        if self._is_duplicate(message.proposal_id):
            return
        if replica.is_leader:
            refusal = self._accept(now, message.proposal_id, command)
            if refusal:
                self._answer(proposal.name, message.proposal_id, *refusal, {})
        elif sender == proposal.name and replica.leader not in ("", sender):
            replica.send(replica.leader, message)
        else:
            self._answer(
                proposal.name, message.proposal_id, "no_leader", "not the leader", {}
            )

    def on_reply(self, now: float, message: ProposeReply) -> None:
        """Completes a proposal, or schedules a retry if it was not accepted."""
        try:
            proposal = ProposalId(message.proposal_id)
            result = json.loads(message.result)
        except ValueError as error:
            self._replica.emit_log("warning", "bad_proposal_reply", error=str(error))
            return
        pending = self._pending.get(proposal.base)
        if pending is None:
            return
        if message.code not in REFUSAL_CODES:
            self._complete(proposal.base, message.code, message.message, result)
        elif pending.attempt == proposal.attempt:
            self._on_refused(now, proposal.base, pending, message.code, message.message)

    def answer_with_result(self, proposal_id: str, result: dict[str, Any]) -> None:
        """Answers the proposer with what ``state`` returned.

        ``code`` and ``message`` of the result, if present, become those of the answer.
        """
        self._results[ProposalId(proposal_id).base] = result
        if len(self._results) > MAX_SEEN_PROPOSALS:
            self._results.popitem(last=False)
        code = str(result.get("code", "ok"))
        self.answer(proposal_id, code, str(result.get("message", "")), result)

    def repeat(self, proposal_id: str) -> None:
        """Answers a command that is in the log twice with its first result.

        A member that restored the command from a snapshot has no result, and the
        proposal completes as ``unknown``.
        """
        result = self._results.get(ProposalId(proposal_id).base)
        if result is not None:
            self.answer_with_result(proposal_id, result)

    def answer(
        self, proposal_id: str, code: str, message: str, result: dict[str, Any]
    ) -> None:
        """Answers a proposal of this daemon, or as leader one of another daemon."""
        proposal = ProposalId(proposal_id)
        if proposal.name == self._replica.name:
            pending = self._pending.get(proposal.base)
            if pending is not None and code in REFUSAL_CODES:
                self._on_refused(pending.started, proposal.base, pending, code, message)
            else:
                self._complete(proposal.base, code, message, result)
        elif proposal.base in self._newest_attempt:
            newest = self._newest_attempt[proposal.base]
            self._answer(proposal.name, newest, code, message, result)

    def _send_attempt(self, now: float, base: str, pending: PendingProposal) -> None:
        replica = self._replica
        if pending.leader_only and not replica.is_leader:
            self._complete(base, "no_leader", "not the leader", {})
            return
        pending.attempt += 1
        is_query = pending.command.get("query")
        pending.next_attempt_at = now + (
            QUERY_INTERVAL_SECONDS if is_query else RETRY_INTERVAL_SECONDS
        )
        pending.leader = replica.leader
        proposal_id = f"{base}:{pending.attempt}"
        if replica.is_leader:
            pending.sent = True
            refusal = self._accept(now, proposal_id, pending.command)
            if refusal:
                self.answer(proposal_id, *refusal, {})
            return
        recipient = replica.leader or self._any_control_member(pending.attempt)
        if not recipient:
            pending.next_attempt_at = now + RETRY_INTERVAL_SECONDS
            return
        pending.sent = True
        command = json.dumps(pending.command, separators=(",", ":")).encode()
        replica.send(recipient, Propose(proposal_id, command))

    def _any_control_member(self, attempt: int) -> str:
        """Returns a member to ask; empty on a voter, which would know the leader."""
        replica = self._replica
        if replica.can_vote:
            return ""
        members = replica.settings.control_members
        others = [name for name in members if name != replica.name]
        return others[attempt % len(others)] if others else ""

    def _should_retry(self, pending: PendingProposal) -> bool:
        """Returns whether another attempt is useful and safe.

        A command that is in the log twice is applied once. Changes of the group are not
        deduplicated, so they are not retried.
        """
        command, leader = pending.command, self._replica.leader
        if pending.leader_only and pending.sent:
            return False
        if not pending.sent or command.get("query"):
            return True
        changed = pending.leader and leader not in ("", pending.leader)
        return bool(changed) and not str(command.get("type")).startswith("control.")

    def _on_refused(
        self, now: float, base: str, pending: PendingProposal, code: str, message: str
    ) -> None:
        """Handles a refused attempt.

        It is retried after no_leader, and after any refusal while an earlier attempt is
        uncertain.
        """
        if code != "no_leader" and not pending.uncertain:
            self._complete(base, code, message, {})
            return
        pending.sent = False
        pending.next_attempt_at = now + RETRY_INTERVAL_SECONDS

    def _is_duplicate(self, proposal_id: str) -> bool:
        if proposal_id in self._seen_attempts:
            return True
        self._seen_attempts[proposal_id] = None
        self._newest_attempt[ProposalId(proposal_id).base] = proposal_id
        for kept in (self._seen_attempts, self._newest_attempt):
            if len(kept) > MAX_SEEN_PROPOSALS:
                kept.popitem(last=False)
        return False

    def _complete(
        self, base: str, code: str, message: str, result: dict[str, Any]
    ) -> None:
        pending = self._pending.pop(base, None)
        if pending is not None:
            completed = CommandCompleted(pending.origin, code, message, result)
            self._replica.outbox.append(completed)

    def _answer(
        self,
        recipient: str,
        proposal_id: str,
        code: str,
        message: str,
        result: dict[str, Any],
    ) -> None:
        body = json.dumps(result, separators=(",", ":")).encode()
        self._replica.send(recipient, ProposeReply(proposal_id, code, message, body))
