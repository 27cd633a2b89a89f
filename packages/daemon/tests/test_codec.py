"""Tests of the conversion between the core's messages and Thrift structs."""

import contextlib
from typing import get_type_hints

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import fields

from bronzemoor_core.exceptions import ProtocolError
from bronzemoor_core.messages import MESSAGE_TYPES, GroupReport, PreVote
from bronzemoor_daemon.codec import (
    UNION_FIELDS,
    decode_envelope,
    decode_struct,
    encode_envelope,
    encode_struct,
    from_bytes,
    to_bytes,
)
from bronzemoor_daemon.gen.peer import ttypes

INT32 = st.integers(-(2**31), 2**31 - 1)
SCALARS = {
    int: INT32,
    str: st.text(max_size=20),
    bytes: st.binary(max_size=20),
    bool: st.booleans(),
}


def values(hint):
    if hint in SCALARS:
        return SCALARS[hint]
    arguments = [values(argument) for argument in getattr(hint, "__args__", ())]
    if len(arguments) == 1:
        return st.lists(arguments[0], max_size=3)
    if arguments:
        return st.dictionaries(*arguments, max_size=3)
    return instances(hint)


def instances(cls):
    hints = get_type_hints(cls)
    return st.builds(cls, **{f.name: values(hints[f.name]) for f in fields(cls)})


@pytest.mark.parametrize("cls", MESSAGE_TYPES.values(), ids=lambda cls: cls.__name__)
def test_every_message_has_a_struct_with_the_same_fields(cls):
    """Guards against a field that is added to a message but not to the protocol."""
    struct = getattr(ttypes, cls.__name__)
    try:
        decode_struct(cls, struct())
    except ProtocolError as error:
        assert "missing" in error.message


@given(st.one_of([instances(cls) for cls in UNION_FIELDS]))
def test_round_trip_through_bytes_keeps_every_message(message):
    """Guards against fields that are lost, swapped or changed on the wire."""
    data = to_bytes(encode_envelope("vm-1", "vm-2", message, "context"))
    envelope = from_bytes(ttypes.Envelope, data)
    assert decode_envelope(envelope) == message
    assert (envelope.sender, envelope.recipient) == ("vm-1", "vm-2")


@given(st.binary(max_size=200))
def test_malformed_data_is_a_typed_error_or_a_message(data):
    """Guards against malformed data that crashes the decoding thread."""
    with contextlib.suppress(ProtocolError):
        decode_envelope(from_bytes(ttypes.Envelope, data))


@given(instances(PreVote), st.integers(0, 10_000), st.integers(0, 255))
def test_a_changed_byte_is_a_typed_error_or_a_message(message, place, value):
    """Guards against damaged envelopes that raise other than a typed error."""
    data = bytearray(to_bytes(encode_envelope("vm-1", "vm-2", message)))
    data[place % len(data)] = value
    with contextlib.suppress(ProtocolError):
        decode_envelope(from_bytes(ttypes.Envelope, bytes(data)))


@pytest.mark.parametrize(
    "change",
    [
        {"version": 99},
        {"version": None},
        {"sender": None},
        {"recipient": None},
        {"message": None},
        {"message": ttypes.Message()},
    ],
    ids=str,
)
def test_envelopes_that_are_incomplete_or_of_another_version_are_refused(change):
    """Guards against misread fields of an incompatible message."""
    envelope = encode_envelope("vm-1", "vm-2", PreVote(1, 2, 3))
    for name, value in change.items():
        setattr(envelope, name, value)
    with pytest.raises(ProtocolError):
        decode_envelope(envelope)


def test_missing_and_wrong_fields_are_refused():
    """Guards against None or a value of a wrong type that reaches the core."""
    with pytest.raises(ProtocolError, match="missing"):
        decode_struct(PreVote, ttypes.PreVote(term=1, last_index=2))
    with pytest.raises(ProtocolError, match="expected int"):
        decode_struct(PreVote, ttypes.PreVote("1", 2, 3, ""))
    with pytest.raises(ProtocolError):
        to_bytes(encode_struct(PreVote(2**70, 2, 3)))
    with pytest.raises(ProtocolError):
        encode_envelope("vm-1", "vm-2", object())


def test_fields_with_their_defaults_are_not_sent():
    """Guards against large reports: thousands of proxies would repeat the defaults."""
    default = GroupReport("g", "m", 3)
    with_failure = GroupReport("g", "m", 3, failing_ms=250)
    assert decode_struct(GroupReport, encode_struct(default)) == default
    assert decode_struct(GroupReport, encode_struct(with_failure)) == with_failure
    assert len(to_bytes(encode_struct(default))) < 40
