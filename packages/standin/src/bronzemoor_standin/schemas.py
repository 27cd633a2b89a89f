"""Loads the two packaged example schemas and schema files."""

import sqlite3
from importlib.resources import files
from pathlib import Path

from bronzemoor_standin.statements import Sql

PACKAGED_SCHEMAS = ("claims", "stock")


def load_schema(name: str) -> list[Sql]:
    """Loads a packaged schema or the file ``name``; returns no statements for ''."""
    if not name:
        return []
    if name in PACKAGED_SCHEMAS:
        text = files("bronzemoor_standin").joinpath(f"{name}.sql").read_text()
    else:
        text = Path(name).read_text()
    return [Sql(statement, []) for statement in split_statements(text)]


def split_statements(text: str) -> list[str]:
    """Splits a script into statements, each ending at a line end."""
    statements = []
    current = ""
    for line in text.splitlines():
        current += line + "\n"
        if sqlite3.complete_statement(current):
            statements.append(current.strip())
            current = ""
    return statements
