"""Child processes of the benchmarks: ``python -m bench.processes ROLE JSON``.

A child prints its address in one line and exits when its standard input closes, so
that no child outlives the benchmark.
"""

import json
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.client import HTTPConnection
from threading import Thread
from time import monotonic, sleep
from typing import Any

START_TIMEOUT_SECONDS = 10.0
ORGANISATION = "bench"
DATABASE = "claims"
TEMPLATE = {
    "databases": [DATABASE],
    "connections": 60,
    "classes": {
        "write": {"kind": "write"},
        "read": {"kind": "read"},
    },
}


class ChildProcess:
    """A running child process and the address that it printed."""

    def __init__(self, role: str, options: dict[str, Any]) -> None:
        command = [sys.executable, "-m", "bench.processes", role, json.dumps(options)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        self.address = self.process.stdout.readline().strip()

    @property
    def host_port(self) -> tuple[str, int]:
        host, port = self.address.split(":")
        return host, int(port)

    @property
    def resident_bytes(self) -> int:
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * 4096

    def set_observability(self, observability: str) -> None:
        """Switches the metrics and traces of a daemon ``on`` or ``off``."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(f"{observability}\n")
        self.process.stdin.flush()
        self.process.stdout.readline()

    def stop(self) -> int:
        """Closes the standard input of the child and returns its exit status."""
        assert self.process.stdin is not None
        if not self.process.stdin.closed:
            self.process.stdin.close()
        return self.process.wait(30)


@contextmanager
def running_child(role: str, **options: Any) -> Iterator[ChildProcess]:
    """Starts a child process and stops it on exit."""
    child = ChildProcess(role, options)
    try:
        yield child
    finally:
        child.stop()


@contextmanager
def daemon_and_group(**options: Any) -> Iterator[tuple[ChildProcess, ChildProcess]]:
    """Runs a daemon that leads its own control group, and a group of three members."""
    with (
        running_child("daemon", **options) as daemon,
        running_child("group", daemon=daemon.address) as group,
    ):
        prepare_daemon(daemon)
        yield daemon, group


def prepare_daemon(daemon: ChildProcess) -> None:
    """Applies the template and waits until a statement succeeds."""
    deadline = monotonic() + START_TIMEOUT_SECONDS
    change = {"organisation": ORGANISATION, "body": TEMPLATE}
    change |= {"expect_version": 0, "change_id": "c1"}
    while post(daemon, "/v1/admin/template.apply", change)[0] != 200:
        if monotonic() > deadline:
            raise TimeoutError("the template was not applied")
        sleep(0.1)
    while (
        post(daemon, "/v1/statements", request_body("write", INSERT, ["seed"]))[0]
        != 200
    ):
        if monotonic() > deadline:
            raise TimeoutError("no statement succeeded")
        sleep(0.1)


INSERT = "INSERT OR REPLACE INTO claims VALUES (?, 'p', 'f', 'b', 'filed', 100, 'r')"
SELECT = "SELECT claim_id, status FROM claims WHERE claim_id = ?"


def request_body(
    request_class: str,
    sql: str,
    params: list[Any],
    count: int = 1,
    request_id: str = "",
) -> dict[str, Any]:
    """Returns a request body for /v1/statements with ``count`` equal statements."""
    return {
        "organisation": ORGANISATION,
        "database": DATABASE,
        "request_class": request_class,
        "request_id": request_id or f"bench-{monotonic()}",
        "statements": [{"sql": sql, "params": params}] * count,
    }


def post(child: ChildProcess, path: str, body: Any) -> tuple[int, Any]:
    """Posts JSON on a new connection; status 0 means a connection error."""
    connection = HTTPConnection(*child.host_port, timeout=15)
    try:
        connection.request("POST", path, json.dumps(body))
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except OSError as error:
        return 0, str(error)
    finally:
        connection.close()


def _discard_metric(kind: str, name: str, value: float) -> None:
    """Replaces ``Metrics.emit`` while metrics are off."""


def _run_daemon(options: dict[str, Any]) -> None:
    from bronzemoor_core.settings import DrainSettings, NodeSettings
    from bronzemoor_core.settings_schema import ListenSettings
    from bronzemoor_daemon.application import make_application
    from bronzemoor_daemon.logs import configure_logs
    from bronzemoor_daemon.settings import DaemonSettings

    configure_logs("ERROR")
    graceful = options.pop("graceful", False)
    drain = DrainSettings(**options.pop("drain", {}))
    node = NodeSettings("vm-1", "dc1", control=True, control_members=("vm-1",))
    node.drain = drain
    settings = DaemonSettings(
        node, ListenSettings("127.0.0.1:0", "127.0.0.1:0", **options)
    )
    application = make_application(settings)
    application.start()
    host, port = application.http_address
    print(f"{host}:{port}", flush=True)
    # Lines "off" and "on" switch metrics and traces of this process.
    emit, ratio = application.metrics.emit, application.tracing._ratio
    for line in sys.stdin:
        disabled = line.strip() == "off"
        application.metrics.emit = _discard_metric if disabled else emit  # type: ignore[method-assign]
        application.tracing._ratio = 0.0 if disabled else ratio
        print("switched", flush=True)
    sys.exit(application.stop() if graceful else application.kill())


def _run_group(options: dict[str, Any]) -> None:
    from bronzemoor_standin.group import Group

    group = Group(DATABASE, daemons=[options["daemon"]], schema="claims")
    group.start()
    print(group.members["m2"].address, flush=True)
    sys.stdin.read()
    group.stop()


def _run_floor(options: dict[str, Any]) -> None:
    import cherrypy
    from cheroot.wsgi import Server

    class Echo:
        @cherrypy.expose
        @cherrypy.tools.json_in()
        @cherrypy.tools.json_out()
        def statements(self) -> Any:
            return cherrypy.request.json

    def echo_body(environ: Any, start_response: Any) -> list[bytes]:
        data = environ["wsgi.input"].read()
        length = ("Content-Length", str(len(data)))
        start_response("200 OK", [("Content-Type", "application/json"), length])
        return [data]

    class Root:
        v1 = Echo()

    app: Any = echo_body
    if options["kind"] == "cherrypy":
        app = cherrypy.Application(Root(), "")
        app.log.access_log.propagate = False
    server = Server(("127.0.0.1", 0), app, numthreads=16)
    server.keep_alive_conn_limit = None
    server.prepare()
    Thread(target=server.serve, daemon=True).start()
    host, port = server.bind_addr
    print(f"{host}:{port}", flush=True)
    sys.stdin.read()
    server.stop()


ROLES: dict[str, Callable[[dict[str, Any]], None]] = {
    "daemon": _run_daemon,
    "floor": _run_floor,
    "group": _run_group,
}

if __name__ == "__main__":
    ROLES[sys.argv[1]](json.loads(sys.argv[2]))
