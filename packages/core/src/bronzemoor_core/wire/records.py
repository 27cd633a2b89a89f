"""Replicated records of the statement protocol's control plane."""

import base64
import zlib
from typing import Annotated, Any

from msgspec import Meta, Struct, ValidationError, convert, field
from msgspec.structs import asdict

# Names and addresses are words of the statement protocol.
Name = Annotated[str, Meta(pattern=r"^[!-~]{1,200}\Z")]
Label = Annotated[str, Meta(pattern=r"^[^\x00-\x1f\x7f\ud800-\udfff]{1,200}\Z")]
# A host and a port from 1 to 65535.
Address = Annotated[
    str,
    Meta(
        pattern=r"^[!-~]{1,250}:([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}"
        r"|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\Z"
    ),
]
# What peers' messages can carry.
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# The end of the year 9999: no later start of a process is plausible.
UnixMilliseconds = Annotated[int, Meta(ge=0, le=253_402_300_799_999)]


class MemberRecord(Struct):
    """A member of a group according to its last announcement.

    ``born`` is the start of its process in milliseconds since the epoch and
    ``sequence`` counts its announcements since then, so that a late one is recognised.
    """

    member: Name
    group: Name
    address: Address
    zone: Label
    born: UnixMilliseconds
    sequence: Count
    leaving: bool
    primary: bool

    @property
    def order(self) -> tuple[int, int]:
        return self.born, self.sequence


def is_usable(record: MemberRecord) -> bool:
    """Returns whether the fields of a stored record are valid.

    Earlier builds stored records with a port out of range or with text that no message
    can carry.
    """
    try:
        convert(asdict(record), MemberRecord)
    except ValidationError:
        return False
    return True


class LeaderRecord(Struct):
    """A group's primary; ``candidate`` is set while a promotion is in progress."""

    group: str
    term: int = 0
    primary: str = ""
    candidate: str = ""
    # Fencing number of the last promotion of this group.
    fence: int = 0


def pack_document(document: str) -> str:
    """Compresses a document to text for the log."""
    return base64.b64encode(zlib.compress(document.encode())).decode()


def unpack_document(packed: str | bytes) -> str:
    """Returns a document from its compressed text or bytes; raises ``ValueError``."""
    try:
        data = base64.b64decode(packed) if isinstance(packed, str) else packed
        return zlib.decompress(data).decode()
    except zlib.error as error:
        raise ValueError(f"not a packed document: {error}") from error


class WireRecords(Struct):
    """The packed deployment document, members, primaries and the fencing counter."""

    version: int = 0
    document: str = ""
    members: dict[str, MemberRecord] = field(default_factory=dict)
    leaders: dict[str, LeaderRecord] = field(default_factory=dict)
    # Announcement order of members that left, so that a late announcement does not add
    # them again.
    departed: dict[str, tuple[int, int]] = field(default_factory=dict)
    last_fence: int = 0
    # By group, the number of the newest departure of a replica which may have been the
    # only one to acknowledge a commit, until another replica is seen to have as much.
    departures: dict[str, int] = field(default_factory=dict)
    last_departure: int = 0
    # By group, the number of the newest departure or removal of a replica that may
    # still run, with what it had acknowledged until then held by another.
    lingering: dict[str, int] = field(default_factory=dict)
    # Processes of proxies that may hold a lease or have acknowledged commits. A leader
    # grants a lease only to a process that it has recorded.
    lease_holders: list[str] = field(default_factory=list)
    # By group, term and offset of a position that covers what processes acknowledged
    # that are not recorded any more.
    covered: dict[str, tuple[int, int]] = field(default_factory=dict)
    # Whether the proxies of a zone share connections, for a new leader that does not
    # know yet how many proxies there are.
    sharing: bool = False
    # Processes of proxies that may have tokens of organisations' quotas. A leader
    # grants none before it has recorded the process.
    quota_holders: list[str] = field(default_factory=list)
    # Organisations that may have got tokens faster than at their pace.
    quota_marks: list[str] = field(default_factory=list)

    def to_dict(self) -> dict[str, Any]:
        fields = asdict(self)
        if not self.quota_holders:
            # Snapshots of deployments without quotas are as before.
            del fields["quota_holders"], fields["quota_marks"]
        if not self.lease_holders and not self.covered:
            del fields["lease_holders"], fields["covered"]
        if not self.last_departure:
            del fields["departures"], fields["last_departure"], fields["lingering"]
        return {
            **fields,
            "members": {k: asdict(v) for k, v in self.members.items()},
            "leaders": {k: asdict(v) for k, v in self.leaders.items()},
            "departed": dict(self.departed),
        }


def wire_records(data: dict[str, Any] | None) -> WireRecords:
    """Restores records from ``to_dict``; ``data`` is empty in older snapshots."""
    if not data:
        return WireRecords()
    return WireRecords(
        version=data["version"],
        document=data["document"],
        members={k: MemberRecord(**v) for k, v in data["members"].items()},
        leaders={k: LeaderRecord(**v) for k, v in data["leaders"].items()},
        departed={k: (v[0], v[1]) for k, v in data["departed"].items()},
        last_fence=data["last_fence"],
        departures=dict(data.get("departures", {})),
        last_departure=data.get("last_departure", 0),
        lingering=dict(data.get("lingering", {})),
        lease_holders=list(data.get("lease_holders", ())),
        covered={k: (v[0], v[1]) for k, v in data.get("covered", {}).items()},
        sharing=data.get("sharing", False),
        quota_holders=list(data.get("quota_holders", ())),
        quota_marks=list(data.get("quota_marks", ())),
    )
