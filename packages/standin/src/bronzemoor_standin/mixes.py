"""Traffic mixes of a claims office and a textile wholesaler.

The request classes are those of the templates in examples/.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bronzemoor_standin.records import Balance, Row

Statement = tuple[str, list[Any]]

ARTICLES = 40
WAREHOUSES = ("sfax", "sousse")
_POSTING_CLASSES = {"pick": "pick-confirmation", "count": "count-correction"}
# Number of claims or orders whose ids all sessions of a database share.
MAX_SHARED_IDS = 500


@dataclass(slots=True)
class Operation:
    """A request or transaction of a user; ``statements`` run as a unit.

    The first column of every row that a statement returns is the request id, so that
    an answer to another request is detected. A write sets ``key`` to ``value``; a read
    returns the value of ``key`` in the second column of the last result.
    """

    name: str
    request_class: str
    statements: list[Statement]
    write: bool = False
    repeatable: bool = True
    in_transaction: bool = False
    rows: list[Row] = field(default_factory=list)
    key: str = ""
    value: Any = None


class User:
    """State of one session: the claims or orders that it has written.

    ``items`` maps the id of an own claim or order to its status. ``shared_ids`` holds
    ids that all sessions of the database read.
    """

    def __init__(self, name: str, rng: random.Random, shared_ids: list[str]) -> None:
        self.name = name
        self.rng = rng
        self.items: dict[str, str] = {}
        self.shared_ids = shared_ids

    def choose_item(self, status: str) -> str | None:
        """Returns a random own item with ``status``, or None."""
        found = [item for item, known in self.items.items() if known == status]
        return self.rng.choice(found) if found else None

    def record_result(self, operation: Operation, acknowledged: bool) -> None:
        """Stores the new status; an item whose write is in doubt is not used again."""
        item = operation.key.partition(":")[2]
        if not operation.write or not item:
            return
        if acknowledged:
            self.items[item] = operation.value
            self.shared_ids.append(item)
            del self.shared_ids[:-MAX_SHARED_IDS]
        else:
            self.items.pop(item, None)


Builder = Callable[[User, str], Operation | None]


@dataclass(slots=True)
class Mix:
    """Weighted operations, with the schema, tables and balances that they use."""

    name: str
    organisation: str
    schema: str
    tables: tuple[str, ...]
    weights: list[tuple[Builder, int]]
    seed: Callable[[str], Operation | None]
    balances: tuple[Balance, ...] = ()

    def choose_operation(self, user: User, request_id: str) -> Operation:
        """Chooses a random operation that is possible for ``user`` now."""
        builders = [builder for builder, _ in self.weights]
        weights = [weight for _, weight in self.weights]
        while True:
            builder = user.rng.choices(builders, weights)[0]
            operation = builder(user, request_id)
            if operation is not None:
                return operation


# --- claims


def _file_claim(user: User, request_id: str) -> Operation:
    claim, cents = f"c-{request_id}", user.rng.randrange(100, 60_000)
    flight = f"TP{user.rng.randrange(100, 2000)}"
    values = {
        "claim_id": claim,
        "passenger": f"João {user.name}",
        "flight": flight,
        "boarding_pass": f"M1 {request_id} 'ok' -- é",
        "amount_cents": cents,
        "request_id": request_id,
    }
    sql = (
        "INSERT INTO claims (claim_id, passenger, flight, boarding_pass, amount_cents,"
        " request_id, status) VALUES (?, ?, ?, ?, ?, ?, 'filed') RETURNING request_id"
    )
    return Operation(
        "file_claim",
        "file-claim",
        [(sql, list(values.values()))],
        write=True,
        rows=[Row("claims", values)],
        key=f"claim:{claim}",
        value="filed",
    )


def _airline_reply(user: User, request_id: str) -> Operation | None:
    claim = user.choose_item("filed")
    if claim is None:
        return None
    values = {"claim_id": claim, "request_id": request_id, "text": "accepted"}
    sql = (
        "INSERT INTO airline_replies (claim_id, request_id, text) VALUES (?, ?, ?)"
        " RETURNING request_id"
    )
    return Operation(
        "airline_reply",
        "airline-reply",
        [
            (sql, list(values.values())),
            (_SET_CLAIM_STATUS, ["accepted", claim, request_id]),
        ],
        write=True,
        in_transaction=True,
        rows=[Row("airline_replies", values)],
        key=f"claim:{claim}",
        value="accepted",
    )


def _payout(user: User, request_id: str) -> Operation | None:
    claim = user.choose_item("accepted")
    if claim is None:
        return None
    cents = user.rng.randrange(100, 60_000)
    values = {"claim_id": claim, "amount_cents": cents, "request_id": request_id}
    sql = (
        "INSERT INTO payouts (claim_id, amount_cents, request_id) VALUES (?, ?, ?)"
        " RETURNING request_id"
    )
    return Operation(
        "payout",
        "payout",
        [
            (sql, list(values.values())),
            (_SET_CLAIM_STATUS, ["paid", claim, request_id]),
        ],
        write=True,
        repeatable=False,
        rows=[Row("payouts", values)],
        key=f"claim:{claim}",
        value="paid",
    )


def _poll_claim(user: User, request_id: str) -> Operation:
    claim = user.rng.choice(user.shared_ids) if user.shared_ids else "c-none"
    return Operation(
        "poll_claim", "claim-status", [(_GET_CLAIM_STATUS, [request_id, claim])]
    )


def _read_own_claim(user: User, request_id: str) -> Operation | None:
    if not user.items:
        return None
    claim = user.rng.choice(list(user.items))
    statement = (_GET_CLAIM_STATUS, [request_id, claim])
    return Operation("read_own_claim", "agent-read", [statement], key=f"claim:{claim}")


_SET_CLAIM_STATUS = "UPDATE claims SET status = ? WHERE claim_id = ? RETURNING ?"
_GET_CLAIM_STATUS = "SELECT ?, (SELECT status FROM claims WHERE claim_id = ?) AS status"


# --- stock


def _order(user: User, request_id: str) -> Operation:
    order = f"o-{request_id}"
    values = {
        "order_id": order,
        "article": _article(user),
        "quantity": user.rng.randrange(1, 200),
        "request_id": request_id,
    }
    sql = (
        "INSERT INTO orders (order_id, article, quantity, request_id, status)"
        " VALUES (?, ?, ?, ?, 'placed') RETURNING request_id"
    )
    return Operation(
        "order",
        "order",
        [(sql, list(values.values()))],
        write=True,
        rows=[Row("orders", values)],
        key=f"order:{order}",
        value="placed",
    )


def _booking(user: User, request_id: str) -> Operation | None:
    order = user.choose_item("placed")
    if order is None:
        return None
    values = {"order_id": order, "carrier": "STM", "request_id": request_id}
    sql = (
        "INSERT INTO bookings (order_id, carrier, request_id) VALUES (?, ?, ?)"
        " RETURNING request_id"
    )
    update = "UPDATE orders SET status = ? WHERE order_id = ? RETURNING ?"
    return Operation(
        "booking",
        "consignment-booking",
        [(sql, list(values.values())), (update, ["booked", order, request_id])],
        write=True,
        repeatable=False,
        rows=[Row("bookings", values)],
        key=f"order:{order}",
        value="booked",
    )


def _catalogue(user: User, request_id: str) -> Operation:
    sql = "SELECT ?, article, title, price_cents FROM articles WHERE article = ?"
    return Operation("catalogue", "catalogue", [(sql, [request_id, _article(user)])])


def _read_own_order(user: User, request_id: str) -> Operation | None:
    if not user.items:
        return None
    order = user.rng.choice(list(user.items))
    sql = "SELECT ?, (SELECT status FROM orders WHERE order_id = ?) AS status"
    return Operation(
        "read_own_order",
        "order-desk-read",
        [(sql, [request_id, order])],
        key=f"order:{order}",
    )


def _pick(user: User, request_id: str) -> Operation:
    return _posting("pick", -user.rng.randrange(1, 20), user, request_id)


def _count(user: User, request_id: str) -> Operation:
    operation = _posting("count", user.rng.randrange(-50, 50), user, request_id)
    operation.in_transaction = True
    return operation


def _posting(kind: str, change: int, user: User, request_id: str) -> Operation:
    article, warehouse = _article(user), user.rng.choice(WAREHOUSES)
    values = {
        "article": article,
        "warehouse": warehouse,
        "change": change,
        "kind": kind,
        "request_id": request_id,
    }
    sql = (
        "INSERT INTO postings (article, warehouse, change, kind, request_id)"
        " VALUES (?, ?, ?, ?, ?) RETURNING request_id"
    )
    update = (
        "UPDATE stock SET on_hand = on_hand + ? WHERE article = ? AND warehouse = ?"
        " RETURNING ?"
    )
    return Operation(
        kind,
        _POSTING_CLASSES[kind],
        [
            (sql, list(values.values())),
            (update, [change, article, warehouse, request_id]),
        ],
        write=True,
        rows=[Row("postings", values)],
    )


def _article(user: User) -> str:
    return f"a{user.rng.randrange(ARTICLES)}"


def _seed_stock(request_id: str) -> Operation:
    """Inserts articles and empty stock; existing rows are kept."""
    names = [f"a{number}" for number in range(ARTICLES)]
    articles = [v for name in names for v in (name, f"Toile {name}", 1250)]
    stock = [v for name in names for warehouse in WAREHOUSES for v in (name, warehouse)]
    return Operation(
        "seed",
        "count-correction",
        [
            (_insert_sql("articles", "(?, ?, ?)", len(names)), articles),
            (_insert_sql("stock", "(?, ?, 0)", len(stock) // 2), stock),
        ],
        write=True,
    )


def _insert_sql(table: str, row: str, count: int) -> str:
    return f"INSERT OR IGNORE INTO {table} VALUES {', '.join([row] * count)}"


CLAIMS = Mix(
    "claims",
    "reclamar-voo",
    "claims",
    ("claims", "airline_replies", "payouts"),
    [
        (_poll_claim, 50),
        (_read_own_claim, 20),
        (_file_claim, 16),
        (_airline_reply, 8),
        (_payout, 6),
    ],
    seed=lambda request_id: None,
)
STOCK = Mix(
    "stock",
    "toile-sahel",
    "stock",
    ("orders", "bookings", "postings", "stock"),
    [
        (_catalogue, 50),
        (_read_own_order, 15),
        (_order, 14),
        (_booking, 6),
        (_pick, 10),
        (_count, 5),
    ],
    seed=_seed_stock,
    balances=(
        Balance("stock", ("article", "warehouse"), "on_hand", "postings", "change"),
    ),
)
MIXES = {mix.name: mix for mix in (CLAIMS, STOCK)}
