"""Tests of the calls to endpoints."""

from bronzemoor_core.calls import scoped_request_id
from bronzemoor_core.events import Request, Statement


def request(organisation, request_id):
    statements = (Statement("INSERT INTO t VALUES (1)"),)
    return Request(
        "statements", organisation, "shared", "order", request_id, statements, 1.0
    )


def test_organisations_that_share_a_database_do_not_share_request_ids():
    """Guards against answering with a result recorded for another organisation."""
    voo, toile = (scoped_request_id(request(name, "r1")) for name in ("voo", "toile"))
    assert voo != toile
    assert scoped_request_id(request("voo", "")) == ""
