"""A client of an endpoint with default arguments, for tests and tools."""

import json
from typing import Any

from bronzemoor_standin.framing import EndpointClient
from bronzemoor_standin.gen.endpoint import ttypes

ZERO_POSITION = ttypes.Position(0, 0)


class Caller:
    """A connection to a member that has completed ``hello``."""

    def __init__(self, address: str, database: str, timeout_ms: float = 5000) -> None:
        self.client = EndpointClient(address, timeout_ms)
        self.greeting = self.client.hello(ttypes.Hello(1, "test", database))

    def execute(self, sql: str, *params: Any, **fields: Any) -> ttypes.Reply:
        fields.setdefault("min_position", ZERO_POSITION)
        fields.setdefault("request_id", "")
        fields.setdefault("digest", "d")
        statement = ttypes.Statement(sql, json.dumps(params).encode())
        return self.client.execute(
            ttypes.Execute(
                correlation_id=7,
                statements=[statement],
                read_only=fields.pop("read_only", False),
                recorded=fields.pop("recorded", False),
                wait_ms=fields.pop("wait_ms", 0),
                deadline_ms=fields.pop("deadline_ms", 2000),
                **fields,
            )
        )

    def result(self, sql: str, *params: Any, **fields: Any) -> dict[str, Any]:
        """Columns, rows and row count of one statement; raises ``RuntimeError``."""
        reply = self.execute(sql, *params, **fields)
        if reply.status != ttypes.Status.OK:
            raise RuntimeError(f"{reply.code}: {reply.message}")
        result: dict[str, Any] = json.loads(reply.payload)[0]
        return result

    def rows(self, sql: str, *params: Any, **fields: Any) -> list[Any]:
        rows: list[Any] = self.result(sql, *params, **fields)["rows"]
        return rows

    def close(self) -> None:
        self.client.close()

    def reserve(self, request_id: str, token: str, digest: str = "d") -> ttypes.Reply:
        return self.client.reserve(ttypes.Reserve(2, request_id, digest, token))

    def lookup(
        self, request_id: str, digest: str = "d", wait_ms: int = 0
    ) -> ttypes.Reply:
        return self.client.lookup(
            ttypes.Query(3, request_id, ZERO_POSITION, wait_ms, digest)
        )

    def confirm(self, reply: ttypes.Reply, wait_ms: int = 2000) -> ttypes.Reply:
        position = ttypes.Position(reply.term, reply.offset)
        return self.client.confirm(ttypes.Query(4, "", position, wait_ms, ""))

    def transaction(self, kind: str, transaction_id: str, **fields: Any) -> Any:
        call = ttypes.TransactionCall(
            5, "", transaction_id, "d", False, ZERO_POSITION, 0
        )
        for name, value in fields.items():
            setattr(call, name, value)
        return getattr(self.client, kind)(call)

    def order(self, kind: str, term: int, **fields: Any) -> ttypes.Reply:
        fields = {"primary": "", "start_offset": 0, "members": {}} | fields
        return getattr(self.client, kind)(ttypes.Order(6, term, **fields))
