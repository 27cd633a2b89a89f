"""The clock that all leases and deadlines use."""

from time import CLOCK_BOOTTIME, clock_gettime


def boottime() -> float:
    """Seconds since boot, which include suspension, unlike the monotonic clock."""
    return clock_gettime(CLOCK_BOOTTIME)
