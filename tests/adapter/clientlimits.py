"""A control port for tests, with a small HTTP client."""

import asyncio

from loopback import free_addresses

from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.webserver import LoopBridge, WebServer
from bronzemoor_platform.adapter import Adapter


def metric(daemon, name: str) -> dict:
    return dict(getattr(daemon._metrics, name).values)


class ControlPort:
    """Serves the control port of a control daemon."""

    def __init__(self, control) -> None:
        loop, adapter = asyncio.get_running_loop(), Adapter()
        settings = control._settings
        (settings.listen_control,) = free_addresses(1)
        application = adapter.make_control_application(control, LoopBridge(loop))
        self.server = WebServer(
            settings, application, adapter.body_limit, 4, control._report, WireMetrics()
        )
        self._address = settings.listen_control.split(":")

    async def __aenter__(self) -> "ControlPort":
        await self.server.start()
        return self

    async def __aexit__(self, *error) -> None:
        self.server.stop()

    async def connect(self):
        return await asyncio.open_connection(*self._address)

    async def request(self, method, path, body=b"", headers=b"") -> int:
        reader, writer = await self.connect()
        head = f"{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
        head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + headers + b"\r\n" + body)
        status = await self.read_status(reader)
        while status == 100:
            status = await self.read_status(reader)
        writer.close()
        return status

    async def read_status(self, reader) -> int:
        """Reads a whole answer and returns its status."""
        async with asyncio.timeout(10):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            if "content-length: " in head:
                length = int(head.split("content-length: ")[1].split("\r\n")[0])
                await reader.readexactly(length)
            return int(head.split(" ")[1])
