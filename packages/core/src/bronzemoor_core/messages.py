"""Messages between daemons; fields match idl/peer.thrift by name."""

from typing import TypeVar

from msgspec import Struct, field

# Incremented when a field changes its meaning; a daemon accepts its own version and the
# previous one.
MESSAGE_VERSION = 1

MESSAGE_TYPES: dict[str, type] = {}

M = TypeVar("M", bound=type)


def message(cls: M) -> M:
    """Registers a class as a message between daemons."""
    MESSAGE_TYPES[cls.__name__] = cls
    return cls


@message
class LogEntry(Struct):
    """One entry of the replicated log; ``command`` is encoded JSON."""

    index: int
    term: int
    command: bytes


@message
class PreVote(Struct):
    """``identity`` is the sender's storage identity, here and in other messages."""

    term: int
    last_index: int
    last_term: int
    identity: str = ""


@message
class PreVoteReply(Struct):
    term: int
    granted: bool
    identity: str = ""


@message
class Vote(Struct):
    term: int
    last_index: int
    last_term: int
    identity: str = ""


@message
class VoteReply(Struct):
    term: int
    granted: bool
    identity: str = ""


@message
class AppendEntries(Struct):
    """``round_id`` identifies the heartbeat round awaited by a quorum read."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round_id: int


@message
class AppendEntriesReply(Struct):
    """``match_index`` is the last synced index, or a hint for the next attempt."""

    term: int
    success: bool
    match_index: int
    round_id: int
    identity: str = ""


@message
class InstallSnapshot(Struct):
    """One chunk of a snapshot; ``offset`` and ``total`` are in bytes."""

    term: int
    last_index: int
    last_term: int
    offset: int
    total: int
    chunk: bytes
    checksum: int


@message
class InstallSnapshotReply(Struct):
    term: int
    last_index: int
    received: int
    identity: str = ""


@message
class Propose(Struct):
    """A command forwarded to the leader; ``command`` is encoded JSON."""

    proposal_id: str
    command: bytes


@message
class ProposeReply(Struct):
    """``code`` is ``ok`` or an error code; ``result`` is encoded JSON."""

    proposal_id: str
    code: str
    message: str
    result: bytes


@message
class Suspicion(Struct):
    """One vantage point's evidence that a member failed."""

    database: str
    member: str
    detector: str
    term: int
    age_ms: int


@message
class Demand(Struct):
    """The connections to one database that a proxy holds and wants."""

    database: str
    organisation: str
    held: int
    wanted: int
    share: int


@message
class MemberSummary(Struct):
    """The state of one endpoint as last announced to a relay."""

    database: str
    member: str
    address: str
    data_centre: str
    role: str
    term: int
    offset: int
    incarnation: int
    members: list[str]
    leaving: bool
    slots: int
    connections: int
    history: dict[int, int]
    unreachable: list[str]
    age_ms: int


@message
class Heartbeat(Struct):
    """Sent by a daemon to the control members: demand, versions, suspicions, members.

    ``acknowledged`` is the latest sequence whose reply was applied, 0 for none.
    """

    incarnation: int
    data_centre: str
    sequence: int
    versions: dict[str, int]
    demands: list[Demand]
    suspicions: list[Suspicion]
    members: list[MemberSummary]
    subscriptions: list[str]
    draining: bool = False
    acknowledged: int = 0


@message
class Share(Struct):
    """A leased share of a database's connections; ``lease_ms`` counts from when the
    heartbeat with the reply's ``sequence`` was sent."""

    database: str
    connections: int
    lease_ms: int


@message
class HeartbeatReply(Struct):
    sequence: int
    leader: str
    shares: list[Share]
    versions: dict[str, int]
    topology_digest: int


@message
class DatabaseState(Struct):
    """The committed state of one database: its term, primary and term history."""

    database: str
    term: int
    primary: str
    fenced: bool
    history: dict[int, int]
    version: int


@message
class TopologyUpdate(Struct):
    """Changed databases and members; a ``full`` update removes unlisted members."""

    full: bool
    databases: list[DatabaseState]
    members: list[MemberSummary]


@message
class TemplateVersion(Struct):
    """One organisation's template; ``body`` is encoded JSON."""

    organisation: str
    version: int
    body: bytes


@message
class ConfigurationUpdate(Struct):
    templates: list[TemplateVersion]
    digest: int
    keys: list[str] = field(default_factory=list)


@message
class ConfigurationAcknowledged(Struct):
    versions: dict[str, int]


# --- between proxies of the statement protocol and the control group


@message
class JoinRequest(Struct):
    """A request of a control daemon outside the group to become a member."""

    identity: str
    incarnation: int


@message
class MemberView(Struct):
    """One member of a database group as sent to proxies."""

    member: str
    address: str
    zone: str
    leaving: bool = False
    primary: bool = False
    # Connections by data centre; empty if ``GroupView.connections`` applies to each.
    shares: dict[str, int] = field(default_factory=dict)


@message
class GroupView(Struct):
    """One group; ``primary`` is empty while no member may be used as primary.

    ``connections`` limits the connections to each member held by one proxy or, if
    ``shared``, by all proxies of a zone together.
    """

    group: str
    term: int
    primary: str
    members: list[MemberView]
    connections: int
    shared: bool = False


@message
class GroupReport(Struct):
    """A proxy's observations of a group's primary ``member`` in ``term``.

    ``failing_ms`` is how long new connections to it have failed, ``succeeded_ms`` how
    long ago it last answered, ``committed_ms`` how long ago it last answered a commit
    and ``stalled_ms`` how long commits have had no answer; each is -1 where it does not
    apply. The acknowledged position is the highest one of a commit that this proxy
    confirmed to a client. The sample is the highest position in an answer to a
    statement that was sent ``sample_after_ms`` after the grant named by the report had
    arrived, -1 without a sample. ``refused_ms`` is how long ago the primary last
    answered BUSY to a statement, -1 if never. ``loads`` has the encoded average numbers
    of statements in progress at the members whose connections this proxy owns, and
    ``uses`` how often their connections were used since the last report.
    """

    group: str
    member: str
    term: int
    failing_ms: int = -1
    succeeded_ms: int = -1
    stalled_ms: int = -1
    acknowledged_term: int = 0
    acknowledged_offset: int = 0
    unreachable: list[str] = field(default_factory=list)
    sample_term: int = 0
    sample_offset: int = 0
    sample_after_ms: int = -1
    committed_ms: int = -1
    refused_ms: int = -1
    loads: list[int] = field(default_factory=list)
    uses: list[int] = field(default_factory=list)


@message
class PositionSample(Struct):
    """A primary's position, observed by a statement that was sent at most ``age_ms``
    before this message."""

    group: str
    term: int
    offset: int
    age_ms: int


@message
class QuotaReport(Struct):
    """What a proxy holds and wants of an organisation's quota, in tokens.

    ``spent`` and ``returned`` count since the term of the leader began; the latter are
    tokens that can no longer be spent at the proxy. ``wanted`` are to be held for the
    expected demand, ``waiting`` are operations without a token. Until the leader has
    answered once, ``carried`` has the tokens of its predecessor, ``history`` the
    operations before its term by steps of their age, and ``calm_term`` the term before
    if its leader had known all spending, else 0.
    """

    organisation: str
    spent: int = 0
    returned: int = 0
    wanted: int = 0
    waiting: int = 0
    carried: int = 0
    history: list[int] = field(default_factory=list)
    calm_term: int = 0


@message
class QuotaGrant(Struct):
    """New ``tokens`` of an organisation; ``granted`` counts all since the term began.

    For ``exhausted_ms`` the leader expects to have no further token.
    """

    organisation: str
    granted: int = 0
    tokens: int = 0
    exhausted_ms: int = 0


@message
class ProxyReport(Struct):
    """Sent by a proxy to the control leader; ``topology_version`` is the one in force.

    ``incarnation`` identifies the proxy's process; it is 0 in earlier builds, which do
    not accept announcements without groups. ``last_grant`` is the number of the latest
    grant received, to which samples refer, and ``proxies_version`` the version of the
    list of its zone's proxies. With ``accepts_deltas`` the proxy decodes documents that
    were encoded for the one that it has.
    """

    incarnation: int
    sequence: int
    deployment_version: int
    topology_version: int
    draining: bool
    groups: list[GroupReport]
    last_grant: int = 0
    zone: str = ""
    proxies_version: int = 0
    quotas: list[QuotaReport] = field(default_factory=list)
    accepts_deltas: bool = False
    # Whether the proxy refuses clients without a valid key; earlier builds do not.
    checks_keys: bool = False


@message
class ProxyGrant(Struct):
    """Answers a report, or announces a change (``sequence`` 0, no lease).

    ``lease_ms`` counts from when the report with this ``sequence`` was sent; 0 means
    that the sender is not the leader. ``deployment`` and ``groups`` are empty if the
    proxy reported the same version; in an announcement that may have been an earlier
    process of the proxy, so empty groups count only in the answer to a report.
    ``deployment_base`` is the version that is needed to decode the deployment, 0
    for none. ``number`` identifies a grant among those to one proxy. ``proxies``
    lists those of its zone that share connections; it is empty if the proxy has
    that version or none are shared. ``loads`` has the encoded numbers of statements
    that the other zones have in progress at members; members with few are left out.
    """

    sequence: int
    leader: str
    lease_ms: int = 0
    deployment_version: int = 0
    deployment: bytes = b""
    topology_version: int = 0
    groups: list[GroupView] = field(default_factory=list)
    controls: list[str] = field(default_factory=list)
    samples: list[PositionSample] = field(default_factory=list)
    number: int = 0
    proxies: list[str] = field(default_factory=list)
    proxies_version: int = 0
    loads: list[int] = field(default_factory=list)
    quotas: list[QuotaGrant] = field(default_factory=list)
    deployment_base: int = 0


@message
class RelayOpen(Struct):
    """Requests a connection from the owner of a member's connections.

    The sender chooses the ``channel`` number; the owner may wait up to ``timeout_ms``.
    ``caller`` is the organisation that the connection is for, empty without one, and
    ``started`` whether it is for a transaction that had a connection before.
    """

    channel: int
    group: str
    member: str
    priority: int
    timeout_ms: int
    caller: str = ""
    caller_priority: int = 0
    started: bool = False


@message
class RelayStatus(Struct):
    """The state of a channel: waiting, open, refused or closed.

    ``failing_ms`` is how long the owner's connections to the member have failed, -1 if
    they succeed. ``in_progress`` is the owner's number of statements in progress and
    waiting at the member, -1 if it is not told.
    """

    channel: int
    state: str
    reason: str
    member: str
    failing_ms: int
    in_progress: int = -1


@message
class RelayStatement(Struct):
    """A statement for the connection of a channel.

    A ``prepared`` statement executes ``shape`` with ``text``; ``writes`` is set if it
    is a write. With ``sets_values``, the session's ``values`` are first set on the
    connection. The owner refuses the statement unless the member is the primary of
    ``leading_term``; 0 waives that check. With ``own_commit``, the required position is
    that of the session's last commit, which a replica may lack without lagging.
    """

    channel: int
    number: int
    query_id: bytes
    text: bytes
    required_term: int
    required_offset: int
    prepared: bool
    writes: bool
    shape: bytes
    sets_values: bool
    values: dict[bytes, bytes]
    leading_term: int = 0
    own_commit: bool = False


@message
class RelayAnswer(Struct):
    """The encoded answer to a statement, or the ``reason`` why there is none.

    ``in_progress`` is as in ``RelayStatus``.
    """

    channel: int
    number: int
    answer: bytes
    reason: str
    in_progress: int = -1


@message
class RelayClose(Struct):
    """Returns a channel's connection, which is closed unless it is ``clean``."""

    channel: int
    clean: bool
