"""Tests of what is known to be set on an endpoint connection."""

from bronzemoor_core.wire.sessionstate import ConnectionState, SessionState

SHAPE, OTHER_SHAPE = (False, b"shape-one"), (True, b"shape-two")


def make_session(**values: bytes) -> SessionState:
    session = SessionState()
    session.values = {name.encode(): value for name, value in values.items()}
    return session


def test_a_refused_value_is_missing_for_its_session_and_surplus_for_others():
    """Guards against a value that an endpoint has or lacks without our knowing."""
    state, session = ConnectionState(), make_session(tz=b"lisbon")
    state.set_value(b"tz", b"lisbon")
    assert state.missing_values(session) == []
    state.value_refused(b"tz")
    assert state.missing_values(session) == [(b"tz", b"lisbon")]
    assert not state.needs_reset(session)
    assert state.needs_reset(make_session())


def test_a_refused_reset_is_due_again():
    """Guards against values of an earlier session that count as cleared."""
    state = ConnectionState()
    state.set_value(b"tz", b"lisbon")
    state.reset()
    assert not state.needs_reset(make_session())
    state.reset_refused()
    assert state.needs_reset(make_session())
    state.reset()
    assert not state.needs_reset(make_session())


def test_a_name_stands_for_one_shape_for_the_life_of_a_connection():
    """Guards against EXECUTE of a shape that an earlier, refused PREPARE had set."""
    state = ConnectionState()
    name, is_new = state.prepared_name(SHAPE)
    assert is_new and state.prepared_name(SHAPE) == (name, False)
    state.prepare_refused(SHAPE, name)
    assert state.prepared_name(OTHER_SHAPE)[0] != name
    again, is_new = state.prepared_name(SHAPE)
    assert is_new and again != name
    state.reset()
    assert state.prepared_name(OTHER_SHAPE)[0] not in (name, again)


def test_a_late_refusal_does_not_forget_a_newer_name():
    """Guards against preparing a shape again that a reset and a PREPARE have set."""
    state = ConnectionState()
    old, _ = state.prepared_name(SHAPE)
    state.reset()
    new, _ = state.prepared_name(SHAPE)
    state.prepare_refused(SHAPE, old)
    assert state.prepared_name(SHAPE) == (new, False)
