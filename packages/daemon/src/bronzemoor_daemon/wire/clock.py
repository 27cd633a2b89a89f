"""The clock of every lease and deadline."""

from time import CLOCK_BOOTTIME, clock_gettime


def boottime() -> float:
    """Seconds that count suspension of the machine, unlike the monotonic clock."""
    return clock_gettime(CLOCK_BOOTTIME)
