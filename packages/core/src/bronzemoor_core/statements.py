"""Classification of SQL into reads and writes."""

from collections.abc import Iterable
from functools import lru_cache

from sqlglot import exp, parse, tokenize
from sqlglot.errors import SqlglotError
from sqlglot.tokens import TokenType

from bronzemoor_core.events import Statement

MAX_CACHED_STATEMENTS = 2_048
# Parsing takes about 0.4 ms per 100 characters, and every request waits for it.
MAX_READ_LENGTH = 4_096

# Text that starts with any other token is no read and need not be parsed.
READ_START_TOKENS = (
    TokenType.SELECT,
    TokenType.WITH,
    TokenType.VALUES,
    TokenType.L_PAREN,
)

READ_ROOTS = (exp.Select, exp.SetOperation, exp.Values, exp.Subquery)
# Any of these nodes in the tree of a read makes the whole statement a write.
WRITE_NODES = (
    exp.DML,
    exp.DDL,
    exp.Command,
    exp.Pragma,
    exp.Into,
    exp.Lock,
    exp.Merge,
    exp.Set,
    exp.Transaction,
    exp.Commit,
    exp.Rollback,
)

# Built-in functions of SQLite without side effects that sqlglot has no class for.
PURE_FUNCTIONS = frozenset(
    {
        "CHANGES",
        "GLOB",
        "HEX",
        "IFNULL",
        "INSTR",
        "JULIANDAY",
        "LAST_INSERT_ROWID",
        "NULLIF",
        "PRINTF",
        "QUOTE",
        "TOTAL",
        "TOTAL_CHANGES",
        "TYPEOF",
        "UNHEX",
        "UNIXEPOCH",
    }
)


@lru_cache(maxsize=MAX_CACHED_STATEMENTS)
def is_read(sql: str) -> bool:
    """Returns whether ``sql`` is provably a single read statement.

    Anything that cannot be proved to be a read counts as a write: text that does not
    parse, several statements in one string, functions that sqlglot does not know, as
    they may have side effects, and text longer than ``MAX_READ_LENGTH``.
    """
    if len(sql) > MAX_READ_LENGTH:
        return False
    try:
        tokens = tokenize(sql, dialect="sqlite")
        if not tokens or tokens[0].token_type not in READ_START_TOKENS:
            return False
        trees = parse(sql, dialect="sqlite")
    except (SqlglotError, RecursionError):
        return False
    if len(trees) != 1 or not isinstance(trees[0], READ_ROOTS):
        return False
    return not any(_may_write(node) for node in trees[0].walk())


def all_reads(statements: Iterable[Statement]) -> bool:
    """Returns whether every statement is provably a read."""
    return all(is_read(statement.sql) for statement in statements)


def _may_write(node: exp.Expr) -> bool:
    if isinstance(node, exp.Anonymous):
        return node.name.upper() not in PURE_FUNCTIONS
    return isinstance(node, WRITE_NODES)
