"""Matching of endpoint answers to calls by ids, length and checksum."""

from zlib import crc32

from bronzemoor_core.actions import Answer, Call


def check_answer(call: Call, answer: Answer) -> str:
    """Returns why ``answer`` is no complete answer to ``call``, or an empty string.

    The reasons are ``correlation``, ``request_id``, ``length`` and ``checksum``.
    """
    if answer.correlation_id != call.correlation_id:
        return "correlation"
    if answer.request_id != call.request_id:
        return "request_id"
    if answer.length != len(answer.payload):
        return "length"
    if answer.checksum != crc32(answer.payload):
        return "checksum"
    return ""
