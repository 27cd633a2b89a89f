"""The operators' interface over HTTP with the real core."""

import time
from base64 import b64encode

import pytest

from bronzemoor_daemon.admin import COMMANDS, render_page

TEMPLATE = {
    "databases": ["claims-1"],
    "classes": {"claim": {"kind": "write"}, "status": {"kind": "read"}},
}


@pytest.fixture
def ready(start):
    application = start()
    until = time.monotonic() + 5
    while not application.is_ready:
        assert time.monotonic() < until
        time.sleep(0.01)
    return application


def change(**more):
    return {
        "organisation": "reclamar-voo",
        "body": TEMPLATE,
        "expect_version": 0,
        "change_id": "c1",
    } | more


def test_commands_answer_with_their_code_and_status(ready, connect):
    """Guards against an error code that reaches operators as success."""
    client = connect(ready)
    assert client.get("/ready") == (200, {"ready": True})
    status, answer = client.post("/v1/admin/template.apply", change())
    assert (status, answer["code"], answer["version"]) == (200, "ok", 1)
    assert client.post("/v1/admin/template.apply", change())[1] == answer
    status, answer = client.post(
        "/v1/admin/template.apply", change(change_id="c2", expect_version=0)
    )
    assert (status, answer["code"]) == (409, "version_conflict")
    status, answer = client.post("/v1/admin/template.apply", {"organisation": 1})
    assert (status, answer["code"]) == (400, "invalid_request")
    status, answer = client.post("/v1/admin/no.such", {})
    assert (status, answer["code"]) == (404, "unknown_command")
    status, answer = client.post("/v1/admin/template.list", b"[")
    assert (status, answer["code"]) == (400, "invalid_request")


def test_the_operator_and_the_time_go_with_a_change(ready, connect):
    """Guards against a history that does not say who changed what and when."""
    client = connect(ready)
    client.post("/v1/admin/template.apply", change())
    organisation = {"organisation": "reclamar-voo"}
    _, answer = client.post("/v1/admin/template.history", organisation)
    assert answer["code"] == "ok"
    entry = str(answer)
    assert "anonymous" in entry
    assert str(int(time.time()))[:6] in entry


def test_status_tells_about_this_daemon(ready, connect):
    """Guards against a status without the figures of the process."""
    status, answer = connect(ready).get("/v1/admin/status")
    assert status == 200
    assert answer["daemon"]["name"] == "vm-1"
    assert answer["daemon"]["ready"] is True
    assert "counters" in answer["metrics"]


def test_explain_shows_the_hops_of_a_sampled_trace(ready, connect, body):
    """Guards against traces that nobody can look at."""
    client = connect(ready)
    trace_id = "a" * 32
    parent = {"traceparent": f"00-{trace_id}-{'b' * 16}-01"}
    _, answer = client.post("/v1/statements", body(), parent)
    assert answer["trace_id"] == trace_id
    assert answer["code"] == "unknown_organisation"
    _, explained = client.post("/v1/admin/explain", {"trace_id": trace_id})
    assert [span["name"] for span in explained["spans"]][0] == "http:statements"
    status, answer = client.post("/v1/admin/explain", {"trace_id": "none"})
    assert (status, answer["code"]) == (404, "unknown_trace")


def test_operators_need_their_token(start, settings, connect):
    """Guards against changes by anybody who reaches the port."""
    settings.listen.operators = {"ana": "secret"}
    client = connect(start(None, settings))
    assert client.get("/v1/admin/status")[0] == 401
    for header in ("Bearer wrong", "Basic secret", "secret", "Bearer "):
        headers = {"Authorization": header}
        assert client.get("/v1/admin/status", headers)[0] == 401
    headers = {"Authorization": "Bearer secret"}
    assert client.get("/v1/admin/status", headers)[0] == 200
    assert client.get("/")[0] == 401
    headers = {"Authorization": "Basic " + b64encode(b"ana:secret").decode()}
    assert client.get("/", headers)[0] == 200


def test_operators_may_have_an_address_of_their_own(start, settings, connect):
    """Guards against an admin interface that clients can reach as well."""
    settings.listen.admin = "127.0.0.1:0"
    application = start(None, settings)
    client = connect(application)
    assert client.get("/v1/admin/status")[0] == 404
    assert client.get("/live")[0] == 200
    operators = connect(application, "admin_address")
    assert operators.get("/v1/admin/status")[0] == 200
    assert operators.post("/v1/statements", {})[0] == 404


def test_an_operator_can_stop_the_daemon(ready, connect):
    """Guards against a drain command that the daemon does not know."""
    ready.settings.node.drain.delay = 0.3
    client = connect(ready)
    assert client.post("/v1/admin/drain.daemon", {})[1]["code"] == "ok"
    until = time.monotonic() + 3
    while client.get("/v1/admin/status")[1]["drain"]["stage"] == "serving":
        assert time.monotonic() < until
    assert ready.wait() == 0


def test_the_page_escapes_every_text():
    """Guards against a member's name that runs as a script in a browser."""
    page = render_page("<vm>", {"<b>": ["<i>", {"x": "<script>"}]})
    assert "<script>" not in page
    assert "&lt;script&gt;" in page
    assert "&lt;vm&gt;" in page


def test_unknown_paths_are_not_found(ready, connect):
    """Guards against a path that falls through to another handler."""
    client = connect(ready)
    assert client.get("/v1/nothing")[0] == 404
    assert client.get("/v1/statements")[1]["code"] == "method_not_allowed"
    assert client.post("/v1/transactions/x/y", {})[1]["code"] == "not_found"
    status, page = client.get("/")
    assert status == 200
    assert "Bronzemoor vm-1" in page


def test_every_command_of_the_core_is_known():
    """Guards against a command of the core that the daemon answers with 404."""
    from bronzemoor_core import operations, state

    assert set(state.ARGUMENTS) | set(operations.ARGUMENTS) <= COMMANDS
