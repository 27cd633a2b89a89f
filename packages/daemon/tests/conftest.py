"""Fixtures and fakes: a pass-through node and a scripted endpoint."""

import json
import socket
from http.client import HTTPConnection
from itertools import count
from random import Random
from threading import Thread
from zlib import crc32

import hypothesis
import pytest
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated

from bronzemoor_core.actions import Call as CoreCall
from bronzemoor_core.actions import OpenConnection, Reply, SendCall
from bronzemoor_core.events import (
    AnswerReceived,
    ConnectionFailed,
    ConnectionOpened,
    RequestReceived,
)
from bronzemoor_core.outcomes import Done, NotRun, Unknown
from bronzemoor_core.settings import NodeSettings
from bronzemoor_core.settings_schema import ListenSettings
from bronzemoor_daemon.application import make_application
from bronzemoor_daemon.framing import FramedTransport
from bronzemoor_daemon.gen.endpoint import Endpoint, ttypes
from bronzemoor_daemon.settings import DaemonSettings

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


class FakeEndpoint:
    """Answers every call with ``payload``; ``script`` may replace an execution."""

    def __init__(self, payload=b"[]"):
        self.payload = payload
        self.script = None
        self.calls = []
        self.transports = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def __getattr__(self, name):
        if name not in {"hello", "execute", "begin", "commit", "ping", "fence"}:
            raise AttributeError(name)
        return lambda call: self._answer(name, call)

    def _answer(self, name, call):
        self.calls.append((name, call))
        if self.script is not None and name == "execute":
            self.script(self, call)
        return ttypes.Reply(
            correlation_id=call.correlation_id,
            status=0,
            term=1,
            offset=2,
            payload=self.payload,
            length=len(self.payload),
            checksum=crc32(self.payload),
            member="m1",
            role="primary",
        )

    def _accept(self):
        while True:
            try:
                connected, _ = self._listener.accept()
            except OSError:
                return
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            Thread(target=self._serve, args=(connected,), daemon=True).start()

    def _serve(self, connected):
        transport = FramedTransport(connected)
        self.transports.append(transport)
        protocol = TBinaryProtocolAccelerated(transport)
        processor = Endpoint.Processor(self)
        try:
            while True:
                processor.process(protocol, protocol)
        except Exception:
            transport.close()

    def stop(self):
        self._listener.close()
        for transport in self.transports:
            transport.close()


class PassThroughNode:
    """Fake node that keeps one reusable connection per request in progress."""

    def __init__(self, node, address):
        self._node, self._address = node, address
        self._idle, self._requests, self._next = [], {}, count(1)

    @property
    def blackboard(self):
        return self._node.blackboard

    def handle(self, now, event):
        kind = type(event)
        if kind is RequestReceived:
            self._requests[event.ticket] = event.request
            if self._idle:
                return self._send(self._idle.pop(), event.ticket)
            return [OpenConnection(event.ticket, "db", "m1", self._address, 1.0)]
        if kind is ConnectionOpened:
            return self._send(event.connection, event.connection)
        if kind is ConnectionFailed:
            outcome = NotRun("no_connection", event.error, "connect", "m1")
            return [Reply(event.connection, outcome)]
        if kind is AnswerReceived:
            self._idle.append(event.connection)
            outcome = Done(event.answer.payload, peer="m1", role=event.answer.role)
            return [Reply(event.call.ticket, outcome, "token", "m1")]
        if hasattr(event, "connection"):
            ticket = getattr(getattr(event, "call", None), "ticket", event.connection)
            return [Reply(ticket, Unknown("no_answer", "", "answer", "m1"))]
        return self._node.handle(now, event)

    def _send(self, connection, ticket):
        request = self._requests.pop(ticket)
        call = CoreCall(
            "execute",
            next(self._next),
            ticket,
            max(0.01, request.deadline - 0),
            request.request_id,
            request.digest,
            request.statements,
        )
        call.timeout = 0.3
        return [SendCall(connection, call)]


@pytest.fixture
def endpoint():
    endpoint = FakeEndpoint()
    yield endpoint
    endpoint.stop()


@pytest.fixture
def settings():
    listen = ListenSettings("127.0.0.1:0", "127.0.0.1:0", threads=8)
    node = NodeSettings("vm-1", "lisbon", control=True, control_members=("vm-1",))
    return DaemonSettings(node, listen)


@pytest.fixture
def start(settings):
    """Starts an application; ``wrap`` may replace its node, for example by a fake."""
    started = []

    def starter(wrap=None, chosen=settings):
        application = make_application(chosen, Random(1))
        if wrap is not None:
            application.driver._node = wrap(application.driver._node)
        application.start()
        started.append(application)
        return application

    yield starter
    for application in started:
        application.kill()


@pytest.fixture
def pass_through_app(start, endpoint):
    """Application that sends its requests directly to the fake endpoint."""
    return start(lambda node: PassThroughNode(node, endpoint.address))


class Client:
    """JSON client on one persistent HTTP connection."""

    def __init__(self, address):
        self.http = HTTPConnection(*address, timeout=5)

    def post(self, path, body, headers=None):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.request("POST", path, data, headers or {})

    def get(self, path, headers=None):
        return self.request("GET", path, None, headers or {})

    def request(self, method, path, data, headers):
        self.http.request(method, path, data, headers)
        response = self.http.getresponse()
        body = response.read()
        self.headers = response.headers
        try:
            return response.status, json.loads(body)
        except ValueError:
            return response.status, body.decode()


@pytest.fixture
def connect():
    return lambda application, address="http_address": Client(
        getattr(application, address)
    )


def statements(**changes):
    """Returns a valid body for /v1/statements with some fields replaced."""
    return {
        "organisation": "reclamar-voo",
        "database": "claims-1",
        "request_class": "claim",
        "request_id": "r1",
        "statements": [{"sql": "SELECT ?", "params": [1]}],
    } | changes


@pytest.fixture
def body():
    return statements
