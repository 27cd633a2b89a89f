"""HTTP client of the administration interface, with several daemons to try."""

from typing import Any
from urllib.parse import urlsplit

from requests import ConnectTimeout, RequestException, Session
from urllib3.exceptions import MaxRetryError, NewConnectionError

from bronzemoor_core.exceptions import BronzemoorError

CONNECT_TIMEOUT_SECONDS = 2.0
ANSWER_TIMEOUT_SECONDS = 15.0

# Errors that guarantee that nothing was changed; another daemon may still answer.
RETRYABLE_CODES = frozenset({"no_leader", "not_leader"})


class DaemonUnreachable(BronzemoorError):
    """None of the given daemons could be reached."""

    code = "unreachable"


class AnswerLost(BronzemoorError):
    """The answer was lost after the request was sent; the change may be applied."""

    code = "unknown"


class Connection:
    """Sends commands to the first of ``daemons`` (URLs) that answers."""

    def __init__(self, daemons: list[str], token: str = "", ca: str = "") -> None:
        self._daemons = [with_scheme(daemon) for daemon in daemons]
        self._token, self._ca = token, ca
        self._session = Session()
        # Proxies from the environment must not receive operator credentials.
        self._session.trust_env = False
        if token:
            self._session.headers["Authorization"] = f"Bearer {token}"
        if ca:
            self._session.verify = ca

    @property
    def daemons(self) -> list[str]:
        return self._daemons

    def only(self, daemon: str) -> "Connection":
        """Returns a connection that sends everything to this one of the daemons."""
        return Connection([daemon], self._token, self._ca)

    def send(
        self, command: str, arguments: dict[str, Any], *, repeatable: bool
    ) -> dict[str, Any]:
        """Sends one command and returns the decoded answer, which has a ``code``.

        A command that is not ``repeatable`` is tried at the next daemon only if the
        previous one certainly did not receive or execute it.
        """
        failures = []
        answer: dict[str, Any] = {}
        for daemon in self._daemons:
            try:
                answer = self._post(daemon, command, arguments)
            except RequestException as error:
                if not repeatable and not is_connect_failure(error):
                    raise AnswerLost(
                        f"the answer to {command} was lost: {describe_error(error)}",
                        step="admin",
                        peer=daemon,
                    ) from error
                failures.append(f"{daemon}: {describe_error(error)}")
                continue
            if answer.get("code") not in RETRYABLE_CODES:
                return answer
            failures.append(f"{daemon}: {answer.get('code')}")
        if answer:
            return answer
        raise DaemonUnreachable("; ".join(failures), step="connect")

    def _post(
        self, daemon: str, command: str, arguments: dict[str, Any]
    ) -> dict[str, Any]:
        response = self._session.post(
            f"{daemon}/v1/admin/{command}",
            json=arguments,
            timeout=(CONNECT_TIMEOUT_SECONDS, ANSWER_TIMEOUT_SECONDS),
        )
        body = response.json()
        if not isinstance(body, dict):
            raise RequestException(f"unexpected answer of type {type(body).__name__}")
        return body


def is_connect_failure(error: RequestException) -> bool:
    """Returns whether the connection was never established, so nothing was sent."""
    if isinstance(error, ConnectTimeout):
        return True
    cause = error.args[0] if error.args else None
    return isinstance(cause, MaxRetryError) and isinstance(
        cause.reason, NewConnectionError
    )


def describe_error(error: RequestException) -> str:
    """Returns a short reason instead of the nested message of ``requests``."""
    return "connection refused" if is_connect_failure(error) else type(error).__name__


def with_scheme(daemon: str) -> str:
    """Returns the daemon's URL; ``host:port`` without a scheme gets ``http://``."""
    url = daemon if "://" in daemon else f"http://{daemon}"
    parts = urlsplit(url)
    if not parts.hostname:
        raise BronzemoorError(f"not an address: {daemon!r}", step="arguments")
    return url.rstrip("/")
