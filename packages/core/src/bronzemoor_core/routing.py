"""Selection of the members that may serve a request."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from bronzemoor_core.connections import DatabasePool, MemberLink
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.membership import Database, Member
from bronzemoor_core.positions import ZERO, Position, TermHistory

# One-way delay assumed for a data centre without a measured or configured value.
DEFAULT_REMOTE_DELAY_SECONDS = 0.0035
# Traffic between data centres is billed; its price is expressed as a delay.
REMOTE_COST_SECONDS = 0.001
# Estimated delay that each outstanding request adds at a member.
OUTSTANDING_COST_SECONDS = 0.001

DEFAULT_LINK = MemberLink()


@dataclass(slots=True, frozen=True)
class Candidate:
    """A member that may serve a read, and the inputs of the balancers."""

    member: str
    outstanding: int
    delay: float
    is_remote: bool
    # Seconds until the member is expected to hold the minimum position.
    catch_up: float = 0.0


Balancer = Callable[[Sequence[Candidate], Random], list[Candidate]]
BALANCERS: dict[str, Balancer] = {}


def balancer(name: str) -> Callable[[Balancer], Balancer]:
    """Registers a function that orders candidates, best first."""

    def register(function: Balancer) -> Balancer:
        BALANCERS[name] = function
        return function

    return register


@balancer("least_outstanding")
def order_by_outstanding(
    candidates: Sequence[Candidate], random: Random
) -> list[Candidate]:
    return sorted(candidates, key=lambda c: (c.outstanding, c.catch_up, c.delay))


@balancer("measured_delay")
def order_by_delay(candidates: Sequence[Candidate], random: Random) -> list[Candidate]:
    return sorted(candidates, key=_cost)


@balancer("two_random_choices")
def order_by_two_choices(
    candidates: Sequence[Candidate], random: Random
) -> list[Candidate]:
    """Puts the cheaper of two random candidates first, the others in random order."""
    shuffled = random.sample(candidates, len(candidates))
    return sorted(shuffled[:2], key=_cost) + shuffled[2:]


def _cost(candidate: Candidate) -> float:
    return (
        candidate.delay
        + candidate.catch_up
        + REMOTE_COST_SECONDS * candidate.is_remote
        + OUTSTANDING_COST_SECONDS * candidate.outstanding
    )


@dataclass(slots=True, frozen=True)
class Route:
    """Members in order of preference and the position that they must have reached.

    ``fallback`` is set if the primary serves a read because no replica qualifies.
    ``proved`` is false if the position does not prove the staleness bound, so that the
    primary's answer has to.
    """

    members: tuple[str, ...]
    min_position: Position = ZERO
    wait_ms: int = 0
    fallback: bool = False
    proved: bool = True


NO_ROUTE = Route(())


def surviving_position(history: TermHistory, position: Position) -> Position:
    """Returns ``position``, or the start of the term whose promotion discarded it.

    No member will ever reach a discarded position, so a read must not wait for it.
    """
    if history.survives(position):
        return position
    start, term = min(
        (start, term)
        for term, start in history.start_offsets.items()
        if term > position.term
    )
    return Position(term, start)


def is_serving(member: Member, now: float, lease: float) -> bool:
    """Returns whether ``member`` may get new work.

    The lease applies to members that announce themselves here; a member known from
    another daemon is removed by membership once that daemon reports its loss.
    """
    if member.leaving:
        return False
    return member.source != "announcement" or now - member.last_contact_at <= lease


def expected_delay(member: Member, link: MemberLink, settings: Any) -> float:
    """Returns the one-way delay to ``member`` in seconds: measured, else configured."""
    if link.delay is not None:
        return link.delay
    if member.data_centre == settings.data_centre:
        return 0.0
    return settings.delays.get(member.data_centre, DEFAULT_REMOTE_DELAY_SECONDS)


def position_for_age(database: Database, now: float, max_age: float) -> Position | None:
    """Returns a position that proves an age of at most ``max_age``, or None.

    The oldest sample within the bound is the one that most replicas have reached.
    """
    for sample in database.samples:
        if now - sample.proved_at <= max_age:
            return surviving_position(database.history, sample.position)
    return None


class Router:
    """Selects the members for a request; stateless."""

    __slots__ = ("_balance", "_random", "_settings")

    def __init__(self, settings: Any, random: Random) -> None:
        self._settings = settings
        self._random = random
        name = settings.data_path.balancer
        if name not in BALANCERS:
            known = ", ".join(sorted(BALANCERS))
            raise InvalidSettings([f"data_path.balancer: {name!r} is none of {known}"])
        self._balance = BALANCERS[name]

    def primary_route(
        self, now: float, database: Database, position: Position = ZERO
    ) -> Route:
        """Returns the route of a write, ``NO_ROUTE`` if no primary is serving."""
        member = database.members.get(database.primary)
        lease = self._settings.timers.announcement_lease
        if member is None or not is_serving(member, now, lease):
            return NO_ROUTE
        wait_ms = max(1, round(self._settings.data_path.catch_up_wait * 1_000))
        return Route(
            (member.name,), surviving_position(database.history, position), wait_ms
        )

    def read_route(
        self,
        now: float,
        database: Database,
        pool: DatabasePool | None,
        position: Position,
        max_age: float | None,
        data_centre: str = "",
        excluded: tuple[str, ...] = (),
    ) -> Route:
        """Returns the route of a read whose session has seen ``position``.

        ``max_age`` is in seconds or None; ``excluded`` members were tried before.
        """
        path = self._settings.data_path
        minimum = surviving_position(database.history, position)
        proved = True
        if max_age is not None:
            # The data ages in transit and while the member waits before it reads.
            age_limit = max_age - path.catch_up_wait - DEFAULT_REMOTE_DELAY_SECONDS
            sample = position_for_age(database, now, age_limit)
            proved = sample is not None
            minimum = max(minimum, sample or ZERO)
        wait_ms = max(1, round(path.catch_up_wait * 1_000))
        if proved:
            candidates = self._replica_candidates(
                now, database, pool, minimum, data_centre, excluded
            )
            if candidates:
                if len(candidates) > 1:
                    candidates = self._balance(candidates, self._random)
                names = tuple([candidate.member for candidate in candidates])
                return Route(names, minimum, wait_ms)
        primary = self.primary_route(now, database)
        if not primary.members:
            return NO_ROUTE
        fallback = len(database.members) > 1
        return Route(primary.members, minimum, wait_ms, fallback, proved)

    def _replica_candidates(
        self,
        now: float,
        database: Database,
        pool: DatabasePool | None,
        minimum: Position,
        data_centre: str,
        excluded: tuple[str, ...],
    ) -> list[Candidate]:
        settings = self._settings
        lease = settings.timers.announcement_lease
        wait = settings.data_path.catch_up_wait
        links = pool.links if pool else {}
        local_data_centre = data_centre or settings.data_centre
        candidates: list[Candidate] = []
        unreachable: list[Candidate] = []
        for member in database.members.values():
            name = member.name
            if name == database.primary or name in excluded:
                continue
            if not is_serving(member, now, lease):
                continue
            link = links.get(name, DEFAULT_LINK)
            catch_up = 0.0
            if not database.history.covers(member.position, minimum):
                if link.lag > wait or now < link.behind_until:
                    continue
                catch_up = link.lag
            # A member may be lost long before its lease expires.
            group = unreachable if link.unreachable else candidates
            group.append(
                Candidate(
                    name,
                    link.slots_in_use,
                    expected_delay(member, link, settings),
                    member.data_centre != local_data_centre,
                    catch_up,
                )
            )
        return candidates or unreachable
