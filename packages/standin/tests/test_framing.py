"""Tests of the framing against Thrift's own transport and processor."""

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from bronzemoor_standin.framing import Codec, parse_head, run_call
from bronzemoor_standin.gen.endpoint import Endpoint, ttypes


class Handler:
    def ping(self, call):
        return ttypes.Reply(correlation_id=call.correlation_id, payload=b"\x00\xff")


def test_bytes_are_those_of_thrift():
    """Guards against an endpoint that only its own client understands."""
    sent = TMemoryBuffer()
    client = Endpoint.Client(TBinaryProtocol(TFramedTransport(sent)))
    client.send_ping(ttypes.Query(correlation_id=9, position=ttypes.Position(1, 2)))
    frame = sent.getvalue()
    assert parse_head(frame[4:])[:2] == (TMessageType.CALL, b"ping")
    answer = run_call(Codec(), Handler(), frame[4:])
    client = Endpoint.Client(TBinaryProtocol(TFramedTransport(TMemoryBuffer(answer))))
    reply = client.recv_ping()
    assert (reply.correlation_id, reply.payload) == (9, b"\x00\xff")


def test_unknown_call_is_answered_by_an_exception():
    """Guards against a newer client that waits for ever."""
    frame = Codec().encode(TMessageType.CALL, b"explain", 3, Endpoint.ping_args())
    answer = run_call(Codec(), Handler(), frame[4:])
    assert parse_head(answer[4:])[:3] == (TMessageType.EXCEPTION, b"explain", 3)
