"""Proposals: commands on their way to the leader, into the log and back."""

import json
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bronzemoor_core.internal_events import CommandCompleted
from bronzemoor_core.messages import Propose, ProposeReply
from bronzemoor_core.replica import Replica

# Covers an election and a few round trips between regions.
PROPOSAL_TIMEOUT = 2.0  # seconds
# How long a daemon looks for a leader before it answers no_leader.
LEADER_WAIT = 1.0  # seconds
RETRY_INTERVAL = 0.05  # seconds
# A query without an answer is sent again, since asking twice changes nothing.
QUERY_INTERVAL = 0.4  # seconds
# Proposals whose duplicates are recognised and whose results are kept.
SEEN_LIMIT = 4096
# Answers which mean that an attempt was not accepted and may be repeated.
REFUSALS = ("no_leader", "overloaded")


@dataclass(slots=True, frozen=True)
class ProposalRef:
    """Origin of the commands that consensus hands to ``state``."""

    proposal_id: str


@dataclass(slots=True)
class Pending:
    """A proposal of this daemon.

    ``sent`` tells that the newest attempt waits for its answer, ``uncertain`` that an
    earlier one may have been accepted. ``leader`` is whom the newest one was for.
    """

    command: dict[str, Any]
    origin: Any
    started: float
    next_try: float
    attempt: int = 0
    sent: bool = False
    uncertain: bool = False
    leader: str = ""


class ProposalId:
    """``name:session:number:attempt``; all attempts at one command share the base."""

    __slots__ = ("attempt", "base", "name")

    def __init__(self, text: str) -> None:
        name, session, number, attempt = text.rsplit(":", 3)
        self.name = name
        self.base = f"{name}:{session}:{number}"
        self.attempt = int(attempt)


# Accepts a proposal as leader; returns an error code and message, or None.
Accept = Callable[[float, str, dict[str, Any]], tuple[str, str] | None]


class Proposals:
    """Forwards this daemon's proposals and those of others; completes each once."""

    def __init__(self, replica: Replica, accept: Accept) -> None:
        self._replica = replica
        self._accept = accept
        self._session = f"{replica.random.getrandbits(64):016x}"
        self._number = 0
        self._pending: dict[str, Pending] = {}
        # Every attempt is processed once, so that a duplicate of a refused one cannot
        # be accepted after its proposer was told that it was not.
        self._seen: OrderedDict[str, None] = OrderedDict()
        # The newest attempt at each proposal of another daemon, to be answered.
        self._newest: OrderedDict[str, str] = OrderedDict()
        self._results: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def propose(self, now: float, command: dict[str, Any], origin: Any) -> None:
        """Starts a proposal of this daemon."""
        self._number += 1
        base = f"{self._replica.name}:{self._session}:{self._number}"
        self._pending[base] = Pending(command, origin, now, now)
        self._try(now, base, self._pending[base])

    def on_tick(self, now: float) -> None:
        """Repeats refused attempts and gives up old ones."""
        for base, pending in list(self._pending.items()):
            age = now - pending.started
            may_be_accepted = pending.sent or pending.uncertain
            if age >= PROPOSAL_TIMEOUT and may_be_accepted:
                self._complete(base, "unknown", "no answer in time", {})
            elif age >= LEADER_WAIT and not may_be_accepted:
                self._complete(base, "no_leader", "no leader is known", {})
            elif now >= pending.next_try and self._should_repeat(pending):
                pending.uncertain = may_be_accepted
                self._try(now, base, pending)

    def on_propose(self, now: float, sender: str, message: Propose) -> None:
        """Accepts another daemon's proposal, or forwards it once more."""
        replica = self._replica
        try:
            proposal = ProposalId(message.proposal_id)
            command = json.loads(message.command)
            if not isinstance(command, dict):
                raise ValueError("the command is not an object")
        except ValueError as error:
            replica.emit_log("warning", "bad_proposal", peer=sender, error=str(error))
            return
        if self._is_repeated(message.proposal_id):
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
        """Completes a proposal; one that was not accepted is tried again."""
        try:
            proposal = ProposalId(message.proposal_id)
            result = json.loads(message.result)
        except ValueError as error:
            self._replica.emit_log("warning", "bad_proposal_reply", error=str(error))
            return
        pending = self._pending.get(proposal.base)
        if pending is None:
            return
        if message.code not in REFUSALS:
            self._complete(proposal.base, message.code, message.message, result)
        elif pending.attempt == proposal.attempt:
            self._refused(now, proposal.base, pending, message.code, message.message)

    def finish(self, proposal_id: str, result: dict[str, Any]) -> None:
        """Answers the proposer with what ``state`` returned.

        ``code`` and ``message`` of the result, if present, become those of the answer.
        """
        self._results[ProposalId(proposal_id).base] = result
        if len(self._results) > SEEN_LIMIT:
            self._results.popitem(last=False)
        code = str(result.get("code", "ok"))
        self.answer(proposal_id, code, str(result.get("message", "")), result)

    def repeat(self, proposal_id: str) -> None:
        """Answers a command that is in the log again with its first result.

        A member that has the command from a snapshot does not know the result; the
        proposer's answer is ``unknown`` then.
        """
        result = self._results.get(ProposalId(proposal_id).base)
        if result is not None:
            self.finish(proposal_id, result)

    def answer(
        self, proposal_id: str, code: str, message: str, result: dict[str, Any]
    ) -> None:
        """Answers a proposal of this daemon, or as leader one of another daemon."""
        proposal = ProposalId(proposal_id)
        if proposal.name == self._replica.name:
            pending = self._pending.get(proposal.base)
            if pending is not None and code in REFUSALS:
                self._refused(pending.started, proposal.base, pending, code, message)
            else:
                self._complete(proposal.base, code, message, result)
        elif proposal.base in self._newest:
            newest = self._newest[proposal.base]
            self._answer(proposal.name, newest, code, message, result)

    def _try(self, now: float, base: str, pending: Pending) -> None:
        replica = self._replica
        pending.attempt += 1
        is_query = pending.command.get("query")
        pending.next_try = now + (QUERY_INTERVAL if is_query else RETRY_INTERVAL)
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
            pending.next_try = now + RETRY_INTERVAL
            return
        pending.sent = True
        command = json.dumps(pending.command, separators=(",", ":")).encode()
        replica.send(recipient, Propose(proposal_id, command))

    def _any_control_member(self, attempt: int) -> str:
        """A member that may know the leader; a voter itself would know."""
        replica = self._replica
        if replica.can_vote:
            return ""
        members = replica.settings.control_members
        others = [name for name in members if name != replica.name]
        return others[attempt % len(others)] if others else ""

    def _should_repeat(self, pending: Pending) -> bool:
        """Tells whether another attempt is useful and harmless.

        A command may be in the log twice; it is applied once. Changes of the group are
        not recognised as the same, so they are not repeated.
        """
        command, leader = pending.command, self._replica.leader
        if not pending.sent or command.get("query"):
            return True
        changed = pending.leader and leader not in ("", pending.leader)
        return bool(changed) and not str(command.get("type")).startswith("control.")

    def _refused(
        self, now: float, base: str, pending: Pending, code: str, message: str
    ) -> None:
        """Takes an attempt as not accepted; only no_leader is worth a new one, unless
        an earlier attempt is still uncertain."""
        if code != "no_leader" and not pending.uncertain:
            self._complete(base, code, message, {})
            return
        pending.sent = False
        pending.next_try = now + RETRY_INTERVAL

    def _is_repeated(self, proposal_id: str) -> bool:
        if proposal_id in self._seen:
            return True
        self._seen[proposal_id] = None
        self._newest[ProposalId(proposal_id).base] = proposal_id
        for kept in (self._seen, self._newest):
            if len(kept) > SEEN_LIMIT:
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
