"""Admits operations of organisations with a quota, at a proxy."""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from bronzemoor_core.messages import QuotaGrant, QuotaReport
from bronzemoor_core.wire import statements as st
from bronzemoor_core.wire.deployment import Deployment, Organisation
from bronzemoor_core.wire.quotas import Token, TokenPurse
from bronzemoor_core.wire.quotasettings import QuotaSettings
from bronzemoor_core.wire.statements import Answer
from bronzemoor_daemon.wire.clock import boottime, logged_ms
from bronzemoor_daemon.wire.metrics import WireMetrics

# Minimum interval between reports while operations wait for a token.
POLL_INTERVAL_SECONDS = 0.1
# Share of the statement timeout that an operation may wait for a token.
WAIT_SHARE = 0.5
# Organisations that have a metric of their own; the others are counted together.
MAX_COUNTED_ORGANISATIONS = 8
OTHER_ORGANISATIONS = "other"

Waiters = deque["asyncio.Future[Token | None]"]


class Permit:
    """Allows one operation. It is spent when the operation is first sent."""

    __slots__ = ("caller", "is_spent", "token")

    def __init__(self, caller: str, token: Token | None = None) -> None:
        self.caller = caller
        self.token = token
        # Operations without a limit need no token.
        self.is_spent = token is None


class QuotaGate:
    """Takes tokens for operations; those without one wait for the next grant."""

    def __init__(
        self,
        settings: QuotaSettings | None,
        send_report: Callable[[], None],
        report: Callable[..., None],
        metrics: WireMetrics,
        random: Random,
    ) -> None:
        self._settings = settings
        self._send_report = send_report
        self._report = report
        self._metrics = metrics
        self._random = random
        self._purse = TokenPurse(settings) if settings else None
        self._limited: dict[str, Organisation] = {}
        self._counted: frozenset[str] = frozenset()
        self._waiters: dict[str, Waiters] = {}
        self._polled_at = float("-inf")
        self._poll_timer: asyncio.TimerHandle | None = None

    def set_deployment(self, deployment: Deployment) -> None:
        """Applies the organisations of a new deployment."""
        organisations = deployment.organisations.values()
        limited = [item for item in organisations if item.rate is not None]
        limited.sort(key=lambda item: -(item.rate or 0.0))
        self._limited = {item.name: item for item in limited}
        self._counted = frozenset(
            item.name for item in limited[:MAX_COUNTED_ORGANISATIONS]
        )

    def expect(self, caller: str) -> None:
        """Asks for a token, since a session of the organisation was opened."""
        if self._purse is not None and caller in self._limited:
            self._purse.expect(boottime(), caller)

    # --- operations

    async def acquire(
        self, request: bytes, caller: str, timeout: float
    ) -> Permit | Answer:
        """Returns a permit, or the answer to an operation that is refused.

        ``timeout`` is that of the statement.
        """
        purse = self._purse
        if purse is None or caller not in self._limited:
            return Permit(caller)
        now = boottime()
        purse.arrived(now, caller)
        token = None
        if caller not in self._waiters:
            token = purse.reserve(now, caller)
        reason = "exhausted"
        if token is None and not purse.exhausted_for(now, caller):
            token, reason = await self._wait(purse, caller, timeout * WAIT_SHARE)
        if token is None:
            return self._refuse(purse, request, caller, reason, now)
        return Permit(caller, token)

    def spend(self, permit: Permit) -> bool:
        """Spends a permit before its operation is sent.

        An expired token is replaced; returns whether there was another one.
        """
        purse = self._purse
        while not permit.is_spent:
            assert purse is not None
            now = boottime()
            if permit.token is None:
                return False
            if purse.spend(now, permit.caller, permit.token):
                permit.is_spent = True
                if purse.is_report_due(permit.caller):
                    self._schedule_poll()
            else:
                permit.token = purse.reserve(now, permit.caller)
        return True

    def release(self, permit: Permit) -> None:
        """Returns a permit whose operation was not sent."""
        if not permit.is_spent and permit.token is not None:
            assert self._purse is not None
            permit.is_spent = True
            self._purse.release(boottime(), permit.caller, permit.token)

    async def _wait(
        self, purse: TokenPurse, caller: str, timeout: float
    ) -> tuple[Token | None, str]:
        """Returns a token or why there is none."""
        waiter: asyncio.Future[Token | None]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(caller, deque()).append(waiter)
        purse.wait(boottime(), caller, 1)
        self._schedule_poll()
        try:
            async with asyncio.timeout(timeout):
                return await waiter, "exhausted"
        except TimeoutError:
            if waiter.done() and not waiter.cancelled():
                return waiter.result(), "exhausted"
            return None, "no grant"
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                token = waiter.result()
                if token is not None:
                    purse.release(boottime(), caller, token)
            raise
        finally:
            purse.wait(boottime(), caller, -1)
            waiters = self._waiters.get(caller)
            if waiters is not None and waiter in waiters:
                waiters.remove(waiter)
                if not waiters:
                    del self._waiters[caller]

    def _refuse(
        self,
        purse: TokenPurse,
        request: bytes,
        caller: str,
        reason: str,
        arrived_at: float,
    ) -> Answer:
        assert self._settings is not None
        now = boottime()
        due = purse.exhausted_for(now, caller)
        # Clients that were refused together must not return together.
        retry_after = due + self._random.random() * self._settings.window
        retry_after_ms = max(1, round(retry_after * 1_000))
        limit = self._limited.get(caller)
        self._metrics.refused_operations.add("quota")
        counted = caller if caller in self._counted else OTHER_ORGANISATIONS
        self._metrics.quota_refusals.add(counted)
        self._report(
            "info",
            "quota_refused",
            request=request.decode(errors="replace"),
            organisation=caller,
            reason=reason,
            rate=limit.rate if limit else None,
            burst=limit.burst if limit else None,
            demand=round(purse.demand(caller), 1),
            held=purse.held(now, caller),
            due_ms=round(due * 1_000),
            informed_ms=logged_ms(purse.informed_age(now, caller)),
            waited_ms=round((now - arrived_at) * 1_000),
            retry_after_ms=retry_after_ms,
            term=purse.term,
        )
        return Answer(error=st.BUSY, message=b"retry_after_ms=%d" % retry_after_ms)

    # --- messages

    def build_report(self, now: float, sequence: int) -> list[QuotaReport]:
        """Returns what a report to the control leader says of quotas."""
        self._polled_at = now
        return self._purse.build_report(now, sequence) if self._purse else []

    def apply_grant(
        self,
        now: float,
        term: int,
        sequence: int,
        expires: float,
        items: list[QuotaGrant],
    ) -> bool:
        """Applies the leader's answer to a report and serves operations that wait.

        Returns whether a new leader needs a report soon.
        """
        purse = self._purse
        if purse is None:
            return False
        is_new_term = purse.apply_grant(now, term, sequence, expires, items)
        for caller in list(self._waiters):
            self._serve(purse, now, caller)
        return is_new_term

    def _serve(self, purse: TokenPurse, now: float, caller: str) -> None:
        waiters = self._waiters[caller]
        while waiters:
            if waiters[0].done():
                waiters.popleft()
                continue
            token = purse.reserve(now, caller)
            if token is None and not purse.exhausted_for(now, caller):
                return
            waiters.popleft().set_result(token)
        del self._waiters[caller]

    def _schedule_poll(self) -> None:
        if self._poll_timer is None:
            delay = self._polled_at + POLL_INTERVAL_SECONDS - boottime()
            loop = asyncio.get_running_loop()
            self._poll_timer = loop.call_later(max(0.0, delay), self._poll)

    def _poll(self) -> None:
        self._poll_timer = None
        now = boottime()
        if now - self._polled_at >= POLL_INTERVAL_SECONDS:
            # Nothing is sent while no leader is known.
            self._polled_at = now
            self._send_report()
        if self._waiters:
            self._schedule_poll()


def make_quota_gate(
    settings: QuotaSettings | None,
    send_report: Callable[[], None],
    report: Callable[..., Any],
    metrics: WireMetrics,
) -> QuotaGate:
    """Makes a gate, which admits everything without ``settings``."""
    return QuotaGate(settings, send_report, report, metrics, Random())
