"""Tests of announcements to daemons."""

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from bronzemoor_standin.group import Group

FIELDS = {
    "database", "member", "address", "data_centre", "role", "term", "offset",
    "incarnation", "members", "leaving", "slots", "connections", "history",
    "unreachable",
}  # fmt: skip


@pytest.fixture
def daemon():
    """A fake daemon; ``received`` holds the announcements, ``clients`` the ports."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):  # noqa: N802
            body = self.rfile.read(int(self.headers["Content-Length"]))
            server.received.append(json.loads(body))
            server.clients.add(self.client_address)
            self.send_response(200)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    server.received, server.clients = [], set()
    server.address = f"127.0.0.1:{server.server_address[1]}"
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


def test_announcements_are_complete_periodic_and_on_one_connection(daemon, eventually):
    """Guards against a topology that daemons build from incomplete announcements."""
    silent = socket.create_server(("127.0.0.1", 0))
    dead = f"127.0.0.1:{silent.getsockname()[1]}"
    with Group(data_centres=["dc1"], daemons=[dead, daemon.address], announce_ms=5):
        eventually(lambda: len(daemon.received) > 5)
    silent.close()
    last = daemon.received[-1]
    assert set(last) == FIELDS
    assert (last["role"], last["term"], last["members"]) == ("primary", 1, ["m1"])
    assert len(daemon.clients) == 1


def test_change_is_announced_at_once(daemon, eventually, call):
    """Guards against a change that daemons learn only after the interval."""
    settings = {"daemons": [daemon.address], "announce_ms": 60_000}
    with Group(data_centres=["dc1"], **settings) as group:
        eventually(lambda: daemon.received)
        member = group.members["m1"]
        member.leave()
        eventually(lambda: daemon.received[-1]["leaving"])
        call(member).order("fence", 2)
        eventually(lambda: daemon.received[-1]["role"] == "deposed")
        member.faults.cut_daemons = True
        count = len(daemon.received)
        member.announce_now()
    assert len(daemon.received) == count
