"""Tests of the limits of the control port."""

import json
import tracemalloc

import pytest

from bronzemoor_core.wire.clientbudget import MEBIBYTE
from bronzemoor_core.wire.controllimits import (
    MAX_DOCUMENT_BYTES,
    derive_control_limits,
    estimate_decoded_bytes,
    max_decoded_bytes,
)

ORGANISATION = '{"name": "t%06d", "api_keys": ["%030d"], "priority": 1},'


@pytest.mark.parametrize("memory_mb", [0, 296])
def test_the_largest_document_of_organisations_is_admitted(memory_mb):
    """Guards against an estimate that refuses a legal document."""
    entry = ORGANISATION % (1, 2)
    body = (entry * (MAX_DOCUMENT_BYTES // len(entry))).encode()
    memory = memory_mb * MEBIBYTE
    assert estimate_decoded_bytes(body) <= max_decoded_bytes(memory)
    assert derive_control_limits(memory, 4_096).budget_bytes > 4 * MAX_DOCUMENT_BYTES


@pytest.mark.parametrize("item", ["[],", "{},", '{"":0},', "0,", '"\U0001f600",'])
def test_the_estimate_is_not_below_what_decoding_takes(item):
    """Guards against documents that take more memory than was estimated."""
    body = ("[" + item * 50_000 + "0]").encode()
    tracemalloc.start()
    try:
        decoded = json.loads(body)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(decoded) == 50_001
    assert peak <= estimate_decoded_bytes(body)
