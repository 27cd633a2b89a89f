"""The three outcomes of a request."""

from typing import ClassVar

from msgspec import Struct


class Done(Struct, frozen=True):
    """The request ran; ``payload`` is the endpoint's complete JSON answer.

    ``code`` is ``ok`` or ``statement_failed``; a failed statement list was rolled
    back as a whole and ``message`` holds the endpoint's error.
    """

    tag: ClassVar[str] = "done"
    payload: bytes
    step: str = "answer"
    peer: str = ""
    code: str = "ok"
    message: str = ""
    role: str = ""
    repeated: bool = False
    transaction: str = ""


class NotRun(Struct, frozen=True):
    """The request did not run: it was not sent, or was refused before execution."""

    tag: ClassVar[str] = "not_run"
    code: str
    message: str
    step: str
    peer: str = ""
    retry_after_ms: int = 0


class Unknown(Struct, frozen=True):
    """The request may or may not have run; resend it with the same request id."""

    tag: ClassVar[str] = "unknown"
    code: str
    message: str
    step: str
    peer: str = ""


Outcome = Done | NotRun | Unknown
