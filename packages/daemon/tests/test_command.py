"""Tests of the process: command line, settings files, signals and TLS."""

import json
import os
import signal
import socket
import ssl
import threading
import time
from http.client import HTTPSConnection

import pytest
import trustme
import yaml
from cleo.testers.application_tester import ApplicationTester

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.settings import DrainSettings, NodeSettings
from bronzemoor_core.settings_schema import ListenSettings, TlsFiles
from bronzemoor_daemon.application import make_application
from bronzemoor_daemon.command import make_console
from bronzemoor_daemon.lifecycle import install_signals
from bronzemoor_daemon.settings import DaemonSettings

NODE = {"name": "vm-1", "data_centre": "lisbon"}
LISTEN = {"http": "127.0.0.1:0", "peer": "127.0.0.1:0", "insecure": True}


@pytest.fixture
def check(tmp_path):
    def run(body, command="check"):
        path = tmp_path / "settings.yaml"
        path.write_text(body if isinstance(body, str) else yaml.safe_dump(body))
        tester = ApplicationTester(make_console())
        status = tester.execute(f"{command} --config {path}")
        return status, tester.io.fetch_output() + tester.io.fetch_error()

    return run


def test_check_reports_every_problem(check):
    """Guards against a check that reports one error at a time."""
    assert check({"node": NODE, "listen": LISTEN}) == (0, "the settings are valid\n")
    bad = {"node": {"name": "vm-1", "dc": 1}, "listen": {"http": "x", "threads": 0}}
    status, output = check(bad)
    assert status == 2
    for word in ("data_centre", "dc", "http", "threads"):
        assert word in output
    for text in ("[", "text", "- 1", ""):
        assert check(text)[0] == 2


def test_missing_files_are_reported(check, tmp_path):
    """Guards against a traceback in place of a message."""
    tester = ApplicationTester(make_console())
    assert tester.execute(f"check --config {tmp_path}/none.yaml") == 2
    files = {name: f"{tmp_path}/{name}" for name in ("certificate", "key", "authority")}
    listen = {"http": "127.0.0.1:0", "peer": "127.0.0.1:0", "tls": files}
    status, output = check({"node": NODE, "listen": listen})
    assert status == 2
    assert "tls" in output


def test_an_address_in_use_has_its_own_exit_status(check):
    """Guards against a failed start with the exit status of invalid settings."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        address_in_use = f"127.0.0.1:{other.getsockname()[1]}"
        listen = LISTEN | {"peer": address_in_use}
        assert check({"node": NODE, "listen": listen}, "run")[0] == 3


@pytest.mark.parametrize("address", ["0.0.0.0:0", "192.0.2.1:0", "[::]:0", "host:0"])
def test_an_open_daemon_without_tls_refuses_to_start(address):
    """Guards against accidentally serving clear text on a non-loopback address."""
    listen = ListenSettings(http=address, peer="127.0.0.1:0")
    with pytest.raises(InvalidSettings):
        make_application(DaemonSettings(NodeSettings(**NODE), listen))


def wait_for(condition):
    deadline = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_a_signal_stops_gracefully(settings, connect, body):
    """Guards against a stop that refuses requests during the delay or never ends."""
    settings.node.drain = DrainSettings(0.3, 1.0, 0.5)
    application = make_application(settings)
    statuses = []
    thread = threading.Thread(target=lambda: statuses.append(application.run()))
    before = {n: signal.getsignal(n) for n in (15, 2, 1)}
    thread.start()
    try:
        install_signals(application)
        wait_for(lambda: application.is_ready)
        client = connect(application)
        assert client.get("/ready")[0] == 200
        os.kill(os.getpid(), signal.SIGTERM)
        wait_for(lambda: not application.is_ready)
        assert client.get("/ready")[0] == 503
        assert client.post("/v1/statements", body())[1]["code"] == (
            "unknown_organisation"
        )
        assert client.headers["Connection"] == "close"
        assert connect(application).get("/live")[0] == 200
        thread.join(5)
        assert statuses == [0]
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


class Certificates:
    """Certificates of one authority at fixed paths."""

    def __init__(self, folder):
        self.authority = trustme.CA(key_type=trustme.KeyType.ECDSA)
        names = ("vm.pem", "vm.key", "ca.pem")
        self.files = TlsFiles(*(str(folder / name) for name in names))
        self.authority.cert_pem.write_to_path(self.files.authority)
        self.issue()

    def issue(self):
        certificate = self.authority.issue_cert(
            "127.0.0.1", key_type=trustme.KeyType.ECDSA
        )
        certificate.cert_chain_pems[0].write_to_path(self.files.certificate)
        certificate.private_key_pem.write_to_path(self.files.key)


def start_with_tls(tmp_path, settings):
    certificates = Certificates(tmp_path)
    settings.listen.tls = certificates.files
    application = make_application(settings)
    application.start()
    context = ssl.create_default_context(cafile=certificates.files.authority)
    return certificates, application, context


def test_certificates_are_renewed_without_refusing_clients(tmp_path, settings):
    """Guards against refused clients during a certificate renewal, or a failed one."""
    certificates, application, context = start_with_tls(tmp_path, settings)

    def open_client():
        client = HTTPSConnection(*application.http_address, timeout=5, context=context)
        client.request("GET", "/live")
        assert json.loads(client.getresponse().read()) == {"live": True}
        return client, client.sock.getpeercert()["serialNumber"]

    try:
        kept, first = open_client()
        certificates.issue()
        application.request_reload()
        wait_for(lambda: open_client()[1] != first)
        # A mismatch of certificate and key, even a brief one, would refuse a client.
        renewing, failures = threading.Event(), []

        def keep_opening():
            while not renewing.is_set():
                try:
                    open_client()[0].close()
                except OSError as error:
                    failures.append(error)

        opening = threading.Thread(target=keep_opening)
        opening.start()
        for _ in range(60):
            certificates.issue()
            application._tls.reload()
        renewing.set()
        opening.join()
        assert failures == []
        (tmp_path / "vm.pem").write_text("garbage")
        application.request_reload()
        time.sleep(0.05)
        assert open_client()[1] != first
        kept.request("GET", "/live")
        assert kept.getresponse().status == 200
    finally:
        application.kill()


def test_silent_tls_clients_do_not_block_others(tmp_path, settings):
    """Guards against a handshake that blocks the accepting thread."""
    certificates, application, context = start_with_tls(tmp_path, settings)
    idle_connections = [
        socket.create_connection(application.http_address) for _ in range(20)
    ]
    try:
        started = time.monotonic()
        client = HTTPSConnection(*application.http_address, timeout=5, context=context)
        client.request("GET", "/live")
        assert client.getresponse().status == 200
        assert time.monotonic() - started < 2
    finally:
        for connection in idle_connections:
            connection.close()
        application.kill()
