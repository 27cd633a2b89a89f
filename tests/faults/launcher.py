"""Starts a daemon whose connections go through the relay of the fault bench.

``FAULT_RELAY`` is the relay's address and ``FAULT_VM`` the address of the daemon's VM.
Each connection begins with a line that names both ends; the relay answers it with one
byte once the connection stands, so that a dial over a cut link does not return.
"""

import asyncio
import os
import socket
from typing import Any

import uvloop

from bronzemoor_daemon.wire.runner import run
from bronzemoor_platform.adapter import Adapter

ACCEPTED = b"+"
_dial_directly = socket.create_connection
_connect_directly = uvloop.Loop.create_connection


def _relay() -> tuple[str, int]:
    host, _, port = os.environ["FAULT_RELAY"].rpartition(":")
    return host, int(port)


def _first_line(host: str, port: int) -> bytes:
    return f"{os.environ['FAULT_VM']} {host}:{port}\n".encode()


class _RelayedSocket(socket.socket):
    """Tells the relay of its TCP_USER_TIMEOUT: the own kernel sees no loss."""

    def setsockopt(self, level: int, option: int, *value: Any) -> None:
        super().setsockopt(level, option, *value)
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            with _dial_directly(_relay(), 1.0) as side:
                port = self.getsockname()[1]
                side.sendall(f"timeout-ms {port}:{value[0]}\n".encode())
                side.recv(1)


def _dial(address: tuple[str, int], *args: Any, **options: Any) -> socket.socket:
    """Replaces ``socket.create_connection``."""
    dialed = _dial_directly(_relay(), *args, **options)
    timeout = dialed.gettimeout()
    connected = _RelayedSocket(fileno=dialed.detach())
    connected.settimeout(timeout)
    try:
        connected.sendall(_first_line(*address))
        if connected.recv(1) != ACCEPTED:
            raise ConnectionRefusedError(address)
    except BaseException:
        connected.close()
        raise
    return connected


async def _connect(
    loop: Any, factory: Any, host: Any = None, port: Any = None, **options: Any
) -> Any:
    """Replaces ``loop.create_connection``."""
    if host is None:
        return await _connect_directly(loop, factory, **options)
    connected = socket.socket()
    connected.setblocking(False)
    try:
        await loop.sock_connect(connected, _relay())
        await loop.sock_sendall(connected, _first_line(host, port))
        if await loop.sock_recv(connected, 1) != ACCEPTED:
            raise ConnectionRefusedError(host, port)
        return await _connect_directly(loop, factory, sock=connected, **options)
    except (Exception, asyncio.CancelledError):
        connected.close()
        raise


def main() -> None:
    socket.create_connection = _dial  # type: ignore[assignment]
    uvloop.Loop.create_connection = _connect  # type: ignore[method-assign]
    run(Adapter())


if __name__ == "__main__":
    main()
