"""Tests of the framing against Thrift's own transport and processor."""

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from bronzemoor_standin.framing import Codec, dispatch_call, parse_header
from bronzemoor_standin.gen.endpoint import Endpoint, ttypes


class Handler:
    def ping(self, call):
        return ttypes.Reply(correlation_id=call.correlation_id, payload=b"\x00\xff")


def test_bytes_match_those_of_the_thrift_library():
    """Guards against framing that other Thrift clients cannot decode."""
    sent = TMemoryBuffer()
    client = Endpoint.Client(TBinaryProtocol(TFramedTransport(sent)))
    client.send_ping(ttypes.Query(correlation_id=9, position=ttypes.Position(1, 2)))
    frame = sent.getvalue()
    assert parse_header(frame[4:])[:2] == (TMessageType.CALL, b"ping")
    answer = dispatch_call(Codec(), Handler(), frame[4:])
    client = Endpoint.Client(TBinaryProtocol(TFramedTransport(TMemoryBuffer(answer))))
    reply = client.recv_ping()
    assert (reply.correlation_id, reply.payload) == (9, b"\x00\xff")


def test_unknown_call_is_answered_by_an_exception():
    """Guards against a newer client that waits for an answer forever."""
    frame = Codec().encode(TMessageType.CALL, b"explain", 3, Endpoint.ping_args())
    answer = dispatch_call(Codec(), Handler(), frame[4:])
    assert parse_header(answer[4:])[:3] == (TMessageType.EXCEPTION, b"explain", 3)
