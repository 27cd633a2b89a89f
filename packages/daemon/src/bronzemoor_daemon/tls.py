"""TLS contexts whose certificates can be replaced while connections go on."""

import ssl
from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.settings_schema import ListenSettings, TlsFiles
from bronzemoor_daemon.framing import split_address


class TlsContexts:
    """Contexts for HTTP (server only) and for peers (both sides show certificates)."""

    def __init__(self, settings: TlsFiles) -> None:
        self._settings = settings
        self.http = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.peer_server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.peer_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        for context in (self.peer_server, self.peer_client):
            # Daemons are known by IP address; the authority signs daemons only.
            context.check_hostname = False
            context.verify_mode = ssl.CERT_REQUIRED
            try:
                context.load_verify_locations(settings.authority)
            except (OSError, ssl.SSLError) as error:
                raise InvalidSettings([f"tls.authority: {error}"]) from error
        self._modified = (0.0, 0.0)
        self.reload()

    def reload(self) -> bool:
        """Loads changed files; connections in progress keep their certificate.

        Raises ``InvalidSettings`` and keeps the old certificate if the files are bad.
        """
        try:
            modified = self._modification_times()
            if modified == self._modified:
                return False
            # Tried on a scratch context first, because a mismatch of certificate and
            # key would leave the live context without a usable pair.
            scratch = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            for context in (scratch, self.http, self.peer_server, self.peer_client):
                context.load_cert_chain(self._settings.certificate, self._settings.key)
        except (OSError, ssl.SSLError) as error:
            raise InvalidSettings([f"tls.certificate: {error}"]) from error
        self._modified = modified
        return True

    def _modification_times(self) -> tuple[float, float]:
        paths = (self._settings.certificate, self._settings.key)
        first, second = (Path(path).stat().st_mtime for path in paths)
        return first, second


def is_loopback(address: str) -> bool:
    """Tells whether host:port names this machine only."""
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
    """Addresses that would be open to others without TLS."""
    if settings.tls is not None:
        return []
    return [
        f"{name}: {address} is beyond loopback and has no TLS"
        for name, address in _addresses(settings)
        if not is_loopback(address)
    ]
