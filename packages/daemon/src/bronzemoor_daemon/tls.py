"""TLS contexts whose certificates can be replaced while connections are open."""

import ssl
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.settings_schema import ListenSettings, TlsFiles
from bronzemoor_daemon.framing import split_address

ContextSource = Callable[[], ssl.SSLContext]


@dataclass(slots=True, frozen=True)
class Contexts:
    """Contexts created from one version of the certificate files."""

    http: ssl.SSLContext
    peer_server: ssl.SSLContext
    peer_client: ssl.SSLContext


class TlsContexts:
    """Contexts for HTTP (server only) and for peers (mutual authentication).

    A reload creates new contexts. Loading into one in use is not atomic: a handshake
    between loading the certificate and the key would fail.
    """

    def __init__(self, settings: TlsFiles) -> None:
        self._settings = settings
        self._modified = self._modification_times()
        self._current = self._load()

    def http(self) -> ssl.SSLContext:
        return self._current.http

    def peer_server(self) -> ssl.SSLContext:
        return self._current.peer_server

    def peer_client(self) -> ssl.SSLContext:
        return self._current.peer_client

    def reload(self) -> bool:
        """Loads changed files for new connections; open ones keep their certificate.

        Raises ``InvalidSettings`` and keeps the old certificate if a file is invalid.
        """
        modified = self._modification_times()
        if modified == self._modified:
            return False
        self._current = self._load()
        self._modified = modified
        return True

    def _load(self) -> Contexts:
        contexts = Contexts(
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
            ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
        )
        try:
            for context in (contexts.http, contexts.peer_server, contexts.peer_client):
                context.load_cert_chain(self._settings.certificate, self._settings.key)
            for context in (contexts.peer_server, contexts.peer_client):
                # Daemons are addressed by IP; the authority certifies daemons only.
                context.check_hostname = False
                context.verify_mode = ssl.CERT_REQUIRED
                context.load_verify_locations(self._settings.authority)
        except (OSError, ssl.SSLError) as error:
            raise InvalidSettings([f"listen.tls: {error}"]) from error
        return contexts

    def _modification_times(self) -> tuple[float, ...]:
        paths = (self._settings.certificate, self._settings.key)
        try:
            return tuple(Path(path).stat().st_mtime for path in paths)
        except OSError as error:
            raise InvalidSettings([f"listen.tls: {error}"]) from error


def is_loopback(address: str) -> bool:
    """Returns whether the host of ``host:port`` is a loopback address."""
    host, _ = split_address(address)
    if host == "localhost":
        return True
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return False


def _addresses(settings: ListenSettings) -> Iterator[tuple[str, str]]:
    for name in ("http", "peer", "admin"):
        address = getattr(settings, name)
        if address:
            yield name, address


def exposure_problems(settings: ListenSettings) -> list[str]:
    """Returns a problem for each address exposed to other hosts without TLS."""
    if settings.tls is not None:
        return []
    return [
        f"{name}: {address} is not a loopback address and has no TLS"
        for name, address in _addresses(settings)
        if not is_loopback(address)
    ]
