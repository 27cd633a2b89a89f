"""Statements and answers of the statement protocol, apart from their encoding."""

from msgspec import Struct, field

from bronzemoor_core.positions import ZERO, Position

BEGIN = "begin"
COMMIT = "commit"
ROLLBACK = "rollback"
READ = "read"
WRITE = "write"
SET = "set"
PREPARE = "prepare"
EXECUTE = "execute"
DEALLOCATE = "deallocate"

# Session states reported with every answer.
IDLE = "idle"
IN_TRANSACTION = "in_transaction"
FAILED_TRANSACTION = "failed_transaction"

# Error codes. Those in NO_EFFECT_ERRORS guarantee that the attempt has no effect.
BUSY = "busy"
ABORTED = "aborted"
LAGGING = "lagging"
NOT_PRIMARY = "not_primary"
WRONG_MEMBER = "wrong_member"
CONNECTION_LIMIT = "connection_limit"
FAILED = "failed"
TIMEOUT = "timeout"
UNKNOWN_PREPARED = "unknown_prepared"
UNKNOWN_DATABASE = "unknown_database"
MALFORMED = "malformed"
IN_DOUBT = "in_doubt"
TOO_LARGE = "too_large"
AUTHENTICATION_FAILED = "authentication_failed"

NO_EFFECT_ERRORS = frozenset(
    (BUSY, ABORTED, LAGGING, NOT_PRIMARY, WRONG_MEMBER, CONNECTION_LIMIT)
)
# Error codes with which an endpoint states that it did not execute the statement.
NOT_RUN = frozenset(
    (BUSY, UNKNOWN_PREPARED, LAGGING, NOT_PRIMARY, WRONG_MEMBER, CONNECTION_LIMIT)
)


class Statement(Struct):
    """A client's statement; ``text`` is forwarded unchanged.

    ``name`` is the name of a value or of a prepared statement. ``writes`` says whether
    the statement that a PREPARE prepares or an EXECUTE runs is a write. ``body`` is the
    shape, the value or the remaining text.
    """

    kind: str
    text: bytes
    name: bytes = b""
    body: bytes = b""
    writes: bool = False
    read_only: bool = False


class StartRequest(Struct):
    """A client's request to open a session on ``database``.

    ``key_digest`` stands for the client's key.
    """

    database: str
    key_digest: str = ""


class QueryRequest(Struct):
    """A client's statement, None if its text is malformed."""

    query_id: bytes
    statement: Statement | None


class EndRequest(Struct):
    """A client's request to end its session."""


class Answer(Struct):
    """An endpoint's complete answer to one statement.

    ``error`` is empty on success. ``rows`` keep the encoding in which they were
    received. ``position`` is the member's log position after the statement.
    """

    rows: list[bytes] = field(default_factory=list)
    signature: bytes = b""
    error: str = ""
    message: bytes = b""
    state: str = IDLE
    position: Position = ZERO

    @property
    def ok(self) -> bool:
        return not self.error

    @property
    def not_run(self) -> bool:
        return self.error in NOT_RUN


class MemberStatus(Struct):
    """A member's status report; ``lag`` is in seconds."""

    primary: bool
    term: int
    position: Position
    held_term: int
    lag: float
    busy: int
    connections: int
