"""Tests of the framed transport: whole frames, deadlines and size limits."""

import socket
import struct
import time

import pytest
from thrift.transport.TTransport import TTransportException

from bronzemoor_daemon.framing import FramedTransport, NotSentError, split_address


@pytest.fixture
def pair():
    local, remote = socket.socketpair()
    transport = FramedTransport(local)
    transport.deadline = time.monotonic() + 0.2
    yield transport, remote
    transport.close()
    remote.close()


def test_a_frame_may_arrive_in_pieces(pair):
    """Guards against a reader that treats a part of a frame as the whole."""
    transport, remote = pair
    data = struct.pack("!I", 3) + b"abc" + struct.pack("!I", 1) + b"d"
    for index in range(len(data)):
        remote.send(data[index : index + 1])
    assert transport.read(3) == b"abc"
    assert transport.read(1) == b"d"


def test_an_excessive_length_is_refused_before_allocation(pair):
    """Guards against malformed input that makes the daemon allocate gigabytes."""
    transport, remote = pair
    remote.send(b"\xff\xff\xff\xff")
    with pytest.raises(TTransportException) as caught:
        transport.read(1)
    assert caught.value.type == TTransportException.SIZE_LIMIT


def test_slow_bytes_do_not_extend_the_deadline(pair):
    """Guards against a peer that blocks a thread by sending one byte at a time."""
    transport, remote = pair
    remote.send(struct.pack("!I", 100) + b"x")
    started = time.monotonic()
    with pytest.raises(TTransportException) as caught:
        transport.read(1)
    assert caught.value.type == TTransportException.TIMED_OUT
    assert time.monotonic() - started < 0.4


def test_a_message_beyond_its_frame_is_refused(pair):
    """Guards against a decoder that reads on into the next frame."""
    transport, remote = pair
    remote.send(struct.pack("!I", 1) + b"x")
    transport.read(1)
    with pytest.raises(TTransportException):
        transport.cstringio_refill(b"x", 8)


def test_send_on_a_broken_connection_is_not_sent(pair):
    """Guards against the outcome "unknown" for a frame that was never sent."""
    transport, remote = pair
    remote.close()
    transport.write(b"x")
    with pytest.raises(NotSentError):
        transport.flush()
        transport.write(b"x")
        transport.flush()


def test_unexpected_input_is_detected(pair):
    """Guards against the reuse of a connection with an unread earlier answer."""
    transport, remote = pair
    assert not transport.has_unexpected_input()
    remote.send(b"x")
    time.sleep(0.01)
    assert transport.has_unexpected_input()


@pytest.mark.parametrize(
    "text", ["", "host", ":1", "host:", "host:x", "host:65536", "host:-1"]
)
def test_addresses_without_host_or_port_are_refused(text):
    """Guards against an unclear error when the address is first used."""
    with pytest.raises(ValueError):
        split_address(text)
