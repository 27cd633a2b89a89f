-- Stock ledger of a textile wholesaler.
CREATE TABLE articles (
    article TEXT PRIMARY KEY,
    title TEXT NOT NULL,
    price_cents INTEGER NOT NULL
);
CREATE TABLE stock (
    article TEXT NOT NULL,
    warehouse TEXT NOT NULL,
    on_hand INTEGER NOT NULL,
    PRIMARY KEY (article, warehouse)
) WITHOUT ROWID;
CREATE TABLE orders (
    order_id TEXT PRIMARY KEY,
    article TEXT NOT NULL,
    quantity INTEGER NOT NULL,
    status TEXT NOT NULL,
    request_id TEXT NOT NULL
);
-- A booking is not repeatable. No unique index on the order or the request hides a
-- second execution from the history checkers.
CREATE TABLE bookings (
    booking_id INTEGER PRIMARY KEY,
    order_id TEXT NOT NULL,
    carrier TEXT NOT NULL,
    request_id TEXT NOT NULL
);
CREATE INDEX bookings_by_request ON bookings (request_id);
-- Pick confirmations and count corrections; each counts once.
CREATE TABLE postings (
    posting_id INTEGER PRIMARY KEY,
    article TEXT NOT NULL,
    warehouse TEXT NOT NULL,
    change INTEGER NOT NULL,
    kind TEXT NOT NULL CHECK (kind IN ('pick', 'count')),
    request_id TEXT NOT NULL
);
CREATE INDEX postings_by_request ON postings (request_id);
