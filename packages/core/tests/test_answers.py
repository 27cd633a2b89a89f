"""Tests of the matching of answers to calls."""

from zlib import crc32

import pytest
from msgspec.structs import replace

from bronzemoor_core.actions import Answer, Call
from bronzemoor_core.answers import check_answer

CALL = Call("execute", 7, request_id="r1")
WHOLE = Answer(7, "ok", "r1", payload=b"[1]", length=3, checksum=crc32(b"[1]"))


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (WHOLE, ""),
        (replace(WHOLE, correlation_id=8), "correlation"),
        (replace(WHOLE, request_id="r2"), "request_id"),
        (replace(WHOLE, payload=b"[1"), "length"),
        (replace(WHOLE, payload=b"[1]]"), "length"),
        (replace(WHOLE, payload=b"[2]"), "checksum"),
        (replace(WHOLE, checksum=0), "checksum"),
    ],
)
def test_only_a_complete_answer_to_the_call_is_accepted(answer, reason):
    """Guards against accepting a damaged answer or one to another call."""
    assert check_answer(CALL, answer) == reason
