"""Client sessions that write, read, set values and prepare statements."""

import asyncio
from random import Random
from typing import Any

import faultmembers  # noqa: F401 - makes the stand-ins importable
from faultchecks import PROMISES, Attempt, Checker, Statement
from standins import Client, ClientClosed

OPEN_PAUSE_SECONDS = 0.3
MAX_PAUSE_SECONDS = 0.06
MAX_STATEMENT_PAUSE_SECONDS = 0.15
MAX_OPERATIONS = 60  # of a session, before it is opened anew
ROUTES = ("primary", "primary", "read_your_writes")


class Session:
    """One client that connects to one proxy again and again."""

    def __init__(self, name: str, front: str, services: list[str], checker: Checker):
        self._name = name
        self._front = front
        self._services = services
        self._checker = checker
        self._random = Random(name)
        self._attempt = Attempt(name, "", False)
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._writes = False
        self._client: Any = None

    async def run_forever(self) -> None:
        while True:
            service = self._random.choice(self._services)
            database = f"{self._random.choice(ROUTES)}-{service}"
            self._client = Client(self._name, self._on_event)
            self._values, self._prepared = {}, {}
            try:
                if await self._client.open(self._front, database):
                    for _ in range(MAX_OPERATIONS):
                        await self._operate()
                        pause = self._random.uniform(0.0, MAX_PAUSE_SECONDS)
                        await asyncio.sleep(pause)
            except ClientClosed:
                pass
            finally:
                self._client.close()
            await asyncio.sleep(OPEN_PAUSE_SECONDS)

    async def _operate(self) -> None:
        kinds = (self._set, self._prepare, self._single, self._transaction)
        await self._random.choices(kinds, (1, 1, 4, 6))[0]()

    async def _set(self) -> None:
        name, value = f"n{self._random.randrange(2)}", str(self._random.randrange(99))
        if await self._call(f"SET {name} {value}"):
            raise ClientClosed
        self._values[name] = value

    async def _prepare(self) -> None:
        name = f"s{len(self._prepared)}"
        kind = self._random.choice(("FETCH", "STORE"))
        shape = f"{kind} q{self._random.randrange(9)}"
        if await self._call(f"PREPARE {name} {shape}"):
            raise ClientClosed
        self._prepared[name] = shape

    async def _single(self) -> None:
        self._begin(False)
        text, kind = self._choose()
        self._attempt.ended(await self._call(text, kind))

    async def _transaction(self) -> None:
        self._begin(True)
        read_only = self._random.random() < 0.15
        error = await self._call("BEGIN FETCH" if read_only else "BEGIN")
        for _ in range(self._random.randint(1, 4)):
            if error:
                break
            pause = self._random.uniform(0.0, MAX_STATEMENT_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            text, kind = ("FETCH i", "FETCH") if read_only else self._choose()
            error = await self._call(text, kind)
        if not error and self._random.random() < 0.9:
            self._attempt.ended(await self._call("COMMIT", "COMMIT"))
            return
        self._attempt.outcome = "rolled back"
        if error and error.split(" ")[1] in PROMISES:
            self._attempt.outcome = "refused"
        if await self._call("ROLLBACK"):
            raise ClientClosed

    def _begin(self, in_transaction: bool) -> None:
        vm = self._front.rpartition(":")[0]
        self._attempt = Attempt(self._name, vm, in_transaction)

    def _choose(self) -> tuple[str, str]:
        """Returns a read or write, and its kind with the shape of a prepared one."""
        if self._prepared and self._random.random() < 0.4:
            name = self._random.choice(sorted(self._prepared))
            kind = self._prepared[name]
            return f"EXECUTE {name} i" + " d" * kind.startswith("STORE"), kind
        if self._random.random() < 0.65:
            return "STORE i d", "STORE"
        return "FETCH i", "FETCH"

    async def _call(self, text: str, kind: str = "") -> str:
        """Returns the line of an error, else an empty string."""
        self._kind = kind
        query_id, lines = await self._client.call(text, 6.0)
        error = next((line for line in lines if line.startswith("ERROR")), "")
        if error.startswith("ERROR NOPREPARED"):
            self._checker.unknown_name(query_id, error)
        return error

    def _on_event(self, event: str, **fields: Any) -> None:
        if event == "sent":
            query_id, kind = fields["id"], self._kind
            if kind.startswith("STORE"):
                self._attempt.writes.append(query_id)
            if kind:
                statement = Statement(self._attempt, kind, dict(self._values))
                self._checker.statements[query_id] = statement
        self._checker.record(event, **fields)
