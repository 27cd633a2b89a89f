"""Settings and bounds that proxies and control leaders share for quotas."""

from msgspec import Struct

# Bits of a topology version below the control group's term.
TERM_SHIFT_BITS = 32
# How much longer than the lease of its grant a token may be spent.
TOKEN_EXTENSION_SECONDS = 1.0
# Width of the intervals in which a proxy reports to a new leader what it spent.
HISTORY_STEP_SECONDS = 0.5
# Bound for numbers in messages; the limit of an organisation is lower.
MAX_COUNT = 10**11
# Bound for how long operations are refused without asking the leader again.
MAX_EXHAUSTED_MS = 1_000


class QuotaSettings(Struct, frozen=True):
    """At most ``(rate * window + burst) * (1 + overage) + slack`` operations start in
    any ``window`` seconds."""

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


def clamp(value: int, highest: int = MAX_COUNT) -> int:
    """Returns a number from a message within its possible range."""
    return max(0, min(value, highest))
