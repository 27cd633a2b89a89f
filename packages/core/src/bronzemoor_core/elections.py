"""Elections: pre-votes, votes and the timer that starts them."""

from bronzemoor_core.internal_events import LeadershipChanged
from bronzemoor_core.messages import PreVote, PreVoteReply, Vote, VoteReply
from bronzemoor_core.replica import CANDIDATE, FOLLOWER, LEADER, Replica

# Seconds between log lines while the first members are not all heard.
WAITING_LOG_INTERVAL = 5.0


class Elections:
    """Decides when this member campaigns and whom it votes for."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._deadline = 0.0
        # Answers to the pre-vote or vote in progress: name to identity.
        self._answers: dict[str, str] = {}
        self._asking = False
        self._next_log = 0.0

    def start(self, now: float) -> None:
        """Sets the first timer; a group of one needs none.

        It is short, so that a whole group that restarts elects soon; the pre-vote
        keeps a single restarted member from disturbing a leader.
        """
        if self._replica.group.votes_needed == 1:
            self._deadline = now
        else:
            longest = self._replica.settings.timers.election_timeout_min / 2
            self._deadline = now + self._replica.random.uniform(0.0, longest)

    def reset_timer(self, now: float) -> None:
        timers = self._replica.settings.timers
        self._asking = False
        self._deadline = now + self._replica.random.uniform(
            timers.election_timeout_min, timers.election_timeout_max
        )

    def on_tick(self, now: float) -> None:
        """Starts a pre-vote when the timer ran out."""
        replica = self._replica
        if replica.is_leader or not replica.can_vote or now < self._deadline:
            return
        self.reset_timer(now)
        replica.role, replica.leader = FOLLOWER, ""
        self._asking = True
        if not replica.group.started and replica.group.votes_needed > 1:
            self._log_waiting(now)
        self._answers = {replica.name: replica.identity}
        if len(self._answers) >= replica.group.votes_needed:
            self._campaign(now)
            return
        journal = replica.journal
        term = replica.term + 1
        for name in self._others():
            replica.send(
                name,
                PreVote(term, journal.last_index, journal.last_term, replica.identity),
            )

    def on_synced(self) -> bool:
        """Counts the own vote, which only counts once it is synced; True on a win."""
        replica = self._replica
        if replica.role != CANDIDATE or not replica.hard_state_synced:
            return False
        self._answers.setdefault(replica.name, replica.identity)
        return self._win()

    def on_pre_vote(self, now: float, sender: str, message: PreVote) -> None:
        replica = self._replica
        granted = (
            message.term > replica.term
            and not self._hears_leader(now)
            and self._may_win(sender, message)
        )
        term = message.term if granted else replica.term
        replica.send(sender, PreVoteReply(term, granted, replica.identity))

    def on_pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        replica = self._replica
        if not reply.granted:
            if reply.term > replica.term:
                replica.step_down(reply.term, "")
            return
        if not self._asking or reply.term != replica.term + 1:
            return
        if replica.role == FOLLOWER and self._count(sender, reply.identity):
            self._campaign(now)

    def on_vote(self, now: float, sender: str, message: Vote) -> None:
        replica = self._replica
        if message.term > replica.term:
            replica.step_down(message.term, "")
        granted = (
            message.term == replica.term
            and replica.vote in ("", message.identity)
            and replica.role == FOLLOWER
            and self._may_win(sender, message)
        )
        if granted and not replica.vote:
            replica.vote = message.identity
            replica.persist_hard_state()
        if granted:
            self.reset_timer(now)
        replica.send(sender, VoteReply(replica.term, granted, replica.identity))

    def on_vote_reply(self, now: float, sender: str, reply: VoteReply) -> bool:
        """True when this answer wins the election."""
        replica = self._replica
        if reply.term > replica.term:
            replica.step_down(reply.term, "")
            return False
        if replica.role != CANDIDATE or reply.term != replica.term or not reply.granted:
            return False
        self._count(sender, reply.identity)
        return self._win()

    @property
    def answers(self) -> dict[str, str]:
        """Identities of the members whose votes won the election."""
        return self._answers

    def _campaign(self, now: float) -> None:
        replica = self._replica
        replica.term += 1
        replica.vote = replica.identity
        replica.role, replica.leader = CANDIDATE, ""
        replica.persist_hard_state()
        self.reset_timer(now)
        self._answers = {}
        journal = replica.journal
        for name in self._others():
            replica.send(
                name,
                Vote(
                    replica.term,
                    journal.last_index,
                    journal.last_term,
                    replica.identity,
                ),
            )

    def _win(self) -> bool:
        replica = self._replica
        own = replica.name in self._answers
        if not own or len(self._answers) < replica.group.votes_needed:
            return False
        replica.role, replica.leader = LEADER, replica.name
        replica.outbox.append(LeadershipChanged(replica.name, replica.term, True))
        replica.emit_log("info", "leadership_gained", voters=len(self._answers))
        return True

    def _log_waiting(self, now: float) -> None:
        """Tells operators why the first election needs every member."""
        if now >= self._next_log:
            self._next_log = now + WAITING_LOG_INTERVAL
            names = ",".join(self._others())
            self._replica.emit_log("info", "waiting_for_first_members", members=names)

    def _count(self, sender: str, identity: str) -> bool:
        if self._replica.group.is_voter(sender, identity):
            self._answers[sender] = identity
        return len(self._answers) >= self._replica.group.votes_needed

    def _hears_leader(self, now: float) -> bool:
        replica = self._replica
        silence = now - replica.last_contact
        return replica.is_leader or (
            bool(replica.leader)
            and silence < replica.settings.timers.election_timeout_min
        )

    def _may_win(self, sender: str, message: PreVote | Vote) -> bool:
        """Tells whether the candidate's log is complete and its identity recorded.

        An unknown name may be a voter that this member has not heard of yet.
        """
        group, journal = self._replica.group, self._replica.journal
        if sender in group.voters and not group.is_voter(sender, message.identity):
            return False
        theirs = (message.last_term, message.last_index)
        return theirs >= (journal.last_term, journal.last_index)

    def _others(self) -> list[str]:
        return [
            name for name in self._replica.group.voters if name != self._replica.name
        ]
