"""Runs a control group, proxies and fake members on one event loop."""

import asyncio
import json
from contextlib import suppress
from pathlib import Path

from fake_members import FakeGroup
from loopback import free_addresses

from bronzemoor_core.wire.authority import PromotionOrder
from bronzemoor_core.wire.quotasettings import QuotaSettings
from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_daemon.wire.control import ControlDaemon
from bronzemoor_daemon.wire.metrics import WireMetrics
from bronzemoor_daemon.wire.proxy import Proxy
from bronzemoor_daemon.wire.settings import CONTROL, PROXY, WireSettings
from bronzemoor_platform.documents import read_document
from bronzemoor_platform.lines import PlatformLines

ZONES = ("north", "south", "west")


def make_document(version: int, **changes) -> str:
    """Returns a document with a route for each read policy on the group ``ledger``."""
    routes = [
        {
            "name": f"r-{policy}",
            "database": database,
            "path_prefix": "/",
            "route_type": policy,
            "timeout_ms": 800,
            "target_latency_ms": 400,
            "priority": 1,
            "service": "ledger",
            "max_attempts": 2,
            "max_staleness_ms": 2_000,
        }
        for policy, database in (
            ("primary", "orders"),
            ("bounded_staleness", "catalogue"),
            ("read_your_writes", "stock"),
        )
    ]
    services = [{"name": "ledger", "max_conns": 22, "sync_replicas": 1}]
    body = {"version": version, "routes": routes, "services": services}
    return json.dumps({**body, "limits": {"tx_idle_ms": 3_000}, **changes})


class Client:
    """A client session; each call returns the lines of an answer."""

    def __init__(self, reader, writer) -> None:
        self._reader, self._writer = reader, writer
        self._number = 0

    @classmethod
    async def open(cls, address: str, database: str, key: str = "test") -> "Client":
        host, port = address.split(":")
        client = cls(*await asyncio.open_connection(host, int(port)))
        start = f"START {database} {key}\r\n"
        client._writer.write(start.encode(errors="surrogateescape"))
        client.greeting = await client._read_line()
        return client

    async def call(self, text: str) -> list[str]:
        self._number += 1
        self._writer.write(f"QUERY {self._query_id} {text}\r\n".encode())
        lines = [await self._read_line()]
        while not lines[-1].startswith("READY"):
            lines.append(await self._read_line())
        return lines

    @property
    def _query_id(self) -> str:
        return f"q{self._number}"

    async def _read_line(self) -> str:
        async with asyncio.timeout(10):
            line = await self._reader.readline()
        if not line:
            raise ConnectionError("the session was closed")
        return line.decode().rstrip()

    async def closed_without_message(self) -> bool:
        """Waits for data and returns whether the session was closed without any."""
        async with asyncio.timeout(10):
            return await self._reader.read() == b""

    def close(self) -> None:
        self._writer.close()


class System:
    """Three control daemons, two proxies and one group."""

    # Quotas are not enforced unless a subclass says so.
    quota: QuotaSettings | None = None

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._codec = PlatformLines()
        self.group = FakeGroup("ledger")
        self.controls: list[ControlDaemon] = []
        self.proxies: list[Proxy] = []
        self.client_addresses: list[str] = []
        self.events: list[tuple[str, dict]] = []

    async def start(self) -> None:
        await self.group.start()
        addresses = free_addresses(7)
        seeds = tuple(addresses[:3])
        for peer in seeds:
            await self._start_control(peer, seeds, first_start=True)
        for number, peer in enumerate(addresses[3:5]):
            settings = self._settings(f"proxy-{number}", PROXY, peer, seeds)
            settings.listen_clients = addresses[5 + number]
            proxy = Proxy(
                settings, self._codec, read_document, self._report, WireMetrics()
            )
            self.proxies.append(proxy)
            self.client_addresses.append(addresses[5 + number])
            await proxy.start()

    async def add_control(self, seeds: tuple[str, ...] = ()) -> ControlDaemon:
        """Starts one more control daemon, which knows the first ones or ``seeds``."""
        (peer,) = free_addresses(1)
        seeds = seeds or tuple(c.links._name for c in self.controls[:3])
        return await self._start_control(peer, seeds, first_start=False)

    async def _start_control(self, peer, seeds, first_start) -> ControlDaemon:
        name = f"control-{len(self.controls)}"
        settings = self._settings(name, CONTROL, peer, seeds)
        settings.first_start = first_start
        control = ControlDaemon(
            settings, self._codec, read_document, self._promote, self._report,
            WireMetrics(),
        )  # fmt: skip
        self.controls.append(control)
        await control.start()
        return control

    async def deploy(self, version: int = 1, **changes) -> None:
        """Applies a document, announces the members and waits for the proxies."""
        await self.until(lambda: any(c.leader_name for c in self.controls))
        await self.until_async(lambda: self.put(version, **changes))
        for index, name in enumerate(self.group.members):
            await self.announce(name, zone=ZONES[index])
        await self.until(lambda: all(p.is_ready for p in self.proxies))
        await self.until(lambda: all(p.group("ledger").primary for p in self.proxies))

    async def put(self, version: int, control=None, **changes) -> bool:
        document = make_document(version, **changes)
        control = control or self.controls[0]
        code = await control.put_deployment(version, document)
        return code == "ok"

    async def announce(self, name: str, sequence: int = 1, **changes) -> bool:
        member = self.group.members[name]
        number = list(self.group.members).index(name)
        zone = changes.pop("zone", ZONES[number % len(ZONES)])
        fields = {"born": 1, "leaving": False, "primary": member.primary, **changes}
        record = MemberRecord(
            name, "ledger", member.address, zone, sequence=sequence, **fields
        )
        return await self.controls[1].announce(record)

    async def stop(self) -> None:
        for proxy in self.proxies:
            proxy.links.close()
        for control in self.controls:
            await control.stop()
        await self.group.stop()
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)

    async def until(self, condition, timeout: float = 10.0) -> None:
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.02)

    async def until_async(self, condition, timeout: float = 10.0) -> None:
        async with asyncio.timeout(timeout):
            while not await condition():
                await asyncio.sleep(0.05)

    def _settings(self, name, role, peer, seeds) -> WireSettings:
        folder = self._folder / name
        folder.mkdir()
        return WireSettings(
            name, (role,), ZONES[0], peer, seeds, True, data_folder=str(folder),
            quota=self.quota,
        )  # fmt: skip

    def _promote(self, order: PromotionOrder) -> str:
        return self.group.promote(order.member, order.fence)

    def _report(self, level: str, event: str, **fields) -> None:
        self.events.append((event, fields))


def run_system(folder: Path, scenario, system_type=System, **changes) -> None:
    """Runs ``scenario(system)`` once the system is ready.

    ``changes`` are applied to the deployment document.
    """

    async def main() -> None:
        system = system_type(folder)
        try:
            await system.start()
            await system.deploy(**changes)
            await scenario(system)
        finally:
            await system.stop()

    asyncio.run(main())
