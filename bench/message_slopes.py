"""Slopes of message sizes and of the costs of encoding and decoding messages."""

import json
from collections.abc import Callable
from typing import Any

from bench.daemon_slopes import configuration_update, topology_update
from bench.fit import cpu_microseconds, slope
from bench.log_slopes import log_entry
from bench.scale import (
    MEMBERS,
    make_announcement,
    make_daemon_heartbeat,
    make_member_summary,
)
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
GROUP_SIZES = (3, 5, 7, 9)


def heartbeat_with_members(size: int) -> Heartbeat:
    members = [make_member_summary(f"stock-{k:05}", "m1") for k in range(size)]
    return make_daemon_heartbeat(2**47, [], members)


def heartbeat_reply(size: int) -> HeartbeatReply:
    shares = [Share(f"stock-{k:05}", 8, 3_000) for k in range(size)]
    versions = {f"organisation-{k:04}": 7 for k in range(size // 3)}
    return HeartbeatReply(2**47, "control-1", shares, versions, 2**31)


def append_entries(size: int) -> AppendEntries:
    return AppendEntries(1, 0, 0, [log_entry(k + 1) for k in range(size)], 0, 1)


# Messages by name, each with its factory and the unit of its size.
MESSAGES: dict[str, tuple[Callable[[int], Any], str]] = {
    "Heartbeat": (
        lambda n: make_daemon_heartbeat(2**47, list(range(n // 3)), []),
        "databases",
    ),
    "Heartbeat.members": (heartbeat_with_members, "member summaries"),
    "HeartbeatReply": (heartbeat_reply, "databases"),
    "TopologyUpdate": (lambda n: topology_update(range(n // 3)), "databases"),
    "ConfigurationUpdate": (lambda n: configuration_update(range(n), 7), "templates"),
    "AppendEntries": (append_entries, "entries"),
}


def encode(message: Any) -> bytes:
    return to_bytes(encode_envelope("daemon-0001", "control-1", message))


def decode(data: bytes) -> Any:
    return decode_envelope(from_bytes(ttypes.Envelope, data))


def register_slopes(name: str, make: Callable[[int], Any], per: str) -> None:
    """Registers the size, encoding cost and decoding cost of one kind of message."""

    @slope(f"bytes.{name}", "bytes", per, SIZES)
    def size_of(size: int) -> float:
        return len(encode(make(size)))

    @slope(f"encode.{name}", "us", per, SIZES)
    def encode_cost(size: int) -> float:
        message = make(size)
        return cpu_microseconds(lambda: encode(message))

    @slope(f"decode.{name}", "us", per, SIZES)
    def decode_cost(size: int) -> float:
        data = encode(make(size))
        return cpu_microseconds(lambda: decode(data))


for _name, (_make, _per) in MESSAGES.items():
    register_slopes(_name, _make, _per)


@slope("bytes.Announcement", "bytes", "members of the group", GROUP_SIZES)
def announcement_size(size: int) -> float:
    """The JSON body of an announcement, without HTTP headers."""
    message = make_announcement("stock-00001", MEMBERS[0]).announcement
    fields = {name: getattr(message, name) for name in message.__slots__}
    fields["members"] = [f"m{number}" for number in range(size)]
    return len(json.dumps(fields))
