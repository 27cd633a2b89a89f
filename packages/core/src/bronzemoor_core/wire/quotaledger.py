"""Divides the quotas of organisations among the proxies, at the control leader.

Load pattern: many proxies spend one limit, also while proxies, messages and leaders are
lost. A token counts against the limit from its grant until a window after the last
moment at which its operation can reach a member. What lost proxies spent under an
earlier leader is estimated for organisations that kept their pace. Times are in
seconds, on a clock that also advances while the VM is suspended.
"""

from collections.abc import Iterable, Mapping
from heapq import heappush
from random import Random

from bronzemoor_core.messages import QuotaGrant, QuotaReport
from bronzemoor_core.wire.deployment import Organisation
from bronzemoor_core.wire.quotaaccounts import (
    TOKEN_SECONDS,
    Account,
    Limit,
    ProxyAccounts,
)
from bronzemoor_core.wire.quotasettings import (
    HISTORY_STEP_SECONDS,
    MAX_EXHAUSTED_MS,
    QuotaSettings,
    clamp,
)

# How long an operation that has spent a token may take to reach a member. What takes
# longer must fit into the part of the slack that is not used.
DELIVERY_SECONDS = 0.3
# Part of the slack that is granted while all spending is known. The rest serves
# callers after a change of leader, when the spending of lost proxies is unknown.
USED_SLACK_SHARE = 0.4
# Tokens kept for operations that wait, out of reach of expected demand.
MAX_RESERVE = 10
RESERVE_SHARE = 0.5
# In short supply a report gets this multiple of its proportional share, since what is
# left over until the next report counts for nobody.
SHORT_SUPPLY_FACTOR = 4
# Proxies whose last report is older do not count in the division.
DEMAND_MAX_AGE_SECONDS = 1.0
# Share of the limit that must be spent before the organisation is exhausted; below it,
# tokens are only held elsewhere and come back soon.
EXHAUSTED_SHARE = 0.85
# An organisation gets tokens at this multiple of its rate at most, and those of
# PACE_SECONDS at once, unless it is marked in the replicated record. What others were
# granted before a change of leader is therefore spread over time.
PACE_FACTOR = 1.5
PACE_SECONDS = 1.0
MIN_PACED_TOKENS = 6
# A mark is removed after the pace was kept for this long.
CALM_SECONDS = 15.0
# Shorter pauses would only add reports.
MIN_EXHAUSTED_SECONDS = 0.2


class QuotaLedger:
    """Exists as long as the leader of one term.

    ``holders`` are the processes of proxies to which earlier leaders may have granted
    tokens. ``marked`` are the organisations that the replicated record marks; others
    got no more than their pace.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        now: float,
        term: int,
        holders: Iterable[str],
        random: Random,
        marked: Iterable[str] = (),
    ) -> None:
        self._settings = settings
        self._term = term
        self._random = random
        self._started_at = now
        # When the last token of an earlier leader expires.
        self._earlier_tokens_end = now + TOKEN_SECONDS
        # Whether the predecessor is known to have kept the rest of the slack.
        self._slack_is_free = False
        # Holders that have not reported yet, and when they can spend no token any more.
        self._unheard = dict.fromkeys(holders, self._earlier_tokens_end)
        self._earlier_marked = frozenset(marked)
        self._marked = set(marked)
        self._to_mark: set[str] = set()
        self._limits: dict[str, Limit] = {}
        self._proxies: dict[str, ProxyAccounts] = {}
        self._grant_count = 0

    # --- limits

    def set_organisations(self, organisations: Mapping[str, Organisation]) -> None:
        """Applies the limits of a deployment."""
        before = {name: limit.usual for name, limit in self._limits.items()}
        for limit in self._limits.values():
            limit.total = limit.usual = 0
        for name, organisation in organisations.items():
            if organisation.rate is not None:
                if name not in self._limits:
                    self._limits[name] = Limit(name, self._started_at)
                limit = self._limits[name]
                nominal = organisation.rate * self._settings.window + organisation.burst
                highest = nominal * (1 + self._settings.overage)
                limit.total = int(highest + self._settings.slack)
                usual = int(highest + self._settings.slack * USED_SLACK_SHARE)
                if usual < before.get(name, 0):
                    # What was spent under the higher limit would use up the lower one.
                    limit.forget_charges()
                limit.usual = usual
                limit.pace = organisation.rate * PACE_FACTOR

    @property
    def unheard(self) -> int:
        """How many holders have not reported to this leader."""
        return len(self._unheard)

    def used(self, now: float, name: str) -> tuple[int, int, int]:
        """Returns the operations that count, the tokens out, and their limit."""
        limit = self._limits[name]
        limit.release(now)
        return limit.charged, limit.outstanding, self._budget(now, limit)

    def _unknown(self, now: float, limit: Limit) -> int:
        """Returns what holders that have not reported may have spent of the limit.

        It is what earlier leaders may have granted apart from what the others reported,
        and is kept back until it no longer counts.
        """
        if not self._unheard:
            return 0
        counted = self._settings.window + DELIVERY_SECONDS
        if now >= max(self._unheard.values()) + counted:
            return 0
        highest = limit.usual
        if limit.name not in self._earlier_marked:
            # At an even pace it leaves the window evenly.
            past = (now - self._started_at) / counted
            highest = int(highest * max(0.0, 1.0 - past))
        return highest - min(highest, limit.credit)

    def _budget(self, now: float, limit: Limit) -> int:
        """Returns how many operations and tokens may count."""
        unknown = self._unknown(now, limit)
        highest = limit.total if unknown and self._slack_is_free else limit.usual
        return min(limit.usual, highest - unknown)

    def _paced(self, now: float, limit: Limit) -> int:
        """Returns how many tokens the pace allows now."""
        capacity = max(MIN_PACED_TOKENS, limit.pace * PACE_SECONDS)
        earned = max(0.0, now - limit.paced_at) * limit.pace
        limit.paced = min(capacity, limit.paced + earned)
        limit.paced_at = now
        return int(limit.paced)

    # --- marks

    @property
    def to_mark(self) -> set[str]:
        """Organisations that get more once the replicated record marks them."""
        return self._to_mark

    def mark(self, names: Iterable[str]) -> None:
        """Allows whole limits after the marks are confirmed in the record."""
        self._marked.update(names)
        self._to_mark -= self._marked

    def unmark_calm(self, now: float) -> list[str]:
        """Returns organisations whose mark may be removed, and limits them at once."""
        calm = [
            name
            for name in sorted(self._marked)
            if name not in self._limits
            or now - self._limits[name].high_at > CALM_SECONDS
        ]
        self._marked.difference_update(calm)
        return calm

    # --- proxies

    def process_ended(self, proxy: str) -> None:
        """Forgets a proxy's process; its tokens count until they have expired."""
        ended = self._proxies.pop(proxy, None)
        if ended is not None:
            for account in ended.accounts.values():
                account.limit.accounts.pop(proxy, None)

    def on_report(
        self,
        now: float,
        proxy: str,
        process: str,
        sent_after: float,
        items: list[QuotaReport],
        may_grant: bool,
    ) -> list[QuotaGrant]:
        """Processes a report of this term that a process sent after ``sent_after``.

        Returns new tokens if the leader ``may_grant`` them.
        """
        state = self._proxies.get(proxy)
        if state is None:
            state = self._proxies[proxy] = ProxyAccounts()
        # Others have no limit, or belong to a deployment that is not known yet.
        items = [item for item in items if item.organisation in self._limits]
        self._unheard.pop(process, None)
        ended = [name for name in self._unheard if name.startswith(f"{proxy}#")]
        for name in ended:
            # This process took the place of the holder.
            self._unheard[name] = min(self._unheard[name], now)
        for item in items:
            self._record(now, proxy, state, item)
        # The report says what was spent of all grants that had expired when it was
        # sent; the rest of them cannot be spent any more.
        while state.grants and state.grants[0][0] <= sent_after:
            _, account, number = state.grants.popleft()
            account.resolve(number)
        if not may_grant:
            return []
        grants = []
        for item in items:
            grant = self._allot(now, state, item)
            if grant is not None:
                grants.append(grant)
        return grants

    def _record(
        self, now: float, proxy: str, state: ProxyAccounts, item: QuotaReport
    ) -> None:
        limit = self._limits[item.organisation]
        limit.release(now)
        account = state.accounts.get(item.organisation)
        if account is None:
            account = Account(limit)
            state.accounts[item.organisation] = account
            limit.accounts[proxy] = account
            self._inherit(now, state, account, item)
        counted_until = now + self._settings.window + DELIVERY_SECONDS
        spent = clamp(item.spent, account.granted)
        if spent > account.spent:
            limit.charge(counted_until, account.take_charged(now, spent))
            account.spent = spent
        account.resolve(account.spent + clamp(item.returned))
        account.wanted = clamp(item.wanted) + clamp(item.waiting)
        account.asked_at = now

    def _inherit(
        self, now: float, state: ProxyAccounts, account: Account, item: QuotaReport
    ) -> None:
        """Records what a proxy did under earlier leaders."""
        if item.calm_term and item.calm_term == self._term - 1:
            self._slack_is_free = True
        limit = account.limit
        carried = clamp(item.carried, limit.total)
        if carried:
            self._add_tokens(now, state, account, carried)
        limit.credit += carried
        window = self._settings.window
        for step, number in enumerate(item.history):
            number = clamp(number, limit.total)
            latest = now - max(0, step - 1) * HISTORY_STEP_SECONDS
            limit.charge(latest + window + DELIVERY_SECONDS, number)
            earliest = now - (step + 1) * HISTORY_STEP_SECONDS - DELIVERY_SECONDS
            if earliest > self._earlier_tokens_end - window:
                limit.credit += number

    def _allot(
        self, now: float, state: ProxyAccounts, item: QuotaReport
    ) -> QuotaGrant | None:
        account = state.accounts[item.organisation]
        limit = account.limit
        waiting, wanted = clamp(item.waiting), clamp(item.wanted)
        if not limit.total or not waiting + wanted:
            return None
        budget = self._budget(now, limit)
        free = max(0, budget - limit.charged - limit.outstanding)
        paced = self._paced(now, limit)
        if waiting + wanted > paced:
            limit.high_at = now
            if limit.name not in self._marked:
                self._to_mark.add(limit.name)
                free = min(free, paced)
        reserve = min(int(budget * RESERVE_SHARE), MAX_RESERVE)
        if waiting + wanted <= free - reserve:
            tokens = waiting + wanted
        else:
            share = self._share(now, limit, account)
            tokens = min(waiting, free, max(1, self._round(free * share)))
            spare = max(0, free - reserve)
            tokens += min(wanted, max(0, self._round(spare * share) - tokens))
        exhausted = 0.0
        is_short = tokens < waiting or tokens == free
        is_marking = limit.name in self._to_mark
        if is_short and not is_marking and limit.charged >= EXHAUSTED_SHARE * budget:
            exhausted = max(MIN_EXHAUSTED_SECONDS, limit.next_release(now))
        if not tokens and not exhausted:
            return None
        if tokens:
            limit.paced = max(0.0, limit.paced - tokens)
            self._add_tokens(now, state, account, tokens)
        exhausted_ms = min(int(exhausted * 1_000), MAX_EXHAUSTED_MS)
        return QuotaGrant(item.organisation, account.granted, tokens, exhausted_ms)

    def _share(self, now: float, limit: Limit, account: Account) -> float:
        """Returns the part of the free tokens that a proxy gets in short supply."""
        total = sum(
            other.wanted
            for other in limit.accounts.values()
            if now - other.asked_at < DEMAND_MAX_AGE_SECONDS
        )
        return min(1.0, SHORT_SUPPLY_FACTOR * account.wanted / max(1, total))

    def _round(self, tokens: float) -> int:
        """Rounds at random, so that small shares are not always lost."""
        return int(tokens + self._random.random())

    def _add_tokens(
        self, now: float, state: ProxyAccounts, account: Account, number: int
    ) -> None:
        account.granted += number
        limit = account.limit
        limit.outstanding += number
        expires = now + TOKEN_SECONDS
        state.grants.append((expires, account, account.granted))
        counted_until = expires + self._settings.window + DELIVERY_SECONDS
        self._grant_count += 1
        heappush(
            limit.grants,
            (counted_until, self._grant_count, account, account.granted),
        )
