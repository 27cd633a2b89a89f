"""Slopes of the messages' sizes and of encoding and decoding them."""

import json
from collections.abc import Callable
from typing import Any

from bench.daemon_slopes import configuration, topology
from bench.fit import microseconds, slope
from bench.log_slopes import entry
from bench.scale import MEMBERS, announcement, heartbeat, summary
from bronzemoor_core.messages import (
    AppendEntries,
    Heartbeat,
    HeartbeatReply,
    Share,
)
from bronzemoor_daemon.codec import (
    decode_envelope,
    encode_envelope,
    from_bytes,
    to_bytes,
)
from bronzemoor_daemon.gen.peer import ttypes

SIZES = (9, 18, 36, 72)
GROUPS = (3, 5, 7, 9)


def beat_with_members(size: int) -> Heartbeat:
    members = [summary(f"stock-{k:05}", "m1") for k in range(size)]
    return heartbeat(2**47, [], members)


def reply(size: int) -> HeartbeatReply:
    shares = [Share(f"stock-{k:05}", 8, 3_000) for k in range(size)]
    versions = {f"organisation-{k:04}": 7 for k in range(size // 3)}
    return HeartbeatReply(2**47, "control-1", shares, versions, 2**31)


def append(size: int) -> AppendEntries:
    return AppendEntries(1, 0, 0, [entry(k + 1) for k in range(size)], 0, 1)


# Message by name: how to make it, and what its size counts.
MESSAGES: dict[str, tuple[Callable[[int], Any], str]] = {
    "Heartbeat": (lambda n: heartbeat(2**47, list(range(n // 3)), []), "databases"),
    "Heartbeat.members": (beat_with_members, "member summaries"),
    "HeartbeatReply": (reply, "databases"),
    "TopologyUpdate": (lambda n: topology(range(n // 3)), "databases"),
    "ConfigurationUpdate": (lambda n: configuration(range(n), 7), "templates"),
    "AppendEntries": (append, "entries"),
}


def encode(message: Any) -> bytes:
    return to_bytes(encode_envelope("daemon-0001", "control-1", message))


def decode(data: bytes) -> Any:
    return decode_envelope(from_bytes(ttypes.Envelope, data))


def register(name: str, make: Callable[[int], Any], per: str) -> None:
    """Registers the size of one kind of message and the cost of both directions."""

    @slope(f"bytes.{name}", "bytes", per, SIZES)
    def size_of(size: int) -> float:
        return len(encode(make(size)))

    @slope(f"encode.{name}", "us", per, SIZES)
    def encode_cost(size: int) -> float:
        message = make(size)
        return microseconds(lambda: encode(message))

    @slope(f"decode.{name}", "us", per, SIZES)
    def decode_cost(size: int) -> float:
        data = encode(make(size))
        return microseconds(lambda: decode(data))


for _name, (_make, _per) in MESSAGES.items():
    register(_name, _make, _per)


@slope("bytes.Announcement", "bytes", "members of the group", GROUPS)
def announcement_size(size: int) -> float:
    """The JSON body of an announcement, without the headers of its request."""
    said = announcement("stock-00001", MEMBERS[0]).announcement
    fields = {name: getattr(said, name) for name in said.__slots__}
    fields["members"] = [f"m{number}" for number in range(size)]
    return len(json.dumps(fields))
