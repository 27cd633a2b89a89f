"""What the control leader keeps of quotas: tokens by proxy, use by organisation.

Times are in seconds, on a clock that also advances while the VM is suspended.
"""

from collections import deque
from heapq import heappop, heappush

from bronzemoor_core.wire.leases import LEASE_MARGIN_SECONDS, LEASE_SECONDS
from bronzemoor_core.wire.quotasettings import TOKEN_EXTENSION_SECONDS

# A proxy spends a token at most this long after its grant, with the margin for drift.
TOKEN_SECONDS = LEASE_SECONDS + TOKEN_EXTENSION_SECONDS + LEASE_MARGIN_SECONDS


class Account:
    """Tokens of one process of a proxy for one organisation, numbered by grant.

    Tokens up to number ``resolved`` can no longer be spent.
    """

    __slots__ = (
        "asked_at",
        "granted",
        "limit",
        "resolved",
        "spent",
        "uncharged",
        "uncharged_until",
        "wanted",
    )

    def __init__(self, limit: "Limit") -> None:
        self.limit = limit
        self.granted = 0
        self.resolved = 0
        self.spent = 0
        # Number of tokens that are not charged if they are spent until then.
        self.uncharged = 0
        self.uncharged_until = 0.0
        self.wanted = 0
        self.asked_at = float("-inf")

    def resolve(self, number: int) -> None:
        """Records that the tokens up to a number can no longer be spent."""
        number = min(number, self.granted)
        if number > self.resolved:
            self.limit.outstanding -= number - self.resolved
            self.uncharged = max(0, self.uncharged - number + self.resolved)
            self.resolved = number

    def take_charged(self, now: float, spent: int) -> int:
        """Returns how many of the newly ``spent`` tokens are charged."""
        # Those that were out have expired this long after the next report.
        self.uncharged_until = min(self.uncharged_until, now + TOKEN_SECONDS)
        if now >= self.uncharged_until:
            self.uncharged = 0
        return max(0, spent - self.spent - self.uncharged)


class Limit:
    """What is spent and granted of one organisation's limit."""

    __slots__ = (
        "accounts",
        "charged",
        "charges",
        "credit",
        "grants",
        "high_at",
        "name",
        "outstanding",
        "pace",
        "paced",
        "paced_at",
        "total",
        "usual",
    )

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        # When more tokens were last asked for than the pace allows.
        self.high_at = now
        # Tokens per second, and those that may be granted at ``paced_at``.
        self.pace = 0.0
        self.paced = 0.0
        self.paced_at = now
        # What is allowed in a window, and what is used of it while spending is known.
        self.total = 0
        self.usual = 0
        # Operations spent in the last window, with the time until which they count.
        self.charged = 0
        self.charges: list[tuple[float, int]] = []
        # Tokens that may still be spent, and until when each grant counts.
        self.outstanding = 0
        self.grants: list[tuple[float, int, Account, int]] = []
        # Operations and tokens under earlier leaders that have been reported.
        self.credit = 0
        self.accounts: dict[str, Account] = {}

    def charge(self, until: float, number: int) -> None:
        """Counts operations that were spent, for as long as a window has them."""
        if number > 0:
            self.charged += number
            heappush(self.charges, (until, number))

    def forget_charges(self) -> None:
        """Forgets what was spent, and charges nothing for the tokens that are out."""
        self.charged = 0
        self.charges.clear()
        for account in self.accounts.values():
            account.uncharged = account.granted - account.resolved
            account.uncharged_until = float("inf")

    def release(self, now: float) -> None:
        """Removes operations and tokens that no longer count."""
        while self.charges and self.charges[0][0] <= now:
            self.charged -= heappop(self.charges)[1]
        while self.grants and self.grants[0][0] <= now:
            _, _, account, number = heappop(self.grants)
            account.resolve(number)

    def next_release(self, now: float) -> float:
        """Returns in how many seconds something stops to count."""
        return self.charges[0][0] - now if self.charges else 0.0


class ProxyAccounts:
    """The accounts of a proxy's process and its grants, oldest first."""

    __slots__ = ("accounts", "grants")

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}
        # Expiry at the proxy, account and number of the last token.
        self.grants: deque[tuple[float, Account, int]] = deque()
