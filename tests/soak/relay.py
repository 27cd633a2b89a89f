"""A loopback relay in front of a member; delays, stalls or resets connections."""

import asyncio


class Relay:
    """Forwards to the address ``target()``; ``delay`` is in seconds."""

    def __init__(self, target) -> None:
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.delay = 0.0
        self.stalled = False
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def reset(self) -> None:
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        host, port = self._target().split(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            self._forward(reader, upstream[1]), self._forward(upstream[0], writer)
        )
        self._writers -= {writer, upstream[1]}

    async def _forward(self, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                await asyncio.sleep(self.delay)
                while self.stalled:
                    await asyncio.sleep(0.05)
                writer.write(data)
        except OSError:
            pass
        writer.close()
