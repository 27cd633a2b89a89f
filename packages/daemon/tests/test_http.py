"""The HTTP path from a request to the endpoint and back."""

import pytest


def test_payload_reaches_the_client_unchanged(passing, endpoint, connect, body):
    """Guards against a result that is decoded, reordered or re-encoded on the way."""
    endpoint.payload = b'[{"columns": ["a"], "rows": [[1.0]], "row_count": 1}]'
    client = connect(passing)
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
def test_bad_input_is_not_run_and_the_daemon_goes_on(passing, connect, body, bad):
    """Guards against bad input that crashes a worker or is reported as unknown."""
    client = connect(passing)
    data = body(**bad) if isinstance(bad, dict) else bad
    status, answer = client.post("/v1/statements", data)
    assert (status, answer["outcome"]) == (400, "not_run")
    assert answer["code"] == "invalid_request"
    assert client.post("/v1/statements", body())[0] == 200
