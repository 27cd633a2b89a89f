"""Open transactions and their pinned connections."""

from collections import OrderedDict
from dataclasses import dataclass

from bronzemoor_core.actions import EmitLog, EmitMetric
from bronzemoor_core.blackboard import section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import ConnectionClosed, Tick
from bronzemoor_core.internal_events import (
    TransactionEnded,
    TransactionExpired,
    TransactionOpened,
    TransactionUsed,
)
from bronzemoor_core.positions import Position

# Ended transactions are remembered to answer a late commit correctly.
MAX_ENDED_TRANSACTIONS = 4_096


@dataclass(slots=True)
class Transaction:
    """An open transaction; it belongs to one organisation and one session.

    ``connection_ticket`` is the ticket under which its connection was granted,
    ``ticket`` the request that uses it, or 0; times are in seconds.
    """

    name: str
    connection_ticket: int
    endpoint_transaction_id: str
    connection: int
    member: str
    organisation: str
    database: str
    session: str
    position: Position
    opened_at: float
    used_at: float
    ticket: int = 0
    committing: bool = False


@section("transactions")
class Transactions:
    """Open transactions by id; ``ended`` records whether a commit had been sent."""

    __slots__ = ("ended", "open")

    def __init__(self) -> None:
        self.open: dict[str, Transaction] = {}
        self.ended: OrderedDict[str, bool] = OrderedDict()


@controller("transactions")
class TransactionController(Controller):
    """Owns the transactions section."""

    _section: Transactions

    @handles(TransactionOpened)
    def on_opened(self, now: float, event: TransactionOpened) -> list[object]:
        self._section.open[event.transaction] = Transaction(
            event.transaction,
            event.ticket,
            event.endpoint_transaction_id,
            event.connection,
            event.member,
            event.organisation,
            event.database,
            event.session,
            event.session_position,
            now,
            now,
        )
        return [self._open_gauge()]

    @handles(TransactionUsed)
    def on_used(self, now: float, event: TransactionUsed) -> None:
        transaction = self._section.open.get(event.transaction)
        if transaction is not None:
            transaction.ticket = event.ticket
            transaction.used_at = now
            transaction.committing = transaction.committing or event.commits

    @handles(TransactionEnded)
    def on_ended(self, now: float, event: TransactionEnded) -> list[object]:
        transaction = self._section.open.pop(event.transaction, None)
        if transaction is None:
            return []
        self._section.ended[event.transaction] = transaction.committing
        if len(self._section.ended) > MAX_ENDED_TRANSACTIONS:
            self._section.ended.popitem(last=False)
        return [self._open_gauge()]

    @handles(ConnectionClosed)
    def on_closed(self, now: float, event: ConnectionClosed) -> list[object]:
        """Ends a lost connection's idle transaction; the endpoint rolls it back."""
        return [
            TransactionEnded(transaction.name, False)
            for transaction in self._section.open.values()
            if transaction.connection == event.connection and not transaction.ticket
        ]

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[object]:
        items: list[object] = []
        for transaction in self._section.open.values():
            reason = self._exceeded_limit(now, transaction)
            if reason:
                fields = {"transaction": transaction.name, "limit": reason}
                items.append(EmitLog("warning", "transaction_expired", fields))
                items.append(TransactionExpired(transaction.name))
        return items

    def _exceeded_limit(self, now: float, transaction: Transaction) -> str:
        path = self._settings.data_path
        if transaction.committing:
            return ""
        if now - transaction.opened_at > path.transaction_limit:
            return "total"
        if not transaction.ticket and now - transaction.used_at > path.transaction_idle:
            return "idle"
        return ""

    def _open_gauge(self) -> EmitMetric:
        return EmitMetric("gauge", "transactions.open", float(len(self._section.open)))
