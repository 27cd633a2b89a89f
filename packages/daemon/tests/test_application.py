"""Tests of a complete daemon with the real core and a stand-in group."""

import threading
import time

import pytest

from bronzemoor_core.settings import DrainSettings
from bronzemoor_daemon.application import make_application
from bronzemoor_daemon.embedded import EmbeddedSystem
from bronzemoor_standin.group import Group

TEMPLATE = {
    "databases": ["claims-1"],
    "classes": {"claim": {"kind": "write"}, "status": {"kind": "read"}},
}
INSERT = "INSERT INTO claims VALUES (?, 'p', 'f', 'b', 'filed', 1, 'r')"
COUNT = {"sql": "SELECT COUNT(*) FROM claims"}


@pytest.fixture
def serving(settings):
    """An application that serves the database of a started group."""
    settings.node.drain = DrainSettings(0.1, 0.5, 0.5)
    application = make_application(settings)
    application.start()
    host, port = application.http_address
    group = Group("claims-1", daemons=[f"{host}:{port}"], schema="claims")
    group.start()
    yield application
    application.kill()
    group.stop()


@pytest.fixture
def client(serving, connect, body):
    client = connect(serving)
    change = {"organisation": "reclamar-voo", "body": TEMPLATE, "expect_version": 0}
    deadline = time.monotonic() + 5
    while True:
        client.post("/v1/admin/template.apply", {**change, "change_id": "c1"})
        read = body(request_class="status", statements=[COUNT])
        if client.post("/v1/statements", read)[0] == 200:
            return client
        assert time.monotonic() < deadline
        time.sleep(0.02)


def insert(claim):
    return [{"sql": INSERT, "params": [claim]}]


def begin(client, body):
    request = body(request_id="begin")
    del request["statements"]
    status, begun = client.post("/v1/transactions", request)
    assert (status, begun["outcome"]) == (200, "done"), begun
    return begun


def test_several_statements_are_atomic(client, body):
    """Guards against a failed batch that is partly applied."""
    batch = insert("c1") + insert("c1")
    status, answer = client.post("/v1/statements", body(statements=batch))
    assert (status, answer["code"]) == (200, "statement_failed")
    batch = insert("c2") + insert("c3")
    _, answer = client.post("/v1/statements", body(request_id="r2", statements=batch))
    assert len(answer["result"]) == 2
    read = body(request_class="status", statements=[COUNT], session=answer["session"])
    assert client.post("/v1/statements", read)[1]["result"][0]["rows"] == [[2]]


def test_a_transaction_over_http_commits(client, body):
    """Guards against transactions that lose their connection between requests."""
    begun = begin(client, body)
    inside = {"transaction": begun["transaction"], "session": begun["session"]}
    _, answer = client.post("/v1/statements", body(statements=insert("t1"), **inside))
    assert answer["outcome"] == "done", answer
    end = body(request_id="commit", session=begun["session"])
    del end["statements"]
    path = f"/v1/transactions/{begun['transaction']}/commit"
    status, answer = client.post(path, end)
    assert (status, answer["outcome"]) == (200, "done"), answer
    read = body(request_class="status", statements=[COUNT], session=answer["session"])
    assert client.post("/v1/statements", read)[1]["result"][0]["rows"] == [[1]]


def test_forged_tokens_and_reused_ids_are_refused(client, body):
    """Guards against a forged session, and a request id reused by another request."""
    status, answer = client.post("/v1/statements", body(session="forged"))
    assert (status, answer["code"]) == (400, "invalid_session_token")
    assert client.post("/v1/statements", body(statements=insert("a")))[0] == 200
    status, answer = client.post("/v1/statements", body(statements=insert("b")))
    assert (status, answer["code"]) == (409, "request_id_reused")


def test_an_open_transaction_is_rolled_back_by_a_stop(serving, client, body):
    """Guards against a stop that never ends or reports success after a rollback."""
    begun = begin(client, body)
    started = time.monotonic()
    statuses = []
    thread = threading.Thread(target=lambda: statuses.append(serving.stop()))
    thread.start()
    time.sleep(0.2)
    request = body(request_id="late")
    del request["statements"]
    assert client.post("/v1/transactions", request)[1]["code"] == "draining"
    thread.join(5)
    assert statuses == [1]
    assert 0.6 < time.monotonic() - started < 3
    assert begun["transaction"]


def test_a_stop_lets_a_request_in_progress_finish(serving, client, body):
    """Guards against a request that is cut off by a graceful stop."""
    answers = []

    def send_requests():
        for number in range(60):
            claim = f"w{number}"
            request = body(request_id=claim, statements=insert(claim))
            answers.append(client.post("/v1/statements", request))
            if client.headers["Connection"] == "close":
                return
            time.sleep(0.005)

    thread = threading.Thread(target=send_requests)
    thread.start()
    time.sleep(0.1)
    assert serving.stop() == 0
    thread.join(5)
    assert {(status, answer["outcome"]) for status, answer in answers} == {
        (200, "done")
    }


def test_writes_survive_the_loss_of_control_leader_and_primary(tmp_path):
    """Guards against a failover that needs the former control leader, and against a
    control member that cannot restart from its data folder."""
    system = EmbeddedSystem(
        daemons=4,
        control=3,
        data_folder=lambda name: str(tmp_path / name) if name != "vm-4" else "",
    )
    template = TEMPLATE | {"connections": 20}
    try:
        system.start()
        system.apply_template("reclamar-voo", template)
        client = system.client("reclamar-voo")
        assert client.write(3, "claim", INSERT, ["c1"], "r1")["outcome"] == "done"
        roles = {
            name: daemon.driver.node.blackboard.log.role
            for name, daemon in system.daemons.items()
        }
        leader = next(name for name, role in roles.items() if role == "leader")
        primary = system.primary
        system.daemons[leader].kill()
        system.members[primary].kill()
        deadline = time.monotonic() + 5
        while client.run(3, "claim", INSERT, ["c2"], "r2")["outcome"] != "done":
            assert time.monotonic() < deadline
        rows = client.run(3, "status", COUNT["sql"])["result"][0]["rows"]
        assert rows == [[2]]
        system.restart_daemon(leader)
        system.wait_for(lambda: system.daemons[leader].is_ready)
    finally:
        system.stop()
