"""HTTP connection to the administration interface of one of several daemons."""

from typing import Any
from urllib.parse import urlsplit

from requests import ConnectTimeout, RequestException, Session
from urllib3.exceptions import MaxRetryError, NewConnectionError

from bronzemoor_core.exceptions import BronzemoorError

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 15.0

# Errors after which another daemon may still answer; nothing was changed.
RETRY_ELSEWHERE = frozenset({"no_leader", "not_leader"})


class DaemonUnreachable(BronzemoorError):
    """None of the given daemons answered."""

    code = "unreachable"


class AnswerLost(BronzemoorError):
    """A daemon took the command but its answer was lost; the change may be applied."""

    code = "unknown"


class Connection:
    """Sends commands to the first of ``daemons`` (URLs) that answers."""

    def __init__(self, daemons: list[str], token: str = "", ca: str = "") -> None:
        self._daemons = [with_scheme(daemon) for daemon in daemons]
        self._session = Session()
        # Environment proxies must not see the operators' credentials.
        self._session.trust_env = False
        if token:
            self._session.headers["Authorization"] = f"Bearer {token}"
        if ca:
            self._session.verify = ca

    @property
    def daemons(self) -> list[str]:
        return self._daemons

    def send(
        self, command: str, arguments: dict[str, Any], *, repeatable: bool
    ) -> dict[str, Any]:
        """Sends one command and returns the decoded answer, which has a ``code``.

        A command that is not ``repeatable`` is sent on to the next daemon only if the
        previous one certainly did not take it.
        """
        failures = []
        answer: dict[str, Any] = {}
        for daemon in self._daemons:
            try:
                answer = self._post(daemon, command, arguments)
            except RequestException as error:
                if not repeatable and not is_connect_failure(error):
                    raise AnswerLost(
                        f"the answer to {command} was lost: {describe(error)}",
                        step="admin",
                        peer=daemon,
                    ) from error
                failures.append(f"{daemon}: {describe(error)}")
                continue
            if answer.get("code") not in RETRY_ELSEWHERE:
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
            timeout=(CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S),
        )
        body = response.json()
        if not isinstance(body, dict):
            raise RequestException(f"unexpected answer of type {type(body).__name__}")
        return body


def is_connect_failure(error: RequestException) -> bool:
    """Tells whether the connection was never established, so that nothing was sent."""

    if isinstance(error, ConnectTimeout):
        return True
    cause = error.args[0] if error.args else None
    return isinstance(cause, MaxRetryError) and isinstance(
        cause.reason, NewConnectionError
    )


def describe(error: RequestException) -> str:
    """A short reason in place of the library's nested message."""
    return "connection refused" if is_connect_failure(error) else type(error).__name__


def with_scheme(daemon: str) -> str:
    """Completes ``host:port`` to a URL."""
    url = daemon if "://" in daemon else f"http://{daemon}"
    parts = urlsplit(url)
    if not parts.hostname:
        raise BronzemoorError(f"not an address: {daemon!r}", step="arguments")
    return url.rstrip("/")
