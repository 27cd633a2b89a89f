"""Events of the model: each yields labels and the states that may follow."""

from msgspec.structs import replace
from wire.explore.leaders import NAMES, Steps, deposed_events, leader_events
from wire.explore.model import (
    FOREVER,
    LEASE,
    NOBODY,
    A,
    B,
    Leader,
    Proxy,
    Rules,
    State,
    at,
)


def newest_primary(state: State) -> int:
    leading = [m for m, member in enumerate(state.members) if member.primary]
    return max(leading, key=lambda m: state.members[m].term)


def next_states(state: State, rules: Rules) -> Steps:
    """Yields each event that may happen next with the state after it."""
    yield from pass_time(state)
    yield from member_events(state)
    yield from proxy_events(state)
    yield from deliveries(state, rules)
    if state.elected == NOBODY:
        named = (NOBODY if state.record.candidate != NOBODY else state.record.primary,)
        leader = replace(
            state.leaders[B], version=100, named=(*named, state.record.term)
        )
        yield (
            "B is elected",
            replace(state, elected=0, leaders=(state.leaders[A], leader)),
        )
    for number in (A, B):
        if number == A or state.elected != NOBODY:
            yield from leader_events(state, number, rules)
    yield from deposed_events(state, rules)


# --- time, members and proxies


def pass_time(state: State) -> Steps:
    if any(left == 0 for _, left in state.pending):
        return
    later = replace(
        state,
        confirmed=min(state.confirmed + 1, LEASE),
        elected=state.elected
        if state.elected == NOBODY
        else min(state.elected + 1, LEASE),
        proxies=tuple(
            replace(p, leases=tuple(max(0, left - 1) for left in p.leases))
            for p in state.proxies
        ),
        leaders=tuple(settle_order(leader) for leader in state.leaders),
        orders=tuple(
            replace(o, left=o.left - (o.left < FOREVER))
            for o in state.orders
            if o.left != 1
        ),
        pending=tuple((member, left - 1) for member, left in state.pending),
    )
    yield "a tick passes", later
    if state.elected == NOBODY and state.bounds.confirmations:
        bounds = replace(state.bounds, confirmations=state.bounds.confirmations - 1)
        yield (
            "a tick passes and A is confirmed",
            replace(later, confirmed=0, bounds=bounds),
        )


def settle_order(leader: Leader) -> Leader:
    left = max(0, leader.unsettled - 1)
    ordered = leader.ordered if left else NOBODY
    return replace(leader, unsettled=left, ordered=ordered)


def member_events(state: State) -> Steps:
    members = state.members
    for number, member in enumerate(members):
        if member.up and not member.paused:
            for source, leading in enumerate(members):
                if source == number or not (leading.up and leading.primary):
                    continue
                follows = not member.primary and leading.term == member.term
                if follows and leading.log != member.log:
                    after = at(members, number, replace(member, log=leading.log))
                    leading = replace(leading, received=len(leading.log))
                    yield (
                        f"{number} receives from {source}",
                        replace(state, members=at(after, source, leading)),
                    )
                if leading.term > member.term:
                    kept = [e for e, o in zip(member.log, leading.log) if e == o]  # noqa: B905
                    turned = replace(
                        member,
                        term=leading.term,
                        primary=False,
                        log=tuple(kept),
                        received=0,
                    )
                    yield (
                        f"{number} turns to {source}",
                        replace(state, members=at(members, number, turned)),
                    )
        if member.up and not member.primary and state.bounds.crashes:
            down = replace(member, up=False, paused=False)
            bounds = replace(state.bounds, crashes=state.bounds.crashes - 1)
            yield (
                f"{number} stops",
                replace(state, members=at(members, number, down), bounds=bounds),
            )
        if may_leave(state, number):
            left = replace(member, up=False, paused=False, gone=True)
            yield (
                f"{number} leaves",
                replace(
                    state,
                    members=at(members, number, left),
                    record=replace(state.record, departed=True),
                    bounds=replace(
                        state.bounds, departures=state.bounds.departures - 1
                    ),
                ),
            )
        if not member.up and not member.gone:
            after = at(members, number, replace(member, up=True))
            yield f"{number} starts", replace(state, members=after)


def may_leave(state: State, number: int) -> bool:
    member = state.members[number]
    is_replica = not member.primary and number != state.record.primary
    return member.up and is_replica and state.bounds.departures > 0


def proxy_events(state: State) -> Steps:
    for number, proxy in enumerate(state.proxies):
        for leader in (A, B):
            granted = LEASE - state.confirmed if leader == A else LEASE
            if leader == B and state.elected == NOBODY or granted <= 0:
                continue
            heard = replace(
                proxy,
                leases=at(proxy.leases, leader, max(proxy.leases[leader], granted)),
                known=at(proxy.known, leader, True),
            )
            view = state.leaders[leader]
            if view.version > proxy.version:
                heard = replace(
                    heard,
                    version=view.version,
                    primary=view.named[0],
                    term=view.named[1],
                    confirmed=at(heard.confirmed, leader, view.version),
                )
            if heard != proxy:
                after = at(state.proxies, number, heard)
                yield f"p{number} hears {NAMES[leader]}", replace(state, proxies=after)
        if state.bounds.restarts:
            started = Proxy(0, NOBODY, 0, (0, 0), proxy.known, restarted=True)
            bounds = replace(state.bounds, restarts=state.bounds.restarts - 1)
            after = at(state.proxies, number, started)
            yield f"p{number} restarts", replace(state, proxies=after, bounds=bounds)
        member = state.members[proxy.primary]
        usable = member.up and member.primary and member.term == proxy.term
        if not proxy.served or not usable:
            continue
        if state.bounds.writes:
            entry = member.term * 10 + state.bounds.writes
            written = replace(member, log=(*member.log, entry))
            bounds = replace(state.bounds, writes=state.bounds.writes - 1)
            after = at(state.members, proxy.primary, written)
            yield (
                f"p{number} writes {entry} at {proxy.primary}",
                replace(state, members=after, bounds=bounds),
            )
        for entry in member.log[: member.received]:
            if entry // 10 == member.term and entry not in state.acknowledged:
                yield f"{entry} is acknowledged", acknowledge(state, number, entry)


def acknowledge(state: State, number: int, entry: int) -> State:
    proxy = state.proxies[number]
    newest = state.members[newest_primary(state)]
    position = replace(
        proxy.acknowledged,
        term=entry // 10,
        offset=state.members[proxy.primary].log.index(entry) + 1,
    )
    after = replace(proxy, acknowledged=max(proxy.acknowledged, position))
    return replace(
        state,
        proxies=at(state.proxies, number, after),
        acknowledged=tuple(sorted((*state.acknowledged, entry))),
        fault="" if entry in newest.log else "LOST",
    )


# --- orders on their way


def deliveries(state: State, rules: Rules) -> Steps:
    for number, order in enumerate(state.orders):
        rest = replace(state, orders=state.orders[:number] + state.orders[number + 1 :])
        if not order.fence:
            member = replace(state.members[order.member], paused=False)
            yield (
                f"RESUME reaches {order.member}",
                replace(rest, members=at(state.members, order.member, member)),
            )
            continue
        fence, holder = state.fenced
        label = f"promotion of {order.member} by {NAMES[order.holder]} arrives"
        if order.fence < fence and order.holder != holder:
            yield label, replace(rest, fault="ONE")
            continue
        newest = max(state.fenced, (order.fence, order.holder))
        rest = replace(rest, fenced=newest)
        if not state.members[order.member].up:
            yield f"{label}, refused", rest
        elif not state.bounds.effect:
            yield label, promote(rest, order.member)
        else:
            for left in range(state.bounds.effect + 1):
                pending = (*state.pending, (order.member, left))
                yield f"{label}, {left} ticks", replace(rest, pending=pending)
    ready = state.pending[:1] if state.bounds.in_order else state.pending
    for number, (member, _) in enumerate(ready):
        rest = replace(
            state, pending=state.pending[:number] + state.pending[number + 1 :]
        )
        yield f"promotion of {member} takes effect", promote(rest, member)


def promote(state: State, number: int) -> State:
    """Makes a member lead the next term with the log that it has."""
    if number == newest_primary(state) or not state.members[number].up:
        return state
    term = max(member.term for member in state.members) + 1
    members = tuple(replace(member, paused=False) for member in state.members)
    promoted = replace(members[number], term=term, primary=True, received=0)
    lost = not set(state.acknowledged) <= set(promoted.log)
    return replace(
        state, members=at(members, number, promoted), fault="LOST" if lost else ""
    )
