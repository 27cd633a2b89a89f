"""The replicated log of the control group."""

from random import Random
from typing import Any

from bronzemoor_core.actions import AdminReply
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.elections import Elections
from bronzemoor_core.events import (
    AdminCommand,
    PeerMessageReceived,
    StorageFailed,
    StorageRecovered,
    StorageSynced,
    Tick,
)
from bronzemoor_core.internal_events import (
    CommandApplied,
    CommandCommitted,
    CommandCompleted,
    CommandProposed,
    QueryReady,
    SnapshotReady,
    SnapshotRestored,
)
from bronzemoor_core.journal import decode_command
from bronzemoor_core.messages import (
    AppendEntries,
    AppendEntriesReply,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    PreVote,
    PreVoteReply,
    Propose,
    ProposeReply,
    Vote,
    VoteReply,
)
from bronzemoor_core.proposals import ProposalId, ProposalRef, Proposals
from bronzemoor_core.reads import QuorumReads, Read
from bronzemoor_core.reconfiguration import CHANGES, MEMBERS, Reconfiguration
from bronzemoor_core.replica import LEARNER, NONE, Replica
from bronzemoor_core.replication import Replication
from bronzemoor_core.snapshots import Snapshots

# Entries applied for one event at most, so that a long recovery does not delay other
# events.
APPLY_BATCH = 2_000
# Further commands are refused while this many entries are uncommitted.
MAX_UNCOMMITTED_ENTRIES = 4_096
# Applied proposals that are remembered to skip a second copy in the log.
MAX_RECENT_PROPOSALS = 2_048


@section("log")
class Log:
    """State of the replicated log on this daemon; times are in seconds.

    ``role`` is follower, candidate, leader, learner, or none outside the control
    group. ``confirmed_at`` is, on a leader, a time before which no other leader was
    elected. ``last_contact`` is when this daemon last received a message from the
    leader, or, on a leader, when a quorum last answered. ``established`` is true once
    a leader committed an entry of its term. ``founded_term`` is the term in which this
    member started the group as its first leader, or 0. ``active`` is false while the
    storage has failed. ``last_replies`` is, on a leader, when each other member last
    answered it.
    """

    __slots__ = (
        "active",
        "applied_index",
        "commit_index",
        "confirmed_at",
        "established",
        "founded_term",
        "last_contact",
        "last_replies",
        "leader",
        "learners",
        "role",
        "term",
        "voters",
    )

    def __init__(self) -> None:
        self.term = 0
        self.role = NONE
        self.leader = ""
        self.voters: tuple[str, ...] = ()
        self.learners: tuple[str, ...] = ()
        self.commit_index = 0
        self.applied_index = 0
        self.last_contact = float("-inf")
        self.confirmed_at = float("-inf")
        self.established = False
        self.founded_term = 0
        self.active = False
        self.last_replies: dict[str, float] = {}


class AdminOrigin:
    """Origin of a command that an operator sent."""

    __slots__ = ("ticket",)

    def __init__(self, ticket: int) -> None:
        self.ticket = ticket


@controller("log")
class Consensus(Controller):
    """Owns the log section; dispatches events to the components of one replica."""

    _section: Log

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        self._build_components()
        self._proposals = Proposals(self._replica, self._accept)

    def _build_components(self) -> None:
        """Builds a replica that knows nothing yet and the components that use it."""
        self._replica = Replica(self._settings, self._random)
        self._elections = Elections(self._replica)
        self._replication = Replication(self._replica)
        self._reads = QuorumReads(self._replica, self._replication, self._read_ready)
        self._snapshots = Snapshots(self._replica, self._replication)
        self._reconfiguration = Reconfiguration(self._replica, self._replication)
        self._was_leader = False

    # --- storage and clock

    @handles(StorageRecovered)
    def on_recovered(self, now: float, event: StorageRecovered) -> list[Any]:
        if not self._settings.control:
            return []
        if self._replica.failed:
            # Memory may hold entries that the failed storage does not.
            self._build_components()
            self._proposals.use_replica(self._replica)
        replica = self._replica
        replica.recover(event.hard_state, event.entries, event.snapshot)
        if event.snapshot is not None:
            replica.outbox.append(
                SnapshotRestored(event.snapshot.index, event.snapshot.data)
            )
        self._elections.start(now)
        self._elections.on_tick(now)
        return self._finish(now)

    @handles(StorageSynced)
    def on_synced(self, now: float, event: StorageSynced) -> list[Any]:
        self._replica.on_synced(event.sequence)
        if self._replica.active and self._elections.on_synced():
            self._on_elected(now)
        return self._finish(now)

    @handles(StorageFailed)
    def on_storage_failed(self, now: float, event: StorageFailed) -> list[Any]:
        self._replica.on_storage_failed(event.error)
        return self._finish(now)

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[Any]:
        if self._replica.active:
            self._elections.on_tick(now)
            self._replication.on_tick(now)
        self._proposals.on_tick(now)
        return self._finish(now)

    # --- peers

    @handles(PeerMessageReceived)
    def on_message(self, now: float, event: PeerMessageReceived) -> list[Any]:
        message, sender = event.message, event.sender
        match message:
            case Propose():
                self._proposals.on_propose(now, sender, message)
            case ProposeReply():
                self._proposals.on_reply(now, message)
            case HeartbeatReply():
                if not self._replica.active:
                    self._replica.leader = message.leader
                    self._replica.last_contact = now
            case _ if self._replica.active:
                self._on_log_message(now, sender, message)
        return self._finish(now)

    def _on_log_message(self, now: float, sender: str, message: Any) -> None:
        elections = self._elections
        match message:
            case PreVote():
                elections.on_pre_vote(now, sender, message)
            case PreVoteReply():
                elections.on_pre_vote_reply(now, sender, message)
            case Vote():
                elections.on_vote(now, sender, message)
            case VoteReply():
                if elections.on_vote_reply(now, sender, message):
                    self._on_elected(now)
            case AppendEntries():
                if self._replication.on_append(now, sender, message):
                    elections.reset_timer(now)
            case InstallSnapshot():
                if self._snapshots.on_install(now, sender, message):
                    elections.reset_timer(now)
            case AppendEntriesReply():
                if self._is_valid_reply(now, sender, message):
                    self._replication.on_reply(now, sender, message)
            case InstallSnapshotReply():
                if self._is_valid_reply(now, sender, message):
                    self._snapshots.on_reply(now, sender, message)

    def _is_valid_reply(
        self, now: float, sender: str, reply: AppendEntriesReply | InstallSnapshotReply
    ) -> bool:
        """Returns whether a reply is of this term and from a recorded identity."""
        replica = self._replica
        if reply.term > replica.term:
            replica.step_down(reply.term, "")
            return False
        progress = self._replication.progress.get(sender)
        if not replica.is_leader or reply.term != replica.term or progress is None:
            return False
        round_id = getattr(reply, "round_id", None)
        if self._reconfiguration.check_identity(
            sender, reply.identity, progress, round_id
        ):
            return True
        self._reconfiguration.on_unknown_identity(now, sender)
        return False

    # --- proposals

    @handles(CommandProposed)
    def on_proposed(self, now: float, event: CommandProposed) -> list[Any]:
        self._proposals.propose(now, event.command, event.origin, event.leader_only)
        return self._finish(now)

    @handles(AdminCommand)
    def on_admin(self, now: float, event: AdminCommand) -> list[Any]:
        if event.name not in (*CHANGES, MEMBERS):
            return []
        command = {**event.arguments, "type": event.name}
        if event.name == MEMBERS:
            command["query"] = True
        self._proposals.propose(now, command, AdminOrigin(event.ticket))
        return self._finish(now)

    @handles(CommandCompleted)
    def on_completed(self, now: float, event: CommandCompleted) -> list[Any]:
        if not isinstance(event.origin, AdminOrigin):
            return []
        body = dict(event.result)
        if event.message:
            body["message"] = event.message
        return [AdminReply(event.origin.ticket, event.code, body)]

    @handles(CommandApplied)
    def on_applied(self, now: float, event: CommandApplied) -> list[Any]:
        if isinstance(event.origin, ProposalRef):
            self._proposals.answer_with_result(event.origin.proposal_id, event.result)
        return self._finish(now)

    @handles(SnapshotReady)
    def on_snapshot_ready(self, now: float, event: SnapshotReady) -> list[Any]:
        if self._replica.active:
            self._snapshots.on_ready(event)
        return self._finish(now)

    def _accept(
        self, now: float, proposal_id: str, command: dict[str, Any]
    ) -> tuple[str, str] | None:
        """Accepts a proposal as leader; returns error code and message if refused."""
        replica = self._replica
        if command.get("query"):
            self._reads.add(now, command, ProposalRef(proposal_id))
            return None
        if command.get("type") in CHANGES:
            return self._reconfiguration.propose(now, command, proposal_id)
        if str(command.get("type", "")).startswith("control."):
            return "invalid_request", "unknown control command"
        if replica.journal.last_index - replica.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            return "overloaded", "too many commands are not committed yet"
        replica.propose(command, proposal_id)
        return None

    def _read_ready(self, now: float, read: Read) -> None:
        if read.command.get("type") == MEMBERS:
            members = self._reconfiguration.describe(now)
            self._proposals.answer_with_result(read.origin.proposal_id, members)
        else:
            self._replica.outbox.append(QueryReady(read.command, read.origin))

    # --- leadership and commits

    def _on_elected(self, now: float) -> None:
        """Appends a first entry, since those of older terms commit only with it."""
        replica = self._replica
        self._was_leader = True
        self._replication.start_leader_term(now)
        if replica.group.started:
            replica.propose({"type": "control.noop"})
        else:
            self._section.founded_term = replica.term
            self._reconfiguration.start_group(now, dict(self._elections.granted_by))
        self._replication.start_round(now)

    def _finish(self, now: float) -> list[Any]:
        """Commits, applies and sends whatever the event allows; returns the outbox."""
        replica = self._replica
        if self._was_leader and not replica.is_leader:
            self._was_leader = False
            for origin in self._reads.drop():
                self._proposals.answer(origin.proposal_id, "no_leader", "", {})
        if replica.is_leader:
            index = self._replication.quorum_index()
            replica.commit_index = max(replica.commit_index, index)
        self._apply(now)
        if replica.is_leader:
            self._reconfiguration.promote_ready(now)
            self._replication.send_entries()
            self._snapshots.send_needed()
            self._reads.advance(now)
        self._publish(now)
        items, replica.outbox = replica.outbox, []
        return items

    def _apply(self, now: float) -> None:
        replica = self._replica
        last = min(replica.commit_index, replica.applied_index + APPLY_BATCH)
        while replica.applied_index < last:
            replica.applied_index += 1
            entry = replica.journal.entry(replica.applied_index)
            proposal_id, command = decode_command(entry)
            if str(command.get("type", "")).startswith("control."):
                self._apply_control(proposal_id, command)
            elif self._is_new_proposal(proposal_id):
                origin = ProposalRef(proposal_id) if proposal_id else None
                replica.outbox.append(
                    CommandCommitted(entry.index, entry.term, command, origin)
                )
            else:
                self._proposals.repeat(proposal_id)
        self._snapshots.request_if_due()

    def _apply_control(self, proposal_id: str, command: dict[str, Any]) -> None:
        replica = self._replica
        if proposal_id:
            self._proposals.answer_with_result(proposal_id, command)
        if command["type"] != "control.noop":
            replica.emit_log(
                "info", "group_changed", kind=command["type"], member=command["member"]
            )
        if replica.is_leader and replica.name not in replica.group.voters:
            replica.step_down(replica.term, "")

    def _is_new_proposal(self, proposal_id: str) -> bool:
        """Returns False for a command that an earlier entry contained."""
        if not proposal_id:
            return True
        base = ProposalId(proposal_id).base
        recent = self._replica.recent
        if base in recent:
            return False
        recent[base] = None
        if len(recent) > MAX_RECENT_PROPOSALS:
            recent.popitem(last=False)
        return True

    def _publish(self, now: float) -> None:
        own, replica = self._section, self._replica
        committed_term = replica.journal.term_at(replica.commit_index)
        own.established = replica.is_leader and committed_term == replica.term
        own.active = replica.active
        own.last_replies = {}
        if replica.is_leader:
            own.last_replies = self._replication.last_replies()
            replica.last_contact = min(now, self._replication.quorum_contact())
            own.confirmed_at = self._replication.confirmed_at()
        own.last_contact = replica.last_contact
        own.term, own.leader = replica.term, replica.leader
        own.commit_index = replica.commit_index
        own.applied_index = replica.applied_index
        own.voters = tuple(replica.group.voters)
        own.learners = tuple(replica.group.learners)
        own.role = replica.role
        if replica.active and replica.name not in own.voters:
            own.role = LEARNER
