"""Session tokens, which hold a position for each database, and their keys."""

import hmac
import json
from base64 import b64decode, urlsafe_b64encode
from dataclasses import dataclass, field
from hashlib import sha256
from random import Random
from typing import Any

from bronzemoor_core.actions import EmitLog
from bronzemoor_core.blackboard import Blackboard, section
from bronzemoor_core.controllers import Controller, controller, handles
from bronzemoor_core.events import Tick
from bronzemoor_core.exceptions import InvalidSettings, InvalidToken
from bronzemoor_core.internal_events import TokenKeysChanged
from bronzemoor_core.positions import ZERO, Position

DEVELOPMENT_KEY_ID = "insecure-development"
# Public by design: it only lets a demo on loopback run without settings.
DEVELOPMENT_KEY = sha256(b"bronzemoor insecure development key").digest()
# For this long a new key verifies tokens but does not sign them: a change reaches every
# daemon within 3 s, and none may receive a token whose key it does not have yet.
ACTIVATION_DELAY_SECONDS = 3.0
# Limits the work spent on a token before it is authenticated.
MAX_TOKEN_LENGTH = 65_536


@dataclass(slots=True)
class SessionToken:
    """The latest position that a session has seen of each database.

    ``session`` is a random id that binds transactions to their session.
    """

    organisation: str
    session: str
    positions: dict[str, Position] = field(default_factory=dict)

    def position(self, database: str) -> Position:
        return self.positions.get(database, ZERO)

    def advance(self, database: str, position: Position) -> None:
        """Raises the known position to ``position`` if that is later.

        Comparing (term, offset) suffices: a promotion keeps every confirmed position,
        so a position of a later term includes all surviving entries of earlier terms.
        """
        if position.offset and position > self.position(database):
            self.positions[database] = position

    def merge(self, other: "SessionToken") -> None:
        """Keeps the later position of each database."""
        for database, position in other.positions.items():
            self.advance(database, position)


class KeyRing:
    """Keys by id; all verify, and ``signer``, by default the first one, signs."""

    __slots__ = ("_keys", "_signer")

    def __init__(self, keys: list[tuple[str, bytes]], signer: str = "") -> None:
        self._keys = dict(keys)
        if not keys or not all(name and key for name, key in keys):
            raise InvalidSettings(["token_keys: needs ids with non-empty keys"])
        if len(self._keys) < len(keys):
            raise InvalidSettings(["token_keys: an id is used twice"])
        self._signer = signer or keys[0][0]

    @property
    def signing_key(self) -> tuple[str, bytes]:
        """Id and secret of the key that signs."""
        return self._signer, self._keys[self._signer]

    @property
    def insecure(self) -> bool:
        return self._signer == DEVELOPMENT_KEY_ID

    def sign(self, token: SessionToken) -> str:
        """Returns the token's text: body and signature in base64url."""
        body = {
            "k": self._signer,
            "o": token.organisation,
            "s": token.session,
            "p": {name: [p.term, p.offset] for name, p in token.positions.items()},
        }
        data = json.dumps(body, separators=(",", ":")).encode()
        signature = hmac.digest(self._keys[self._signer], data, "sha256")
        return f"{_encode(data)}.{_encode(signature)}"

    def verify(self, text: str, organisation: str) -> SessionToken:
        """Returns the token of ``text``, or raises ``InvalidToken``."""
        data, signature = _split_token(text)
        body = _parse_body(data)
        key = self._keys.get(body["k"])
        if key is None:
            raise InvalidToken("the token's key is not known", step="session")
        if not hmac.compare_digest(hmac.digest(key, data, "sha256"), signature):
            raise InvalidToken("the token's signature does not match", step="session")
        if body["o"] != organisation:
            raise InvalidToken(
                "the token belongs to another organisation", step="session"
            )
        positions = {name: Position(*pair) for name, pair in body["p"].items()}
        return SessionToken(organisation, body["s"], positions)


@section("sessions")
class Sessions:
    """``key_ring`` holds the active keys."""

    __slots__ = ("key_ring",)

    def __init__(self) -> None:
        self.key_ring = KeyRing([(DEVELOPMENT_KEY_ID, DEVELOPMENT_KEY)])


@controller("sessions")
class SessionKeyController(Controller):
    """Owns the sessions section."""

    _section: Sessions

    def __init__(self, blackboard: Blackboard, settings: Any, random: Random) -> None:
        super().__init__(blackboard, settings, random)
        if settings.token_keys:
            self._section.key_ring = KeyRing(list(settings.token_keys.items()))
        self._warned = not self._section.key_ring.insecure
        self._next_ring: KeyRing | None = None
        self._activate_at = 0.0

    @handles(TokenKeysChanged)
    def on_keys_changed(self, now: float, event: TokenKeysChanged) -> list[EmitLog]:
        self._next_ring = KeyRing(event.keys)
        self._activate_at = now + ACTIVATION_DELAY_SECONDS
        self._section.key_ring = self._transitional_ring(event)
        return [
            EmitLog("info", "token_keys_changed", {"next_signer": event.keys[0][0]})
        ]

    def _transitional_ring(self, event: TokenKeysChanged) -> KeyRing:
        """Returns the ring that is used until every daemon has the newest key.

        The key that signed so far goes on, unless it was withdrawn while this daemon
        was down or cut off: then the key before the newest one signs.
        """
        old_id, old_secret = self._section.key_ring.signing_key
        known = dict(event.keys)
        if old_id in known:
            return KeyRing(event.keys, old_id)
        newest, *older = known
        if event.at_start or older:
            return KeyRing(event.keys, older[0] if older else newest)
        return KeyRing([*event.keys, (old_id, old_secret)], old_id)

    @handles(Tick)
    def on_tick(self, now: float, event: Tick) -> list[EmitLog]:
        if self._next_ring is not None and now >= self._activate_at:
            self._section.key_ring, self._next_ring = self._next_ring, None
            signer, _ = self._section.key_ring.signing_key
            return [EmitLog("info", "token_key_activated", {"signer": signer})]
        if self._warned:
            return []
        self._warned = True
        return [
            EmitLog(
                "warning",
                "insecure_token_key",
                {"hint": "set token_keys; anyone can forge sessions signed this way"},
            )
        ]


def _encode(data: bytes) -> str:
    return urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)


def _split_token(text: str) -> tuple[bytes, bytes]:
    body, separator, signature = text.partition(".")
    try:
        if not separator or len(text) > MAX_TOKEN_LENGTH:
            raise ValueError("no signature, or too long")
        return _decode(body), _decode(signature)
    except ValueError as error:
        raise InvalidToken(f"the token is malformed: {error}", step="session") from None


def _parse_body(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
        ids_are_text = all(isinstance(body[name], str) for name in "kos")
    except (ValueError, KeyError, TypeError, RecursionError):
        raise InvalidToken("the token's body is malformed", step="session") from None
    if not ids_are_text:
        raise InvalidToken("the token's body is malformed", step="session")
    return body
