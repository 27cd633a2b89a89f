"""Small HTTP calls, and the platform that carries out promotions."""

import asyncio
import json
from collections.abc import Callable
from typing import Any


async def call(
    address: str, method: str, path: str, body: Any = None, timeout: float = 1.0
) -> tuple[int, bytes]:
    """Makes a call; the status is 0 without a response."""
    try:
        async with asyncio.timeout(timeout):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                data = b"" if body is None else body
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, b""
    first, _, rest = answer.partition(b"\r\n")
    words = first.split()
    if len(words) < 2 or not words[1].isdigit():
        return 0, b""
    return int(words[1]), rest.partition(b"\r\n\r\n")[2]


class Platform:
    """Takes ``POST /promotions``; ``promote`` returns the status."""

    def __init__(self, promote: Callable[[str, str, str, int], int]) -> None:
        self._promote = promote
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while line := await reader.readline():
                method, path, _ = line.decode().split()
                headers = {}
                while (field := (await reader.readline()).decode().strip()) != "":
                    name, _, value = field.partition(":")
                    headers[name.lower()] = value.strip()
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                status = 404
                if (method, path) == ("POST", "/promotions"):
                    body = json.loads(data)
                    status = self._promote(
                        body["service"],
                        body["instance_id"],
                        headers["x-duty-holder"],
                        int(headers["x-fence-token"]),
                    )
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode()
                )
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
