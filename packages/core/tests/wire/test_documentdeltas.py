"""Tests of the encoding of documents for proxies that have an earlier version."""

from random import Random

import pytest

from bronzemoor_core.exceptions import ProtocolError
from bronzemoor_core.wire.documentdeltas import (
    KEPT_VERSIONS,
    DocumentEncoder,
    decode_delta,
)
from bronzemoor_core.wire.records import unpack_document


def document(version: int) -> str:
    random = Random(7)
    lines = [f"route {n} {random.getrandbits(128):x} {version}" for n in range(150)]
    return "\n".join(lines)


def test_a_change_costs_a_fraction_of_the_document():
    """Guards against sending each proxy the whole document for a small change."""
    encoder = DocumentEncoder()
    encoder.set_document(1, document(1))
    encoder.set_document(2, document(2))
    whole, needed = encoder.encode(0, accepts_deltas=True)
    assert needed == 0 and unpack_document(whole) == document(2)
    delta, base = encoder.encode(1, accepts_deltas=True)
    assert base == 1 and decode_delta(delta, document(1)) == document(2)
    assert len(delta) < len(whole) / 3


def test_proxies_of_earlier_builds_and_versions_get_the_whole_document():
    """Guards against a proxy that cannot decode what it is sent."""
    encoder = DocumentEncoder()
    for version in range(1, KEPT_VERSIONS + 3):
        encoder.set_document(version, document(version))
    assert encoder.encode(KEPT_VERSIONS + 1, accepts_deltas=False)[1] == 0
    assert encoder.encode(1, accepts_deltas=True)[1] == 0
    assert encoder.encode(2, accepts_deltas=True)[1] == 2


def test_a_delta_for_another_document_is_refused():
    """Guards against a document made of parts of two versions."""
    encoder = DocumentEncoder()
    encoder.set_document(1, document(1))
    encoder.set_document(2, document(2))
    delta, _ = encoder.encode(1, accepts_deltas=True)
    for wrong, base in ((delta, document(3)), (delta[:-5], document(1)), (b"x", "")):
        with pytest.raises(ProtocolError):
            decode_delta(wrong, base)
