"""Tests of messages between daemons over real sockets, with and without TLS."""

import socket
import time
from queue import Empty, SimpleQueue

import pytest
import trustme
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated

from bronzemoor_core.actions import SendPeerMessage
from bronzemoor_core.messages import PreVote, Propose
from bronzemoor_core.settings_schema import TlsFiles
from bronzemoor_daemon.codec import encode_envelope
from bronzemoor_daemon.framing import FramedTransport
from bronzemoor_daemon.gen.peer import Peer, ttypes
from bronzemoor_daemon.peers import PeerSenders, PeerServer
from bronzemoor_daemon.tls import TlsContexts


class PeerLink:
    """A server vm-2 and a sender vm-1; collects received messages and reports."""

    def __init__(self, server_tls=None, client_tls=None):
        self.received, self.reports = SimpleQueue(), SimpleQueue()
        report = lambda event, details: self.reports.put((event, details))  # noqa: E731
        deliver = lambda event, context: self.received.put((event, context))  # noqa: E731
        self.server = PeerServer("vm-2", ("127.0.0.1", 0), server_tls, deliver, report)
        self.server.start()
        host, port = self.server.address
        addresses = {"vm-2": f"{host}:{port}", "vm-3": f"{host}:{port}"}
        self.senders = PeerSenders("vm-1", addresses, client_tls, report)

    def stop(self):
        self.senders.stop()
        self.server.stop()


@pytest.fixture
def link():
    link = PeerLink()
    yield link
    link.stop()


def make_client(link):
    sock = socket.create_connection(link.server.address, 2)
    return Peer.Client(TBinaryProtocolAccelerated(FramedTransport(sock)))


def test_messages_arrive_in_order_with_sender_and_trace(link):
    """Guards against messages that are lost, reordered or lack sender or trace."""
    for number in range(50):
        link.senders.send(SendPeerMessage("vm-2", PreVote(number, 0, 0)), "context")
    for number in range(50):
        event, context = link.received.get(timeout=2)
        assert (event.sender, event.message.term, context) == (
            "vm-1",
            number,
            "context",
        )


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"version": 99}, "unknown_version"),
        ({"recipient": "vm-9"}, "wrong_recipient"),
        ({"message": ttypes.Message()}, "protocol_error"),
    ],
)
def test_an_invalid_envelope_rejects_the_whole_batch(link, change, code):
    """Guards against the partial processing of a batch."""
    valid = encode_envelope("vm-1", "vm-2", PreVote(1, 0, 0))
    invalid = encode_envelope("vm-1", "vm-2", PreVote(2, 0, 0))
    for name, value in change.items():
        setattr(invalid, name, value)
    client = make_client(link)
    with pytest.raises(ttypes.Rejected) as caught:
        client.deliver([valid, invalid])
    assert caught.value.code == code
    client.deliver([valid])
    assert link.received.get(timeout=2)[0].message.term == 1
    with pytest.raises(Empty):
        link.received.get(timeout=0.05)


def test_malformed_input_ends_only_its_own_connection(link):
    """Guards against malformed input that stops the server or other connections."""
    client = make_client(link)
    client.deliver([])
    for malformed in (b"\x00" * 100, b"\xff" * 100, b"GET / HTTP/1.1\r\n\r\n"):
        with socket.create_connection(link.server.address, 2) as other:
            other.sendall(malformed)
    client.deliver([encode_envelope("vm-1", "vm-2", Propose("p", b"{}"))])
    assert link.received.get(timeout=2)[0].message == Propose("p", b"{}")


def test_an_unreachable_peer_does_not_delay_others(link):
    """Guards against an unreachable peer that blocks the messages to all others."""
    link.senders._addresses["vm-4"] = "127.0.0.1:1"
    started = time.monotonic()
    for number in range(2_000):
        link.senders.send(SendPeerMessage("vm-4", PreVote(number, 0, 0)))
    link.senders.send(SendPeerMessage("vm-2", PreVote(1, 0, 0)))
    assert link.received.get(timeout=2)[0].message.term == 1
    assert time.monotonic() - started < 1
    assert link.senders.queued["vm-4"] <= 1_000


@pytest.fixture
def make_tls(tmp_path):
    def make(authority, name):
        files = [str(tmp_path / f"{name}.{kind}") for kind in ("pem", "key", "ca")]
        certificate = authority.issue_cert(name)
        certificate.cert_chain_pems[0].write_to_path(files[0])
        certificate.private_key_pem.write_to_path(files[1])
        authority.cert_pem.write_to_path(files[2])
        return TlsContexts(TlsFiles(*files))

    return make


def test_mutual_tls_admits_only_certificates_of_the_authority(make_tls):
    """Guards against messages of an untrusted process to the control group."""
    trusted_ca, untrusted_ca = trustme.CA(), trustme.CA()
    server, trusted = make_tls(trusted_ca, "vm-2"), make_tls(trusted_ca, "vm-1")
    untrusted = make_tls(untrusted_ca, "vm-x")
    link = PeerLink(server.peer_server, trusted.peer_client)
    other = PeerLink(server.peer_server, untrusted.peer_client)
    try:
        link.senders.send(SendPeerMessage("vm-2", PreVote(1, 0, 0)))
        assert link.received.get(timeout=3)[0].message.term == 1
        other.senders.send(SendPeerMessage("vm-2", PreVote(1, 0, 0)))
        assert other.reports.get(timeout=3)[0] in (
            "peer_unreachable",
            "peer_connection_failed",
        )
        assert other.received.empty()
    finally:
        link.stop()
        other.stop()
