"""Compares promotions, members' logs and what clients were told.

Rules: ONE, LOST, PINNED, TWICE, UNASKED and REFUSED of the users' page.
"""

import json
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
# A commit at an old primary is excused if its sender's link was disrupted so recently.
THAW_SECONDS = 0.3


@dataclass(slots=True, eq=False)
class Attempt:
    """One operation of a client; ``outcome`` is empty while it is not known."""

    session: str
    vm: str
    in_transaction: bool
    outcome: str = ""
    writes: list[str] = field(default_factory=list)
    # The statement that ran first, where it ran, and where the following ones run.
    first: str = ""
    starts: list[Any] = field(default_factory=list)
    connection: Any = None

    def __repr__(self) -> str:
        return f"attempt of {self.session} ({', '.join(self.writes)})"

    def runs_at(self, connection: Any, query_id: str) -> bool:
        return query_id == self.first or connection is self.connection

    def ended(self, error: str) -> None:
        """Takes the answer that ends the attempt; a promise isn't taken back."""
        code = error.split(" ")[1] if error else ""
        if code in PROMISES or self.outcome == "refused":
            self.outcome = "refused"
        else:
            self.outcome = "unknown" if code else "done"


@dataclass(slots=True)
class Statement:
    """A statement as its client sent it, with the session's values at that time."""

    attempt: Attempt
    kind: str
    values: dict[str, str]


@dataclass(slots=True)
class Commit:
    """A commit that a member acknowledged; ``fate`` says how it was lost.

    ``entry`` is that of the member's log, ``newest`` whether it was the newest primary.
    """

    group: str
    entry: tuple[int, int, tuple[str, ...]]
    newest: bool
    fate: str = ""

    @property
    def writes(self) -> tuple[str, ...]:
        return self.entry[2]


class Checker:
    """Collects what happened, and writes it to ``record.txt`` with Unix times."""

    def __init__(self, folder: Path, network: Any) -> None:
        self.violations: Counter[str] = Counter()
        self.statements: dict[str, Statement] = {}
        self.commits: list[Commit] = []
        self._fences: dict[str, tuple[int, str]] = {}
        self._network = network
        self._file = (folder / "record.txt").open("w")

    def record(self, event: str, **fields: Any) -> None:
        if event == "ran":
            return
        if event == "promotion_call":
            self._check_fence(**fields)
        self._file.write(json.dumps({"at": time.time(), "event": event, **fields}))
        self._file.write("\n")

    def violate(self, rule: str, what: str) -> None:
        self.violations[rule] += 1
        self.record("violation", rule=rule, what=what)
        self._file.flush()

    # --- promotions

    def _check_fence(self, service: str, member: str, holder: str, fence: int) -> None:
        newest, last = self._fences.get(service, (0, holder))
        what = f"{service}: fence {fence} of {holder} for {member} after {newest} of"
        if holder != last and fence <= newest:
            self.violate("ONE", f"{what} {last}")
        if fence > newest:
            self._fences[service] = (fence, holder)

    def promoted(self, group: Any, target: Any) -> None:
        """Marks the acknowledged commits that the new primary lacks."""
        held = set(target.log)
        for commit in self.commits:
            if commit.group != group.name or commit.fate or not commit.newest:
                continue
            if commit.entry not in held:
                commit.fate = f"missing at {target.name} promoted to {target.term}"
                self.record("missing", writes=commit.writes, fate=commit.fate)

    # --- statements

    def ran(self, connection: Any, query_id: str, kind: str) -> None:
        statement = self.statements.get(query_id)
        if statement is None:
            return self.violate(
                "UNASKED", f"{query_id} ran at {connection.member.name}"
            )
        attempt, problem = statement.attempt, ""
        if attempt.first in ("", query_id):
            # Without an answer, the first statement begins the transaction elsewhere,
            # and may still run late on the connection that was given up.
            attempt.first = query_id
            attempt.starts.append(connection)
        elif attempt.connection is None and connection in attempt.starts:
            attempt.connection = connection
        in_transaction = connection.state == "T"
        if in_transaction and connection.owner is None:
            connection.owner = attempt
        if in_transaction and connection.owner is not attempt:
            problem = f"ran inside {connection.owner}"
        elif in_transaction != attempt.in_transaction:
            problem = f"ran with state {connection.state}"
        elif in_transaction and not attempt.runs_at(connection, query_id):
            problem = "ran on another connection"
        elif kind != "COMMIT" and statement.values != connection.values:
            problem = f"has {connection.values}, acknowledged were {statement.values}"
        elif kind != statement.kind:
            problem = f"ran as {kind}, prepared was {statement.kind}"
        if problem:
            where = f"{connection.member.name} term {connection.member.term}"
            self.violate("PINNED", f"{query_id} of {attempt} at {where}: {problem}")
        return None

    def unknown_name(self, query_id: str, error: str) -> None:
        """Takes NOPREPARED for a name whose preparing was acknowledged."""
        self.violate("PINNED", f"{query_id}: {error}")

    # --- commits

    def asked_to_commit(self, connection: Any, query_id: str) -> None:
        statement = self.statements.get(query_id)
        asked = set(statement.attempt.writes) if statement else set()
        if not set(connection.writes) <= asked:
            what = f"COMMIT {query_id} commits {connection.writes} of others"
            self.violate("PINNED", what)

    def committed(
        self, group: Any, member: Any, entry: tuple[int, int, Any], newest: bool
    ) -> None:
        """Takes a commit that a member acknowledged."""
        commit = Commit(group.name, entry, newest)
        self.commits.append(commit)
        if newest:
            return
        attempt = self.statements[entry[2][0]].attempt
        commit.fate = f"committed at the old primary {member.name} term {member.term}"
        if self._network.disrupted(
            (attempt.vm, member.vm), time.monotonic(), THAW_SECONDS
        ):
            commit.fate = "excused"
        self.record("old_commit", writes=entry[2], fate=commit.fate, vm=attempt.vm)

    def finish(self, groups: list[Any]) -> None:
        """Judges the commits by what their clients were told."""
        logs: dict[str, list[str]] = {}
        for group in groups:
            logs[group.name] = [w for e in group.newest_primary().log for w in e[2]]
        kept = Counter(write for log in logs.values() for write in log)
        for commit in self.commits:
            if self.statements[commit.writes[0]].attempt.outcome != "done":
                continue
            if not commit.fate and not all(kept[write] for write in commit.writes):
                commit.fate = "missing at the end"
            if commit.fate not in ("", "excused"):
                rule = "LOST" if commit.newest else "ONE"
                self.violate(rule, f"{commit.writes}: {commit.fate}")
        committed = {write for commit in self.commits for write in commit.writes}
        for write in committed | set(kept):
            attempt = self.statements[write].attempt
            if kept[write] > 1:
                self.violate("TWICE", f"{write} is {kept[write]} times in the log")
            if attempt.outcome == "refused":
                self.violate("REFUSED", f"{write} of {attempt} is committed")
            elif attempt.outcome == "rolled back":
                self.violate("UNASKED", f"{write} of {attempt} is committed")
        self._file.close()
