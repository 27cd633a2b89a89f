"""Tests of the import rules of the core and the ownership of blackboard sections."""

import ast
from pathlib import Path
from random import Random

import pytest

import bronzemoor_core
from bronzemoor_core.blackboard import Blackboard
from bronzemoor_core.exceptions import OwnershipError
from bronzemoor_core.node import make_node
from bronzemoor_core.settings import NodeSettings

SOURCE = Path(bronzemoor_core.__file__).parent
ALLOWED_IMPORTS = {
    "ast",
    "base64",
    "bisect",
    "bronzemoor_core",
    "collections",
    "dataclasses",
    "difflib",
    "enum",
    "functools",
    "hashlib",
    "heapq",
    "hmac",
    "importlib",
    "itertools",
    "json",
    "jsonschema",
    "math",
    "msgspec",
    "operator",
    "re",
    "sortedcontainers",
    "sqlglot",
    "struct",
    "types",
    "typing",
    "zlib",
}


def imported_names(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


@pytest.mark.parametrize("path", sorted(SOURCE.rglob("*.py")), ids=lambda p: p.stem)
def test_core_imports_no_clock_socket_thread_file_or_global_random(path):
    """Guards against a core that cannot run on a virtual clock."""
    for name in imported_names(path):
        if name.startswith("random."):
            assert name == "random.Random"
        else:
            assert name.split(".")[0] in ALLOWED_IMPORTS, name
    calls = [
        node.func.id
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
    ]
    assert "open" not in calls


def documented_owners() -> dict[str, str]:
    design = (SOURCE.parents[3] / "docs" / "design.md").read_text()
    table = design.split("### 2.3 The blackboard")[1].split("### 2.4")[0]
    rows = [line.split("|") for line in table.splitlines() if line.startswith("| `")]
    return {row[1].split("`")[1]: row[2].strip() for row in rows}


def test_each_section_has_the_documented_owner():
    """Guards against two controllers that write the same section."""
    node = make_node(NodeSettings("vm-1", "lisbon"), Random(1))
    owners = node.blackboard._owners
    assert set(owners) == set(documented_owners())
    for name, module in documented_owners().items():
        controller = node._controllers[name]
        assert type(controller).__module__ == f"bronzemoor_core.{module}"


def test_a_write_by_another_controller_is_refused():
    """Guards against undetected writes through the read-only views."""
    blackboard = Blackboard()
    blackboard.claim("topology", "topology")
    with pytest.raises(OwnershipError):
        blackboard.topology.databases = {}
    with pytest.raises(TypeError):
        blackboard.topology.databases["claims"] = None
    with pytest.raises(OwnershipError):
        blackboard.claim("topology", "pools")
