-- Claims ledger of an airline's claims office.
CREATE TABLE claims (
    claim_id TEXT PRIMARY KEY,
    passenger TEXT NOT NULL,
    flight TEXT NOT NULL,
    boarding_pass TEXT NOT NULL,
    status TEXT NOT NULL CHECK (status IN ('filed', 'accepted', 'rejected', 'paid')),
    amount_cents INTEGER NOT NULL CHECK (amount_cents >= 0),
    request_id TEXT NOT NULL
);
CREATE INDEX claims_by_request ON claims (request_id);
CREATE TABLE airline_replies (
    claim_id TEXT NOT NULL REFERENCES claims (claim_id),
    request_id TEXT NOT NULL,
    text TEXT NOT NULL
);
-- A payout is not repeatable. No unique index on the claim or the request hides a
-- second execution from the history checkers.
CREATE TABLE payouts (
    payout_id INTEGER PRIMARY KEY,
    claim_id TEXT NOT NULL,
    amount_cents INTEGER NOT NULL,
    request_id TEXT NOT NULL
);
CREATE INDEX payouts_by_request ON payouts (request_id);
