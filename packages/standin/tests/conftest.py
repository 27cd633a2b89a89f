"""Fixtures shared by the tests of the stand-in."""

import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from bronzemoor_standin.caller import Caller
from bronzemoor_standin.group import Group


@pytest.fixture
def group() -> Iterator[Group]:
    with Group(heartbeat_ms=10) as running:
        yield running


@pytest.fixture
def single() -> Iterator[Group]:
    """A group of one member; its writes need no other member."""
    with Group(data_centres=["dc1"], max_message_bytes=100_000) as running:
        yield running


@pytest.fixture
def call() -> Iterator[Callable[..., Caller]]:
    """Opens connections to members and closes them after the test."""
    opened = []

    def connect(member: Any, timeout_ms: float = 5000) -> Caller:
        opened.append(Caller(member.address, member.settings.database, timeout_ms))
        return opened[-1]

    yield connect
    for caller in opened:
        caller.close()


@pytest.fixture
def eventually() -> Callable[..., Any]:
    """Waits for a condition to hold; the limit is only an outer bound."""

    def wait(condition: Callable[[], Any], timeout: float = 10.0) -> Any:
        until = time.monotonic() + timeout
        while not (value := condition()):
            assert time.monotonic() < until, "the condition never held"
            time.sleep(0.005)
        return value

    return wait
