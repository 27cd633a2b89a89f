"""Tests of the administration interface over HTTP, with the real core."""

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
    deadline = time.monotonic() + 5
    while not application.is_ready:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    return application


def change(**fields):
    return {
        "organisation": "reclamar-voo",
        "body": TEMPLATE,
        "expect_version": 0,
        "change_id": "c1",
    } | fields


def test_commands_answer_with_their_code_and_status(ready, connect):
    """Guards against an error that is reported to operators as success."""
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


def test_history_records_the_operator_and_the_time(ready, connect):
    """Guards against a history that does not say who changed what and when."""
    client = connect(ready)
    client.post("/v1/admin/template.apply", change())
    organisation = {"organisation": "reclamar-voo"}
    _, answer = client.post("/v1/admin/template.history", organisation)
    assert answer["code"] == "ok"
    entry = str(answer)
    assert "anonymous" in entry
    assert str(int(time.time()))[:6] in entry


def test_status_describes_this_daemon(ready, connect):
    """Guards against a status without the figures of the process."""
    status, answer = connect(ready).get("/v1/admin/status")
    assert status == 200
    assert answer["daemon"]["name"] == "vm-1"
    assert answer["daemon"]["ready"] is True
    assert "counters" in answer["metrics"]


def test_explain_shows_the_hops_of_a_sampled_trace(ready, connect, body):
    """Guards against traces that operators cannot read."""
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
    """Guards against unauthenticated access by anyone who can reach the port."""
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


def test_the_admin_interface_can_have_its_own_address(start, settings, connect):
    """Guards against an administration interface that clients can also reach."""
    settings.listen.admin = "127.0.0.1:0"
    application = start(None, settings)
    client = connect(application)
    assert client.get("/v1/admin/status")[0] == 404
    assert client.get("/live")[0] == 200
    operators = connect(application, "admin_address")
    assert operators.get("/v1/admin/status")[0] == 200
    assert operators.post("/v1/statements", {})[0] == 404


def test_an_operator_can_stop_the_daemon(ready, connect):
    """Guards against a drain command that the daemon does not handle."""
    ready.settings.node.drain.delay = 0.3
    client = connect(ready)
    assert client.post("/v1/admin/drain.daemon", {})[1]["code"] == "ok"
    deadline = time.monotonic() + 3
    while client.get("/v1/admin/status")[1]["drain"]["stage"] == "serving":
        assert time.monotonic() < deadline
    assert ready.wait() == 0


def test_the_page_escapes_every_text():
    """Guards against script injection through a name in the status."""
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
