"""Framed transport: whole frames, bounded waits and bounded sizes."""

import socket
import struct
import time

import pytest
from thrift.transport.TTransport import TTransportException

from bronzemoor_daemon.framing import FramedTransport, NotSentError, split_address


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    transport = FramedTransport(ours)
    transport.deadline = time.monotonic() + 0.2
    yield transport, theirs
    transport.close()
    theirs.close()


def test_a_frame_may_arrive_in_pieces(pair):
    """Guards against a reader that takes a part of a frame for the whole."""
    transport, theirs = pair
    data = struct.pack("!I", 3) + b"abc" + struct.pack("!I", 1) + b"d"
    for place in range(len(data)):
        theirs.send(data[place : place + 1])
    assert transport.read(3) == b"abc"
    assert transport.read(1) == b"d"


def test_an_impossible_length_is_refused_before_it_is_read(pair):
    """Guards against garbage that makes the daemon reserve gigabytes."""
    transport, theirs = pair
    theirs.send(b"\xff\xff\xff\xff")
    with pytest.raises(TTransportException) as caught:
        transport.read(1)
    assert caught.value.type == TTransportException.SIZE_LIMIT


def test_slow_bytes_do_not_extend_the_deadline(pair):
    """Guards against a peer that holds a thread by sending a byte at a time."""
    transport, theirs = pair
    theirs.send(struct.pack("!I", 100) + b"x")
    started = time.monotonic()
    with pytest.raises(TTransportException) as caught:
        transport.read(1)
    assert caught.value.type == TTransportException.TIMED_OUT
    assert time.monotonic() - started < 0.4


def test_a_message_longer_than_its_frame_is_refused(pair):
    """Guards against a decoder that continues in the next frame."""
    transport, theirs = pair
    theirs.send(struct.pack("!I", 1) + b"x")
    transport.read(1)
    with pytest.raises(TTransportException):
        transport.cstringio_refill(b"x", 8)


def test_send_on_a_broken_connection_is_not_sent(pair):
    """Guards against "unknown" for a frame that never left."""
    transport, theirs = pair
    theirs.close()
    transport.write(b"x")
    with pytest.raises(NotSentError):
        transport.flush()
        transport.write(b"x")
        transport.flush()


def test_unexpected_input_is_seen(pair):
    """Guards against the reuse of a connection that still holds an old answer."""
    transport, theirs = pair
    assert not transport.has_input()
    theirs.send(b"x")
    time.sleep(0.01)
    assert transport.has_input()


@pytest.mark.parametrize("text", ["", "host", ":1", "host:", "host:x"])
def test_addresses_without_host_or_port_are_refused(text):
    """Guards against an unclear error at the first connection."""
    with pytest.raises(ValueError):
        split_address(text)
