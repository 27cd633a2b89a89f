"""Connections of one daemon to the members of a database, and their measurements."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from bronzemoor_core.actions import Call
from bronzemoor_core.blackboard import section

# Weight of the newest sample in the moving averages of delay and lag.
SAMPLE_WEIGHT = 0.2


class ConnectionState(StrEnum):
    """State of a connection; it counts against the share until it is known closed."""

    OPENING = "opening"
    WARM = "warm"
    BUSY = "busy"
    SUSPECT = "suspect"
    CLOSING = "closing"


@dataclass(slots=True)
class Connection:
    """One connection. ``started_at`` is when its opening started, in seconds.

    ``executing`` is set while its request occupies a slot of the member. ``outdated``
    is set if it is to be closed once idle: a newer connection works while an older one
    was unresponsive, or the member was lost.
    """

    number: int
    database: str
    member: str
    started_at: float
    state: ConnectionState = ConnectionState.OPENING
    ticket: int = 0
    executing: bool = False
    pinned: bool = False
    outdated: bool = False
    probe: Call | None = None
    last_probe_at: float = 0.0
    answered_at: float = 0.0
    closing_since: float = 0.0
    used_at: float = 0.0

    @property
    def idle(self) -> bool:
        """Whether the connection is warm and waits for no answer."""
        return self.state is ConnectionState.WARM and self.probe is None


@dataclass(slots=True)
class MemberLink:
    """What this daemon measured at one member; durations are in seconds.

    ``delay`` is the one-way delay, None before the first probe; ``lag`` is how far the
    member was behind the primary when it last answered.
    """

    delay: float | None = None
    lag: float = 0.0
    behind_until: float = 0.0
    slots_in_use: int = 0
    # Number of connections by state.
    counts: Counter[ConnectionState] = field(default_factory=Counter)
    failures: int = 0
    # The last opening failed without an answer, and nothing answered since.
    unreachable: bool = False
    retry_at: float = 0.0
    # Since when a fresh connection is wanted to compare with an unresponsive one.
    comparison_wanted_since: float | None = None
    # When a slow call may next cause a check of the idle connections.
    next_slow_check_at: float = 0.0
    # Number of closed connections to open again.
    replacements: int = 0

    def observe_delay(self, delay: float) -> None:
        if self.delay is None:
            self.delay = delay
        self.delay += SAMPLE_WEIGHT * (delay - self.delay)

    def observe_lag(self, lag: float) -> None:
        self.lag += SAMPLE_WEIGHT * (lag - self.lag)


@dataclass(slots=True)
class DatabasePool:
    """All connections of this daemon to one database.

    ``share`` bounds them over all members; none is opened after ``valid_until``
    (seconds).
    """

    name: str
    share: int = 0
    valid_until: float = 0.0
    connections: dict[int, Connection] = field(default_factory=dict)
    links: dict[str, MemberLink] = field(default_factory=dict)
    counts: Counter[ConnectionState] = field(default_factory=Counter)
    next_check_at: float = 0.0
    next_open_at: float = 0.0
    next_probe_at: float = 0.0
    next_replace_at: float = 0.0
    # When the primary's position was last sampled, and the interval of samples.
    sampled_at: float = 0.0
    sample_interval: float = 0.0
    next_interval_update_at: float = 0.0

    @property
    def total(self) -> int:
        """Connections that count against the share, closing ones included."""
        return len(self.connections)

    def has_capacity(self, now: float) -> bool:
        return self.total < self.share and now < self.valid_until

    def link(self, member: str) -> MemberLink:
        if member not in self.links:
            self.links[member] = MemberLink()
        return self.links[member]

    def of_member(self, member: str) -> Iterator[Connection]:
        return (c for c in self.connections.values() if c.member == member)

    def of_state(self, state: ConnectionState) -> Iterator[Connection]:
        return (c for c in self.connections.values() if c.state is state)

    def idle_by_member(self) -> dict[str, list[Connection]]:
        """Returns idle connections by member; the most recently used one is last."""
        idle: dict[str, list[Connection]] = {}
        for connection in self.connections.values():
            if connection.idle:
                idle.setdefault(connection.member, []).append(connection)
        for connections in idle.values():
            connections.sort(key=lambda c: (not c.outdated, c.answered_at))
        return idle

    def add(self, connection: Connection) -> None:
        self.connections[connection.number] = connection
        self._count(connection, 1)

    def remove(self, connection: Connection) -> None:
        del self.connections[connection.number]
        self._count(connection, -1)

    def change_state(self, connection: Connection, state: ConnectionState) -> None:
        """Changes the state of a connection and the counts by state."""
        self._count(connection, -1)
        connection.state = state
        self._count(connection, 1)

    def _count(self, connection: Connection, change: int) -> None:
        self.counts[connection.state] += change
        self.link(connection.member).counts[connection.state] += change


@section("pools")
class Pools:
    """Pools by database, connections by number, and the connection of each ticket."""

    __slots__ = ("by_ticket", "connections", "databases")

    def __init__(self) -> None:
        self.databases: dict[str, DatabasePool] = {}
        self.connections: dict[int, Connection] = {}
        self.by_ticket: dict[int, int] = {}

    def total(self, database: str) -> int:
        """Returns how many connections count against the share of ``database``."""
        pool = self.databases.get(database)
        return pool.total if pool else 0

    def database_of(self, connection: int) -> str:
        """Returns the connection's database, or an empty string once it is closed."""
        known = self.connections.get(connection)
        return known.database if known else ""

    def capacity(self, database: str, members: tuple[str, ...]) -> tuple[int, int]:
        """Returns the number of usable and of idle connections to ``members``."""
        usable = idle = 0
        pool = self.databases.get(database)
        for connection in pool.connections.values() if pool else ():
            if (
                connection.member in members
                and connection.state is not ConnectionState.CLOSING
            ):
                usable += 1
                idle += connection.idle
        return usable, idle
