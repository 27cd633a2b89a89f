"""Organisations of a soak run, whose keys are added and withdrawn."""

import time
from random import Random

ORGANISATIONS = ("north", "south", "west", "east")
# A withdrawn key is refused everywhere after this time.
WITHDRAWAL_SECONDS = 4.0
# Far above what the clients send, so that a refusal is not due to a quota.
RATE_PER_SECOND = 1_000
# How often a client uses a key that was withdrawn long ago.
WITHDRAWN_USE_PROBABILITY = 0.1


class Keys:
    """The keys in force and those that were withdrawn, by organisation."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._number = 0
        self._current = {name: [self._new_key(), self._new_key()] for name in
                         ORGANISATIONS}  # fmt: skip
        # Withdrawn keys with the time of the acknowledgement.
        self._withdrawn: list[tuple[float, str, str]] = []

    def _new_key(self) -> str:
        self._number += 1
        return f"key-{self._number}"

    def rotate(self) -> dict[str, list[str]]:
        """Returns the next keys by organisation; one of them replaces another."""
        changed = {name: list(keys) for name, keys in self._current.items()}
        name = self._random.choice(ORGANISATIONS)
        changed[name] = [changed[name][1], self._new_key()]
        return changed

    def describe(self, keys: dict[str, list[str]]) -> list[dict]:
        """Returns the organisations as a document lists them."""
        return [
            {"name": name, "api_keys": keys[name], "rate_per_s": RATE_PER_SECOND}
            for name in ORGANISATIONS
        ]

    def accepted(self, keys: dict[str, list[str]]) -> None:
        """Records that a document with these keys was acknowledged."""
        for name, known in self._current.items():
            for key in known:
                if key not in keys[name]:
                    self._withdrawn.append((time.monotonic(), name, key))
        self._current = keys

    def choose(self) -> tuple[str, str, bool]:
        """Returns an organisation, a key of it and whether the key is in force.

        The second key is in force at least until the change after the next.
        """
        limit = time.monotonic() - WITHDRAWAL_SECONDS
        old = [item for item in self._withdrawn if item[0] < limit]
        if old and self._random.random() < WITHDRAWN_USE_PROBABILITY:
            _, name, key = self._random.choice(old)
            return name, key, False
        name = self._random.choice(ORGANISATIONS)
        return name, self._current[name][1], True
