"""Decides which replicas are taken off the records since they do not answer."""

# Longer than a member may stand still and go on.
SILENCE_SECONDS = 7.0
# A replica that announces itself again although it does not answer the control leader
# is only cut off from it, and is kept for this long.
KEPT_AFTER_RETURN_SECONDS = 60.0


class SilentReplicas:
    """Replicas of one group that did not answer the control leader's last requests."""

    __slots__ = ("_removed_at", "_silent_since")

    def __init__(self) -> None:
        self._silent_since: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}

    @property
    def are_any(self) -> bool:
        """Whether a replica did not answer the last request."""
        return bool(self._silent_since)

    def record(self, now: float, answers: dict[str, bool]) -> None:
        """Records which of the replicas on record answered a request."""
        self._silent_since = {
            member: self._silent_since.get(member, now)
            for member, answered in answers.items()
            if not answered
        }

    def silence(self, now: float, member: str) -> float:
        """Returns for how long a replica has not answered, in seconds."""
        return now - self._silent_since.get(member, now)

    def lost(self, now: float) -> list[str]:
        """Returns the replicas to remove, the longest silent first."""
        return [
            member
            for member, since in sorted(
                self._silent_since.items(), key=lambda item: item[1]
            )
            if now - since >= SILENCE_SECONDS
            and now - self._removed_at.get(member, float("-inf"))
            >= KEPT_AFTER_RETURN_SECONDS
        ]

    def removed(self, now: float, member: str) -> None:
        """Records that a replica was taken off the records."""
        self._removed_at[member] = now
        self._silent_since.pop(member, None)
        for name, removed_at in list(self._removed_at.items()):
            if now - removed_at >= KEPT_AFTER_RETURN_SECONDS:
                del self._removed_at[name]
