"""Leader elections with pre-votes, and the timer that starts them."""

from bronzemoor_core.internal_events import LeadershipChanged
from bronzemoor_core.messages import PreVote, PreVoteReply, Vote, VoteReply
from bronzemoor_core.replica import CANDIDATE, FOLLOWER, LEADER, Replica

# Between log lines while the first election waits for all members.
WAITING_LOG_INTERVAL_SECONDS = 5.0
# A pre-vote that was not granted is repeated after this share of the shortest election
# timeout, up to twice that. Pre-votes raise no term and wait for no disk.
PRE_VOTE_RETRY_SHARE = 0.25


class Elections:
    """Decides when this member campaigns and which candidate it votes for."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._election_deadline = 0.0
        # Members that granted the pre-vote or vote in progress: name to identity.
        self._granted_by: dict[str, str] = {}
        self._pre_vote_in_progress = False
        self._next_waiting_log = 0.0
        # Whether the own pre-vote was put off in favour of another candidate.
        self._has_yielded = False

    def start(self, now: float) -> None:
        """Sets the first election deadline, at once in a group of one.

        The delay is short, so that a group that restarts as a whole elects soon; the
        pre-vote keeps a single restarted member from deposing a leader.
        """
        if self._replica.group.votes_needed == 1:
            self._election_deadline = now
        else:
            max_delay = self._replica.settings.timers.election_timeout_min / 2
            self._election_deadline = now + self._replica.random.uniform(0.0, max_delay)

    def reset_timer(self, now: float) -> None:
        timers = self._replica.settings.timers
        self._pre_vote_in_progress = False
        self._has_yielded = False
        self._election_deadline = now + self._replica.random.uniform(
            timers.election_timeout_min, timers.election_timeout_max
        )

    def on_tick(self, now: float) -> None:
        """Starts a pre-vote once the election timeout has elapsed."""
        replica = self._replica
        if replica.is_leader or not replica.can_vote or now < self._election_deadline:
            return
        self._election_deadline = now + self._pre_vote_interval()
        self._has_yielded = False
        replica.role, replica.leader = FOLLOWER, ""
        self._pre_vote_in_progress = True
        if not replica.group.started and replica.group.votes_needed > 1:
            self._log_waiting(now)
        self._granted_by = {replica.name: replica.identity}
        if len(self._granted_by) >= replica.group.votes_needed:
            self._campaign(now)
            return
        journal = replica.journal
        term = replica.term + 1
        for name in self._other_voters():
            replica.send(
                name,
                PreVote(term, journal.last_index, journal.last_term, replica.identity),
            )

    def on_synced(self) -> bool:
        """Counts the own vote once it is synced; returns whether it wins."""
        replica = self._replica
        if replica.role != CANDIDATE or not replica.hard_state_synced:
            return False
        self._granted_by.setdefault(replica.name, replica.identity)
        return self._become_leader_if_elected()

    def on_pre_vote(self, now: float, sender: str, message: PreVote) -> None:
        replica = self._replica
        granted = (
            message.term > replica.term
            and not self._has_live_leader(now)
            and self._is_electable(sender, message)
        )
        if granted:
            self._yield_to_candidate(now, sender)
        term = message.term if granted else replica.term
        replica.send(sender, PreVoteReply(term, granted, replica.identity))

    def on_pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        replica = self._replica
        if not reply.granted:
            if reply.term > replica.term:
                replica.step_down(reply.term, "")
            return
        if not self._pre_vote_in_progress or reply.term != replica.term + 1:
            return
        if replica.role == FOLLOWER and self._add_vote(sender, reply.identity):
            self._campaign(now)

    def on_vote(self, now: float, sender: str, message: Vote) -> None:
        replica = self._replica
        if message.term > replica.term:
            replica.step_down(message.term, "")
        granted = (
            message.term == replica.term
            and replica.vote in ("", message.identity)
            and replica.role == FOLLOWER
            and self._is_electable(sender, message)
        )
        if granted and not replica.vote:
            replica.vote = message.identity
            replica.persist_hard_state()
        if granted:
            self.reset_timer(now)
        replica.send(sender, VoteReply(replica.term, granted, replica.identity))

    def on_vote_reply(self, now: float, sender: str, reply: VoteReply) -> bool:
        """Counts a vote; returns whether it wins the election."""
        replica = self._replica
        if reply.term > replica.term:
            replica.step_down(reply.term, "")
            return False
        if replica.role != CANDIDATE or reply.term != replica.term or not reply.granted:
            return False
        self._add_vote(sender, reply.identity)
        return self._become_leader_if_elected()

    @property
    def granted_by(self) -> dict[str, str]:
        """Identities of the members whose votes won the election."""
        return self._granted_by

    def _pre_vote_interval(self) -> float:
        replica = self._replica
        shortest = replica.settings.timers.election_timeout_min * PRE_VOTE_RETRY_SHARE
        return replica.random.uniform(shortest, 2 * shortest)

    def _yield_to_candidate(self, now: float, candidate: str) -> None:
        """Puts the own pre-vote off, so that candidates do not split the votes.

        Of two pre-votes in progress the one of the first name goes on. A member yields
        once in each turn, since a candidate that is not heard by the others must not
        hold up every election.
        """
        goes_on = self._pre_vote_in_progress and self._replica.name < candidate
        if not self._has_yielded and not goes_on:
            self._has_yielded = True
            self._pre_vote_in_progress = False
            until = now + self._pre_vote_interval()
            self._election_deadline = max(self._election_deadline, until)

    def _campaign(self, now: float) -> None:
        replica = self._replica
        replica.term += 1
        replica.vote = replica.identity
        replica.role, replica.leader = CANDIDATE, ""
        replica.persist_hard_state()
        self.reset_timer(now)
        self._granted_by = {}
        journal = replica.journal
        for name in self._other_voters():
            replica.send(
                name,
                Vote(
                    replica.term,
                    journal.last_index,
                    journal.last_term,
                    replica.identity,
                ),
            )

    def _become_leader_if_elected(self) -> bool:
        replica = self._replica
        voted_for_self = replica.name in self._granted_by
        if not voted_for_self or len(self._granted_by) < replica.group.votes_needed:
            return False
        replica.role, replica.leader = LEADER, replica.name
        replica.outbox.append(LeadershipChanged(replica.name, replica.term, True))
        replica.emit_log("info", "leadership_gained", voters=len(self._granted_by))
        return True

    def _log_waiting(self, now: float) -> None:
        """Logs that the first election needs the votes of all members."""
        if now >= self._next_waiting_log:
            self._next_waiting_log = now + WAITING_LOG_INTERVAL_SECONDS
            names = ",".join(self._other_voters())
            self._replica.emit_log("info", "waiting_for_first_members", members=names)

    def _add_vote(self, sender: str, identity: str) -> bool:
        if self._replica.group.is_voter(sender, identity):
            self._granted_by[sender] = identity
        return len(self._granted_by) >= self._replica.group.votes_needed

    def _has_live_leader(self, now: float) -> bool:
        replica = self._replica
        silence = now - replica.last_contact
        return replica.is_leader or (
            bool(replica.leader)
            and silence < replica.settings.timers.election_timeout_min
        )

    def _is_electable(self, sender: str, message: PreVote | Vote) -> bool:
        """Returns whether the candidate's log is up to date and its identity recorded.

        An unknown name may be a voter that this member does not know yet.
        """
        group, journal = self._replica.group, self._replica.journal
        if sender in group.voters and not group.is_voter(sender, message.identity):
            return False
        candidate_log = (message.last_term, message.last_index)
        return candidate_log >= (journal.last_term, journal.last_index)

    def _other_voters(self) -> list[str]:
        return [
            name for name in self._replica.group.voters if name != self._replica.name
        ]
