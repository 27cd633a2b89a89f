"""The clock that all leases and deadlines use."""

from time import CLOCK_BOOTTIME, clock_gettime

# Upper bound for ages in the log, which may be infinite.
MAX_LOGGED_AGE_SECONDS = 3_600.0


def boottime() -> float:
    """Seconds since boot, which include suspension, unlike the monotonic clock."""
    return clock_gettime(CLOCK_BOOTTIME)


def logged_ms(age: float) -> int:
    """Returns an age in seconds as bounded milliseconds for the log."""
    return round(min(age, MAX_LOGGED_AGE_SECONDS) * 1_000)
