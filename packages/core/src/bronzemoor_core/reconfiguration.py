"""Changes of the control group, one at a time, and its status for operators."""

from typing import Any

from bronzemoor_core.replica import Replica
from bronzemoor_core.replication import Progress, Replication
from bronzemoor_core.voters import MAX_VOTERS, MIN_VOTERS, Group, group_command

ADD = "control.add"
REMOVE = "control.remove"
REPLACE = "control.replace"
CHANGES = (ADD, REMOVE, REPLACE)
MEMBERS = "control.members"

Refusal = tuple[str, str]


class Reconfiguration:
    """Adds, removes and replaces members on the leader.

    A new member is a learner until it has every committed entry; then it can vote.
    """

    def __init__(self, replica: Replica, replication: Replication) -> None:
        self._replica = replica
        self._replication = replication
        # When each voter first answered under another identity, in seconds.
        self._new_identity_since: dict[str, float] = {}

    def propose(
        self, now: float, command: dict[str, Any], proposal_id: str
    ) -> Refusal | None:
        """Appends a change; returns error code and message if it is refused.

        A replaced member is removed before its ``replacement``, by default the same
        name with a new identity, joins as a learner: no two majorities may differ by
        more than one voter. The voter that an added member ``replaces`` is removed by
        a later change, and does not count for the group's largest size.
        """
        kind = str(command["type"]).removeprefix("control.")
        name = str(command.get("name", ""))
        replacement = str(command.get("replacement") or name)
        refusal = self._refusal(
            kind, name, replacement, str(command.get("replaces", ""))
        )
        if refusal is None:
            group = self._changed_group(kind, name, replacement)
            self._append(now, kind, name, group, proposal_id)
        return refusal

    def start_group(self, now: float, identities: dict[str, str]) -> None:
        """Appends the first entry of a new group with the identities of its voters."""
        self._append(now, "start", self._replica.name, Group(identities), "")

    def on_unknown_identity(self, now: float, sender: str) -> None:
        """Replaces a voter that lost its disk and now answers under a new identity.

        Its old identity can never answer again, so no operator has to request this.
        """
        progress = self._replication.progress.get(sender)
        if progress is None or sender not in self._replica.group.voters:
            return
        since = self._new_identity_since.setdefault(sender, now)
        limit = self._replica.settings.timers.stale_after
        if now - max(since, progress.last_reply) >= limit:
            del self._new_identity_since[sender]
            command = {"type": REPLACE, "name": sender}
            if self.propose(now, command, "") is None:
                self._replica.emit_log("warning", "disk_lost", peer=sender)

    def promote_ready(self, now: float) -> None:
        """Turns a learner that has every committed entry into a voter."""
        replica = self._replica
        if self._change_in_progress():
            return
        for name in replica.group.learners:
            progress = self._replication.progress.get(name)
            if (
                progress is not None
                and progress.identity
                and progress.match_index >= max(1, replica.commit_index)
            ):
                group = replica.group.with_voter(name, progress.identity)
                self._append(now, "promote", name, group, "")
                return

    def check_identity(
        self, sender: str, identity: str, progress: Progress, round_id: int | None
    ) -> bool:
        """Returns whether a reply is valid; records a learner's identity from it."""
        group = self._replica.group
        if sender in group.voters:
            return group.voters[sender] == identity
        if round_id is None:
            return progress.identity == identity
        if round_id < progress.first_valid_round:
            return False
        if progress.identity != identity:
            # The learner is new, or lost its disk while catching up.
            progress.identity = identity
            progress.match_index = 0
            progress.next_index = self._replica.journal.last_index + 1
            progress.probing = True
            progress.in_flight.clear()
        return True

    def describe(self, now: float) -> dict[str, Any]:
        """Members, roles, match index and how many more losses can be tolerated."""
        replica, group = self._replica, self._replica.group
        members, reachable_voters = [], 0
        for name, identity in {**group.voters, **group.learners}.items():
            progress = self._replication.progress.get(name)
            silence = now - progress.last_reply if progress else 0.0
            reachable = silence < replica.settings.timers.stale_after
            reachable_voters += reachable and name in group.voters
            members.append(
                {
                    "name": name,
                    "identity": identity,
                    "role": self._role(name),
                    "match_index": progress.match_index
                    if progress
                    else replica.synced_index,
                    "reachable": reachable,
                }
            )
        return {
            "leader": replica.name,
            "term": replica.term,
            "commit_index": replica.commit_index,
            "members": members,
            "tolerated_losses": max(0, reachable_voters - group.quorum),
        }

    def _role(self, name: str) -> str:
        if name == self._replica.name:
            return "leader"
        return "voter" if name in self._replica.group.voters else "learner"

    def _refusal(
        self, kind: str, name: str, replacement: str, replaces: str
    ) -> Refusal | None:
        group = self._replica.group
        if not name:
            return "invalid_request", "name is missing"
        if self._change_in_progress():
            return "change_in_progress", "another change is not committed yet"
        if kind == "add":
            return self._refuse_add(group, name, replaces)
        if name not in group.names:
            return "unknown_member", f"{name} is not a member"
        if (
            kind == "remove"
            and name in group.voters
            and len(group.voters) <= MIN_VOTERS
        ):
            return "too_few_members", f"the group needs {MIN_VOTERS} voters"
        if kind == "replace":
            return self._refuse_replace(group, name, replacement)
        return None

    def _refuse_add(self, group: Group, name: str, replaces: str) -> Refusal | None:
        if name in group.names:
            return "already_member", f"{name} is a member"
        if group.learners:
            return "change_in_progress", "a learner is still catching up"
        if len(group.voters) - (replaces in group.voters) >= MAX_VOTERS:
            return "too_many_members", f"the group has {MAX_VOTERS} voters"
        return None

    def _refuse_replace(
        self, group: Group, name: str, replacement: str
    ) -> Refusal | None:
        if name == self._replica.name:
            return "invalid_request", "the leader cannot replace itself"
        if replacement != name and replacement in group.names:
            return "already_member", f"{replacement} is a member"
        if set(group.learners) - {name}:
            return "change_in_progress", "a learner is still catching up"
        return None

    def _changed_group(self, kind: str, name: str, replacement: str) -> Group:
        group = self._replica.group
        if kind == "add":
            return group.with_learner(name)
        if kind == "remove":
            return group.without(name)
        return group.without(name).with_learner(replacement)

    def _change_in_progress(self) -> bool:
        """Returns whether the last change or this term's first entry is uncommitted."""
        replica = self._replica
        committed_term = replica.journal.term_at(replica.commit_index)
        return (
            replica.group_index > replica.commit_index or committed_term != replica.term
        )

    def _append(
        self, now: float, kind: str, name: str, group: Group, proposal_id: str
    ) -> None:
        self._replica.propose(group_command(kind, name, group), proposal_id)
        if kind == "replace":
            self._replication.progress.pop(name, None)
        self._replication.sync_peers(now)
