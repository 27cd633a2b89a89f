"""Retry budgets and backoff."""

from random import Random

from bronzemoor_core.actions import EmitMetric
from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import RequestReceived
from bronzemoor_core.internal_events import RetryDecided, RetryWanted

# Lets an organisation with little traffic retry at all.
FLOOR_PER_SECOND = 1.0
# Retries that may be saved up, so that an idle hour does not allow a burst of retries.
MAX_SAVED = 20.0


class RetryBudget:
    """Token bucket that earns ``ratio`` of a retry per first attempt."""

    __slots__ = ("_refilled_at", "_saved")

    def __init__(self, now: float) -> None:
        self._saved = MAX_SAVED / 2
        self._refilled_at = now

    @property
    def saved(self) -> float:
        return self._saved

    def earn(self, ratio: float) -> None:
        self._saved = min(MAX_SAVED, self._saved + ratio)

    def spend(self, now: float) -> bool:
        """Takes one retry; tells whether there was one."""
        elapsed = max(0.0, now - self._refilled_at)
        self._saved = min(MAX_SAVED, self._saved + elapsed * FLOOR_PER_SECOND)
        self._refilled_at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def backoff(attempt: int, low: float, high: float, random: Random) -> float:
    """Seconds to wait before retry ``attempt`` (from 1): exponential, half jittered."""
    ceiling = min(high, low * 2 ** min(attempt, 16))
    return ceiling / 2 + random.random() * ceiling / 2


@section("retries")
class Retries:
    """Retry budgets by organisation."""

    __slots__ = ("budgets",)

    def __init__(self) -> None:
        self.budgets: dict[str, RetryBudget] = {}


@controller("retries")
class RetryController(Controller):
    """Owns the retries section."""

    _own: Retries

    @handles(RequestReceived)
    def on_request(self, now: float, event: RequestReceived) -> None:
        organisation = event.request.organisation
        template = self._blackboard.configuration.templates.get(organisation)
        if template is not None:
            self._budget(now, organisation).earn(template.retry_ratio)

    @handles(RetryWanted)
    def on_retry_wanted(self, now: float, event: RetryWanted) -> list[object]:
        allowed = event.free or self._budget(now, event.organisation).spend(now)
        path = self._settings.data_path
        wait = backoff(event.attempt, path.backoff_min, path.backoff_max, self._random)
        name = "retries" if allowed else "retries.denied"
        return [
            EmitMetric("counter", name),
            RetryDecided(event.ticket, allowed, now + wait),
        ]

    def _budget(self, now: float, organisation: str) -> RetryBudget:
        budgets = self._own.budgets
        if organisation not in budgets:
            budgets[organisation] = RetryBudget(now)
        return budgets[organisation]
