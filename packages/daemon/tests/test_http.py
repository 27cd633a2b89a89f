"""Tests of HTTP requests to the endpoint and back, and of their parsing."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzemoor_core.exceptions import InvalidRequest
from bronzemoor_daemon.parsing import (
    REQUEST_FIELDS,
    parse_announcement,
    parse_request,
)

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["sql", "params", "x"]), inner, max_size=3)
    ),
    max_leaves=8,
)


def test_payload_reaches_the_client_unchanged(
    pass_through_app, endpoint, connect, body
):
    """Guards against a result that is decoded, reordered or re-encoded in transit."""
    endpoint.payload = b'[{"columns": ["a"], "rows": [[1.0]], "row_count": 1}]'
    client = connect(pass_through_app)
    for _ in range(3):
        status, answer = client.post("/v1/statements", body())
        assert (status, answer["outcome"]) == (200, "done")
        assert answer["result"] == [{"columns": ["a"], "rows": [[1.0]], "row_count": 1}]
        assert (answer["session"], answer["served_by"]) == ("token", "m1")


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b"[" * 100_000,
        b'{"organisation": NaN}',
        {"statements": []},
        {"statements": "SELECT 1"},
        {"statements": [{"sql": 1}]},
        {"statements": [{"sql": "SELECT 1", "params": {}}]},
        {"statements": [{"sql": "SELECT 1", "params": [10**30]}]},
        {"statements": [{"sql": "SELECT \ud800"}]},
        {"organisation": 7},
        {"organisation": ""},
        {"session": ["x"]},
        {"deadline_ms": "soon"},
        {"deadline_ms": True},
        {"surprise": 1},
    ],
    ids=lambda value: str(value)[:30],
)
def test_bad_input_is_not_run_and_the_daemon_keeps_serving(
    pass_through_app, connect, body, bad
):
    """Guards against bad input that crashes a worker or is reported as unknown."""
    client = connect(pass_through_app)
    data = body(**bad) if isinstance(bad, dict) else bad
    status, answer = client.post("/v1/statements", data)
    assert (status, answer["outcome"]) == (400, "not_run")
    assert answer["code"] == "invalid_request"
    assert client.post("/v1/statements", body())[0] == 200


ANNOUNCEMENT = {
    "database": "claims-1",
    "member": "member-1",
    "address": "127.0.0.1:7000",
    "data_centre": "dc1",
    "role": "replica",
    "term": 1,
    "offset": 1,
    "incarnation": 1,
    "members": ["member-1"],
}


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:0"},
        {"address": "\ud800:80"},
        {"member": "\ud800"},
        {"data_centre": "\ud800"},
        {"members": ["member-1", "\ud800"]},
        {"unreachable": [""]},
        {"database": "d\r\n"},
        {"term": 2**63},
    ],
)
def test_an_announcement_that_no_message_can_carry_is_refused(changes):
    """Guards against one endpoint's announcement that ends the heartbeats to peers."""
    assert parse_announcement(json.dumps(ANNOUNCEMENT).encode()).term == 1
    with pytest.raises(InvalidRequest):
        parse_announcement(json.dumps({**ANNOUNCEMENT, **changes}).encode())


@given(st.dictionaries(st.sampled_from(sorted(REQUEST_FIELDS)), JSON), st.booleans())
def test_any_json_is_a_request_or_a_typed_error(fields, complete):
    """Guards against input that raises anything but ``InvalidRequest``."""
    if complete:
        fields = {"organisation": "o", "database": "d", "request_class": "c"} | fields
    body = json.dumps(fields).encode()
    for parse in (
        lambda: parse_request(body, "statements", 0.0, "dc1"),
        lambda: parse_request(body, "commit", 0.0, "dc1", "t1"),
        lambda: parse_announcement(body),
    ):
        try:
            parse()
        except InvalidRequest as error:
            assert error.code == "invalid_request"


@given(st.lists(st.tuples(st.text(min_size=1), st.lists(st.integers(0, 9)))))
def test_different_statements_have_different_digests(statements):
    """Guards against a request id reused with other statements but an equal digest."""

    def digest(listed):
        raw = [{"sql": f"s{sql}", "params": params} for sql, params in listed]
        fields = {"organisation": "o", "database": "d", "request_class": "c"}
        fields["statements"] = raw
        body = json.dumps(fields).encode()
        return parse_request(body, "statements", 0.0, "dc1").digest

    if statements:
        assert digest(statements) == digest(statements)
        assert digest(statements) != digest([*statements, ("x", [])])
        assert digest(statements) != digest([("x", [10]), *statements[1:]])
