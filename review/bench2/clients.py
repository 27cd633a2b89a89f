"""The operator and the clients."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from web import call

ANSWER_TIMEOUT_SECONDS = 5.0


def make_config(version: int, service: str = "stock", **changes: Any) -> dict[str, Any]:
    """Returns a configuration with a route for each kind of request."""
    routes = [
        {
            "name": f"r-{kind}",
            "database": database,
            "path_prefix": "/",
            "route_type": kind,
            "timeout_ms": timeout,
            "target_latency_ms": 800,
            "priority": priority,
            "service": service,
            "max_attempts": 2,
            "max_staleness_ms": staleness,
        }
        for kind, database, timeout, priority, staleness in (
            ("primary", "orders", 800, 1, 0),
            ("bounded_staleness", "catalogue", 2000, 2, 1500),
            ("read_your_writes", "picks", 800, 2, 2500),
        )
    ]
    services = [
        {
            "name": service,
            "health_path": "/health",
            "max_conns": 38,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": 1,
        }
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        "tx_idle_ms": 3000,
    }
    body = {"version": version, "routes": routes, "services": services}
    return {**body, "limits": limits, **changes}


async def put_config(
    controls: list[str],
    body: Any,
    record: Callable[[str], None],
    seconds: float = 10.0,
) -> int:
    """Sends a configuration until there is a clear response; returns its status."""
    loop = asyncio.get_running_loop()
    deadline, index, status = loop.time() + seconds, 0, 0
    label = body.get("version") if isinstance(body, dict) else "?"
    while loop.time() < deadline:
        control = controls[index % len(controls)]
        status, _ = await call(control, "PUT", "/bronzemoor/config", body)
        record(f"operator sends configuration {label} to {control}: {status}")
        if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
            return status
        index += 1
        await asyncio.sleep(0.2)
    return status


async def get_config(control: str) -> tuple[int, Any]:
    status, data = await call(control, "GET", "/bronzemoor/config")
    return status, json.loads(data) if status == 200 else None


class Session:
    """A client's connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, front: str, database: str) -> "Session":
        """Raises ``OSError`` if the session is refused."""
        host, port = front.rsplit(":", 1)
        async with asyncio.timeout(2.0):
            session = cls(*await asyncio.open_connection(host, int(port)))
            session.writer.write(f"START {database}\r\n".encode())
            line = await session.read_line()
        if not line.startswith("READY"):
            session.close()
            raise ConnectionRefusedError(line)
        return session

    async def call(self, query_id: str, text: str) -> list[str]:
        """Returns the lines of the answer; raises ``OSError`` or ``TimeoutError``."""
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        lines: list[str] = []
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            while not (lines and lines[-1].startswith("READY")):
                lines.append(await self.read_line())
        return lines

    async def read_line(self) -> str:
        line = await self._reader.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionResetError("the session was closed")
        return line.decode().rstrip()

    def close(self) -> None:
        self.writer.close()
