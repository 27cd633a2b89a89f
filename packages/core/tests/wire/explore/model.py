"""States of a small model of how control leaders replace a primary.

Time advances in ticks of 0.5 s: an order leaves its sender within 3 ticks of the last
confirmation of its leadership, a lease lasts 4 ticks, and an order is on its way for
less than one tick beyond its sender's deadline.
"""

from functools import cache

from msgspec import Struct
from msgspec.structs import replace

from bronzemoor_core.positions import Position
from bronzemoor_core.wire.leases import (
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
    LeaseTable,
)
from bronzemoor_core.wire.statements import MemberStatus

TICK_SECONDS = 0.5
WINDOW = 3  # ORDER_WINDOW, ticks
TRANSIT = 1  # ticks
LEASE = int(LEASE_SECONDS / TICK_SECONDS)
FOREVER = 99  # ticks that an order may be on its way without R1
NOBODY = -1
# Phases of a leader's attempt.
IDLE, REVOKED, CHOSEN = range(3)
A, B = 0, 1
NOW = 1_000.0
ROUNDING_SECONDS = 1e-6


class Rules(Struct, frozen=True):
    """Rules of a replacement, each of which can be turned off."""

    check: bool = True  # R1: an order leaves its sender before its deadline
    abort: bool = True  # R1: the sender's kernel gives its bytes up at the deadline
    wait: bool = True  # R2: a new leader waits until earlier leases have ended
    read: bool = True  # R3: positions are read after the leases have ended
    planned: bool = True  # R4: the planned member goes before other safe ones
    closed: bool = True  # R5: a deposed leader sends and plans nothing
    newest: bool = True  # R6: of several primaries the newest is recorded
    # The following are proposed, since the rules above leave faults. Another member
    # than the one ordered last is chosen or recorded only after that order can no
    # longer take effect, and recorded only if the planned one answers.
    settle: bool = False
    # A new leader takes acknowledged positions for complete only if it knows each proxy
    # that may have acknowledged a commit.
    complete: bool = False
    # The same if a proxy's process was replaced by one that forgot its commits.
    process: bool = False
    # While no commit of the term is known to be acknowledged, the commits of
    # earlier terms that a successor needs are unknown.
    term: bool = False
    # A replica that left may have acknowledged more than those on record, until one of
    # these is seen to have all that the primary had.
    departed: bool = True


class Bounds(Struct, frozen=True):
    """Size of the model: how often each of its events may happen."""

    proxies: int = 1
    writes: int = 1
    crashes: int = 1
    resumes: int = 1
    restarts: int = 0  # of proxies
    departures: int = 0  # of replicas, for good
    confirmations: int = 0  # of A's leadership, at the end of a tick
    attempts: int = 2  # of each leader
    orders: int = 1  # of each attempt
    missing: int = 1  # replicas that may not answer one round of PAUSE
    effect: int = 0  # ticks that a promotion may need to take effect
    in_order: bool = True  # whether promotions take effect in the order of arrival


class Member(Struct, frozen=True, order=True):
    """A database member; ``received`` is how much of its log a replica confirmed."""

    term: int = 1
    primary: bool = False
    log: tuple[int, ...] = ()
    paused: bool = False
    up: bool = True
    received: int = 0
    gone: bool = False

    @property
    def status(self) -> MemberStatus:
        return MemberStatus(self.primary, self.term, self.position, 0, 0.0, 0, 0)

    @property
    def position(self) -> Position:
        return Position(self.log[-1] // 10 if self.log else 0, len(self.log))


class Proxy(Struct, frozen=True, order=True):
    """A proxy's topology and newest commit.

    ``leases`` from A and B are in ticks, ``confirmed`` their newest topologies here.
    """

    version: int = 1
    primary: int = 0
    term: int = 1
    leases: tuple[int, int] = (LEASE, 0)
    known: tuple[bool, bool] = (True, False)
    confirmed: tuple[int, int] = (1, 0)
    acknowledged: Position = Position()
    restarted: bool = False

    @property
    def served(self) -> bool:
        return max(self.leases) > 0 and self.primary != NOBODY


class Leader(Struct, frozen=True):
    """A control leader; ``order_age`` counts down while an order may take effect."""

    phase: int = IDLE
    version: int = 1
    named: tuple[int, int] = (0, 1)  # primary and term in its topology
    choice: int = NOBODY
    fence: int = 0
    sent: int = 0
    attempts: int = 0
    ordered: int = NOBODY
    unsettled: int = 0
    resumed: bool = False


class Record(Struct, frozen=True):
    """The replicated record of the group, with the newest fence."""

    primary: int = 0
    term: int = 1
    candidate: int = NOBODY
    fence: int = 0
    departed: bool = False  # a departure is not settled


class Order(Struct, frozen=True, order=True):
    """A promotion, or a RESUME with fence 0, that is on its way for ``left`` ticks."""

    member: int
    fence: int
    holder: int
    left: int


class State(Struct, frozen=True):
    """A state of the whole model; ``fault`` says which invariant does not hold."""

    members: tuple[Member, ...]
    proxies: tuple[Proxy, ...]
    leaders: tuple[Leader, ...]
    record: Record
    bounds: Bounds  # what is left of the limited events
    confirmed: int = 0  # ticks since the last confirmation of A
    elected: int = NOBODY  # ticks since the election of B
    orders: tuple[Order, ...] = ()
    pending: tuple[tuple[int, int], ...] = ()  # promotions that will take effect
    fenced: tuple[int, int] = (0, A)  # newest fence at the platform and its holder
    acknowledged: tuple[int, ...] = ()
    fault: str = ""


def first_state(bounds: Bounds) -> State:
    """Returns the state in which A leads and member 0 is the primary of term 1."""
    return State(
        members=(Member(primary=True), Member(), Member()),
        proxies=(Proxy(),) * bounds.proxies,
        leaders=(Leader(), Leader(version=0)),
        record=Record(),
        bounds=bounds,
    )


@cache
def lease_status(
    elected: int, proxies: tuple[tuple[int, int], ...], version: int, rules: Rules
) -> tuple[bool, bool]:
    """Returns whether no lease on an older topology is left, and all have confirmed.

    ``proxies`` are the known ones, each with its lease in ticks and its topology.
    """
    margin = LEASE_MARGIN_SECONDS + ROUNDING_SECONDS
    since_election = (LEASE if not rules.wait else elected) * TICK_SECONDS
    table = LeaseTable(NOW - since_election - margin)
    for number, (lease, confirmed) in enumerate(proxies):
        granted = NOW - (LEASE - lease) * TICK_SECONDS - margin
        table.grant(granted, str(number), granted)
        table.confirm(str(number), confirmed)
    ended = not table.waiting_for(NOW, version)
    return ended, ended and bool(table.holders) and table.all_confirmed(version)


def lease_status_of(state: State, number: int, rules: Rules) -> tuple[bool, bool]:
    """Returns ``lease_status`` as seen by leader ``number``."""
    known = tuple(
        (proxy.leases[number], proxy.confirmed[number])
        for proxy in state.proxies
        if proxy.known[number]
    )
    elected = LEASE if number == A else state.elected
    ended, confirmed = lease_status(
        elected, known, state.leaders[number].version, rules
    )
    if rules.complete and len(known) < len(state.proxies):
        confirmed = False
    if rules.process and any(proxy.restarted for proxy in state.proxies):
        confirmed = False
    return ended, confirmed


def at(items: tuple, number: int, value: object) -> tuple:
    """Returns ``items`` with another value at one place."""
    return (*items[:number], value, *items[number + 1 :])


SWAPPED = {NOBODY: NOBODY, 0: 0, 1: 2, 2: 1}


def reduced(state: State) -> State:
    """Returns one of the states that differ only in the names of replicas or proxies.

    Members 1 and 2 start alike, and each choice between them is explored.
    """
    primary, one, other = state.members
    proxies = state.proxies
    if one < other:
        proxies = tuple(replace(p, primary=SWAPPED[p.primary]) for p in proxies)
        state = replace(
            state,
            members=(primary, other, one),
            leaders=tuple(
                replace(
                    leader,
                    named=(SWAPPED[leader.named[0]], leader.named[1]),
                    choice=SWAPPED[leader.choice],
                    ordered=SWAPPED[leader.ordered],
                )
                for leader in state.leaders
            ),
            record=replace(
                state.record,
                primary=SWAPPED[state.record.primary],
                candidate=SWAPPED[state.record.candidate],
            ),
            orders=tuple(
                sorted(replace(o, member=SWAPPED[o.member]) for o in state.orders)
            ),
            pending=tuple((SWAPPED[member], left) for member, left in state.pending),
        )
    if len(proxies) > 1:
        proxies = tuple(sorted(proxies))
    return state if proxies is state.proxies else replace(state, proxies=proxies)
