"""A loopback relay in front of a member that delays, silences or resets connections."""

import asyncio


class Relay:
    """Forwards to ``target()``; ``delay`` is in seconds."""

    def __init__(self, target) -> None:
        self._target = target
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.delay = 0.0
        self.silent = False
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def reset(self) -> None:
        """Resets every open connection."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        host, port = self._target().split(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, upstream[1]}
        await asyncio.gather(
            self._pump(reader, upstream[1]), self._pump(upstream[0], writer)
        )
        self._open -= {writer, upstream[1]}

    async def _pump(self, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                await asyncio.sleep(self.delay)
                while self.silent:
                    await asyncio.sleep(0.05)
                writer.write(data)
        except OSError:
            pass
        writer.close()
