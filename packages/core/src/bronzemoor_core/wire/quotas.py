"""The shares of organisations' quotas that proxies hold.

Load pattern: an organisation's clients connect to one proxy or to all of them, and it
may send several times its usual load for some seconds. Proxies hold tokens that the
control leader granted; one token allows one operation. Times are in seconds, on a clock
that also advances while the VM is suspended.
"""

from math import exp

from bronzemoor_core.messages import QuotaGrant, QuotaReport
from bronzemoor_core.wire.quotasettings import (
    HISTORY_STEP_SECONDS,
    MAX_EXHAUSTED_MS,
    QuotaSettings,
    clamp,
)

# Demand for which a proxy holds tokens, which covers an election of a control leader.
HORIZON_SECONDS = 2.0
# Time constants of the estimated demand: usually, so that single operations of a small
# organisation ask for no tokens ahead, and where it has changed beyond chance.
DEMAND_TIME_CONSTANT_SECONDS = 2.0
CHANGE_TIME_CONSTANT_SECONDS = 0.3
MIN_CHANGE_OPERATIONS = 3
# Shorter intervals between reports give no useful estimate of the demand.
MIN_ESTIMATE_SECONDS = 0.3
# Tokens beyond the expected demand by this factor are given back.
EXCESS_FACTOR = 1.3
# Tokens are free again a window after the report that they were spent, so a proxy
# reports early that it spent this many, or has none left and spent so many.
EARLY_REPORT_TOKENS = 20
DRY_REPORT_TOKENS = 5
# A leader that has led for this long beyond a window knows all spending in it: the
# tokens of its predecessor have expired.
CALM_SECONDS = 5.0

# Expiry of a reserved token and the term of the leader that granted it.
Token = tuple[float, int]


class _Share:
    """What a proxy holds for one organisation.

    ``granted`` to ``given_back`` count tokens since the leader's term began.
    """

    __slots__ = (
        "acknowledged",
        "announced",
        "arrivals",
        "batches",
        "carried",
        "demand",
        "estimated_at",
        "exhausted_until",
        "expects",
        "given_back",
        "granted",
        "held",
        "history",
        "informed_at",
        "past",
        "returned",
        "sent",
        "sent_sequence",
        "spent",
        "waiting",
    )

    def __init__(self, now: float) -> None:
        self.granted = 0
        self.spent = 0
        # Tokens that expired, were lost on the way or were given back, and the latter.
        self.returned = 0
        self.given_back = 0
        # Tokens of the previous leader that were held when the term began.
        self.carried = 0
        self.held = 0
        # Expiry and number of the tokens held, earliest expiry first.
        self.batches: list[list[float]] | None = None
        # Start of an interval and number of operations in it, oldest first, in this
        # term and before it.
        self.history: list[list[float]] | None = None
        self.past: list[list[float]] | None = None
        # Operations that wait for a token, and those that arrived since the estimate.
        self.waiting = 0
        self.arrivals = 0
        self.expects = False
        self.demand = 0.0
        self.estimated_at = now
        self.exhausted_until = float("-inf")
        self.informed_at = float("-inf")
        self.sent_sequence = 0
        self.sent: tuple[int, int] | None = None
        # Spent and given back, as the leader is known to have them.
        self.acknowledged = (0, 0)
        # Whether the leader of this term has the state from before it.
        self.announced = False

    def drop_expired(self, now: float) -> None:
        batches = self.batches
        while batches and batches[0][0] <= now:
            expired = int(batches.pop(0)[1])
            self.held -= expired
            self.returned += expired
        if not batches:
            self.batches = None

    def take_token(self, now: float) -> float | None:
        """Removes the token that expires first; returns its expiry."""
        self.drop_expired(now)
        if not self.batches:
            return None
        first = self.batches[0]
        self._remove_first(1)
        return first[0]

    def add_tokens(self, expires: float, number: int) -> None:
        self.batches = self.batches or []
        self.batches.append([expires, number])
        self.batches.sort()
        self.held += number

    def record_spending(self, now: float, window: float) -> None:
        self.spent += 1
        history = self.history = self.history or []
        if not history or now - history[-1][0] >= HISTORY_STEP_SECONDS:
            history.append([now, 0])
            while history[0][0] < now - window - HISTORY_STEP_SECONDS:
                history.pop(0)
        history[-1][1] += 1

    def record_arrival(self, now: float) -> None:
        if not self.arrivals and now - self.estimated_at > MIN_ESTIMATE_SECONDS:
            # The time without operations must not dilute the estimate.
            self._update_demand(now)
        self.arrivals += 1
        self.expects = False

    def target(self, now: float) -> int:
        """Returns the number of tokens that should be held."""
        if now - self.estimated_at >= MIN_ESTIMATE_SECONDS:
            self._update_demand(now)
        return max(int(self.demand * HORIZON_SECONDS), int(self.expects))

    def give_back_excess(self, target: int) -> None:
        """Gives back the tokens that expire first, for use at other proxies."""
        if self.held <= EXCESS_FACTOR * target + 1 or self.waiting:
            return
        excess = self.held - target
        self.given_back += excess
        self.returned += excess
        while excess and self.batches:
            number = min(excess, int(self.batches[0][1]))
            self._remove_first(number)
            excess -= number

    def begin_term(self, now: float) -> None:
        self.drop_expired(now)
        self.granted = self.carried = self.held
        self.spent = self.returned = self.given_back = 0
        self.past = [*(self.past or ()), *(self.history or ())] or None
        self.history = self.sent = None
        self.acknowledged, self.announced = (0, 0), False

    def past_counts(self, now: float, window: float) -> list[int]:
        """Returns the operations before the term, by interval of their age.

        They are kept for the window, since the next leader may be replaced as well.
        """
        if not self.past:
            return []
        counts = [0] * (int(window / HISTORY_STEP_SECONDS) + 1)
        for started, number in self.past or ():
            step = int((now - started) / HISTORY_STEP_SECONDS)
            if step < len(counts):
                counts[step] += int(number)
        while counts and not counts[-1]:
            counts.pop()
        if not counts:
            self.past = None
        return counts

    def _update_demand(self, now: float) -> None:
        elapsed = now - self.estimated_at
        expected = self.demand * elapsed
        has_changed = abs(self.arrivals - expected) >= max(
            MIN_CHANGE_OPERATIONS, expected / 2
        )
        kept = exp(
            -elapsed
            / (
                CHANGE_TIME_CONSTANT_SECONDS
                if has_changed
                else DEMAND_TIME_CONSTANT_SECONDS
            )
        )
        self.demand = kept * self.demand + (1 - kept) * self.arrivals / elapsed
        self.arrivals, self.estimated_at = 0, now

    def _remove_first(self, number: int) -> None:
        assert self.batches
        self.held -= number
        self.batches[0][1] -= number
        if self.batches[0][1] <= 0:
            self.batches.pop(0)


class TokenPurse:
    """The tokens that a proxy holds, by organisation."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._shares: dict[str, _Share] = {}
        # Term of the leader whose tokens are held, and when it was heard of.
        self._term = 0
        self._term_began_at = float("-inf")
        # The term before, if its leader had led for long; otherwise 0.
        self._calm_term = 0

    # --- state

    @property
    def term(self) -> int:
        """The term of the leader whose tokens are held."""
        return self._term

    def held(self, now: float, name: str) -> int:
        """Returns how many tokens are held for an organisation."""
        share = self._shares.get(name)
        if share is None:
            return 0
        share.drop_expired(now)
        return share.held

    def informed_age(self, now: float, name: str) -> float:
        """Returns the age of the leader's last message about an organisation."""
        share = self._shares.get(name)
        return now - share.informed_at if share is not None else float("inf")

    def demand(self, name: str) -> float:
        """Returns the estimated demand in operations per second."""
        share = self._shares.get(name)
        return share.demand if share is not None else 0.0

    def exhausted_for(self, now: float, name: str) -> float:
        """Returns in how many seconds the leader expects to have a token, 0 if any."""
        share = self._shares.get(name)
        return max(0.0, share.exhausted_until - now) if share is not None else 0.0

    # --- operations

    def expect(self, now: float, name: str) -> None:
        """Asks for a token with the next report, since a session was opened."""
        share = self._share(now, name)
        share.expects = not share.held

    def arrived(self, now: float, name: str) -> None:
        """Counts an operation in the demand, whether it can be served or not."""
        self._share(now, name).record_arrival(now)

    def reserve(self, now: float, name: str) -> Token | None:
        """Takes a token for an operation that is sent later."""
        share = self._shares.get(name)
        expires = share.take_token(now) if share is not None else None
        return (expires, self._term) if expires is not None else None

    def spend(self, now: float, name: str, token: Token) -> bool:
        """Spends a reserved token; returns whether it was still valid."""
        expires, term = token
        share = self._share(now, name)
        if term != self._term:
            # It was not reported to the leader of this term.
            return False
        if now >= expires:
            share.returned += 1
            return False
        share.record_spending(now, self._settings.window)
        return True

    def is_report_due(self, name: str) -> bool:
        """Returns whether so much was spent that the leader should know it early."""
        share = self._shares.get(name)
        if share is None:
            return False
        unreported = share.spent - share.acknowledged[0]
        return unreported >= (EARLY_REPORT_TOKENS if share.held else DRY_REPORT_TOKENS)

    def release(self, now: float, name: str, token: Token) -> None:
        """Puts a reserved token back that was not spent."""
        expires, term = token
        if term == self._term:
            self._share(now, name).add_tokens(expires, 1)

    def wait(self, now: float, name: str, change: int) -> None:
        """Changes the number of operations that wait for a token."""
        share = self._share(now, name)
        share.waiting = max(0, share.waiting + change)

    # --- messages

    def build_report(self, now: float, sequence: int) -> list[QuotaReport]:
        """Returns what the report with this sequence says of organisations with news.

        A report that leaves out an organisation says that nothing was spent for it
        since the last report that was answered.
        """
        items = []
        for name, share in self._shares.items():
            share.drop_expired(now)
            target = share.target(now)
            share.give_back_excess(target)
            missing = max(0, target - share.held)
            if 4 * missing < target:
                missing = 0
            progress = (share.spent, share.given_back)
            past = share.past_counts(now, self._settings.window)
            if not (
                missing
                or share.waiting
                or progress != share.acknowledged
                or (not share.announced and (share.carried or past))
            ):
                continue
            share.sent_sequence, share.sent = sequence, progress
            item = QuotaReport(
                name, share.spent, share.returned, missing, share.waiting
            )
            if not share.announced:
                item.carried, item.history = share.carried, past
                item.calm_term = self._calm_term
            items.append(item)
        return items

    def apply_grant(
        self,
        now: float,
        term: int,
        sequence: int,
        expires: float,
        items: list[QuotaGrant],
    ) -> bool:
        """Applies the answer to a report; its tokens can be spent until ``expires``.

        Returns whether the leader is a new one and needs the next report soon.
        """
        if term < self._term:
            return False
        is_new_term = term > self._term
        if is_new_term:
            led_for = now - self._term_began_at
            is_calm = self._term and led_for > self._settings.window + CALM_SECONDS
            self._calm_term = self._term if is_calm else 0
            self._term, self._term_began_at = term, now
            for share in self._shares.values():
                share.begin_term(now)
        for share in self._shares.values():
            if share.sent is not None and share.sent_sequence == sequence:
                share.acknowledged, share.sent = share.sent, None
                share.announced = True
                # A token for a new session is asked for once, whether granted or not.
                share.expects = False
        for item in items:
            self._apply_item(now, expires, item)
        return is_new_term and bool(self._shares)

    def _apply_item(self, now: float, expires: float, item: QuotaGrant) -> None:
        share = self._share(now, item.organisation)
        granted = clamp(item.granted)
        new = granted - share.granted
        if new > 0:
            usable = clamp(item.tokens, new) if now < expires else 0
            share.granted = granted
            # The others were in a grant that was lost or is late, or are too late.
            share.returned += new - usable
            if usable:
                share.add_tokens(expires, usable)
                share.expects = False
        share.informed_at = now
        pause = clamp(item.exhausted_ms, MAX_EXHAUSTED_MS) / 1_000
        share.exhausted_until = now + pause

    def _share(self, now: float, name: str) -> _Share:
        share = self._shares.get(name)
        if share is None:
            share = self._shares[name] = _Share(now)
        return share
