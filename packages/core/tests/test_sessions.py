"""Tests of session tokens: authenticity, key rotation and merging."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzemoor_core.actions import EmitLog
from bronzemoor_core.events import Tick
from bronzemoor_core.exceptions import InvalidSettings, InvalidToken
from bronzemoor_core.internal_events import TokenKeysChanged
from bronzemoor_core.node import make_node
from bronzemoor_core.positions import Position
from bronzemoor_core.sessions import ACTIVATION_DELAY_SECONDS, KeyRing, SessionToken
from bronzemoor_core.settings import NodeSettings

FIXED = settings(derandomize=True, database=None, deadline=None)
OLD, NEW = ("k1", b"first key"), ("k2", b"second key")
RING = KeyRing([OLD])
TOKEN = SessionToken(
    "toile", "s1", {"stock": Position(3, 70), "prices": Position(1, 5)}
)
TEXT = RING.sign(TOKEN)
POSITIONS = st.dictionaries(
    st.sampled_from(["a", "b", "c"]),
    st.builds(Position, st.integers(0, 9), st.integers(1, 9)),
)


def test_a_token_keeps_its_content():
    """Guards against positions that are lost between two proxies."""
    assert RING.verify(TEXT, "toile") == TOKEN


@FIXED
@given(st.integers(0, len(TEXT) - 1), st.characters(max_codepoint=0x17F))
def test_a_forged_token_is_refused(index, character):
    """Guards against accepting a changed token; only padding bits may differ."""
    forged = TEXT[:index] + character + TEXT[index + 1 :]
    try:
        assert RING.verify(forged, "toile") == TOKEN
        assert forged == TEXT or index in (TEXT.index(".") - 1, len(TEXT) - 1)
    except InvalidToken:
        pass


@pytest.mark.parametrize("length", range(len(TEXT)))
def test_a_truncated_token_is_refused(length):
    """Guards against accepting a token that was truncated in transit."""
    with pytest.raises(InvalidToken):
        RING.verify(TEXT[:length], "toile")


@FIXED
@given(st.text() | st.binary().map(lambda data: data.decode("latin-1")))
def test_any_other_text_is_refused(text):
    """Guards against an error other than ``InvalidToken`` on untrusted input."""
    with pytest.raises(InvalidToken):
        RING.verify(text, "toile")


def test_deeply_nested_json_is_refused():
    """Guards against a body that exhausts the stack of the parser."""
    body = KeyRing.sign.__globals__["_encode"](b"[" * 30_000)
    with pytest.raises(InvalidToken):
        RING.verify(f"{body}.AAAA", "toile")


def test_a_token_of_another_organisation_is_refused():
    """Guards against a session that is valid in two organisations."""
    with pytest.raises(InvalidToken):
        RING.verify(TEXT, "reclamar")


def test_a_rotation_keeps_live_tokens_until_the_old_key_is_retired():
    """Guards against sessions that are invalidated when a key is added."""
    rotated = KeyRing([NEW, OLD])
    assert rotated.verify(TEXT, "toile") == TOKEN
    assert KeyRing([OLD, NEW]).verify(rotated.sign(TOKEN), "toile") == TOKEN
    with pytest.raises(InvalidToken):
        KeyRing([NEW]).verify(TEXT, "toile")


@pytest.mark.parametrize("keys", [[], [("", b"x")], [("k", b"")], [OLD, OLD]])
def test_an_unusable_key_list_is_refused(keys):
    """Guards against signing with an empty or ambiguous key."""
    with pytest.raises(InvalidSettings):
        KeyRing(keys)


@FIXED
@given(POSITIONS, POSITIONS)
def test_merging_takes_the_later_position(one, other):
    """Guards against a session that forgets a write when tokens are merged."""
    merged = SessionToken("toile", "s1", dict(one))
    merged.merge(SessionToken("toile", "s1", other))
    for name in ("a", "b", "c"):
        known = [tokens[name] for tokens in (one, other) if name in tokens]
        assert merged.position(name) == max(known, default=Position())


def test_keys_change_at_run_time_and_the_development_key_is_reported():
    """Guards against an unreported insecure key and keys that need a restart."""
    node = make_node(NodeSettings("vm-1", "lisbon"), Random(1))
    logs = [a for a in node.handle(0.0, Tick()) if isinstance(a, EmitLog)]
    assert [log.event for log in logs] == ["insecure_token_key"]
    node.handle(1.0, TokenKeysChanged([OLD]))
    assert node.blackboard.sessions.key_ring.verify(TEXT, "toile") == TOKEN
    assert not [a for a in node.handle(2.0, Tick()) if isinstance(a, EmitLog)]


def test_a_new_key_signs_only_once_every_daemon_can_verify_it():
    """Guards against tokens that another daemon refuses during a rotation."""
    node = make_node(NodeSettings("vm-1", "lisbon", token_keys=dict([OLD])), Random(1))
    node.handle(1.0, TokenKeysChanged([NEW, OLD]))
    sessions = node.blackboard.sessions
    assert sessions.key_ring.signing_key == OLD
    node.handle(1.0 + ACTIVATION_DELAY_SECONDS / 2, Tick())
    assert sessions.key_ring.signing_key == OLD
    node.handle(1.0 + ACTIVATION_DELAY_SECONDS, Tick())
    assert sessions.key_ring.signing_key == NEW
    assert sessions.key_ring.verify(TEXT, "toile") == TOKEN


def test_a_restarted_daemon_does_not_use_a_withdrawn_key():
    """Guards against the key of the settings, withdrawn by rotations, after a restart.

    It signed for three seconds, and the other daemons refused the tokens.
    """
    settings = NodeSettings("vm-1", "lisbon", token_keys=dict([OLD]))
    node = make_node(settings, Random(1))
    ring = [NEW, ("before", b"b" * 16), ("oldest", b"o" * 16)]
    node.handle(1.0, TokenKeysChanged(ring, at_start=True))
    sessions = node.blackboard.sessions
    # Other daemons may not have the newest key yet.
    assert sessions.key_ring.signing_key == ring[1]
    with pytest.raises(InvalidToken):
        sessions.key_ring.verify(TEXT, "toile")
    node.handle(1.0 + ACTIVATION_DELAY_SECONDS, Tick())
    assert sessions.key_ring.signing_key == NEW


def test_the_development_key_is_not_used_after_a_restart():
    """Guards against tokens that anyone can forge while a daemon starts."""
    node = make_node(NodeSettings("vm-1", "lisbon"), Random(1))
    forged = node.blackboard.sessions.key_ring.sign(TOKEN)
    node.handle(1.0, TokenKeysChanged([NEW], at_start=True))
    with pytest.raises(InvalidToken):
        node.blackboard.sessions.key_ring.verify(forged, "toile")
    assert node.blackboard.sessions.key_ring.signing_key == NEW


def test_a_daemon_that_missed_rotations_does_not_sign_with_a_withdrawn_key():
    """Guards against tokens of a daemon that was cut off, which no other accepts."""
    node = make_node(NodeSettings("vm-1", "lisbon", token_keys=dict([OLD])), Random(1))
    ring = [NEW, ("before", b"b" * 16), ("oldest", b"o" * 16)]
    node.handle(1.0, TokenKeysChanged(ring))
    assert node.blackboard.sessions.key_ring.signing_key == ring[1]
