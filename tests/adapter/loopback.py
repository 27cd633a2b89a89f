"""Loopback addresses that other processes on the machine do not use."""

import os
import socket


def own_host() -> str:
    """Returns a loopback address that only this process listens on."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.1"


def free_addresses(number: int) -> list[str]:
    """Returns unused addresses; sockets stay open until all addresses are chosen.

    No other process takes a port between its choice and its use, since none listens on
    this process's host, and outgoing connections use another one.
    """
    host = own_host()
    sockets = [socket.socket() for _ in range(number)]
    for item in sockets:
        item.bind((host, 0))
    addresses = [f"{host}:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return addresses
