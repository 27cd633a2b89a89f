"""Interfaces that a platform adapter implements."""

from typing import Protocol

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire.authority import PromotionOrder
from bronzemoor_core.wire.deployment import Deployment
from bronzemoor_core.wire.statements import (
    Answer,
    EndRequest,
    MemberStatus,
    QueryRequest,
    StartRequest,
)


class StatementCodec(Protocol):
    """Encodes and decodes the statement protocol, whose messages end with CR LF."""

    reset_text: bytes
    rollback_text: bytes
    status_text: bytes
    resume_text: bytes

    def decode_request(
        self, line: bytes
    ) -> StartRequest | QueryRequest | EndRequest | None: ...

    def encode_ready(self, state: str, position: Position = ZERO) -> bytes: ...

    def encode_answer(self, answer: Answer) -> bytes: ...

    def encode_error(self, error: str, message: bytes) -> bytes: ...

    def encode_start(self, group: str, caller: str, member: str) -> bytes: ...

    def encode_query(
        self, query_id: bytes, text: bytes, at_least: Position = ZERO
    ) -> bytes: ...

    def set_text(self, name: bytes, value: bytes) -> bytes: ...

    def prepare_text(self, name: bytes, writes: bool, shape: bytes) -> bytes: ...

    def execute_text(self, name: bytes, body: bytes) -> bytes: ...

    def pause_text(self, term: int) -> bytes: ...

    def step_down_text(self, term: int) -> bytes: ...

    def decode_reply(self, line: bytes, answer: Answer) -> bool: ...

    def decode_status(self, answer: Answer) -> MemberStatus: ...


class DocumentReader(Protocol):
    """Reads an operator's deployment document; raises ``InvalidDeployment``."""

    def __call__(self, document: bytes | str) -> Deployment: ...


class PromotionExecutor(Protocol):
    """Requests a promotion from the platform; blocks, so it is called on a thread.

    Returns the outcome: ``done``, ``refused`` (the member is not running), ``expired``
    (the order was not sent by its deadline), or ``failed`` if it is unknown whether the
    promotion was carried out.
    """

    def __call__(self, order: PromotionOrder) -> str: ...
