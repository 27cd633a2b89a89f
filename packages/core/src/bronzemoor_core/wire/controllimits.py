"""Limits of what the clients of a control daemon's HTTP port make it hold.

The load are many large bodies at once, documents that take many times their size once
decoded, and requests that never end.
"""

import re

from bronzemoor_core.wire.clientbudget import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_LIMIT_BYTES,
    MEBIBYTE,
    MIN_BUDGET_BYTES,
    MIN_RESERVED_DESCRIPTORS,
    RESERVED_DESCRIPTOR_SHARE,
    ClientLimits,
)

MAX_DOCUMENT_BYTES = 4 * MEBIBYTE
MAX_HEARTBEAT_BYTES = 4 * 1_024
MAX_HEAD_BYTES = 16 * 1_024
# Resident memory of a control daemon without requests (42 MB measured), its log and the
# messages of its proxies.
CONTROL_BASE_MEMORY_BYTES = 64 * MEBIBYTE
# Parts of the remaining memory: for bodies and answers in progress, and for the one
# large document that is decoded at a time.
BODY_SHARE = 0.25
DECODING_SHARE = 0.5
# Clients are operators, members and their tools; each VM of a deployment has a few.
MAX_CONNECTIONS = 1_024

# Memory of decoded JSON: an empty list and an object with one entry take 56 and 232
# bytes, and each element a reference of 8 bytes, over-allocated by an eighth.
LIST_BYTES = 64
OBJECT_BYTES = 240
ELEMENT_BYTES = 64
# A document is held as received, as text, in its decoded strings and as text to store.
TEXT_COPIES = 3
WIDEST = re.compile(rb"[\xf0-\xff]|\\u[dD]")


def derive_control_limits(memory_limit: int, max_descriptors: int) -> ClientLimits:
    """Derives the limits from those of the VM; 0 stands for the default."""
    descriptors = max_descriptors or DEFAULT_MAX_DESCRIPTORS
    reserved = max(
        MIN_RESERVED_DESCRIPTORS, int(descriptors * RESERVED_DESCRIPTOR_SHARE)
    )
    connections = min(MAX_CONNECTIONS, max(1, descriptors - reserved))
    budget = int(_remaining(memory_limit) * BODY_SHARE)
    return ClientLimits(max(MIN_BUDGET_BYTES, budget), connections, reserved)


def max_decoded_bytes(memory_limit: int) -> int:
    """Returns how much memory a decoded document may take."""
    return int(_remaining(memory_limit) * DECODING_SHARE)


def estimate_decoded_bytes(body: bytes) -> int:
    """Returns an upper estimate of the memory that decoding a JSON body takes."""
    if body.isascii() and b"\\u" not in body:
        width = 1
    else:
        width = 4 if WIDEST.search(body) else 2
    return (
        len(body) * TEXT_COPIES * width
        + body.count(b"[") * LIST_BYTES
        + body.count(b"{") * OBJECT_BYTES
        + body.count(b",") * ELEMENT_BYTES
    )


def _remaining(memory_limit: int) -> int:
    memory = memory_limit or DEFAULT_MEMORY_LIMIT_BYTES
    return max(4 * MIN_BUDGET_BYTES, memory - CONTROL_BASE_MEMORY_BYTES)
