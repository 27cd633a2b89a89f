"""Conversion between the core's messages and Thrift structs, by field name."""

import re
from collections.abc import Callable
from typing import Any, get_args, get_origin, get_type_hints

from msgspec import NODEFAULT
from msgspec.structs import FieldInfo, fields
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from bronzemoor_core.exceptions import ProtocolError
from bronzemoor_core.messages import MESSAGE_TYPES, MESSAGE_VERSION
from bronzemoor_daemon.gen.peer import ttypes

Converter = Callable[[Any], Any]

# Converters by dataclass, filled on first use.
_ENCODERS: dict[type, Converter] = {}
_DECODERS: dict[type, Converter] = {}

# A daemon accepts its own message version and the previous one.
ACCEPTED_VERSIONS = frozenset(
    version for version in (MESSAGE_VERSION, MESSAGE_VERSION - 1) if version > 0
)


def _identity(value: Any) -> Any:
    return value


def _struct_type(cls: type) -> type:
    struct: type | None = getattr(ttypes, cls.__name__, None)
    if struct is None:
        raise ProtocolError(f"no Thrift struct for {cls.__name__}", step="codec")
    expected = {item[2] for item in struct.thrift_spec if item}  # type: ignore[attr-defined]
    actual = {field.name for field in fields(cls)}
    if expected != actual:
        raise ProtocolError(
            f"{cls.__name__} and its struct differ in {sorted(expected ^ actual)}",
            step="codec",
        )
    return struct


def _converter(
    hint: Any, make_converter: Callable[[type], Converter], check_types: bool
) -> Converter:
    """Returns the converter of one field; scalars are checked only when decoding."""
    origin, arguments = get_origin(hint), get_args(hint)
    if origin is list:
        convert_item = _converter(arguments[0], make_converter, check_types)
        return lambda value: [convert_item(item) for item in value]
    if origin is dict:
        key, item = (
            _converter(argument, make_converter, check_types) for argument in arguments
        )
        return lambda value: {key(k): item(v) for k, v in value.items()}
    if hint in (int, str, bytes, bool):
        return _type_checker(hint) if check_types else _identity
    return make_converter(hint)


def _type_checker(expected: type) -> Converter:
    def convert(value: Any) -> Any:
        if type(value) is not expected:
            raise ProtocolError(
                f"expected {expected.__name__}, got {type(value).__name__}",
                step="codec",
            )
        return value

    return convert


def _default(field: FieldInfo) -> Any:
    """Returns the default of a field, or ``NODEFAULT``, which equals no value."""
    if field.default_factory is not NODEFAULT:
        return field.default_factory()
    return field.default


def _encoder(cls: type) -> Converter:
    if cls not in _ENCODERS:
        struct, hints = _struct_type(cls), get_type_hints(cls)
        field_converters = [
            (
                field.name,
                _converter(hints[field.name], _encoder, False),
                _default(field),
            )
            for field in fields(cls)
        ]

        def encode(value: Any) -> Any:
            # Fields with their default value are omitted and set by the decoder.
            values = {}
            for name, convert_field, default in field_converters:
                item = getattr(value, name)
                if item != default:
                    values[name] = convert_field(item)
            return struct(**values)

        _ENCODERS[cls] = encode
    return _ENCODERS[cls]


def _decoder(cls: type) -> Converter:
    if cls not in _DECODERS:
        _struct_type(cls)
        hints = get_type_hints(cls)
        field_converters = [
            (
                field.name,
                _converter(hints[field.name], _decoder, True),
                not field.required,
            )
            for field in fields(cls)
        ]

        def decode(struct: Any) -> Any:
            values = {}
            for name, convert_field, optional in field_converters:
                value = getattr(struct, name, None)
                if value is not None:
                    values[name] = convert_field(value)
                elif not optional:
                    raise ProtocolError(
                        f"{cls.__name__}.{name} is missing", step="codec"
                    )
            return cls(**values)

        _DECODERS[cls] = decode
    return _DECODERS[cls]


def encode_struct(value: Any) -> Any:
    """Returns the Thrift struct for a registered message."""
    return _encoder(type(value))(value)


def decode_struct(cls: type, struct: Any) -> Any:
    """Returns a ``cls`` from its struct; raises ``ProtocolError`` if invalid."""
    return _decoder(cls)(struct)


def _union_field(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


# Union field by message class; classes used only inside other messages have none.
UNION_FIELDS = {
    cls: _union_field(name)
    for name, cls in MESSAGE_TYPES.items()
    if _union_field(name) in {item[2] for item in ttypes.Message.thrift_spec if item}
}


def encode_envelope(
    sender: str,
    recipient: str,
    message: Any,
    trace_context: str = "",
    accepts_compression: bool | None = None,
) -> ttypes.Envelope:
    """Wraps a message for sending; raises ``ProtocolError`` for an unknown type."""
    name = UNION_FIELDS.get(type(message))
    if name is None:
        raise ProtocolError(
            f"{type(message).__name__} is not a message type",
            step="codec",
            peer=recipient,
        )
    return ttypes.Envelope(
        sender=sender,
        recipient=recipient,
        version=MESSAGE_VERSION,
        trace_context=trace_context,
        message=ttypes.Message(**{name: encode_struct(message)}),
        accepts_compression=accepts_compression,
    )


def decode_envelope(envelope: ttypes.Envelope) -> Any:
    """Returns the message; raises ``ProtocolError`` if the envelope is invalid."""
    if envelope.version not in ACCEPTED_VERSIONS:
        raise ProtocolError(
            f"message version {envelope.version} is not supported",
            step="codec",
            peer=envelope.sender or "",
            code="unknown_version",
        )
    matches = [
        (cls, struct)
        for cls, name in UNION_FIELDS.items()
        if (struct := getattr(envelope.message, name, None)) is not None
    ]
    if len(matches) != 1 or not envelope.sender or envelope.recipient is None:
        raise ProtocolError(
            "envelope must have a sender, a recipient and exactly one message",
            step="codec",
        )
    return decode_struct(*matches[0])


def to_bytes(struct: Any) -> bytes:
    """Encodes a Thrift struct; raises ``ProtocolError`` if a value does not fit."""
    buffer = TMemoryBuffer()
    try:
        struct.write(TBinaryProtocolAccelerated(buffer))
    except Exception as error:  # the C encoder raises several unrelated types
        raise ProtocolError(f"cannot encode: {error}", step="codec") from error
    return buffer.getvalue()


def from_bytes(struct_type: type, data: bytes) -> Any:
    """Decodes a Thrift struct; raises ``ProtocolError`` on malformed data."""
    struct = struct_type()
    try:
        struct.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
    except Exception as error:  # the C decoder raises several unrelated types
        raise ProtocolError(f"cannot decode: {error}", step="codec") from error
    return struct
