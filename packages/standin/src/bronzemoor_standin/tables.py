"""Reads whole tables from a database group after a load run."""

from collections.abc import Iterable
from typing import Any

from thrift.Thrift import TException

from bronzemoor_standin.caller import Caller
from bronzemoor_standin.gen.endpoint.ttypes import Status

PAGE_ROWS = 2000
TIMEOUT_MS = 10_000


class NoPrimary(Exception):
    """None of a database's members is a primary that a majority confirms."""


def read_tables(
    database: str, addresses: Iterable[str], tables: Iterable[str]
) -> dict[str, list[dict[str, Any]]]:
    """Returns all rows of ``tables`` at the confirmed primary; raises ``NoPrimary``."""
    for address in addresses:
        try:
            caller = Caller(address, database, TIMEOUT_MS)
        except (OSError, EOFError, TException):
            continue
        try:
            if caller.confirm(caller.greeting).status == Status.OK:
                return {table: _read_table(caller, table) for table in tables}
        finally:
            caller.close()
    raise NoPrimary(database)


def _read_table(caller: Caller, table: str) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    while True:
        sql = f"SELECT * FROM {table} ORDER BY 1, 2 LIMIT ? OFFSET ?"
        result = caller.result(sql, PAGE_ROWS, len(rows))
        page = [dict(zip(result["columns"], r, strict=True)) for r in result["rows"]]
        rows += page
        if len(page) < PAGE_ROWS:
            return rows
