"""Values and prepared statements of client sessions and endpoint connections."""

from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_core.positions import ZERO, Position


class SessionState:
    """State that a client session keeps between transactions."""

    __slots__ = ("last_commit", "last_commit_at", "prepared", "values")

    def __init__(self) -> None:
        self.values: dict[bytes, bytes] = {}
        # Whether the statement writes, and its shape, by the client's name for it.
        self.prepared: dict[bytes, tuple[bool, bytes]] = {}
        self.last_commit: Position = ZERO
        # When the answer to that commit arrived, in seconds.
        self.last_commit_at = float("-inf")

    def record_commit(self, now: float, position: Position) -> None:
        """Records the newest commit that is acknowledged to the client."""
        self.last_commit, self.last_commit_at = position, now


class ConnectionState:
    """Values and prepared statements that are set on an endpoint connection."""

    __slots__ = ("prepared", "values")

    def __init__(self) -> None:
        self.values: dict[bytes, bytes] = {}
        # Name on the connection, by whether the statement writes and its shape.
        self.prepared: dict[tuple[bool, bytes], bytes] = {}

    def needs_reset(self, session: SessionState) -> bool:
        """Returns whether a value is set that the session lacks, so a reset is due."""
        return any(name not in session.values for name in self.values)

    def reset(self) -> None:
        self.values.clear()
        self.prepared.clear()

    def missing_values(self, session: SessionState) -> list[tuple[bytes, bytes]]:
        """Returns the session's values that are not set on the connection."""
        return [
            (name, value)
            for name, value in session.values.items()
            if self.values.get(name) != value
        ]

    def prepared_name(self, shape: tuple[bool, bytes]) -> tuple[bytes, bool]:
        """Returns the name for a shape on this connection, and whether it is new.

        Sessions share one name for each shape, since its meaning is the same for all.
        """
        name = self.prepared.get(shape)
        if name is not None:
            return name, False
        name = b"p%d" % (len(self.prepared) + 1)
        self.prepared[shape] = name
        return name, True


def find_prepared(session: SessionState, name: bytes) -> tuple[bool, bytes]:
    """Returns a prepared statement; raises ``InvalidRequest`` for an unknown name."""
    try:
        return session.prepared[name]
    except KeyError:
        raise InvalidRequest(
            "no such prepared statement", step="session", code="unknown_prepared"
        ) from None
