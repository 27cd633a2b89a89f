"""Exceptions of Bronzemoor, with the step and the peer at which they arose."""


class BronzemoorError(Exception):
    """Base of all errors.

    ``code`` is stable and machine-readable, ``step`` names the processing step and
    ``peer`` the remote process, or is empty.
    """

    code = "internal"

    def __init__(
        self, message: str, *, step: str = "", peer: str = "", code: str = ""
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        if code:
            self.code = code

    def __str__(self) -> str:
        where = f" (step={self.step} peer={self.peer})" if self.step else ""
        return f"{self.message}{where}"


class InvalidRequest(BronzemoorError):
    """The caller's input is malformed; nothing ran."""

    code = "invalid_request"


class InvalidToken(InvalidRequest):
    """A session token is truncated, forged or signed with a retired key."""

    code = "invalid_session_token"


class InvalidSettings(BronzemoorError):
    """Settings or a template failed validation; lists every problem."""

    code = "invalid_settings"

    def __init__(self, problems: list[str], *, step: str = "settings") -> None:
        super().__init__("; ".join(problems), step=step)
        self.problems = problems


class StorageError(BronzemoorError):
    """The log or a snapshot cannot be written or read."""

    code = "storage_failed"


class CorruptStorage(StorageError):
    """Stored bytes fail their checksum and cannot be repaired."""

    code = "storage_corrupt"

    def __init__(self, message: str, *, file: str, offset: int) -> None:
        super().__init__(f"{message}: {file} at byte {offset}", step="storage")
        self.file = file
        self.offset = offset


class OwnershipError(BronzemoorError):
    """A controller wrote a section of the blackboard that it does not own."""

    code = "section_not_owned"


class ProtocolError(BronzemoorError):
    """A peer sent a message that cannot be decoded or has an unknown version."""

    code = "protocol_error"
