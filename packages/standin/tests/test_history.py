"""Tests of the history checkers: each finds its violation and accepts a valid run."""

from copy import deepcopy

import pytest

from bronzemoor_standin.history import CHECKERS, check
from bronzemoor_standin.records import (
    FAILED,
    LOST,
    NOT_RUN,
    UNKNOWN,
    Balance,
    Event,
    History,
    Request,
    Row,
    decode,
    encode,
)


def request(request_id, at, **fields):
    result = [{"columns": ["echo"], "rows": [[request_id]], "row_count": 1}]
    return Request(
        fields.pop("session", "s1"),
        "claims",
        request_id,
        daemon="d1",
        sent_at=at,
        answered_at=at + 0.1,
        statements=1,
        result=result,
        echo=request_id,
        **fields,
    )


def row(table, request_id, **values):
    return Row(table, {"request_id": request_id} | values)


def clean_history():
    """Returns a history without violations and its tables."""
    pay = [row("payouts", "pay", cents=7)]
    pick = [row("postings", "tx", article="a", change=-2)]
    requests = [
        request("file", 1, write=True, served_by="m1", wrote={"c1": "filed"},
                rows=[row("claims", "file", flight="F1")]),
        request("read", 2, read={"c1": "filed"}),
        request("pay", 3, write=True, repeatable=False, outcome=UNKNOWN, rows=pay),
        request("pay", 4, write=True, repeatable=False, repeated=True, rows=pay),
        request("busy", 5, write=True, outcome=NOT_RUN, rows=[row("claims", "busy")]),
        request("b", 6, kind="begin", transaction="tx", served_by="m2"),
        request("st", 7, transaction="tx", write=True, rows=pick, wrote={"p": "tx"}),
        request("r2", 7.05, session="s2", read={"p": None}),
        request("cm", 8, kind="commit", transaction="tx", served_by="m2"),
        request("r3", 9, read={"p": "tx"}, served_by="m3"),
        request("early", 5.1, write=True, served_by="m2"),
        request("gone", 10, transaction="t2", write=True, wrote={"p": "t2"},
                rows=[row("postings", "t2", article="a", change=5)]),
        request("last", 20, outcome=LOST),
    ]  # fmt: skip
    events = [
        Event("promoted", 0, "m1", "claims", term=1),
        Event("promoted", 5.5, "m2", "claims", term=2),
        Event("leaving", 7.5, "m3", "claims"),
        Event("stopping", 15, "d1", until=16),
        Event("version_accepted", 1, organisation="o", version=2),
        Event("version_seen", 2, "d1", organisation="o", version=1),
        Event("version_seen", 3, "d1", organisation="o", version=2),
        Event("version_seen", 9, "d2", organisation="o", version=1, stale=True),
    ]
    tables = {
        "claims": [{"request_id": "file", "flight": "F1", "status": "paid"}],
        "payouts": [{"request_id": "pay", "cents": 7}],
        "postings": [
            {"request_id": "seed", "article": "a", "change": 10},
            {"request_id": "tx", "article": "a", "change": -2},
        ],
        "stock": [{"article": "a", "on_hand": 8}],
    }
    balance = Balance("stock", ("article",), "on_hand", "postings", "change")
    return History(requests, events, [balance]), {"claims": tables}


def find(history, request_id):
    return next(r for r in history.requests if r.request_id == request_id)


def stale_read(history, tables):
    find(history, "read").read["c1"] = None


def read_of_an_overwritten_value(history, tables):
    paid = request("paid", 1.5, write=True, wrote={"c1": "paid"})
    history.requests.append(paid)


def lost_write(history, tables):
    tables["claims"].clear()


def acknowledged_by_a_replaced_primary(history, tables):
    find(history, "cm").served_by = "m1"


def partial_transaction(history, tables):
    find(history, "st").rows.append(row("payouts", "tx", cents=1))


def uncommitted_rows(history, tables):
    tables["postings"].append({"request_id": "t2", "article": "a", "change": 5})
    tables["stock"][0]["on_hand"] += 5


def dirty_read(history, tables):
    find(history, "r2").read["p"] = "tx"


def read_of_a_rolled_back_value(history, tables):
    find(history, "r3").read["p"] = "t2"


def wrong_sum(history, tables):
    tables["stock"][0]["on_hand"] = 10


def answer_to_another_request(history, tables):
    find(history, "read").result[0]["rows"] = [["file"]]


def truncated_answer(history, tables):
    find(history, "read").result[0]["row_count"] = 2


def missing_result(history, tables):
    find(history, "read").result = []


def not_run_but_stored(history, tables):
    tables["claims"].append({"request_id": "busy"})


def failed_but_stored(history, tables):
    find(history, "busy").outcome = FAILED
    tables["claims"].append({"request_id": "busy"})


def duplicate_payout(history, tables):
    tables["payouts"].append({"request_id": "pay", "cents": 7})


def altered_value(history, tables):
    tables["payouts"][0]["cents"] = 8


def work_for_a_leaving_member(history, tables):
    history.requests.append(request("late", 9.6, served_by="m3"))


def interrupted_by_a_stop(history, tables):
    history.requests.append(request("cut", 14.95, outcome=LOST))


def reverted_version(history, tables):
    history.events.append(Event("version_seen", 3.5, "d1", organisation="o", version=1))


def late_version(history, tables):
    history.events.append(Event("version_seen", 4.5, "d3", organisation="o", version=1))


PLANTED = {
    "P1 read_your_writes": [stale_read, read_of_an_overwritten_value],
    "P2 no_deposed_ack": [lost_write, acknowledged_by_a_replaced_primary],
    "P3 transaction_isolation": [
        partial_transaction,
        uncommitted_rows,
        dirty_read,
        read_of_a_rolled_back_value,
        wrong_sum,
    ],
    "P4 whole_answer": [answer_to_another_request, truncated_answer, missing_result],
    "P5 not_run_is_true": [not_run_but_stored, failed_but_stored],
    "P6 at_most_once": [duplicate_payout],
    "exactly_as_written": [altered_value],
    "P7 leaving_gets_no_work": [work_for_a_leaving_member],
    "P8 graceful_stop": [interrupted_by_a_stop],
    "P9 configuration_never_reverts": [reverted_version, late_version],
}


def test_clean_history_passes():
    """Guards against checkers that report violations in a valid history."""
    history, tables = clean_history()
    assert check(history, tables) == []
    assert set(PLANTED) == set(CHECKERS)


@pytest.mark.parametrize(
    ("guarantee", "plant"), [(g, p) for g, plants in PLANTED.items() for p in plants]
)
def test_planted_violation_is_found(guarantee, plant):
    """Guards against a checker that misses a violation or reports another guarantee."""
    history, tables = clean_history()
    before = deepcopy(tables)
    plant(history, tables["claims"])
    assert {v.guarantee for v in check(history, tables)} >= {guarantee}
    assert check(history, tables, only=guarantee)
    assert check(*clean_history(), only=guarantee) == []
    assert before == clean_history()[1]


def test_history_survives_encoding():
    """Guards against a recorded history that changes when it is written and read."""
    history, tables = clean_history()
    assert decode(encode(history)) == history
