"""Values and prepared statements of client sessions and endpoint connections."""

from msgspec import Struct

from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_core.positions import ZERO, Position

# Groups of which a session remembers its last commit.
MAX_COMMITS = 32


class OwnCommit(Struct, frozen=True):
    """A session's newest commit in one group, and when its answer came, in seconds."""

    position: Position = ZERO
    answered_at: float = float("-inf")


NO_COMMIT = OwnCommit()
# Stands for a commit that was forgotten: only the primary has it for certain.
FORGOTTEN_COMMIT = OwnCommit(Position(2**63 - 1, 0))


class SessionState:
    """State that a client session keeps between transactions.

    Commits are kept by group: positions of two groups' logs say nothing of each other,
    and a session's route may lead to another group and back.
    """

    __slots__ = (
        "_commits",
        "_has_forgotten",
        "caller",
        "caller_priority",
        "prepared",
        "values",
    )

    def __init__(self) -> None:
        # The organisation of the client; empty if the deployment has none.
        self.caller = ""
        self.caller_priority = 0
        self.values: dict[bytes, bytes] = {}
        # Whether the statement writes, and its shape, by the client's name for it.
        self.prepared: dict[bytes, tuple[bool, bytes]] = {}
        # The newest commit in each group, the latest at the end.
        self._commits: dict[str, OwnCommit] = {}
        self._has_forgotten = False

    def last_commit(self, group: str) -> OwnCommit:
        """Returns the newest commit in a group that is acknowledged to the client."""
        default = FORGOTTEN_COMMIT if self._has_forgotten else NO_COMMIT
        return self._commits.get(group, default)

    def record_commit(self, now: float, group: str, position: Position) -> None:
        """Records a commit in a group that is acknowledged to the client."""
        known = self._commits.pop(group, NO_COMMIT)
        self._commits[group] = OwnCommit(max(position, known.position), now)
        if len(self._commits) > MAX_COMMITS:
            del self._commits[next(iter(self._commits))]
            self._has_forgotten = True


class ConnectionState:
    """Values and prepared statements that are set on an endpoint connection.

    What a statement sets counts as set from its sending, since the endpoint runs the
    statements of a connection in order. A refusal takes that back.
    """

    __slots__ = ("_is_reset_due", "_last_name", "_prepared", "_values")

    def __init__(self) -> None:
        # A value is None after a refusal: the endpoint may have the old or the new one.
        self._values: dict[bytes, bytes | None] = {}
        # Name on the connection, by whether the statement writes and its shape.
        self._prepared: dict[tuple[bool, bytes], bytes] = {}
        # Names are not reused, so that none can stand for two shapes.
        self._last_name = 0
        # Whether the endpoint refused to reset the connection.
        self._is_reset_due = False

    def needs_reset(self, session: SessionState) -> bool:
        """Returns whether a value may be set that the session lacks."""
        return self._is_reset_due or any(
            name not in session.values for name in self._values
        )

    def reset(self) -> None:
        """Records that a reset was sent."""
        self._values.clear()
        self._prepared.clear()
        self._is_reset_due = False

    def reset_refused(self) -> None:
        self._is_reset_due = True

    def missing_values(self, session: SessionState) -> list[tuple[bytes, bytes]]:
        """Returns the session's values that are not set on the connection."""
        return [
            (name, value)
            for name, value in session.values.items()
            if self._values.get(name) != value
        ]

    def set_value(self, name: bytes, value: bytes) -> None:
        """Records that a value was sent."""
        self._values[name] = value

    def value_refused(self, name: bytes) -> None:
        self._values[name] = None

    def prepared_name(self, shape: tuple[bool, bytes]) -> tuple[bytes, bool]:
        """Returns the name for a shape on this connection, and whether it is new.

        Sessions share one name for each shape, since its meaning is the same for all.
        """
        name = self._prepared.get(shape)
        if name is not None:
            return name, False
        self._last_name += 1
        name = self._prepared[shape] = b"p%d" % self._last_name
        return name, True

    def prepare_refused(self, shape: tuple[bool, bytes], name: bytes) -> None:
        """Records that the endpoint does not know ``name``."""
        if self._prepared.get(shape) == name:
            del self._prepared[shape]


def find_prepared(session: SessionState, name: bytes) -> tuple[bool, bytes]:
    """Returns a prepared statement; raises ``InvalidRequest`` for an unknown name."""
    try:
        return session.prepared[name]
    except KeyError:
        raise InvalidRequest(
            "no such prepared statement", step="session", code="unknown_prepared"
        ) from None
