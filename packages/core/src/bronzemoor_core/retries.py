"""Retry budgets and backoff."""

from random import Random

from bronzemoor_core.actions import EmitMetric
from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import RequestReceived
from bronzemoor_core.internal_events import RetryDecided, RetryWanted

# Allows some retries to an organisation with little traffic.
MIN_RETRIES_PER_SECOND = 1.0
# Bounds the burst of retries after an idle period.
MAX_TOKENS = 20.0


class RetryBudget:
    """Token bucket that gains ``ratio`` of a retry for each first attempt."""

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, now: float) -> None:
        self._tokens = MAX_TOKENS / 2
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        return self._tokens

    def deposit(self, ratio: float) -> None:
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def withdraw(self, now: float) -> bool:
        """Takes a token for one retry; returns whether there was one."""
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(MAX_TOKENS, self._tokens + elapsed * MIN_RETRIES_PER_SECOND)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(attempt: int, minimum: float, maximum: float, random: Random) -> float:
    """Returns the delay in seconds before retry ``attempt`` (from 1).

    It grows exponentially up to ``maximum``; half of it is random jitter.
    """
    ceiling = min(maximum, minimum * 2 ** min(attempt, 16))
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

    _section: Retries

    @handles(RequestReceived)
    def on_request(self, now: float, event: RequestReceived) -> None:
        organisation = event.request.organisation
        template = self._blackboard.configuration.templates.get(organisation)
        if template is not None:
            self._budget(now, organisation).deposit(template.retry_ratio)

    @handles(RetryWanted)
    def on_retry_wanted(self, now: float, event: RetryWanted) -> list[object]:
        allowed = event.free or self._budget(now, event.organisation).withdraw(now)
        path = self._settings.data_path
        wait = backoff(event.attempt, path.backoff_min, path.backoff_max, self._random)
        name = "retries" if allowed else "retries.denied"
        return [
            EmitMetric("counter", name),
            RetryDecided(event.ticket, allowed, now + wait),
        ]

    def _budget(self, now: float, organisation: str) -> RetryBudget:
        budgets = self._section.budgets
        if organisation not in budgets:
            budgets[organisation] = RetryBudget(now)
        return budgets[organisation]
